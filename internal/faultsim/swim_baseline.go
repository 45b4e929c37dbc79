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
	cfg           membership.Config
	rng           *rand.Rand
	id            membership.ID
	boot          uint64
	incarnation   uint64
	now           float64
	left          bool
	joined        bool
	out           []membership.Action
	members       map[membership.ID]*swimMember
	order         []*swimMember
	nextProbe     int
	queue         []*swimRumor
	periodAt      float64
	joinAt        float64
	target        *swimMember
	seq           uint32
	indirectAt    float64
	acked         bool
	pendingRelays []pendingRelay
	relaySequence uint32 // apart from its own numbers
}

type swimMember struct {
	membership.Member
	id        membership.ID
	suspectAt float64
}

type swimRumor struct {
	member *swimMember
	sent   int
}

// pendingRelay is a helper's promise.
type pendingRelay struct {
	seq, requesterSequence uint32
	to                     netip.AddrPort
	target                 membership.ID
}

// The baseline's times, ms: the same period as the design's, so that both send about as much, and the time to dead of
// SWIM's page 8, so many periods times the logarithm of the fleet.
const (
	swimPeriodMs        = 350.0
	swimIndirectDelayMs = 100.0
	swimSuspicionFactor = 3.0
	swimGossipFactor    = 4.0
)

// Baseline makes a Plain.
func Baseline(cfg membership.Config, seed uint64) (Node, error) {
	p := &SWIMBaseline{relaySequence: 1 << 30, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), id: membership.IDOf(cfg.Name), boot: cfg.BootID, incarnation: 1, members: map[membership.ID]*swimMember{}}
	p.joined = slices.Contains(cfg.Seeds, cfg.Addr)
	p.add(&membership.Record{Name: cfg.Name, Addr: cfg.Addr, Zone: cfg.Zone, Version: 2, BootID: cfg.BootID, Incarnation: 1, State: membership.Alive})
	return p, nil
}

// Wake is the time of the next call.
func (p *SWIMBaseline) Wake() float64 {
	at := min(p.periodAt, p.joinAt)
	if p.target != nil && !p.acked && p.indirectAt > p.now {
		at = min(at, p.indirectAt)
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
	if p.left {
		return nil
	}
	for _, e := range events {
		switch e := e.(type) {
		case membership.Received:
			p.receive(e.From, &e.Message)
		case membership.Leave:
			me := p.members[p.id]
			me.State = membership.Left
			p.enqueueRumor(me)
			for range 16 {
				if m := p.randomMember(nil); m != nil {
					p.send(m.Addr, &membership.Message{Kind: membership.Gossip}, true)
				}
			}
			p.left = true
			return p.out
		}
	}
	if p.now >= p.joinAt {
		p.joinAt = p.now + 1000
		if s := p.cfg.Seeds[p.rng.IntN(len(p.cfg.Seeds))]; s != p.cfg.Addr && (!p.joined || len(p.order) < 2) {
			p.send(s, &membership.Message{Kind: membership.Join, Records: []membership.Record{p.record(p.members[p.id])}}, false)
		}
	}
	if p.target != nil && !p.acked && p.now >= p.indirectAt && p.indirectAt > 0 {
		p.indirectAt = 0
		for range 4 {
			if h := p.randomMember(p.target); h != nil {
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
	p.periodAt = p.now + swimPeriodMs
	if t := p.target; t != nil && !p.acked && t.State == membership.Alive {
		p.set(t, membership.Suspect, t.Incarnation, "no answer here")
	}
	limit := swimSuspicionFactor * math.Log2(float64(len(p.order)+1)) * swimPeriodMs
	for _, m := range p.order {
		if m.State == membership.Suspect && p.now-m.suspectAt >= limit {
			p.set(m, membership.Dead, m.Incarnation, "stayed suspect")
		}
	}
	p.target = nil
	if len(p.pendingRelays) > 64 {
		p.pendingRelays = slices.Clone(p.pendingRelays[32:])
	}
	for range p.order {
		if p.nextProbe >= len(p.order) {
			p.nextProbe = 0
			p.rng.Shuffle(len(p.order), func(a, b int) { p.order[a], p.order[b] = p.order[b], p.order[a] })
		}
		m := p.order[p.nextProbe]
		p.nextProbe++
		if m.id != p.id && (m.State == membership.Alive || m.State == membership.Suspect) {
			p.seq++
			p.target, p.acked, p.indirectAt = m, false, p.now+swimIndirectDelayMs
			p.send(m.Addr, &membership.Message{Kind: membership.Ping, Seq: p.seq, Target: m.id}, true)
			return
		}
	}
}

func (p *SWIMBaseline) randomMember(not *swimMember) *swimMember {
	for range 8 {
		m := p.order[p.rng.IntN(len(p.order))]
		if m != not && m.id != p.id && (m.State == membership.Alive || m.State == membership.Suspect) {
			return m
		}
	}
	return nil
}

func (p *SWIMBaseline) record(m *swimMember) membership.Record {
	return membership.Record{Name: m.Name, Addr: m.Addr, Zone: m.Zone, Version: 2, BootID: m.BootID, Incarnation: m.Incarnation, State: m.State}
}

func (p *SWIMBaseline) enqueueRumor(m *swimMember) {
	p.queue = slices.DeleteFunc(p.queue, func(n *swimRumor) bool { return n.member == m })
	p.queue = slices.Insert(p.queue, 0, &swimRumor{member: m})
}

func (p *SWIMBaseline) send(to netip.AddrPort, m *membership.Message, news bool) {
	m.Version, m.From, m.BootID, m.Incarnation = 2, p.id, p.boot, p.incarnation
	if news {
		limit := int(math.Ceil(swimGossipFactor * math.Log10(float64(len(p.order)+2))))
		n := min(len(p.queue), 8)
		for _, q := range p.queue[:n] {
			m.Records = append(m.Records, p.record(q.member))
			q.sent++
		}
		p.queue = append(slices.Clone(p.queue[n:]), p.queue[:n]...)
		p.queue = slices.DeleteFunc(p.queue, func(q *swimRumor) bool { return q.sent >= limit })
	}
	p.out = append(p.out, membership.Send{To: to, Message: *m})
}

func (p *SWIMBaseline) add(r *membership.Record) {
	m := &swimMember{id: membership.IDOf(r.Name), Member: membership.Member{Name: r.Name, Addr: r.Addr, Zone: r.Zone, BootID: r.BootID,
		Incarnation: r.Incarnation, State: r.State}}
	p.members[m.id] = m
	p.order = append(p.order, m)
	p.enqueueRumor(m)
	if m.id != p.id {
		p.out = append(p.out, membership.MemberChanged{Member: m.Member, New: m.State, Cause: "told"})
	}
}

func (p *SWIMBaseline) set(m *swimMember, s membership.State, inc uint64, cause string) {
	old := m.State
	m.State, m.Incarnation = s, inc
	if s == membership.Suspect {
		m.suspectAt = p.now
	}
	p.enqueueRumor(m)
	if old != s {
		p.out = append(p.out, membership.MemberChanged{Member: m.Member, Old: old, New: s, Cause: cause})
	}
}

func (p *SWIMBaseline) receive(from netip.AddrPort, m *membership.Message) {
	if m.Kind == membership.Join {
		for i := range m.Records {
			p.merge(&m.Records[i], true)
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
		p.merge(&m.Records[i], false)
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
			p.relaySequence++
			p.pendingRelays = append(p.pendingRelays, pendingRelay{p.relaySequence, m.Seq, from, m.Target})
			p.send(t.Addr, &membership.Message{Kind: membership.Ping, Seq: p.relaySequence, Target: m.Target}, true)
		}
	case membership.Ack:
		if p.target != nil && m.Seq == p.seq && (m.From == p.target.id || m.Target == p.target.id) {
			p.acked = true
		}
		for _, r := range p.pendingRelays {
			if r.seq == m.Seq && r.target == m.From {
				p.send(r.to, &membership.Message{Kind: membership.Ack, Seq: r.requesterSequence, Target: r.target}, true)
			}
		}
	}
}

func (p *SWIMBaseline) merge(r *membership.Record, joining bool) {
	m := p.members[membership.IDOf(r.Name)]
	switch {
	case m == nil:
		p.add(r)
	case m.id == p.id:
		if r.State != membership.Alive && r.Incarnation >= p.incarnation || r.Incarnation > p.incarnation {
			p.incarnation = r.Incarnation + 1
			m.Incarnation = p.incarnation
			p.enqueueRumor(m)
		}
	case joining && r.BootID != m.BootID:
		m.BootID, m.Addr = r.BootID, r.Addr
		p.set(m, membership.Alive, max(m.Incarnation+1, r.Incarnation), "joined")
	case r.Incarnation > m.Incarnation || r.Incarnation == m.Incarnation && r.State > m.State:
		m.BootID, m.Addr = r.BootID, r.Addr
		p.set(m, r.State, r.Incarnation, "told")
	}
}
