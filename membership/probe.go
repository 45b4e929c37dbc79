package membership

import (
	"math"
	"net/netip"
	"slices"
)

const (
	lateMs         = 100.0 // a call that comes so much later than asked for is late: the process did not run meanwhile
	graceMs        = 1000.0
	hearMs         = 1000.0 // whoever has heard nobody for so long accuses nobody
	wellMs         = 1000.0 // an answer makes a member trust itself more, once in this time
	refuteTries    = 4.0    // tries that a contradiction has time for at least
	longestTryMs   = 800.0
	leastTries     = 2
	mostTries      = 6
	missedShare    = 0.002 // of probes of a live member that may fail for want of tries
	lossWeight     = 0.05
	lossy          = 0.02 // a share lost at which a member looks itself before it calls another dead
	weakTurns      = 2    // probes that failed without a word from helpers make a member unreachable
	mostProbes     = 16   // regular ones at a time
	mostChecks     = 8
	mostAsked      = 64
	mostRetries    = 32
	alarmMs        = 2000.0 // so many accusations and deaths in this time are an alarm: probes come as fast as tries
	alarmCount     = 3
	alarmShare     = 10 // in fleets of fewer than alarmCount times as many, so many to one accusation
	againMs        = 500.0
	checkMs        = 1000.0 // an accusation that stays undecided so long is looked into by everybody
	mostHealth     = 8
	backHealth     = 2 // after a time without answers: what went wrong was not its own slowness
	retryMs        = 1000.0
	retryLaterMs   = 5000.0
	retryTickMs    = 50.0
	retriesAtATime = 4
)

type purpose uint8

const (
	regular  purpose = iota
	helping          // for another member, which asked
	checking         // a hint or an accusation is looked into
	retrying         // a dead member may be back
)

// probe is a Ping that has not been answered yet.
type probe struct {
	purpose purpose
	target  *member
	tell    *Rumor // what the target has to hear of itself
	seq     uint32
	start   float64
	unit    float64 // between tries
	tries   int
	sent    int
	asked   int // helpers
	by      []ID
	replyTo netip.AddrPort // helping: whom, and under which number
	asker   *member
	theirs  uint32
}

// check is a hint that a member may be dead, still to be looked into.
type check struct {
	m    *member
	tell *Rumor
}

// echo remembers a probe that is over, for late answers.
type echo struct {
	seq   uint32
	m     *member
	start float64
	unit  float64
}

// advance takes in the driver's clock. Time that nobody was there to observe does not count.
func (v *View) advance(ms float64) {
	if !v.begun {
		v.begun, v.raw = true, ms
		v.self.Since = ms
		v.start()
		return
	}
	d := ms - v.raw
	v.raw = ms
	if d <= 0 {
		return
	}
	if late := d - (v.wake - v.now); late > lateMs {
		d = max(0, v.wake-v.now)
		v.stats.late++
		v.health, v.wellAt = min(mostHealth, v.health+1+int(min(late/1000, 2))), v.now+d+wellMs
		for _, p := range v.probes {
			p.target.trying = false
		}
		v.probes = v.probes[:0]
		v.now += d
		v.awakeAt, v.heardAt, v.ackedAt = v.now, v.now, v.now
		return
	}
	v.now += d
}

// scale stretches times for a member that has reason to doubt itself.
func (v *View) scale() float64 { return 1 + float64(v.health)/2 }

// unitMs is the time between two tries of a probe: the longest usual round trip.
func (v *View) unitMs() float64 {
	return min(max(v.cfg.ProbeRetryMs, v.rtt+4*v.dev), longestTryMs) * v.scale()
}

// needed is how many tries find a live member all but surely at the present loss.
func (v *View) needed() int {
	if v.loss <= 0.01 {
		return leastTries
	}
	return min(max(leastTries, int(math.Ceil(math.Log(missedShare)/math.Log(v.loss)))), mostTries)
}

// mayAccuse tells whether this member has reason to believe its own observations.
func (v *View) mayAccuse() bool {
	return v.joined && v.now-v.awakeAt >= graceMs && v.now-v.heardAt < hearMs && v.standing != StatusIsolated && v.standing != StatusDisputed
}

// quorum is how many observers make a member dead.
func (v *View) quorum() int { return min(v.cfg.DeathQuorum, v.counts[Alive]+1) }

// alarm tells whether so much has gone wrong lately that time matters more than bytes.
func (v *View) alarm() bool {
	for len(v.freshAt) > 0 && v.now-v.freshAt[0] > alarmMs {
		v.freshAt = v.freshAt[1:]
	}
	return len(v.freshAt) >= min(max(1, (len(v.live)+1)/alarmShare), alarmCount)
}

// startProbes begins what is due: a regular probe, checks, and tries of lost members.
func (v *View) startProbes() {
	if !v.joined {
		v.probeAt, v.retryAt = v.now+v.cfg.ProbeIntervalMs, v.now+retryMs
		return
	}
	if v.now >= v.probeAt {
		period := v.cfg.ProbeIntervalMs
		if v.alarm() {
			period = v.cfg.ProbeRetryMs
		}
		v.probeAt = v.now + period*v.scale()*(0.9+0.2*v.rng.Float64())
		if v.running(regular) < mostProbes {
			if m := v.nextInRound(); m != nil {
				v.probe(&probe{purpose: regular, target: m})
			}
		}
	}
	for len(v.checks) > 0 && v.running(checking) < mostChecks {
		c := v.checks[0]
		v.checks = v.checks[1:]
		if !c.m.trying && living(c.m.State) {
			v.probe(&probe{purpose: checking, target: c.m, tell: c.tell})
		}
	}
	if v.now < v.retryAt {
		return
	}
	n := 1
	if v.retries > 0 {
		n = min(v.retries, retriesAtATime)
		v.retries -= n
	}
	for range min(n, len(v.lost)) {
		if m := v.lost[v.rng.IntN(len(v.lost))]; !m.trying {
			v.probe(&probe{purpose: retrying, target: m})
		}
	}
	if v.counts[Unreachable] > 0 {
		left := retriesAtATime
		for i, at := 0, v.rng.IntN(len(v.live)); i < len(v.live) && left > 0; i++ {
			if m := v.live[(at+i)%len(v.live)]; m.State == Unreachable {
				v.look(m, nil)
				left--
			}
		}
	}
	switch {
	case v.retries > 0:
		v.retryAt = v.now + retryTickMs
	case v.counts[Unreachable] > 0 || len(v.lost) > 0 && v.now-v.lost[len(v.lost)-1].lostAt < lostLatelyMs:
		v.retryAt = v.now + retryMs*(0.5+v.rng.Float64())
	default:
		v.retryAt = v.now + retryLaterMs*(0.5+v.rng.Float64())
	}
}

func (v *View) running(what purpose) int {
	n := 0
	for _, p := range v.probes {
		if p.purpose == what {
			n++
		}
	}
	return n
}

// nextInRound is whom the next regular probe visits: each member once before any twice, in an order of its own.
func (v *View) nextInRound() *member {
	for range 2 {
		for len(v.round) > 0 {
			m := v.round[len(v.round)-1]
			v.round = v.round[:len(v.round)-1]
			m.inTurn = false
			if living(m.State) && !m.trying && v.members[m.id] == m {
				return m
			}
		}
		for _, m := range v.live {
			v.visit(m)
		}
	}
	return nil
}

func (v *View) probe(p *probe) {
	v.seq++
	p.seq, p.start, p.unit, p.tries = v.seq, v.now, v.unitMs(), v.needed()
	if p.purpose == retrying {
		p.tries = 1
	}
	p.target.trying = true
	v.probes = append(v.probes, p)
	v.try(p)
}

func (v *View) try(p *probe) {
	m := &Message{Kind: Ping, Seq: p.seq, Attempt: uint8(p.sent), Target: p.target.id}
	p.sent++
	switch {
	case p.target.State != Alive && p.target.State != Unreachable:
		m.Rumors = append(m.Rumors, v.rumor(p.target))
	case p.tell != nil && p.tell.Incarnation >= p.target.Incarnation:
		m.Rumors = append(m.Rumors, *p.tell)
	}
	v.send(p.target.Addr, p.target, m, smallNews)
}

// ends is when a probe has failed.
func (p *probe) ends() float64 {
	n := float64(p.tries)
	if p.asked > 0 {
		n *= 2 // the helpers' tries, which begin with the last of these
	}
	return p.start + n*p.unit
}

// next is when something is to be done for a probe.
func (p *probe) next() float64 {
	if p.sent < p.tries {
		return min(p.ends(), p.start+float64(p.sent)*p.unit)
	}
	return p.ends()
}

// runProbes tries again, asks helpers and judges what stays unanswered.
func (v *View) runProbes() {
	var over []*probe
	for _, p := range v.probes {
		for p.sent < p.tries && v.now >= p.start+float64(p.sent)*p.unit {
			v.try(p)
			if p.sent == p.tries && (p.purpose == regular || p.purpose == checking) {
				v.ask(p)
			}
		}
		if v.now >= p.ends() {
			over = append(over, p)
		}
	}
	for _, p := range over {
		v.end(p)
		v.failed(p)
	}
}

// ask has other members probe the target.
func (v *View) ask(p *probe) {
	var chosen []*member
	n := v.cfg.IndirectProbes
	if p.target.weak > 0 || v.alarm() { // helpers may be dead too
		n = mostObservers
	}
	for range n {
		h := v.someone(func(m *member) bool { return m == p.target || m.State != Alive || slices.Contains(chosen, m) })
		if h == nil {
			continue
		}
		chosen = append(chosen, h)
		p.asked++
		v.send(h.Addr, h, &Message{Kind: PingRequest, Seq: p.seq, Target: p.target.id, Addr: p.target.Addr}, 0)
	}
}

func (v *View) end(p *probe) {
	p.target.trying = false
	v.probes = slices.DeleteFunc(v.probes, func(o *probe) bool { return o == p })
	v.recent[p.seq%uint32(len(v.recent))] = echo{p.seq, p.target, p.start, p.unit}
}

// failed is the end of a probe without an answer.
func (v *View) failed(p *probe) {
	m := p.target
	switch p.purpose {
	case helping:
		v.send(p.replyTo, p.asker, &Message{Kind: Nack, Seq: p.theirs, Target: m.id}, 0)
		return
	case retrying:
		return
	}
	if !living(m.State) || !v.mayAccuse() {
		return
	}
	if len(p.by) == 0 { // it may well be this member that is at fault
		if p.asked > 0 && !v.alarm() { // in a mass crash the helpers are dead too
			v.worse()
		}
		if p.start < v.backAt {
			return
		}
		if v.alarm() && !m.inTurn { // again, before others, with other helpers
			m.inTurn = true
			v.round = append(v.round, m)
		}
		if m.weak++; m.weak >= weakTurns && m.State == Alive {
			v.set(m, Unreachable, m.Incarnation, "no answer here, and nobody has confirmed it")
		}
		return
	}
	v.stats.accused++
	v.doubt(m, append(p.by, v.id), "no answer here")
}

// answered is the end of a probe with an answer.
func (v *View) answered(p *probe) {
	v.end(p)
	m := p.target
	m.weak = 0
	switch p.purpose {
	case helping:
		ack := &Message{Kind: Ack, Seq: p.theirs, Target: m.id, Rumors: []Rumor{{Subject: m.id, BootTag: uint32(m.BootID), Incarnation: m.Incarnation, State: Alive}}}
		v.send(p.replyTo, p.asker, ack, 0)
	case retrying:
		v.retries = min(mostRetries, v.retries+4)
		v.retryAt = min(v.retryAt, v.now+retryTickMs)
	case regular:
		if v.now >= v.wellAt {
			v.health, v.wellAt = max(0, v.health-1), v.now+wellMs
		}
	}
	if m.State == Unreachable {
		v.set(m, Alive, m.Incarnation, "answers again")
		v.lookAgain()
	}
}

// lookAgain looks into all that could not be reached: what kept this member from them may be over.
func (v *View) lookAgain() {
	if v.counts[Unreachable] == 0 || v.now < v.againAt {
		return
	}
	v.againAt = v.now + againMs
	for _, m := range v.live {
		if m.State == Unreachable {
			v.look(m, nil)
		}
	}
}

func (v *View) worse() { v.health = min(mostHealth, v.health+1) }

// measure learns from a direct answer how long round trips take and how much gets lost.
func (v *View) measure(start, unit float64, try uint8, count bool) {
	took := v.now - start - float64(try)*unit
	if took < 0 {
		return
	}
	if v.rtt == 0 {
		v.rtt, v.dev = took, took/2
	} else {
		v.dev += (math.Abs(took-v.rtt) - v.dev) / 8
		v.rtt += (took - v.rtt) / 8
	}
	if count {
		lost := 0.0
		if try > 0 {
			lost = 1
		}
		v.loss += lossWeight * (lost - v.loss)
	}
}

// doubt takes in an accusation.
func (v *View) doubt(m *member, by []ID, cause string) {
	news := false
	if m.State != Suspect {
		v.set(m, Suspect, m.Incarnation, cause)
		m.doubt = &suspicion{checkAt: v.now + checkMs*(1+v.rng.Float64())}
		v.suspects = append(v.suspects, m)
		news = true
	}
	s := m.doubt
	for _, id := range by {
		o := v.members[id]
		if o == nil || id == m.id || o.State == Dead || o.State == Left || slices.Contains(s.by, id) || len(s.by) >= mostObservers {
			continue
		}
		s.by = append(s.by, id)
		news = news || len(s.by) <= v.cfg.DeathQuorum
	}
	if news {
		v.tell(m, false)
	}
}

// due is when an accusation has to be looked at.
func (s *suspicion) due(v *View) float64 {
	if s.enoughAt > 0 {
		return s.enoughAt + max(v.cfg.SuspicionTimeoutMs*v.scale(), refuteTries*v.unitMs())
	}
	return s.checkAt
}

// judge decides accusations: enough observers and no contradiction make a member dead.
func (v *View) judge() {
	for i := 0; i < len(v.suspects); i++ {
		m := v.suspects[i]
		s := m.doubt
		if s.enoughAt == 0 && len(s.by) >= v.quorum() {
			s.enoughAt = v.now
		}
		if v.now < s.due(v) {
			continue
		}
		switch {
		case s.enoughAt == 0:
			s.checkAt = v.now + checkMs*(1+v.rng.Float64())
			v.look(m, nil)
		case v.now-v.heardAt >= hearMs || v.now-v.awakeAt < graceMs: // it would hear no contradiction
			s.enoughAt = v.now
		case v.loss > lossy && !s.looked && !slices.Contains(s.by, v.id): // a contradiction may have been lost on its way here
			s.looked, s.enoughAt = true, v.now
			v.look(m, nil)
		default:
			v.set(m, Dead, m.Incarnation, "no answer to "+number(len(s.by))+" observers")
			v.tell(m, false)
			i--
		}
	}
}

func number(n int) string {
	return [...]string{"no", "one", "two", "three", "four", "five", "six", "seven", "eight"}[n]
}

// look looks into a hint.
func (v *View) look(m *member, tell *Rumor) {
	if !slices.ContainsFunc(v.checks, func(c check) bool { return c.m == m }) {
		v.checks = append(v.checks, check{m, tell})
	}
}

// judgeSelf finds out what this member has to think of itself.
func (v *View) judgeSelf() {
	for len(v.toldAt) > 0 && v.now-v.toldAt[0] > 3000 {
		v.toldAt = v.toldAt[1:]
	}
	others := len(v.live) + len(v.lost)
	s, cause := StatusHealthy, "answers come in time"
	switch {
	case v.standing == StatusLeft || v.standing == StatusNameTaken && !v.joined:
		return
	case !v.joined:
		s, cause = StatusJoining, "nobody has let it in"
	case others > 0 && v.now-v.heardAt > 1.5*hearMs:
		s, cause = StatusIsolated, "nobody is heard"
	case len(v.toldAt) >= 3 && v.now-v.ackedAt > 1.5*hearMs:
		s, cause = StatusDisputed, "others call it dead, whatever it answers"
	case v.health >= 3 || v.standing == StatusSlow && v.health > 0:
		s, cause = StatusSlow, "answers or processor time come late"
	}
	v.stand(s, cause)
}

func (v *View) stand(s Status, cause string) {
	if v.standing != s {
		v.standing = s
		v.out = append(v.out, StatusChanged{s, cause})
	}
}
