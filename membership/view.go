package membership

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// IDOf is the ID of a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

const (
	restMs        = 3_600_000.0 // a member that has left has nothing to do
	buckets       = 64
	mostKept      = 64
	mostObservers = 8
	lostLatelyMs  = 60_000.0 // a member that went away counts so long towards Summary.Part
)

// member is a Member with what the View keeps beside it.
type member struct {
	Member
	id     ID
	doubt  *suspicion // while Suspect
	at     int        // in View.live, View.lost or View.left, by state
	lostAt float64    // internal time of the last change among these
	weak   uint8      // probes in a row that failed without a word from helpers
	trying bool       // a probe of ours is out
	inTurn bool       // in View.round
}

// suspicion is an accusation that has not been decided.
type suspicion struct {
	by       []ID
	enoughAt float64 // when there were enough observers; 0 before
	checkAt  float64 // when this gateway looks itself
	looked   bool    // it did, before it decided
}

// View is one gateway's belief.
type View struct {
	cfg  Config
	rng  *rand.Rand
	id   ID
	self *member

	raw, now, wake float64 // the driver's clock, the View's own, when it asked to be called
	begun          bool
	out            []Action

	members  map[ID]*member
	zones    map[string]string
	live     []*member // Alive, Suspect and Unreachable, without this one, in no order
	lost     []*member // Dead
	left     []*member
	round    []*member // whom regular probes visit, shuffled
	suspects []*member
	counts   [Left + 1]int // by state, without this one

	digest  uint64
	parts   [buckets]uint64
	newsAt  float64 // the last change of the digest
	queue   []*news
	queued  map[ID]*news
	freshAt []float64 // when accusations and deaths came lately, for alarm

	seq       uint32
	probes    []*probe
	recent    [16]echo
	checks    []check
	probeAt   float64
	gossipAt  float64
	retryAt   float64
	retries   int // more tries of lost members, after a success
	seedAt    float64
	seedTries int
	syncAt    float64
	forgetAt  float64
	joined    bool
	joinedAt  float64

	health    int
	wellAt    float64
	loss      float64
	rtt, dev  float64
	heardAt   float64
	awakeAt   float64
	bumpedAt  float64   // the last contradiction
	toldAt    []float64 // when it was called dead although it had contradicted
	ackedAt   float64   // the last direct answer to it
	againAt   float64   // when lookAgain may be carried out
	backAt    float64   // when it was answered again after a time without answers
	strangeAt float64   // the last answer to a stranger
	standing  Status
	stats     struct{ accused, refuted, late, synced uint64 }
}

// New returns a View that knows nobody but itself. The error names the field that is wrong.
func New(cfg Config, seed uint64) (*View, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	v := &View{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, cfg.BootID)), id: IDOf(cfg.Name),
		members: map[ID]*member{}, queued: map[ID]*news{}, zones: map[string]string{},
	}
	v.self = &member{id: v.id, Member: Member{
		Name: cfg.Name, Addr: cfg.Addr, Zone: cfg.Zone, Version: cfg.Version, BootID: cfg.BootID, Incarnation: 1, State: Alive,
		Payload: bytes.Clone(cfg.Payload),
	}}
	v.members[v.id] = v.self
	v.toggle(v.self)
	return v, nil
}

// Step takes in what happened since the last call and returns what to do; ms is the driver's clock. The actions are valid
// until the next call. It has to be called at the time of Wake at the latest.
func (v *View) Step(ms float64, events []Event) []Action {
	clear(v.out)
	if v.out = v.out[:0]; cap(v.out) > mostKept { // of a moment with much news; it is not to stay
		v.out = nil
	}
	v.advance(ms)
	if v.standing == StatusLeft {
		v.wake = v.now + restMs
		return v.out
	}
	for _, e := range events {
		switch e := e.(type) {
		case Received:
			v.receive(e.From, &e.Message)
		case Leave:
			v.goodbye()
			v.wake = v.now + restMs
			return v.out
		case SetPayload:
			if len(e.Payload) <= MaxPayload && !bytes.Equal(e.Payload, v.self.Payload) {
				v.self.Payload = bytes.Clone(e.Payload)
				v.self.PayloadVersion++
				v.bump(v.self.Incarnation)
			}
		}
	}
	v.tick()
	return v.out
}

// Wake is the driver's time, ms, at which Step has to be called again if nothing happens before.
func (v *View) Wake() float64 { return v.raw + v.wake - v.now }

// tick does what is due.
func (v *View) tick() {
	v.judgeSelf()
	v.enter()
	v.runProbes()
	v.judge()
	v.startProbes()
	v.gossip()
	v.forget()
	v.wake = min(v.probeAt, v.retryAt, v.seedAt, v.now+lateMs) // often enough to notice that it is called late
	if len(v.queue) > 0 {
		v.wake = min(v.wake, v.gossipAt)
	}
	for _, p := range v.probes {
		v.wake = min(v.wake, p.next())
	}
	for _, m := range v.suspects {
		v.wake = min(v.wake, m.doubt.due(v))
	}
	v.wake = max(v.wake, v.now+1)
}

// Members is everybody known, by name, this member among them.
func (v *View) Members() []Member {
	list := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		list = append(list, m.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// State is what is believed of a name; 0 for one that is not known.
func (v *View) State(name string) State {
	if m := v.members[IDOf(name)]; m != nil {
		return m.State
	}
	return 0
}

// Summary is the View in figures.
func (v *View) Summary() Summary {
	return Summary{
		Status: v.standing, Alive: v.counts[Alive] + 1, Suspect: v.counts[Suspect], Unreachable: v.counts[Unreachable],
		Dead: v.counts[Dead], Left: v.counts[Left], Partial: v.part(), Health: v.health, Loss: v.loss, RoundTripMs: v.rtt,
		PendingRumors: len(v.queue), Accusations: v.stats.accused, Refutations: v.stats.refuted, LateAnswers: v.stats.late, Syncs: v.stats.synced,
	}
}

// part tells whether much of the fleet went away lately. Whether it died or is cut off nobody can know from here.
func (v *View) part() bool {
	if v.standing == StatusIsolated {
		return true
	}
	gone := v.counts[Unreachable]
	for _, m := range v.lost {
		if v.now-m.lostAt < lostLatelyMs {
			gone++
		}
	}
	seen := 1 + len(v.live) - v.counts[Unreachable]
	return gone > 0 && (seen == 1 || gone >= 2 && gone*5 >= gone+seen)
}

// list is where members of a state are kept.
func (v *View) list(s State) *[]*member {
	switch s {
	case Dead:
		return &v.lost
	case Left:
		return &v.left
	}
	return &v.live
}

func (v *View) takeFrom(m *member) {
	l := v.list(m.State)
	last := (*l)[len(*l)-1]
	(*l)[m.at], last.at = last, m.at
	(*l)[len(*l)-1] = nil
	*l = (*l)[:len(*l)-1]
	v.counts[m.State]--
}

func (v *View) putInto(m *member) {
	l := v.list(m.State)
	m.at = len(*l)
	*l = append(*l, m)
	v.counts[m.State]++
}

// living tells whether a state stands for a member that is to be probed and told of news.
func living(s State) bool { return s == Alive || s == Suspect || s == Unreachable }

// toggle puts a member into the digests, or takes it out again.
func (v *View) toggle(m *member) {
	h := mix(uint64(m.id)^mix(m.Incarnation)) ^ mix(m.BootID)
	v.digest ^= h
	v.parts[m.id%buckets] ^= h
	v.newsAt = v.now
}

func mix(x uint64) uint64 { // splitmix64's finish
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// set gives a member a state and an incarnation and tells of it.
func (v *View) set(m *member, s State, incarnation uint64, cause string) {
	old := m.State
	if living(old) {
		v.toggle(m)
	}
	m.Incarnation = incarnation
	if old != s {
		v.takeFrom(m)
		m.State = s
		m.Since = v.raw
		m.lostAt = v.now
		v.putInto(m)
		if old == Suspect {
			m.doubt = nil
			v.suspects = slices.DeleteFunc(v.suspects, func(o *member) bool { return o == m })
		}
		if s == Alive {
			m.weak = 0
		}
		if s == Dead || s == Suspect {
			v.freshAt = append(v.freshAt, v.now)
		}
		v.out = append(v.out, MemberChanged{Member: m.Member, Old: old, New: s, Cause: cause})
	}
	if living(s) {
		v.toggle(m)
		if !living(old) {
			v.visit(m)
		}
	}
}

// add takes in a member that was not known.
func (v *View) add(r *Record, cause string) *member {
	m := &member{id: IDOf(r.Name), Member: Member{
		Name: r.Name, Addr: r.Addr, Zone: v.intern(r.Zone), Version: r.Version, BootID: r.BootID, Incarnation: r.Incarnation,
		State: Alive, Payload: bytes.Clone(r.Payload), PayloadVersion: r.PayloadVersion, Since: v.raw,
	}}
	v.members[m.id] = m
	v.putInto(m)
	v.toggle(m)
	v.visit(m)
	v.out = append(v.out, MemberChanged{Member: m.Member, New: Alive, Cause: cause})
	return m
}

// visit puts a member somewhere into the rest of the round.
func (v *View) visit(m *member) {
	if m.inTurn {
		return
	}
	m.inTurn = true
	v.round = append(v.round, m)
	i := v.rng.IntN(len(v.round))
	last := len(v.round) - 1
	v.round[i], v.round[last] = v.round[last], v.round[i]
}

// fill takes in what a record says beyond the state.
func (v *View) fill(m *member, r *Record) {
	if living(m.State) {
		v.toggle(m)
	}
	m.Addr, m.Zone, m.Version, m.BootID = r.Addr, v.intern(r.Zone), r.Version, r.BootID
	m.Payload, m.PayloadVersion = bytes.Clone(r.Payload), r.PayloadVersion
	if living(m.State) {
		v.toggle(m)
	}
}

// forget drops those who left or died long ago.
func (v *View) forget() {
	if v.now < v.forgetAt {
		return
	}
	v.forgetAt = v.now + 1000
	for _, l := range []struct {
		list *[]*member
		ms   float64
	}{{&v.lost, v.cfg.DeadRetentionMs}, {&v.left, v.cfg.LeftRetentionMs}} {
		for i := 0; i < len(*l.list); {
			m := (*l.list)[i]
			if v.now-m.lostAt < l.ms {
				i++
				continue
			}
			v.takeFrom(m)
			delete(v.members, m.id)
			v.out = append(v.out, MemberChanged{Member: m.Member, Old: m.State, Cause: "forgotten"})
		}
	}
}

func (v *View) record(m *member) Record {
	return Record{Name: m.Name, Addr: m.Addr, Zone: m.Zone, Version: m.Version, BootID: m.BootID, Incarnation: m.Incarnation,
		State: told(m.State), Payload: m.Payload, PayloadVersion: m.PayloadVersion}
}

// told is the state that others are told of: what is only doubted, or only this member's own finding, counts as alive.
func told(s State) State {
	if living(s) {
		return Alive
	}
	return s
}

// someone is a member that is alive here, at random, that skip doesn't refuse; nil if none is found.
func (v *View) someone(skip func(*member) bool) *member {
	for range 8 {
		if len(v.live) == 0 {
			return nil
		}
		if m := v.live[v.rng.IntN(len(v.live))]; m.State != Unreachable && (skip == nil || !skip(m)) {
			return m
		}
	}
	return nil
}

// intern keeps one copy of each zone's name.
func (v *View) intern(zone string) string {
	if z, ok := v.zones[zone]; ok {
		return z
	}
	if len(v.zones) < 256 {
		v.zones[zone] = zone
	}
	return zone
}

// livesAt tells whether a member that lives is known at an address.
func (v *View) livesAt(addr netip.AddrPort) bool {
	for _, m := range v.live {
		if m.Addr == addr && m.State != Unreachable {
			return true
		}
	}
	return addr == v.cfg.Addr
}
