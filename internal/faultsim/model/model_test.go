package model

import (
	"math"
	"math/rand/v2"
	"testing"

	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// agenda is a scheduler that a test sets on.
type agenda struct {
	now  float64
	list []entry
}

type entry struct {
	at float64
	do func()
}

func (a *agenda) Now() float64 { return a.now }

func (a *agenda) At(ms float64, f func()) { a.list = append(a.list, entry{max(ms, a.now), f}) }

func (a *agenda) until(ms float64) {
	for {
		next := -1
		for i, e := range a.list {
			if e.at <= ms && (next < 0 || e.at < a.list[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		e := a.list[next]
		a.list = append(a.list[:next], a.list[next+1:]...)
		a.now = e.at
		e.do()
	}
	a.now = ms
}

func world() (*World, *agenda) {
	a := &agenda{}
	return &World{Scheduler: a, Rng: rand.New(rand.NewPCG(1, 1)), LinkMs: 0.3, IsCut: func(int, int) bool { return false },
		SlowStart: SlowStart{MinShare: 0.2, WindowMs: 10_000, OverloadMultiple: 2.5, OverloadWindowMs: 1000, UsualRate: 50}, Groups: []*Group{{}}}, a
}

func config() *HostConfig {
	return &HostConfig{Cores: 2, ReadMs: 4, WriteMs: 6, HandshakeMs: 2, Queue: 20, Conns: 3, LagMs: 30, DedupWindowMs: 2000, DrainGraceMs: 2000}
}

// peer is the gateway's end of a connection.
type peer struct {
	ups, downs, written int
	got                 []proxy.Response
}

func (p *peer) Established()                      { p.ups++ }
func (p *peer) RequestWritten()                   { p.written++ }
func (p *peer) BeginStream(func()) bool           { return false }
func (p *peer) StreamPart([]byte) int             { return 0 }
func (p *peer) ResponseReceived(a proxy.Response) { p.got = append(p.got, a) }
func (p *peer) ConnectionClosed(error)            { p.downs++ }

func dial(t *testing.T, w *World, to string) (*peer, proxy.UpstreamConn) {
	t.Helper()
	p, g := &peer{}, w.NewGateway(0, "")
	if err := g.Start(Settings(&w.SlowStart, config(), 1), w.NewDiscovery(0), 1); err != nil {
		t.Fatal(err)
	}
	c, err := dialer{g}.Dial(to, p)
	if err != nil {
		t.Fatal(err)
	}
	return p, c
}

// A host holds so many connections, each after a handshake; it refuses more, and resets all when it dies.
func TestConnections(t *testing.T) {
	w, a := world()
	h := w.AddHost(config(), "h", "", w.Groups[0], math.NaN())
	var peers []*peer
	for range 4 {
		p, _ := dial(t, w, "0")
		peers = append(peers, p)
	}
	a.until(1)
	if peers[0].ups != 0 {
		t.Error("up before its handshake")
	}
	a.until(20)
	ups, downs := 0, 0
	for _, p := range peers {
		ups, downs = ups+p.ups, downs+p.downs
	}
	if ups != 3 || downs != 1 || h.Conns() != 3 || w.Counters.Handshakes != 3 || w.Counters.Refusals != 1 {
		t.Errorf("%d up, %d refused, %d held, %+v", ups, downs, h.Conns(), w.Counters)
	}
	h.Kill()
	a.until(40)
	if h.Conns() != 0 || peers[0].downs+peers[1].downs+peers[2].downs+peers[3].downs != 4 {
		t.Error("connections outlive their host")
	}
	if _, err := (dialer{w.NewGateway(0, "")}).Dial("7", &peer{}); err == nil {
		t.Error("a host that isn't there takes connections")
	}
}

// A write runs at the primary only, its key is remembered for its time, and a replica shows the log as it stood its lag
// before; one that ceases to be primary does not forget.
func TestLog(t *testing.T) {
	w, a := world()
	g := w.Groups[0]
	first, second := w.AddHost(config(), "h0", "", g, math.NaN()), w.AddHost(config(), "h1", "", g, math.NaN())
	g.SetPrimary(first)
	p, c := dial(t, w, "0")
	q, d := dial(t, w, "1")
	a.until(100)
	c.Send(&Statement{Write: true, Key: 1}, 0)
	d.Send(&Statement{Write: true, Key: 1}, 0)
	a.until(200)
	if len(p.got) != 1 || p.got[0].Outcome != routing.OutcomeOK || p.got[0].Role != routing.RolePrimary || len(q.got) != 1 || q.got[0].Outcome != routing.OutcomeMisdirected {
		t.Fatalf("%+v, %+v", p.got, q.got)
	}
	if w.Counters.Misdirected != 1 || w.Counters.Statements != 2 {
		t.Errorf("%+v", w.Counters)
	}
	if lag := first.applied() - second.applied(); lag != 30 {
		t.Errorf("the replica is %.0f behind", lag)
	}
	before := first.applied()
	g.SetPrimary(second)
	a.until(210)
	if first.applied() < before || second.applied() != 210 {
		t.Errorf("the old primary stands at %.0f after %.0f", first.applied(), before)
	}
	d.Send(&Statement{Write: true, Key: 1}, 0)
	a.until(300)
	if w.Counters.Doubled != 0 {
		t.Error("a repeat in time counts")
	}
	a.until(3000)
	d.Send(&Statement{Write: true, Key: 1}, 0)
	a.until(3100)
	if w.Counters.Doubled != 1 {
		t.Error("a repeat too late does not count")
	}
}

// A full queue turns away; a cold host works slower, and falls over where more comes than the rule allows, not before.
func TestQueueAndFall(t *testing.T) {
	w, a := world()
	h := w.AddHost(config(), "h", "", w.Groups[0], math.NaN())
	p, c := dial(t, w, "0")
	a.until(50)
	for range 40 {
		c.Send(&Statement{}, 0)
	}
	a.until(60)
	full := 0
	for _, x := range p.got {
		if x.Outcome == routing.OutcomeRejected {
			full++
		}
	}
	if full != 18 { // two run, twenty wait
		t.Errorf("%d turned away", full)
	}
	a.until(2000)
	h.StartedAt = 2000
	p.got = nil
	for i := range 60 { // 2.5 times a fifth of 50 in a second, with three roots of it and three: 43
		a.until(2000 + 10*float64(i))
		c.Send(&Statement{}, 0)
		if fell := w.Counters.Overloads; i < 40 && fell > 0 || i == 50 && fell == 0 {
			t.Fatalf("%d falls after %d", fell, i)
		}
	}
	a.until(3000)
	if w.Counters.Overloads != 1 || p.got[len(p.got)-1].Outcome != routing.OutcomeError {
		t.Errorf("%d falls, at the last %+v", w.Counters.Overloads, p.got[len(p.got)-1])
	}
}

// Discovery writes so many whole lists a second; a watch that waits hears of a change at once, others when they ask.
func TestDiscovery(t *testing.T) {
	w, a := world()
	cfg := config()
	w.AddHost(cfg, "h0", "", w.Groups[0], math.NaN())
	d := w.NewDiscovery(2)
	d.Publish()
	set := Settings(&w.SlowStart, cfg, 6)
	var gates []*Gateway
	a.until(5000)
	for i := range 6 {
		g := w.NewGateway(i, "")
		if err := g.Start(set, d, uint64(i)); err != nil {
			t.Fatal(err)
		}
		gates = append(gates, g)
	}
	a.until(5010)
	if w.Counters.PollsRejected != 4 {
		t.Errorf("%d of 6 lists at once were refused, room is for 2", w.Counters.PollsRejected)
	}
	a.until(20_000)
	h := w.AddHost(cfg, "h1", "", w.Groups[0], 20_000)
	h.DrainAt = 20_000
	d.Publish()
	a.until(20_010)
	heard := 0
	for _, g := range gates {
		if g.watch.since == 2 {
			heard++
		}
	}
	if heard != 6 || h.NotifiedAt != 20_000 {
		t.Errorf("%d of 6 heard at once, told since %.0f", heard, h.NotifiedAt)
	}
}
