package faultsim

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"

	"merlinjunction/membership"
)

// SWIMBaseline is the baseline: SWIM as published, with suspicion, in the same messages. One probe each period, helpers after a
// time, one observer's word for an accusation, a fixed time from suspect to dead, and nobody who is dead is tried again.
type SWIMBaseline struct {
	cfg      membership.Config
	rng      *rand.Rand
	id       membership.ID
	boot     uint64
	inc      uint64
	now      float64
	gone     bool
	joined   bool
	out      []membership.Action
	members  map[membership.ID]*plainMember
	order    []*plainMember
	turn     int
	queue    []*plainNews
	periodAt float64
	joinAt   float64
	target   *plainMember
	seq      uint32
	helpAt   float64
	acked    bool
	relays   []relay
	relayed  uint32 // apart from its own numbers
}

type plainMember struct {
	membership.Member
	id        membership.ID
	suspectAt float64
}

type plainNews struct {
	m    *plainMember
	sent int
}

// relay is a helper's promise.
type relay struct {
	seq, theirs uint32
	to          netip.AddrPort
	target      membership.ID
}

// The baseline's times, ms: the same period as the design's, so that both send about as much, and the time to dead of
// SWIM's page 8, so many periods times the logarithm of the fleet.
const (
	plainPeriod  = 350.0
	plainHelp    = 100.0
	plainSuspect = 3.0
	plainSpread  = 4.0
)

// Baseline makes a Plain.
func Baseline(cfg membership.Config, seed uint64) (Node, error) {
	p := &SWIMBaseline{relayed: 1 << 30, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), id: membership.IDOf(cfg.Name), boot: cfg.BootID, inc: 1, members: map[membership.ID]*plainMember{}}
	p.joined = slices.Contains(cfg.Seeds, cfg.Addr)
	p.add(&membership.Record{Name: cfg.Name, Addr: cfg.Addr, Zone: cfg.Zone, Version: 2, BootID: cfg.BootID, Incarnation: 1, State: membership.Alive})
	return p, nil
}

// Wake is the time of the next call.
func (p *SWIMBaseline) Wake() float64 {
	at := min(p.periodAt, p.joinAt)
	if p.target != nil && !p.acked && p.helpAt > p.now {
		at = min(at, p.helpAt)
	}
	return max(at, p.now+1)
}

// Summary is what the emulator asks for.
func (p *SWIMBaseline) Summary() membership.Summary {
	return membership.Summary{PendingRumors: len(p.queue)}
}

// Step is as membership.View's.
func (p *SWIMBaseline) Step(ms float64, events []membership.Event) []membership.Action {
	p.out = p.out[:0]
	p.now = max(p.now, ms)
	if p.gone {
		return nil
	}
	for _, e := range events {
		switch e := e.(type) {
		case membership.Received:
			p.receive(e.From, &e.Message)
		case membership.Leave:
			me := p.members[p.id]
			me.State = membership.Left
			p.tell(me)
			for range 16 {
				if m := p.someone(nil); m != nil {
					p.send(m.Addr, &membership.Message{Kind: membership.Gossip}, true)
				}
			}
			p.gone = true
			return p.out
		}
	}
	if p.now >= p.joinAt {
		p.joinAt = p.now + 1000
		if s := p.cfg.Seeds[p.rng.IntN(len(p.cfg.Seeds))]; s != p.cfg.Addr && (!p.joined || len(p.order) < 2) {
			p.send(s, &membership.Message{Kind: membership.Join, Records: []membership.Record{p.record(p.members[p.id])}}, false)
		}
	}
	if p.target != nil && !p.acked && p.now >= p.helpAt && p.helpAt > 0 {
		p.helpAt = 0
		for range 4 {
			if h := p.someone(p.target); h != nil {
				p.send(h.Addr, &membership.Message{Kind: membership.PingRequest, Seq: p.seq, Target: p.target.id, Addr: p.target.Addr}, true)
			}
		}
	}
	if p.now >= p.periodAt {
		p.period()
	}
	return p.out
}

// period ends a protocol period and begins the next.
func (p *SWIMBaseline) period() {
	p.periodAt = p.now + plainPeriod
	if t := p.target; t != nil && !p.acked && t.State == membership.Alive {
		p.set(t, membership.Suspect, t.Incarnation, "no answer here")
	}
	limit := plainSuspect * math.Log2(float64(len(p.order)+1)) * plainPeriod
	for _, m := range p.order {
		if m.State == membership.Suspect && p.now-m.suspectAt >= limit {
			p.set(m, membership.Dead, m.Incarnation, "stayed suspect")
		}
	}
	p.target = nil
	if len(p.relays) > 64 {
		p.relays = slices.Clone(p.relays[32:])
	}
	for range p.order {
		if p.turn >= len(p.order) {
			p.turn = 0
			p.rng.Shuffle(len(p.order), func(a, b int) { p.order[a], p.order[b] = p.order[b], p.order[a] })
		}
		m := p.order[p.turn]
		p.turn++
		if m.id != p.id && (m.State == membership.Alive || m.State == membership.Suspect) {
			p.seq++
			p.target, p.acked, p.helpAt = m, false, p.now+plainHelp
			p.send(m.Addr, &membership.Message{Kind: membership.Ping, Seq: p.seq, Target: m.id}, true)
			return
		}
	}
}

func (p *SWIMBaseline) someone(not *plainMember) *plainMember {
	for range 8 {
		m := p.order[p.rng.IntN(len(p.order))]
		if m != not && m.id != p.id && (m.State == membership.Alive || m.State == membership.Suspect) {
			return m
		}
	}
	return nil
}

func (p *SWIMBaseline) record(m *plainMember) membership.Record {
	return membership.Record{Name: m.Name, Addr: m.Addr, Zone: m.Zone, Version: 2, BootID: m.BootID, Incarnation: m.Incarnation, State: m.State}
}

func (p *SWIMBaseline) tell(m *plainMember) {
	p.queue = slices.DeleteFunc(p.queue, func(n *plainNews) bool { return n.m == m })
	p.queue = slices.Insert(p.queue, 0, &plainNews{m: m})
}

func (p *SWIMBaseline) send(to netip.AddrPort, m *membership.Message, news bool) {
	m.Version, m.From, m.BootID, m.Incarnation = 2, p.id, p.boot, p.inc
	if news {
		limit := int(math.Ceil(plainSpread * math.Log10(float64(len(p.order)+2))))
		n := min(len(p.queue), 8)
		for _, q := range p.queue[:n] {
			m.Records = append(m.Records, p.record(q.m))
			q.sent++
		}
		p.queue = append(slices.Clone(p.queue[n:]), p.queue[:n]...)
		p.queue = slices.DeleteFunc(p.queue, func(q *plainNews) bool { return q.sent >= limit })
	}
	p.out = append(p.out, membership.Send{To: to, Message: *m})
}

func (p *SWIMBaseline) add(r *membership.Record) *plainMember {
	m := &plainMember{id: membership.IDOf(r.Name), Member: membership.Member{Name: r.Name, Addr: r.Addr, Zone: r.Zone, BootID: r.BootID,
		Incarnation: r.Incarnation, State: r.State}}
	p.members[m.id] = m
	p.order = append(p.order, m)
	p.tell(m)
	if m.id != p.id {
		p.out = append(p.out, membership.MemberChanged{Member: m.Member, New: m.State, Cause: "told"})
	}
	return m
}

func (p *SWIMBaseline) set(m *plainMember, s membership.State, inc uint64, cause string) {
	old := m.State
	m.State, m.Incarnation = s, inc
	if s == membership.Suspect {
		m.suspectAt = p.now
	}
	p.tell(m)
	if old != s {
		p.out = append(p.out, membership.MemberChanged{Member: m.Member, Old: old, New: s, Cause: cause})
	}
}

func (p *SWIMBaseline) receive(from netip.AddrPort, m *membership.Message) {
	if m.Kind == membership.Join {
		for i := range m.Records {
			p.learn(&m.Records[i], true)
		}
		all := &membership.Message{Kind: membership.SyncResponse}
		for _, o := range p.order {
			if all.Records = append(all.Records, p.record(o)); len(all.Records) == 10 {
				p.send(from, all, false)
				all = &membership.Message{Kind: membership.SyncResponse}
			}
		}
		p.send(from, all, false)
		return
	}
	for i := range m.Records {
		p.learn(&m.Records[i], false)
	}
	switch m.Kind {
	case membership.SyncResponse:
		p.joined = true
	case membership.Ping:
		if m.Target == p.id {
			p.send(from, &membership.Message{Kind: membership.Ack, Seq: m.Seq}, true)
		}
	case membership.PingRequest:
		if t := p.members[m.Target]; t != nil {
			p.relayed++
			p.relays = append(p.relays, relay{p.relayed, m.Seq, from, m.Target})
			p.send(t.Addr, &membership.Message{Kind: membership.Ping, Seq: p.relayed, Target: m.Target}, true)
		}
	case membership.Ack:
		if p.target != nil && m.Seq == p.seq && (m.From == p.target.id || m.Target == p.target.id) {
			p.acked = true
		}
		for _, r := range p.relays {
			if r.seq == m.Seq && r.target == m.From {
				p.send(r.to, &membership.Message{Kind: membership.Ack, Seq: r.theirs, Target: r.target}, true)
			}
		}
	}
}

func (p *SWIMBaseline) learn(r *membership.Record, joining bool) {
	m := p.members[membership.IDOf(r.Name)]
	switch {
	case m == nil:
		p.add(r)
	case m.id == p.id:
		if r.State != membership.Alive && r.Incarnation >= p.inc || r.Incarnation > p.inc {
			p.inc = r.Incarnation + 1
			m.Incarnation = p.inc
			p.tell(m)
		}
	case joining && r.BootID != m.BootID:
		m.BootID, m.Addr = r.BootID, r.Addr
		p.set(m, membership.Alive, max(m.Incarnation+1, r.Incarnation), "joined")
	case r.Incarnation > m.Incarnation || r.Incarnation == m.Incarnation && r.State > m.State:
		m.BootID, m.Addr = r.BootID, r.Addr
		p.set(m, r.State, r.Incarnation, "told")
	}
}
