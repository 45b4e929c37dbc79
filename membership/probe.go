package membership

import (
	"net/netip"
	"slices"
)

// probeKind is the reason for which a member is probed.
type probeKind uint8

const (
	regularProbe      probeKind = iota
	indirectProbe               // for another member that sent a PingRequest
	verificationProbe           // verifies a hint or an accusation that the target is dead
	reconnectProbe              // tests whether a dead member answers again
)

// probe is an unanswered probe of a member. Each of its attempts sends a Ping.
type probe struct {
	kind              probeKind
	target            *member
	rumor             *Rumor // about the target, which can refute it; may be nil
	seq               uint32
	startedAt         float64
	attemptIntervalMs float64
	maxAttempts       int
	attempts          int  // attempts made so far
	indirectRequests  int  // PingRequests sent for the probe
	confirmedBy       []ID // members that sent a Nack
	requester         requester
}

// requester identifies the member that requested an indirect probe.
type requester struct {
	addr   netip.AddrPort
	member *member // nil if unknown
	seq    uint32  // sequence number of the PingRequest
}

// probeState holds the probes of this member and the times at which the next ones are due.
type probeState struct {
	seq               uint32 // sequence number of the last probe
	probes            []*probe
	finished          [finishedProbeCount]finishedProbe // by sequence number modulo finishedProbeCount
	verifications     []verification                    // not started yet
	probeRound        []*member                         // remaining targets of the round of regular probes, last first
	nextProbeAt       float64
	nextReconnectAt   float64
	pendingReconnects int // additional reconnect probes to start after a successful one
	nextVerifyAllAt   float64
}

// deadline returns the time at which the probe fails. Requesting indirect probes doubles the time from the start to the
// deadline.
func (p *probe) deadline() float64 {
	attempts := float64(p.maxAttempts)
	if p.indirectRequests > 0 {
		attempts *= 2
	}
	return p.startedAt + attempts*p.attemptIntervalMs
}

// nextAttemptAt returns the time at which the next attempt is due.
func (p *probe) nextAttemptAt() float64 { return p.startedAt + float64(p.attempts)*p.attemptIntervalMs }

// dueAt returns the time of the probe's next attempt or of its deadline, whichever is earlier.
func (p *probe) dueAt() float64 {
	if p.attempts < p.maxAttempts {
		return min(p.deadline(), p.nextAttemptAt())
	}
	return p.deadline()
}

// startProbe starts a probe with its first attempt.
func (v *View) startProbe(p *probe) {
	v.seq++
	p.seq, p.startedAt = v.seq, v.now
	p.attemptIntervalMs, p.maxAttempts = v.attemptIntervalMs(), v.roundTrip.attemptsNeeded()
	if p.kind == reconnectProbe {
		p.maxAttempts = 1
	}
	p.target.probeInFlight = true
	v.probes = append(v.probes, p)
	v.sendPing(p)
}

// sendPing makes an attempt of a probe. If the target is Suspect, Dead or Left in this view, or if the probe verifies a
// rumor, the Ping carries the rumor about the target so that the target can refute it.
func (v *View) sendPing(p *probe) {
	ping := &Message{Kind: Ping, Seq: p.seq, Attempt: uint8(p.attempts), Target: p.target.id}
	p.attempts++
	switch {
	case p.target.State != Alive && p.target.State != Unreachable:
		ping.Rumors = append(ping.Rumors, v.rumorAbout(p.target))
	case p.rumor != nil && p.rumor.Incarnation >= p.target.Incarnation:
		ping.Rumors = append(ping.Rumors, *p.rumor)
	}
	v.send(p.target.Addr, p.target, ping, pingUpdateBytes)
}

// runProbes makes the attempts that are due, requests indirect probes with the last attempt, and fails probes at their
// deadline.
func (v *View) runProbes() {
	var expired []*probe
	for _, p := range v.probes {
		for p.attempts < p.maxAttempts && v.now >= p.nextAttemptAt() {
			v.sendPing(p)
			if p.attempts == p.maxAttempts && (p.kind == regularProbe || p.kind == verificationProbe) {
				v.requestIndirectProbes(p)
			}
		}
		if v.now >= p.deadline() {
			expired = append(expired, p)
		}
	}
	for _, p := range expired {
		v.finishProbe(p)
		v.probeFailed(p)
	}
}

// finishedProbeCount is the number of finished probes that are kept to recognize late answers.
const finishedProbeCount = 16

// finishedProbe holds what is needed of a finished probe to handle a late answer.
type finishedProbe struct {
	seq               uint32
	target            *member
	startedAt         float64
	attemptIntervalMs float64
}

// finishProbe removes a probe that was answered or failed, and keeps it among the finished ones.
func (v *View) finishProbe(p *probe) {
	p.target.probeInFlight = false
	v.probes = slices.DeleteFunc(v.probes, func(other *probe) bool { return other == p })
	v.finished[p.seq%finishedProbeCount] = finishedProbe{p.seq, p.target, p.startedAt, p.attemptIntervalMs}
}

// dropProbes removes all unanswered probes without counting them as failed.
func (v *View) dropProbes() {
	for _, p := range v.probes {
		p.target.probeInFlight = false
	}
	v.probes = v.probes[:0]
}

// findProbe returns the unanswered probe with a sequence number, or nil.
func (v *View) findProbe(seq uint32) *probe {
	for _, p := range v.probes {
		if p.seq == seq {
			return p
		}
	}
	return nil
}

// handlePing answers a Ping. sender is nil if the sender is unknown.
func (v *View) handlePing(from netip.AddrPort, sender *member, message *Message) {
	if message.Target != v.id {
		return // meant for a process that had this address before
	}
	ack := &Message{Kind: Ack, Seq: message.Seq, Attempt: message.Attempt}
	if sender != nil && (sender.State == Suspect || !sender.State.isLive()) {
		ack.Rumors = append(ack.Rumors, v.rumorAbout(sender))
	}
	v.send(from, sender, ack, pingUpdateBytes)
}

// handleAck handles an Ack to a probe. message.Target is 0 if the target itself answers a Ping, and is the target's ID if
// the Ack answers a PingRequest.
func (v *View) handleAck(sender *member, message *Message) {
	p := v.findProbe(message.Seq)
	switch {
	case p == nil:
		v.handleLateAck(sender, message)
	case p.target == sender && message.Target == 0:
		v.recordRoundTrip(p.startedAt, p.attemptIntervalMs, message.Attempt, p.kind == regularProbe)
		v.noteDirectAck()
		v.probeSucceeded(p)
	case message.Target == p.target.id:
		v.probeSucceeded(p)
	}
}

// handleLateAck handles an answer of the target itself to a finished probe.
func (v *View) handleLateAck(sender *member, message *Message) {
	p := &v.finished[message.Seq%finishedProbeCount]
	if p.seq != message.Seq || p.target != sender || message.Target != 0 {
		return
	}
	v.recordRoundTrip(p.startedAt, p.attemptIntervalMs, message.Attempt, false)
	v.noteDirectAck()
	sender.unconfirmedProbes = 0
	if sender.State == Unreachable {
		v.setState(sender, Alive, sender.Incarnation, causeAnsweredLate)
	}
}

// probeSucceeded finishes a probe that was answered.
func (v *View) probeSucceeded(p *probe) {
	v.finishProbe(p)
	target := p.target
	target.unconfirmedProbes = 0
	switch p.kind {
	case indirectProbe:
		v.replyToRequester(p, &Message{Kind: Ack, Rumors: []Rumor{target.rumor(Alive)}})
	case reconnectProbe:
		v.reconnectSucceeded()
	case regularProbe:
		v.health.improve(v.now)
	}
	if target.State == Unreachable {
		v.setState(target, Alive, target.Incarnation, causeAnswered)
		v.verifyAllUnreachable()
	}
}

// probeFailed handles a probe that was not answered by its deadline. It accuses the target if other members have
// confirmed with a Nack that the target doesn't answer.
func (v *View) probeFailed(p *probe) {
	switch p.kind {
	case indirectProbe:
		v.replyToRequester(p, &Message{Kind: Nack})
		return
	case reconnectProbe:
		return
	}
	if !p.target.State.isLive() || !v.mayAccuse() {
		return
	}
	if len(p.confirmedBy) == 0 {
		v.probeUnconfirmed(p)
		return
	}
	v.counters.accusations++
	v.suspect(p.target, append(p.confirmedBy, v.id), CauseNoAnswer)
}

// maxUnconfirmedProbes is the number of consecutive unconfirmed failures that make a member Unreachable.
const maxUnconfirmedProbes = 2

// probeUnconfirmed handles a probe that failed without confirmation by another member, in which case this member may be
// at fault itself. Without a third member that answers, the failure of a crashed target can't be confirmed, so the target
// becomes Unreachable at most. It stays Alive if this member has received no message for contactTimeoutMs before the
// second failure, see mayAccuse.
func (v *View) probeUnconfirmed(p *probe) {
	target := p.target
	if p.indirectRequests > 0 && !v.isFailureBurst() { // in a burst the helpers may be dead as well
		v.health.degrade()
	}
	if p.startedAt < v.acksResumedAt {
		return
	}
	if v.isFailureBurst() && !target.inProbeRound { // is probed next, with newly chosen helpers
		target.inProbeRound = true
		v.probeRound = append(v.probeRound, target)
	}
	target.unconfirmedProbes++
	if target.unconfirmedProbes >= maxUnconfirmedProbes && target.State == Alive {
		v.setState(target, Unreachable, target.Incarnation, causeUnconfirmed)
	}
}
