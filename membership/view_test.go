package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
)

// small is a handful of Views on one clock, with links that a test may cut.
type small struct {
	t     *testing.T
	now   float64
	views []*View
	cut   func(from, to int, m *Message) bool
	seen  []string // changes, as "viewer member state cause"
	self  []string
	skew  []float64
	still []bool
	inbox [][]Event
	boots uint64
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7946)
}

func newSmall(t *testing.T, n int) *small {
	s := &small{t: t, now: 1000, skew: make([]float64, n), still: make([]bool, n), inbox: make([][]Event, n), views: make([]*View, n)}
	for i := range n {
		s.start(i, Config{})
	}
	s.run(3000)
	for i, v := range s.views {
		if got := v.Summary(); got.Alive != n || got.Status != StatusHealthy {
			t.Fatalf("g%d sees %+v after the start", i, got)
		}
	}
	s.seen, s.self = nil, nil
	return s
}

func (s *small) start(i int, c Config) {
	s.boots++
	c.Name, c.Addr, c.BootID = fmt.Sprintf("g%d", i), addrOf(i), c.BootID+s.boots
	if c.Seeds == nil {
		c.Seeds = []netip.AddrPort{addrOf(0)}
	}
	v, err := New(c, uint64(i+1))
	if err != nil {
		s.t.Fatal(err)
	}
	s.views[i] = v
}

// run plays so many milliseconds in steps of five; messages take one step.
func (s *small) run(ms float64) {
	for end := s.now + ms; s.now < end; s.now += 5 {
		for i, v := range s.views {
			if v == nil || s.still[i] || len(s.inbox[i]) == 0 && v.begun && v.Wake() > s.now+s.skew[i] {
				continue
			}
			events := s.inbox[i]
			s.inbox[i] = nil
			s.step(i, events...)
		}
	}
}

func (s *small) step(i int, events ...Event) {
	for _, a := range s.views[i].Step(s.now+s.skew[i], events) {
		switch a := a.(type) {
		case Send:
			to := int(a.To.Addr().As4()[3])
			if a.To.Port() == 7946 && to < len(s.views) && s.views[to] != nil && (s.cut == nil || !s.cut(i, to, &a.Message)) {
				s.inbox[to] = append(s.inbox[to], Received{addrOf(i), a.Message})
			}
		case MemberChanged:
			s.seen = append(s.seen, fmt.Sprintf("g%d %s %s %s", i, a.Member.Name, a.New, a.Cause))
		case StatusChanged:
			s.self = append(s.self, fmt.Sprintf("g%d %s", i, a.Status))
		}
	}
}

func (s *small) changes(part string) (n int) {
	for _, c := range s.seen {
		if strings.Contains(c, part) {
			n++
		}
	}
	return n
}

func (s *small) wantStates(want State, of string, viewers ...int) {
	s.t.Helper()
	for _, i := range viewers {
		if got := s.views[i].State(of); got != want {
			s.t.Errorf("g%d holds %s to be %v, want %v", i, of, got, want)
		}
	}
}

func TestConfigNamesTheField(t *testing.T) {
	good := Config{Name: "a", Addr: addrOf(1), BootID: 1}
	for field, change := range map[string]func(*Config){
		"name":    func(c *Config) { c.Name = strings.Repeat("x", MaxName+1) },
		"address": func(c *Config) { c.Addr = netip.AddrPort{} },
		"zone":    func(c *Config) { c.Zone = strings.Repeat("z", MaxZone+1) },
		"payload": func(c *Config) { c.Payload = make([]byte, MaxPayload+1) },
		"boot":    func(c *Config) { c.BootID = 0 },
		"version": func(c *Config) { c.Version = Version + 1 },
		"tuning":  func(c *Config) { c.ProbeIntervalMs = -1 },
	} {
		c := good
		change(&c)
		if _, err := New(c, 1); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// A crash is found out, by as many observers as there can be, and told to all.
func TestCrash(t *testing.T) {
	s := newSmall(t, 6)
	s.views[3] = nil
	s.run(3000)
	s.wantStates(Dead, "g3", 0, 1, 2, 4, 5)
	if n := s.changes("dead no answer to"); n == 0 || s.changes("dead no answer to one") > 0 {
		t.Errorf("deaths: %v", s.seen)
	}
}

// One member's word kills nobody.
func TestOneObserverIsNotEnough(t *testing.T) {
	s := newSmall(t, 6)
	s.step(2, Received{addrOf(1), Message{Kind: Gossip, From: IDOf("g1"), BootID: s.views[1].cfg.BootID, Incarnation: 1,
		Rumors: []Rumor{{Subject: IDOf("g4"), BootTag: uint32(s.views[4].cfg.BootID), Incarnation: 1, State: Suspect, Accusers: []ID{IDOf("g1")}}}}})
	s.wantStates(Suspect, "g4", 2)
	s.run(2000)
	s.wantStates(Alive, "g4", 0, 1, 2, 3, 5)
	if s.changes("dead") > 0 || s.views[2].members[IDOf("g4")].Incarnation != 2 {
		t.Errorf("g4 did not contradict: %v", s.seen)
	}
}

// Accusations and deaths told by a member that is dead here don't count: it may be the one that was cut off.
func TestTheDeadAccuseNobody(t *testing.T) {
	s := newSmall(t, 6)
	s.views[1] = nil
	s.run(3000)
	from := Message{Kind: Gossip, From: IDOf("g1"), BootID: 2, Incarnation: 1}
	for _, state := range []State{Suspect, Dead} {
		from.Rumors = []Rumor{{Subject: IDOf("g4"), BootTag: uint32(s.views[4].cfg.BootID), Incarnation: 1, State: state, Accusers: []ID{IDOf("g1"), IDOf("g0"), IDOf("g3"), IDOf("g5")}}}
		s.step(2, Received{addrOf(1), from})
		s.wantStates(Alive, "g4", 2)
	}
}

// News of an earlier process of a name does not change what is known of the present one.
func TestRumorsOfAnEarlierProcess(t *testing.T) {
	s := newSmall(t, 4)
	old := s.views[2].cfg.BootID
	s.views[2] = nil
	s.run(500)
	s.start(2, Config{BootID: 1000})
	s.run(3000)
	s.wantStates(Alive, "g2", 0, 1, 3)
	m := s.views[0].members[IDOf("g2")]
	if m.BootID == old || m.Incarnation < 2 {
		t.Fatalf("g0 knows %+v, not the new process", m.Member)
	}
	s.step(0, Received{addrOf(1), Message{Kind: Gossip, From: IDOf("g1"), BootID: s.views[1].cfg.BootID, Incarnation: 1,
		Rumors: []Rumor{{Subject: IDOf("g2"), BootTag: uint32(old), Incarnation: 90, State: Dead}}}})
	s.wantStates(Alive, "g2", 0)
}

// A member that was stopped accuses nobody on its return and is alive everywhere soon.
func TestPause(t *testing.T) {
	s := newSmall(t, 6)
	s.still[2] = true
	s.run(5000)
	s.wantStates(Dead, "g2", 0, 1, 3, 4, 5)
	s.still[2] = false
	s.seen = nil
	s.run(1500)
	s.wantStates(Alive, "g2", 0, 1, 3, 4, 5)
	for _, c := range s.seen {
		if strings.HasPrefix(c, "g2 ") {
			t.Errorf("on its return: %v", c)
		}
	}
}

// Clocks that step change nothing.
func TestClockSteps(t *testing.T) {
	s := newSmall(t, 5)
	s.skew[1] = -3_600_000
	s.skew[2] = 600_000
	s.run(5000)
	if len(s.seen) > 0 {
		t.Errorf("after steps: %v", s.seen)
	}
	if got := s.views[2].Summary().LateAnswers; got == 0 {
		t.Error("a step forward was not noticed")
	}
}

// A member that hears nobody doubts itself, not the others.
func TestDeaf(t *testing.T) {
	s := newSmall(t, 6)
	s.cut = func(_, to int, _ *Message) bool { return to == 2 }
	s.run(6000)
	if !slices.Contains(s.self, "g2 deaf") || !s.views[2].Summary().Partial {
		t.Errorf("g2 stands %v", s.self)
	}
	for _, c := range s.seen {
		if strings.HasPrefix(c, "g2 ") && !strings.Contains(c, "unreachable") {
			t.Errorf("g2 accuses: %v", c)
		}
	}
	s.cut = nil
	s.run(4000)
	for i := range s.views {
		s.wantStates(Alive, "g2", i)
		s.wantStates(Alive, "g0", i)
	}
}

// A member that nobody hears learns of it.
func TestUnheard(t *testing.T) {
	s := newSmall(t, 6)
	s.cut = func(from, _ int, _ *Message) bool { return from == 2 }
	s.run(9000)
	if !slices.Contains(s.self, "g2 unheard") {
		t.Errorf("g2 stands %v", s.self)
	}
	s.wantStates(Dead, "g2", 0, 1, 3, 4, 5)
	s.cut = nil
	s.run(4000)
	s.wantStates(Alive, "g2", 0, 1, 3, 4, 5)
}

// A cut of one pair, one way or both, is nobody's death.
func TestOnePair(t *testing.T) {
	for _, both := range []bool{false, true} {
		s := newSmall(t, 5)
		s.cut = func(from, to int, _ *Message) bool { return from == 1 && to == 3 || both && from == 3 && to == 1 }
		s.run(20_000)
		if s.changes("dead")+s.changes("unreachable") > 0 {
			t.Errorf("both %v: %v", both, s.seen)
		}
	}
}

// Two halves go on, know that they see a part, and merge.
func TestHalves(t *testing.T) {
	s := newSmall(t, 8)
	s.cut = func(from, to int, _ *Message) bool { return from/4 != to/4 }
	s.run(6000)
	for i, v := range s.views {
		if got := v.Summary(); got.Alive != 4 || !got.Partial {
			t.Errorf("g%d sees %+v", i, got)
		}
	}
	s.cut = nil
	s.run(4000)
	for i, v := range s.views {
		if got := v.Summary(); got.Alive != 8 || got.Partial {
			t.Errorf("after the heal g%d sees %+v", i, got)
		}
	}
}

// Two of two: nobody can confirm, so the other is unreachable and not dead.
func TestTwoOfTwo(t *testing.T) {
	s := newSmall(t, 2)
	s.views[1] = nil
	s.run(5000)
	s.wantStates(Unreachable, "g1", 0)
	if got := s.views[0].Summary(); !got.Partial || got.Status != StatusIsolated {
		t.Errorf("g0 sees %+v", got)
	}
}

// A goodbye is known at once, even where a third of it gets lost, and nobody is tried again.
func TestGoodbye(t *testing.T) {
	s := newSmall(t, 5)
	lost := 0
	s.cut = func(from, _ int, m *Message) bool {
		lost++
		return from == 2 && lost%3 == 0
	}
	s.step(2, Leave{})
	if got := s.views[2].Summary().Status; got != StatusLeft {
		t.Errorf("g2 stands %v", got)
	}
	if acts := s.views[2].Step(s.now, []Event{Received{addrOf(1), Message{Kind: Ping, From: IDOf("g1"), BootID: 2, Incarnation: 1, Target: IDOf("g2")}}}); len(acts) > 0 {
		t.Errorf("it answers after its goodbye: %v", acts)
	}
	if wake := s.views[2].Wake(); wake < s.now+1000 {
		t.Errorf("it wants to be called again in %v ms", wake-s.now)
	}
	s.views[2] = nil
	s.run(600)
	s.wantStates(Left, "g2", 0, 1, 3, 4)
	s.run(40_000)
	s.wantStates(0, "g2", 0, 1, 3, 4)
}

// A process under the name of one that lives is kept out, from another address; after the other's death it gets in.
func TestNamesake(t *testing.T) {
	s := newSmall(t, 4)
	s.views = append(s.views, nil)
	s.skew, s.still, s.inbox = append(s.skew, 0), append(s.still, false), append(s.inbox, nil)
	v, err := New(Config{Name: "g2", Addr: addrOf(4), BootID: 99, Seeds: []netip.AddrPort{addrOf(0)}}, 9)
	if err != nil {
		t.Fatal(err)
	}
	s.views[4] = v
	s.run(3000)
	if got := v.Summary().Status; got != StatusNameTaken || len(s.seen) > 0 {
		t.Errorf("it stands %v; %v", got, s.seen)
	}
	s.views[2] = nil
	s.run(9000)
	if got := v.Summary(); got.Status != StatusHealthy || got.Alive != 4 {
		t.Errorf("after the other's death: %+v", got)
	}
	if m := s.views[0].members[IDOf("g2")]; m.BootID != 99 || m.Addr != addrOf(4) || m.State != Alive {
		t.Errorf("g0 knows %+v", m.Member)
	}
}

// Two that were let in under one name by parts that were apart: one stays.
func TestNamesakesMerge(t *testing.T) {
	s := newSmall(t, 4)
	v, err := New(Config{Name: "g2", Addr: addrOf(5), BootID: 99, Seeds: []netip.AddrPort{addrOf(5)}}, 9)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		s.views = append(s.views, nil)
		s.skew, s.still, s.inbox = append(s.skew, 0), append(s.still, false), append(s.inbox, nil)
	}
	s.views[5] = v
	s.run(100)
	s.step(5, Received{addrOf(1), Message{Kind: Ping, From: IDOf("g1"), BootID: s.views[1].cfg.BootID, Incarnation: 1, Target: IDOf("g2"), Seq: 7}})
	s.run(3000)
	if got := v.Summary().Status; got != StatusNameTaken {
		t.Errorf("the later one stands %v", got)
	}
	s.wantStates(Alive, "g2", 0, 1, 3)
	if m := s.views[0].members[IDOf("g2")]; m.Addr != addrOf(2) {
		t.Errorf("g0 knows %+v", m.Member)
	}
}

// A joiner whose welcome is lost counts as let in as soon as somebody probes it.
func TestWelcomeLost(t *testing.T) {
	s := newSmall(t, 4)
	s.views[3] = nil
	s.run(40)
	s.cut = func(_, to int, m *Message) bool { return to == 3 && m.Kind == JoinAccepted }
	s.start(3, Config{BootID: 50})
	s.run(2500)
	s.wantStates(Alive, "g3", 0, 1, 2)
	if got := s.views[3].Summary(); got.Status != StatusHealthy || got.Alive != 4 {
		t.Errorf("g3 sees %+v", got)
	}
	if s.changes("g3 dead") > 0 {
		t.Errorf("%v", s.seen)
	}
}

// Members of the older version take part; they are told one observer at a time, and no payload.
func TestOlderVersion(t *testing.T) {
	s := newSmall(t, 6)
	for i := range 3 {
		s.views[i+3] = nil
	}
	s.run(40_000)
	for i := range 3 {
		s.start(i+3, Config{Version: 1, BootID: 100})
	}
	s.run(3000)
	s.step(0, SetPayload{[]byte("payload")})
	s.cut = func(from, to int, m *Message) bool {
		if to >= 3 || from >= 3 {
			for _, r := range m.Rumors {
				if len(r.Accusers) > 1 {
					t.Errorf("g%d tells g%d of %d observers", from, to, len(r.Accusers))
				}
			}
			for _, r := range m.Records {
				if r.Payload != nil {
					t.Errorf("g%d tells g%d a payload", from, to)
				}
			}
		}
		return false
	}
	s.run(1000)
	s.views[2] = nil
	s.run(6000)
	s.wantStates(Dead, "g2", 0, 1, 3, 4, 5)
	if got := string(s.views[1].members[IDOf("g0")].Payload); got != "payload" {
		t.Errorf("g1 knows the payload %q", got)
	}
}
