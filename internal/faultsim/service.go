package faultsim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"merlinjunction/fleet"
	"merlinjunction/internal/faultsim/model"
	"merlinjunction/internal/transport"
	"merlinjunction/membership"
	"merlinjunction/routing"
)

// service is what the emulator plays beside membership: hosts, discovery, the gateways' cores and the clients' load.
type service struct {
	em      *Emulation
	world   *model.World
	rng     *rand.Rand // of the load
	disco   *model.Discovery
	host    *model.HostConfig
	gates   []*model.Gateway
	places  []*model.Host // by number of the experiment: who stands there now
	weights []float64     // of the gateways' traffic
	cuts    map[[2]int]int
	roster  []float64 // by gateway: when its roster is worked out anew; 0: it isn't
	known   []*fleet.Roster
	tellers []*teller
	publish bool // a new list is on its way

	tally           Tally
	seconds         map[int]*[2]int // by second: requests, and those served
	calmBooks, last model.Counters
	calmAt          float64
	calmTops        []float64 // by primary
	calmConns       []float64 // by host
	calmLinks       []float64 // by gateway
	peaks           map[string]float64
}

// What the emulated hosts and the gateways' settings agree on.
const (
	listMs    = 300.0 // from a change to the list that tells it
	electMs   = 1000.0
	rosterMs  = 200.0 // a view that changes is taken in so long after
	stayMs    = 500.0 // between SIGTERM and the end of what is taken
	sessions  = 2000
	viewShare = 0.6 // of the reads; the others must show what their session has written
)

func newService(em *Emulation) *service {
	e := em.e
	s := &service{em: em, rng: rand.New(rand.NewPCG(em.opt.Seed, 11)), cuts: map[[2]int]int{}, seconds: map[int]*[2]int{}, peaks: map[string]float64{},
		tally: Tally{Latency: hdrhistogram.New(1, 60_000_000, 3)}}
	s.world = &model.World{Scheduler: s, Rng: rand.New(rand.NewPCG(em.opt.Seed, 12)), Link: 0.3, Far: e.Network.FarMs,
		IsCut: func(g, h int) bool { return len(s.cuts) > 0 && s.cuts[[2]int{g, h}] > 0 },
		Warm:  model.SlowStart{Share: 0.2, Ms: e.Hosts.ColdMs, Tip: 2.5, FallMs: 1000, Usual: e.Load.Emulated / float64(e.Hosts.Emulated)}}
	s.host = &model.HostConfig{Cores: e.Hosts.Cores, ReadMs: e.Hosts.ReadMs, WriteMs: 1.5 * e.Hosts.ReadMs, HandshakeMs: 2, Queue: 200,
		Conns: e.Hosts.Conns, LagMs: e.Hosts.LagMs, KeyMs: 2000, GraceMs: 2000}
	for g := range e.Hosts.Groups {
		s.world.Groups = append(s.world.Groups, &model.Group{Index: g})
	}
	for i := range e.Hosts.Emulated {
		g := s.world.Groups[i%e.Hosts.Groups]
		h := s.world.AddHost(s.host, fmt.Sprintf("h%d", i), e.Fleet.zone(e.hostZone(i)), g, math.NaN())
		if g.Primary == nil {
			g.SetPrimary(h)
		}
		s.places = append(s.places, h)
	}
	s.disco = s.world.NewDiscovery(e.Hosts.Lists)
	s.disco.Blind = em.opt.Choices.By == "blind"
	s.disco.Publish()
	s.At(0, s.arrive)
	s.At(1000, s.second)
	return s
}

// Now is the time of the emulation, ms.
func (s *service) Now() float64 { return s.em.now }

// At enters something for a time.
func (s *service) At(ms float64, f func()) {
	s.em.agenda.push(happening{at: max(ms, s.em.now), call: f})
}

func (s *service) settings(i int) routing.Settings {
	c, n := s.em.opt.Choices, s.em.Result.Gateways
	set := model.Settings(&s.world.Warm, s.host, n)
	if c.By != "alone" && c.By != "blind" {
		set.SubsetSize = c.Subset
	}
	if c.By == "number" {
		set.GatewayCount = max(1, int(math.Round(float64(n)*c.Wrong)))
		set.GatewayNumber = i + 1
	}
	return set
}

func (s *service) start(i int) error {
	for len(s.gates) <= i {
		g := len(s.gates)
		s.gates = append(s.gates, s.world.NewGateway(g, s.em.e.Fleet.zone(g)))
		s.roster, s.known, s.tellers = append(s.roster, 0), append(s.known, nil), append(s.tellers, nil)
		w, l := 1.0, &s.em.e.Load
		if l.Idle > 0 && float64(g%100) < 100*l.Idle {
			w = 0.02
		}
		if l.Heavy > 0 && g == 0 {
			w = l.Heavy
		}
		s.weights = append(s.weights, w)
	}
	s.known[i], s.tellers[i] = nil, &teller{}
	if err := s.gates[i].Start(s.settings(i), s.disco, s.rng.Uint64()); err != nil {
		return err
	}
	if s.em.opt.Choices.By == "random" { // each for itself
		s.gates[i].SetPeers(fleet.NewNamedRoster(fleet.Gateway{Name: s.em.nodes[i].name, Zone: s.em.e.Fleet.zone(i)}, nil))
	}
	s.viewChanged(s.em.nodes[i])
	return nil
}

// end ends a gateway's process. One that is told to stop serves what it has taken; clients go elsewhere.
func (s *service) end(i int, gently bool) {
	g := s.gates[i]
	if !gently {
		g.Kill()
		return
	}
	s.weights[i] = -s.weights[i]
	s.At(s.Now()+stayMs+2000, func() {
		s.weights[i] = math.Abs(s.weights[i])
		if s.em.nodes[i].node == nil {
			g.Kill()
		}
	})
}

// viewChanged takes in that what a gateway knows of the others has changed.
func (s *service) viewChanged(n *emulated) {
	i := n.index
	if s.em.opt.Choices.By != "members" || i >= len(s.gates) || s.roster[i] > s.Now() {
		return
	}
	s.roster[i] = s.Now() + rosterMs
	s.At(s.roster[i], func() {
		if s.roster[i] = 0; n.node == nil {
			return
		}
		view, ok := n.node.(interface{ Members() []membership.Member })
		if !ok {
			return
		}
		r := transport.NewRoster(fleet.Gateway{Name: n.name, Zone: s.em.e.Fleet.zone(i), Load: s.tellers[i].told}, view.Members())
		if s.known[i] == nil || !s.known[i].Equivalent(r) {
			s.known[i] = r
			s.gates[i].SetPeers(r)
		}
	})
}

// teller is what a gateway tells the others of its load.
type teller struct {
	fleet.LoadAnnouncer
	told float64
}

// second closes a second: loads, peaks, and rosters by loads that changed.
func (s *service) second() {
	for i, g := range s.gates {
		n := s.em.nodes[i]
		if !g.Up() || n.node == nil || n.paused {
			continue
		}
		t := s.tellers[i]
		if load := t.Observe(s.Now(), g.Second()); load != t.told {
			t.told = load
			s.em.run(n, []membership.Event{membership.SetPayload{Payload: transport.Payload{Load: load}.Bytes()}})
		}
		if int(s.Now()/1000)%5 == i%5 {
			s.viewChanged(n)
		}
	}
	b := &s.world.Counters
	if s.Now() > s.em.first {
		for name, n := range map[string]int{"handshakes_peak": b.Handshakes - s.last.Handshakes, "probes_peak": b.Probes - s.last.Probes,
			"calls_peak": b.Calls - s.last.Calls, "misdirected_peak": b.Misdirected - s.last.Misdirected} {
			s.peaks[name] = max(s.peaks[name], float64(n))
		}
	}
	s.last = *b
	s.At(s.Now()+1000, s.second)
}

// arrive sends the next request and enters the one behind it.
func (s *service) arrive() {
	load := &s.em.e.Load
	if load.Emulated <= 0 {
		return
	}
	s.request()
	s.At(s.Now()+s.rng.ExpFloat64()*1000/load.Emulated, s.arrive)
}

// pick is the gateway that a request comes to: by weight, among those that take any.
func (s *service) pick() *model.Gateway {
	sum := 0.0
	for i, g := range s.gates {
		if g.Up() && s.weights[i] > 0 {
			sum += s.weights[i]
		}
	}
	x := s.rng.Float64() * sum
	for i, g := range s.gates {
		if g.Up() && s.weights[i] > 0 {
			if x -= s.weights[i]; x < 0 {
				return g
			}
		}
	}
	return nil
}

func (s *service) request() {
	g := s.pick()
	at := int(s.Now() / 1000)
	if s.seconds[at] == nil {
		s.seconds[at] = &[2]int{}
	}
	sec := s.seconds[at]
	sec[0]++
	s.tally.Sent++
	if g == nil {
		s.tally.Excused++
		return
	}
	// A session keeps to its gateway: its number holds that one's.
	st := &model.Statement{Session: g.Index*sessions + s.rng.IntN(20), Key: s.rng.Uint64()}
	group := s.rng.IntN(len(s.world.Groups))
	class, left := 0, 1000.0
	switch {
	case s.rng.Float64() < s.em.e.Load.Writes:
		class, left, st.Write = 2, 2000, true
	case s.rng.Float64() > viewShare:
		class, left = 1, 600
	}
	if class == 1 || class == 2 { // a session's data is in one group
		group = st.Session % len(s.world.Groups)
	}
	g.Submit(class, st, group, left, func(end model.Ending, ms float64, stale bool) {
		switch end {
		case model.Served:
			s.tally.Served++
			sec[1]++
			_ = s.tally.Latency.RecordValue(int64(max(1, ms*1000)))
			if stale && class == 1 {
				s.tally.Stale++
			}
		case model.Refused:
			s.tally.Refused++
		case model.Failed:
			s.tally.Failed++
		case model.Lost:
			s.tally.Lost++
		case model.Excused:
			s.tally.Excused++
		}
	})
}

// step carries out what is done to a host.
func (s *service) step(t *Step) {
	if t.Do == HostCut {
		for _, to := range t.To {
			link := [2]int{t.Who, s.places[to].Index}
			if !t.Undo {
				s.cuts[link]++
			} else if s.cuts[link]--; s.cuts[link] == 0 {
				delete(s.cuts, link)
			}
		}
		return
	}
	h := s.places[t.Who]
	switch t.Do {
	case HostDrain:
		h.DrainAt = s.Now()
		if h.Group.Primary == h {
			s.elect(h.Group, h)
		}
	case HostKill:
		was := h.Group.Primary == h
		if h.Kill(); was {
			s.At(s.Now()+electMs, func() { s.elect(h.Group, h) })
		}
	case HostStart:
		if h.Up {
			return
		}
		id := h.ID
		if t.Fresh {
			id = fmt.Sprintf("h%d-%d", t.Who, len(s.world.Hosts))
		}
		n := s.world.AddHost(s.host, id, h.Zone, h.Group, s.Now())
		s.places[t.Who] = n
		if n.Group.Primary == nil && s.candidate(n.Group, n) == nil {
			n.Group.SetPrimary(n)
		}
	case HostSlow:
		if h.Slow = t.StepMs; t.Undo {
			h.Slow = 1
		}
		return
	}
	s.news()
}

// candidate is the host of a group, beside one, that could be primary and has been up longest; nil: there is none.
func (s *service) candidate(g *model.Group, not *model.Host) (best *model.Host) {
	for _, h := range s.places {
		if h.Group != g || h == not || !h.Up || !math.IsNaN(h.DrainAt) {
			continue
		}
		if best == nil || math.IsNaN(h.Started) && !math.IsNaN(best.Started) || h.Started < best.Started {
			best = h
		}
	}
	return best
}

// elect makes another host of the group primary.
func (s *service) elect(g *model.Group, not *model.Host) {
	if best := s.candidate(g, not); best != nil {
		g.SetPrimary(best)
	}
	s.news()
}

// news has the list told a little later.
func (s *service) news() {
	if s.publish {
		return
	}
	s.publish = true
	s.At(s.Now()+listMs, func() {
		s.publish = false
		s.disco.Publish()
	})
}

// calm takes down how things are before the first fault, or at the end.
func (s *service) calm() {
	s.calmBooks, s.calmAt = s.world.Counters, s.Now()
	for _, h := range s.places {
		if h.Group.Primary != h {
			s.calmConns = append(s.calmConns, float64(h.Conns()))
		} else {
			s.calmTops = append(s.calmTops, float64(h.Conns()))
		}
	}
	for _, g := range s.gates {
		if g.Up() {
			s.calmLinks = append(s.calmLinks, float64(g.Links()))
		}
	}
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}

// leastWindow is how many requests a second needs for its share of served ones to count.
const leastWindow = 50

func (s *service) finish(r *Result) {
	b, f := &s.world.Counters, r.Figures
	f["conns_host_mean"], f["conns_host_spread"] = mean(s.calmConns), most(s.calmConns)/mean(s.calmConns)
	f["conns_primary"] = mean(s.calmTops)
	f["conns_gateway"] = mean(s.calmLinks)
	if secs := s.calmAt / 1000; secs >= 1 {
		f["probes_s"], f["handshakes_s"] = float64(s.calmBooks.Probes)/secs, float64(s.calmBooks.Handshakes)/secs
		f["calls_s"] = float64(s.calmBooks.Calls) / secs
	}
	for name, v := range s.peaks {
		f[name] = v
	}
	f["handshakes"], f["misdirected"] = float64(b.Handshakes), float64(b.Misdirected)
	f["cold"], f["drained"], f["doubled"] = float64(b.Falls), float64(b.Drained), float64(b.Doubled)
	s.tally.figures(r, f)
	f["refused_share"] = float64(s.tally.Refused) / float64(max(1, s.tally.Sent-s.tally.Excused))
	worst := math.Inf(1)
	for at, n := range s.seconds { // in any order: the least is the same
		if n[0] >= leastWindow && at < int(s.em.e.Seconds)-3 {
			worst = min(worst, float64(n[1])/float64(n[0]))
		}
	}
	f["worst_second"] = worst
	s.em.trace(uint64(s.tally.Served), uint64(s.tally.Refused), uint64(b.Handshakes), uint64(b.Statements), uint64(b.Probes))
}
