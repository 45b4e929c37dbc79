package membership

import (
	"net/netip"
	"slices"
)

const (
	joinMs       = 500.0  // before the second try to join; it doubles
	longestJoin  = 5000.0 // up to this
	seedMs       = 10_000.0
	takenMs      = 3000.0
	goodbyes     = 16
	strangeEvery = 50.0
)

// start sets the first times. A member that is a seed itself, or has none, founds a fleet.
func (v *View) start() {
	v.probeAt = v.rng.Float64() * v.cfg.ProbeIntervalMs
	v.retryAt = retryMs
	v.awakeAt, v.bumpedAt = -graceMs, -1e9
	if len(v.cfg.Seeds) == 0 || slices.Contains(v.cfg.Seeds, v.cfg.Addr) {
		v.letIn()
		v.stand(StatusHealthy, "a seed")
	}
}

func (v *View) letIn() {
	v.joined, v.joinedAt, v.heardAt, v.ackedAt = true, v.now, v.now, v.now
	v.tell(v.self, true)
}

// enter asks seeds to be let in; a member of a fleet asks those that it knows nobody at, so that fleets that were founded
// or lived apart find each other.
func (v *View) enter() {
	if v.now < v.seedAt {
		return
	}
	wait := min(joinMs*float64(uint64(1)<<min(v.seedTries, 10)), longestJoin)
	v.seedTries++
	switch {
	case v.standing == StatusNameTaken:
		wait = takenMs
	case v.joined && (len(v.live) > 0 || len(v.cfg.Seeds) < 2):
		wait = seedMs
	}
	v.seedAt = v.now + wait*(0.7+0.6*v.rng.Float64())
	if len(v.cfg.Seeds) == 0 {
		return
	}
	i := v.rng.IntN(len(v.cfg.Seeds))
	for k := range v.cfg.Seeds {
		seed := v.cfg.Seeds[(i+k)%len(v.cfg.Seeds)]
		if seed != v.cfg.Addr && (!v.joined || !v.livesAt(seed)) {
			v.send(seed, nil, &Message{Kind: Join, Records: []Record{v.record(v.self)}}, 0)
			return
		}
	}
}

// onJoin lets a member in, unless another process lives under its name. A process at the same address is none: there can
// only be one.
func (v *View) onJoin(from netip.AddrPort, m *Message) {
	r := m.introduction()
	if !v.joined || r == nil || len(m.Records) != 1 {
		return
	}
	if m.From == v.id {
		v.send(from, nil, &Message{Kind: JoinRejected, Addr: v.cfg.Addr}, 0)
		return
	}
	old := v.members[m.From]
	switch {
	case old == nil:
		old = v.takeIn(nil, r, "joined")
	case old.BootID == r.BootID:
		if r.Incarnation > old.Incarnation {
			v.revive(old, r.Incarnation, "joined again")
		}
	case old.Addr != r.Addr && (old.State == Alive || old.State == Suspect):
		v.look(old, nil)
		v.send(from, nil, &Message{Kind: JoinRejected, Addr: old.Addr}, 0)
		return
	default:
		v.takeIn(old, r, "")
	}
	w := &Message{Kind: JoinAccepted, Rumors: []Rumor{v.rumor(old)}, Records: []Record{v.record(v.self)}}
	room := allNews - w.Records[0].Size() - w.Rumors[0].Size()
	var chosen []*member
	for range 16 {
		o := v.someone(func(o *member) bool { return o == old || slices.Contains(chosen, o) })
		if o == nil {
			break
		}
		r := v.record(o)
		if room -= r.Size(); room < 0 {
			break
		}
		chosen = append(chosen, o)
		w.Records = append(w.Records, r)
	}
	v.send(from, old, w, 0)
}

// introduction is the sender's own record, where the message begins with it; else nil.
func (m *Message) introduction() *Record {
	if len(m.Records) == 0 || IDOf(m.Records[0].Name) != m.From || m.Records[0].BootID != m.BootID {
		return nil
	}
	return &m.Records[0]
}

// takeIn takes in a process that introduces itself: a member that was not known (old is nil), or one at the address of an
// earlier process or in place of one that is gone.
func (v *View) takeIn(old *member, r *Record, cause string) *member {
	if old == nil {
		old = v.add(r, cause)
	} else {
		v.fill(old, r)
		v.set(old, Alive, max(r.Incarnation, old.Incarnation+1), "started anew")
	}
	v.tell(old, true)
	return old
}

func (v *View) onWelcome(from netip.AddrPort, m *Message) {
	if m.From == v.id {
		return
	}
	first := !v.joined
	if first {
		v.letIn()
		v.seedTries = 0
		v.judgeSelf()
		if v.standing == StatusNameTaken {
			v.stand(StatusHealthy, "let in")
		}
	}
	for i := range m.Records {
		v.learn(&m.Records[i], false)
	}
	for i := range m.Rumors {
		if m.Rumors[i].Subject == v.id {
			v.aboutMe(&m.Rumors[i])
		}
	}
	if !first && m.Digest == v.digest {
		return
	}
	to, at := v.members[m.From], from
	if o := v.someone(nil); first && o != nil { // not all who join ask the seed
		to, at = o, o.Addr
	}
	v.sync(at, to)
}

// onRefused keeps out a process whose name another one has.
func (v *View) onRefused(m *Message) {
	if v.joined && !(m.From == v.id && m.BootID < v.cfg.BootID) {
		return
	}
	v.yield(m.Addr)
}

// yield leaves the name to another process, without a word about it to the others.
func (v *View) yield(to netip.AddrPort) {
	v.joined = false
	v.seedAt = v.now + takenMs
	for _, p := range v.probes {
		p.target.trying = false
	}
	v.probes = nil
	v.stand(StatusNameTaken, "another process under this name lives at "+to.String())
}

// namesake is a message of another process under this member's name. Both were let in by parts of the fleet that were
// apart; the one with the lower boot number stays.
func (v *View) namesake(from netip.AddrPort, m *Message) {
	if m.BootID < v.cfg.BootID {
		v.yield(from)
		return
	}
	v.bump(m.Incarnation)
	v.send(from, nil, &Message{Kind: JoinRejected, Addr: v.cfg.Addr}, 0)
}

// recordOfMe takes in what is said of this member's name.
func (v *View) recordOfMe(r *Record) {
	switch {
	case r.BootID == v.cfg.BootID || r.Addr == v.cfg.Addr:
		v.aboutMe(&Rumor{Subject: v.id, BootTag: uint32(r.BootID), Incarnation: r.Incarnation, State: r.State})
	case r.State != Alive || r.Incarnation < v.self.Incarnation:
		if r.State != Alive {
			v.aboutMe(&Rumor{Subject: v.id, BootTag: uint32(r.BootID), Incarnation: r.Incarnation, State: r.State})
		}
	case r.BootID < v.cfg.BootID:
		v.yield(r.Addr)
	default:
		v.bump(r.Incarnation)
		v.send(r.Addr, nil, &Message{Kind: JoinRejected, Addr: v.cfg.Addr}, 0)
	}
}

// stranger answers a process that is not known, or whose name is known of an earlier process: it tells it what is known
// of its name, and asks for what it knows.
func (v *View) stranger(from netip.AddrPort, old *member, m *Message) {
	for i := range m.Rumors {
		if m.Rumors[i].Subject == v.id {
			v.aboutMe(&m.Rumors[i])
		}
	}
	for i := range m.Records {
		if IDOf(m.Records[i].Name) == v.id {
			v.recordOfMe(&m.Records[i])
		}
	}
	if !v.joined {
		return
	}
	if old != nil && old.Addr != from && (old.State == Alive || old.State == Suspect) {
		if v.now >= v.strangeAt+strangeEvery { // it has the name of another that lives: the two settle it
			v.strangeAt = v.now
			c := v.comparison()
			c.Records = append(c.Records, v.record(old))
			v.send(from, nil, c, 0)
		}
		return
	}
	if m.Kind == SyncRequest && m.introduction() != nil {
		v.acquaint(from, old, m)
		return
	}
	switch m.Kind { // it may well know this member, even if this member has yet to hear of it
	case Ping:
		v.onPing(from, nil, m)
	case PingRequest:
		v.onAsk(from, nil, m)
	}
	if m.Kind != Ping && m.Kind != Ack && m.Kind != SyncRequest || v.now < v.strangeAt+strangeEvery {
		return
	}
	v.strangeAt = v.now
	c := v.comparison()
	if old != nil {
		c.Rumors = append(c.Rumors, Rumor{Subject: old.id, BootTag: uint32(old.BootID), Incarnation: old.Incarnation, State: told(old.State)})
	}
	v.send(from, nil, c, 0)
}

// acquaint takes in a process that introduces itself by asking for what is known here.
func (v *View) acquaint(from netip.AddrPort, s *member, m *Message) {
	s = v.takeIn(s, m.introduction(), "asked")
	v.onCompare(from, s, m)
	if m.Digest != v.digest {
		v.sync(from, s)
	}
}

// goodbye tells many that this member leaves; they tell the others.
func (v *View) goodbye() {
	v.self.State = Left
	if v.joined {
		var told []*member
		for range goodbyes {
			m := v.someone(func(m *member) bool { return slices.Contains(told, m) })
			if m == nil {
				continue
			}
			told = append(told, m)
			v.send(m.Addr, m, &Message{Kind: Gossip, Rumors: []Rumor{{Subject: v.id, BootTag: uint32(v.cfg.BootID), Incarnation: v.self.Incarnation, State: Left}}}, 0)
		}
	}
	v.stand(StatusLeft, "told to leave")
}
