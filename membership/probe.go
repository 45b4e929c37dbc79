package membership

import (
	"net/netip"
	"slices"
)

// probeKind is why a member is probed.
type probeKind uint8

const (
	regularProbe   probeKind = iota
	indirectProbe            // for another member that sent a PingRequest
	checkProbe               // a hint or an accusation is verified
	reconnectProbe           // a dead member may be back
)

// probe is a Ping that has not been answered yet. It is sent in several attempts.
type probe struct {
	kind              probeKind
	target            *member
	rumor             *Rumor // about the target, for it to refute; nil: none
	seq               uint32
	startedAt         float64
	attemptIntervalMs float64
	maxAttempts       int
	attempts          int
	indirectRequests  int  // PingRequests sent
	confirmedBy       []ID // members that sent a Nack
	requester         requester
}

// requester is who is waiting for the result of an indirect probe.
type requester struct {
	addr   netip.AddrPort
	member *member // nil: not known
	seq    uint32  // of the PingRequest
}

// probeState holds the probes of this member and when the next ones are due.
type probeState struct {
	seq               uint32 // of the last probe
	probes            []*probe
	finished          [finishedProbeCount]finishedProbe // by seq
	checks            []check                           // still to be started
	probeRound        []*member                         // still to be visited by regular probes, the last one first
	nextProbeAt       float64
	nextReconnectAt   float64
	pendingReconnects int // additional ones after a success
	nextRecheckAt     float64
}

// deadline is when the probe fails. Indirect probes begin with the last attempt and take as long as the attempts.
func (p *probe) deadline() float64 {
	attempts := float64(p.maxAttempts)
	if p.indirectRequests > 0 {
		attempts *= 2
	}
	return p.startedAt + attempts*p.attemptIntervalMs
}

// nextAttemptAt is when the next attempt is due.
func (p *probe) nextAttemptAt() float64 { return p.startedAt + float64(p.attempts)*p.attemptIntervalMs }

// dueAt is when the probe needs something done.
func (p *probe) dueAt() float64 {
	if p.attempts < p.maxAttempts {
		return min(p.deadline(), p.nextAttemptAt())
	}
	return p.deadline()
}

// startProbe makes the first attempt of a probe.
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

// sendPing makes an attempt. The target gets what is rumored of it, so that it can refute that.
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

// runProbes makes the attempts that are due, asks for indirect probes with the last one, and ends probes at their
// deadline.
func (v *View) runProbes() {
	var expired []*probe
	for _, p := range v.probes {
		for p.attempts < p.maxAttempts && v.now >= p.nextAttemptAt() {
			v.sendPing(p)
			if p.attempts == p.maxAttempts && (p.kind == regularProbe || p.kind == checkProbe) {
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

// finishedProbeCount is how many finished probes are kept to recognize late answers.
const finishedProbeCount = 16

// finishedProbe is a probe that has ended.
type finishedProbe struct {
	seq               uint32
	target            *member
	startedAt         float64
	attemptIntervalMs float64
}

// finishProbe removes a probe that has ended.
func (v *View) finishProbe(p *probe) {
	p.target.probeInFlight = false
	v.probes = slices.DeleteFunc(v.probes, func(other *probe) bool { return other == p })
	v.finished[p.seq%finishedProbeCount] = finishedProbe{p.seq, p.target, p.startedAt, p.attemptIntervalMs}
}

// dropProbes forgets all probes without a result.
func (v *View) dropProbes() {
	for _, p := range v.probes {
		p.target.probeInFlight = false
	}
	v.probes = v.probes[:0]
}

// findProbe is the unanswered probe with a sequence number, or nil.
func (v *View) findProbe(seq uint32) *probe {
	for _, p := range v.probes {
		if p.seq == seq {
			return p
		}
	}
	return nil
}

// handlePing answers a Ping. sender is nil for one that is not known.
func (v *View) handlePing(from netip.AddrPort, sender *member, message *Message) {
	if message.Target != v.id {
		return // for the process that had this address before
	}
	ack := &Message{Kind: Ack, Seq: message.Seq, Attempt: message.Attempt}
	if sender != nil && (sender.State == Suspect || !sender.State.isLive()) {
		ack.Rumors = append(ack.Rumors, v.rumorAbout(sender))
	}
	v.send(from, sender, ack, pingUpdateBytes)
}

// handleAck handles an answer of the target itself, whose Target is 0, or of a member that probed the target for this
// one.
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

// handleLateAck handles an answer of the target itself after the probe has ended.
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

// probeSucceeded ends a probe with an answer.
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
		v.recheckUnreachable()
	}
}

// probeFailed ends a probe without an answer: the target is accused if others confirm that it doesn't answer.
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

// maxUnconfirmedProbes is how many probes in a row without a confirmation make a member unreachable.
const maxUnconfirmedProbes = 2

// probeUnconfirmed handles a probe that failed without any confirmation by others: this member may well be at fault.
// Without a third member that answers, a crashed target can't be confirmed and becomes Unreachable at most. It stays
// Alive if this member has received nothing for silenceMs before the second failure, see mayAccuse.
func (v *View) probeUnconfirmed(p *probe) {
	target := p.target
	if p.indirectRequests > 0 && !v.isFailureBurst() { // in a burst the members that were asked are dead as well
		v.health.degrade()
	}
	if p.startedAt < v.acksResumedAt {
		return
	}
	if v.isFailureBurst() && !target.inProbeRound { // probed again before others, through other members
		target.inProbeRound = true
		v.probeRound = append(v.probeRound, target)
	}
	target.unconfirmedProbes++
	if target.unconfirmedProbes >= maxUnconfirmedProbes && target.State == Alive {
		v.setState(target, Unreachable, target.Incarnation, causeUnconfirmed)
	}
}
