package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func hostsOf(n, zones int) (list []Host) {
	for i := range n {
		h := Host{ID: fmt.Sprintf("h%d", i)}
		if zones > 0 {
			h.Zone = string(rune('a' + i%zones))
		}
		list = append(list, h)
	}
	return list
}

func peersOf(n, zones int, load func(int) float64) (list []Gateway) {
	for i := range n {
		p := Gateway{Name: fmt.Sprintf("g%d", i)}
		if zones > 0 {
			p.Zone = string(rune('a' + i%zones))
		}
		if load != nil {
			p.Load = load(i)
		}
		list = append(list, p)
	}
	return list
}

// Whatever the sizes: a subset has no host twice, no host is in more than a tenth above an even part of the subsets, and
// the order names every host once. Every gateway works out the same for itself as the others do for it.
func TestDeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, m := rapid.IntRange(1, 80).Draw(t, "gateways"), rapid.IntRange(1, 30).Draw(t, "hosts")
		size, zones := rapid.IntRange(1, 6).Draw(t, "size"), rapid.IntRange(0, 3).Draw(t, "zones")
		peers, hosts := peersOf(n, zones, nil), hostsOf(m, zones)
		self := rapid.IntRange(0, n-1).Draw(t, "self")
		d := AssignSubsets(NewNamedRoster(peers[self], peers), hosts, size)
		other := AssignSubsets(NewNamedRoster(peers[0], peers), hosts, size)
		if !slices.Equal(d.SubsetCounts(), other.SubsetCounts()) {
			t.Fatal("two gateways deal differently")
		}
		if want := min(size, m); d.SubsetSize() != want || len(d.PreferenceOrder()) != m {
			t.Fatalf("subsets of %d, order of %d", d.SubsetSize(), len(d.PreferenceOrder()))
		}
		sorted := slices.Sorted(slices.Values(d.PreferenceOrder()))
		for i, h := range sorted {
			if h != i {
				t.Fatalf("the order is no order: %v", d.PreferenceOrder())
			}
		}
		most := int(math.Ceil(float64(d.SubsetSize()*n) / float64(m) * 1.1))
		for h, holders := range d.SubsetCounts() {
			if d.SubsetSize() < m && holders > most {
				// a host may have one subset more only where all others of a gateway's were full
				if holders > most+d.SubsetSize() {
					t.Fatalf("host %d is in %d subsets, %d at most", h, holders, most)
				}
			}
		}
	})
}

// At 300 gateways and 120 hosts in twelve groups of ten, no host is in more than a quarter more subsets than the mean, ten
// fleets; random subsets are less even. Zones are favoured where they hold.
func TestDealIsEven(t *testing.T) {
	spread := func(d *SubsetAssignment) float64 {
		sum := 0
		for _, n := range d.SubsetCounts() {
			sum += n
		}
		return float64(slices.Max(d.SubsetCounts())) * float64(len(d.hosts)) / float64(sum)
	}
	for fleet := range 10 {
		peers := peersOf(300, 3, nil)
		for i := range peers {
			peers[i].Name = fmt.Sprintf("f%d-%d", fleet, i)
		}
		for group := range 12 {
			hosts := hostsOf(10, 3)
			for i := range hosts {
				hosts[i].ID = fmt.Sprintf("%d-%d", group, i)
			}
			d := AssignSubsets(NewNamedRoster(peers[0], peers), hosts, 2)
			if s := spread(d); s > 1.11 {
				t.Errorf("fleet %d, group %d: the fullest host has %.2f times the mean", fleet, group, s)
			}
			own := 0
			for p := range peers {
				for _, h := range d.picks[p*2:][:2] {
					if d.near(p, int(h)) {
						own++
					}
				}
			}
			if own < 540 {
				t.Errorf("%d of 600 picks are of the own zone", own)
			}
		}
	}
}

// One gateway more or less moves at most two subsets at a host; a tenth and a half move no more than their part and a
// little. One host more or less moves about its own part.
func TestOneMoreMovesLittle(t *testing.T) {
	moved := func(a, b *SubsetAssignment, n int) (most, sum int) {
		per := map[string]int{}
		for p := range n {
			for _, h := range a.picks[p*a.size:][:a.size] {
				id := a.hosts[h].ID
				if !slices.ContainsFunc(b.picks[p*b.size:][:b.size], func(o int32) bool { return b.hosts[o].ID == id }) {
					per[id]++
				}
			}
		}
		for _, k := range per {
			most, sum = max(most, k), sum+k
		}
		return most, sum
	}
	peers := peersOf(400, 0, nil)
	for i := range peers {
		peers[i].Name = fmt.Sprintf("%04d", i)
	}
	worst := 0
	for n := 100; n < 330; n += 10 {
		hosts := hostsOf(10, 0)
		a, b := AssignSubsets(NewNamedRoster(peers[0], peers[:n]), hosts, 2), AssignSubsets(NewNamedRoster(peers[0], peers[:n+1]), hosts, 2)
		most, _ := moved(a, b, n)
		worst = max(worst, most)
		c := AssignSubsets(NewNamedRoster(peers[0], peers[:n+n/10]), hosts, 2)
		if _, sum := moved(a, c, n); sum > n/4 {
			t.Errorf("%d gateways and a tenth more: %d of %d subsets' hosts moved", n, sum, 2*n)
		}
	}
	if worst > 2 {
		t.Errorf("one gateway more moved %d at one host", worst)
	}
	a, b := AssignSubsets(NewNamedRoster(peers[0], peers[:300]), hostsOf(10, 0), 2), AssignSubsets(NewNamedRoster(peers[0], peers[:300]), hostsOf(11, 0), 2)
	if _, sum := moved(a, b, 300); sum > 150 {
		t.Errorf("one host more moved %d of 600", sum)
	}
}

// A roster that is told wrong, or nothing, still leads to choices.
func TestRosters(t *testing.T) {
	if r := NewNumberedRoster(-1, 5, ""); r.Size() != 5 || r.Index() != -1 || r.TrafficShare() != 0.2 || len(AssignSubsets(r, hostsOf(4, 0), 2).PreferenceOrder()) != 4 {
		t.Error("of an unknown seat")
	}
	if r := NewNumberedRoster(7, 3, ""); r.Size() != 8 || r.Index() != 7 {
		t.Errorf("a number past the count: %d of %d", r.Index(), r.Size())
	}
	if r := NewNumberedRoster(3, 1<<40, ""); r.Size() != 1<<40 || r.Index() != -1 {
		t.Error("a count beyond reason is not dealt to")
	}
	for index := range 30 { // of two hosts in its own zone a gateway that knows its zone gets both
		d := AssignSubsets(NewNumberedRoster(index, 30, "b"), hostsOf(9, 4), 2)
		if o := d.PreferenceOrder(); d.hosts[o[0]].Zone != "b" || d.hosts[o[1]].Zone != "b" {
			t.Errorf("gateway %d of zone b is dealt %v", index, o[:2])
		}
	}
	if r := NewNumberedRoster(1, 9, ""); r.QuotaScale(3) != 1 || r.QuotaScale(0.5) != 0.5 || NewNamedRoster(Gateway{Name: "a", Load: 1}, []Gateway{{Name: "b", Load: 1}}).QuotaScale(3) != 3 {
		t.Error("a gateway whose load nobody compares takes more than its even part")
	}
	self := Gateway{Name: "b", Zone: "x", Load: 30}
	r := NewNamedRoster(self, []Gateway{{Name: "c", Load: 10}, {Name: "a"}, {Name: "c", Load: 99}})
	if r.Size() != 3 || r.Index() != 1 || math.Abs(r.TrafficShare()-30.0/60) > 1e-9 {
		t.Errorf("seat %d of %d, share %.3f", r.Index(), r.Size(), r.TrafficShare())
	}
	if !r.Equivalent(NewNamedRoster(Gateway{Name: "b", Zone: "x", Load: 32}, []Gateway{{Name: "c", Load: 10}, {Name: "a"}})) ||
		r.Equivalent(NewNamedRoster(Gateway{Name: "b", Zone: "x", Load: 50}, []Gateway{{Name: "c", Load: 10}, {Name: "a"}})) || r.Equivalent(NewNamedRoster(self, nil)) {
		t.Error("what is the same")
	}
	if d := AssignSubsets(r, nil, 2); d.SubsetSize() != 0 || len(d.PreferenceOrder()) != 0 {
		t.Error("no hosts")
	}
}

// The aperture takes the subset of sound hosts; where one fails another is in use at once, and it stays for ten seconds.
// Where nothing can do anything all are in use.
func TestAperture(t *testing.T) {
	d := AssignSubsets(NewNamedRoster(Gateway{Name: "g"}, peersOf(20, 0, nil)), hostsOf(6, 0), 2)
	var a Aperture
	a.Update(d)
	order := d.PreferenceOrder()
	down := map[int]bool{}
	used := func(now float64) (list []int) {
		for i, u := range a.InUse(now, func(h int) float64 {
			if down[h] {
				return 0
			}
			return 1
		}) {
			if u {
				list = append(list, i)
			}
		}
		return list
	}
	same := func(now float64, want ...int) {
		t.Helper()
		slices.Sort(want)
		if got := used(now); !slices.Equal(got, want) {
			t.Errorf("at %.0f: %v in use, want %v", now, got, want)
		}
	}
	same(0, order[0], order[1])
	down[order[0]] = true
	same(100, order[0], order[1], order[2])
	down[order[0]] = false
	same(200, order[0], order[1], order[2])
	same(10_000, order[0], order[1], order[2])
	same(10_101, order[0], order[1])
	for h := range 6 {
		down[h] = true
	}
	same(20_000, 0, 1, 2, 3, 4, 5)
	clear(down)
	same(31_000, order[0], order[1], order[4], order[5])
	same(40_000, order[0], order[1])
}

// Cold hosts count by their warmth: two that have a fifth of their capacity are not a subset.
func TestApertureCountsWarmth(t *testing.T) {
	d := AssignSubsets(NewNamedRoster(Gateway{Name: "g"}, peersOf(20, 0, nil)), hostsOf(6, 0), 2)
	var a Aperture
	a.Update(d)
	order := d.PreferenceOrder()
	n := 0
	for _, u := range a.InUse(0, func(h int) float64 {
		if h == order[0] || h == order[1] {
			return 0.2
		}
		return 1
	}) {
		if u {
			n++
		}
	}
	if n != 4 {
		t.Errorf("%d hosts in use, want both cold ones and two warm ones", n)
	}
}

// Shares over all hosts are 1, whoever works them out; a cold host that is nobody's favourite gets little; loads count.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, m := rapid.IntRange(1, 40).Draw(t, "gateways"), rapid.IntRange(1, 12).Draw(t, "hosts")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		peers := peersOf(n, 2, func(int) float64 { return rng.ExpFloat64() + 0.1 })
		warmth := make([]float64, m)
		for i := range warmth {
			warmth[i] = max(0.2, rng.Float64())
		}
		hosts := hostsOf(m, 2)
		sum := make([]float64, m)
		total := 0.0
		var first []float64
		for _, self := range peers {
			all, own := AssignSubsets(NewNamedRoster(self, peers), hosts, 2).TrafficShares(warmth, 4)
			if first == nil {
				first = all
			}
			for h := range all {
				sum[h] += own[h] * self.Load
				if math.Abs(all[h]-first[h]) > 1e-9 {
					t.Fatalf("host %d: %v and %v", h, all[h], first[h])
				}
			}
			total += self.Load
		}
		whole := 0.0
		for h := range sum {
			whole += first[h]
			if math.Abs(sum[h]/total-first[h]) > 1e-9 {
				t.Fatalf("host %d: the gateways' own parts make %v, all expect %v", h, sum[h]/total, first[h])
			}
		}
		if math.Abs(whole-1) > 1e-9 {
			t.Fatalf("shares of %v", whole)
		}
	})
}

// Forty gateways thin what they send to a cold host, each by its own word on the others; the sum stays within the limit
// while half of them hold a view that lacks a third of the fleet, and while the count they were told is wrong by half.
func TestColdLimitHoldsInSum(t *testing.T) {
	const n, m, rate = 40, 6, 1200.0 // requests a second of the group
	limit := SlowStartLimit{HostCount: m, OverloadMultiple: 2.5, UsableShare: 0.8, OverloadWindowMs: 1000, AttemptsPerRequest: 1}
	peers := peersOf(n, 0, nil)
	rosters := map[string]func(i int) *Roster{
		"right": func(i int) *Roster { return NewNamedRoster(peers[i], peers) },
		"views": func(i int) *Roster {
			if i%2 == 0 {
				return NewNamedRoster(peers[i], peers[:27])
			}
			return NewNamedRoster(peers[i], peers)
		},
		"half":  func(i int) *Roster { return NewNumberedRoster(i, n/2, "") },
		"more":  func(i int) *Roster { return NewNumberedRoster(i, n*3/2, "") },
		"alone": func(i int) *Roster { return NewNamedRoster(peers[i], nil) },
	}
	for name, roster := range rosters {
		warmth := []float64{0.2, 1, 1, 0.2, 1, 0.2}
		sent := make([]float64, m)
		for i := range n {
			var g Group
			g.Update(roster(i), hostsOf(m, 0), 2)
			use := g.InUse(0, func(h int) float64 { return warmth[h] })
			weights := 0.0
			for h, u := range use {
				if u {
					weights += warmth[h]
				}
			}
			for h, u := range use {
				if u {
					share := warmth[h] / weights
					chance := 1.0
					if warmth[h] < 1 {
						chance = limit.AdmitProbability(warmth[h], g.FleetShare(0, h, share, 4, func(h int) float64 { return warmth[h] }), 0)
					}
					sent[h] += rate / n * share * chance
				}
			}
		}
		for h, s := range sent {
			if most := 2.5 * warmth[h] * rate / m; warmth[h] < 1 && s > most {
				t.Errorf("%s: host %d gets %.0f a second, falls over %.0f", name, h, s, most)
			}
		}
	}
}

// What goes beyond what all can expect of this gateway is taken for what all do.
func TestPartBeyondExpectation(t *testing.T) {
	var g Group
	g.Update(NewNamedRoster(Gateway{Name: "g0"}, peersOf(30, 0, nil)), hostsOf(6, 0), 2)
	warm := func(int) float64 { return 1 }
	order := g.dealing.PreferenceOrder()
	if p := g.FleetShare(0, order[0], 0.5, 1, warm); p > 0.25 {
		t.Errorf("a part of %.2f where a third of the fleet sends half", p)
	}
	if a, b := g.FleetShare(0, order[0], 0.5, 1, warm), g.FleetShare(0, order[0], 1, 1, warm); math.Abs(b-2*a) > 1e-9 {
		t.Errorf("%.2f, and %.2f where all goes there", a, b)
	}
	if p := g.FleetShare(0, order[5], 0.4, 1, warm); p < 0.4 {
		t.Errorf("a part of %.2f at a host that this gateway should not use", p)
	}
}

// Loads that change deal nothing anew, and count from then on; a name or a zone that changes deals anew.
func TestLoadsDealNothingAnew(t *testing.T) {
	var g Group
	peers := peersOf(30, 2, func(int) float64 { return 10 })
	warm := func(int) float64 { return 0.5 }
	g.Update(NewNamedRoster(peers[0], peers), hostsOf(6, 2), 2)
	picks, host := &g.dealing.picks[0], g.dealing.PreferenceOrder()[0]
	before := g.FleetShare(0, host, 0.5, 1, warm)
	for i := range peers[1:] {
		peers[i+1].Load = 1
	}
	g.Update(NewNamedRoster(peers[0], peers), hostsOf(6, 2), 2)
	if &g.dealing.picks[0] != picks {
		t.Error("other loads dealt anew")
	}
	if after := g.FleetShare(0, host, 0.5, 1, warm); after == before {
		t.Error("other loads changed nothing")
	}
	peers[3].Zone = "z"
	g.Update(NewNamedRoster(peers[0], peers), hostsOf(6, 2), 2)
	if &g.dealing.picks[0] == picks {
		t.Error("another zone dealt nothing anew")
	}
}

func TestBudget(t *testing.T) {
	var b TokenBucket
	taken := 0
	for now := 1000.0; now < 11_000; now++ {
		if b.Take(now, 20, 0.3) {
			taken++
		}
	}
	if taken < 200 || taken > 208 {
		t.Errorf("%d in ten seconds at 20 a second", taken)
	}
}

// Slots of one cycle are apart by the gap, whoever asks when; each gateway gets one, and waits the least time.
func TestTurns(t *testing.T) {
	seen := map[float64]bool{}
	for seat := range 300 {
		at := SlotSchedule{300, seat}.NextSlot(5000.3, 50, 2)
		if at < 5050.3 || at > 5050.3+600 || seen[math.Round(at)] {
			t.Fatalf("seat %d: %.1f", seat, at)
		}
		seen[math.Round(at)] = true
	}
	if at := (SlotSchedule{300, -1}).NextSlot(5000, 50, 2); at != 5600 {
		t.Errorf("without a seat at %.1f", at)
	}
	if at := (SlotSchedule{3, 1}).NextSlot(5000, 50, 2); at != 5050 {
		t.Errorf("few need no slots: %.1f", at)
	}
	if e := (SlotSchedule{300, 0}).Interval(500, 2); e != 600 {
		t.Errorf("every %.0f", e)
	}
}

// Watches of a fleet that knows its seats get longer, so that their sum does not grow; others stay as they are.
func TestCalls(t *testing.T) {
	c := PollPolicy{SlotSchedule: SlotSchedule{300, -1}, DrainGraceMs: 2000}
	if wait, patience := c.NextCall(false); wait != 0 || patience != 4000 {
		t.Errorf("first call: %.0f, %.0f", wait, patience)
	}
	if c.FirstDelay(false, 0.5) != 0 || c.FirstDelay(true, 0.5) != 600 || c.MoveDelay(0.5) != 500 {
		t.Error("spread of first calls")
	}
	first, _ := c.Answered(1)
	if again, _ := c.Answered(2); !first || again || !c.HasAnswer() {
		t.Error("which answer is the first")
	}
	if wait, patience := c.NextCall(true); wait != 2000 || patience != 3000 {
		t.Errorf("watch: %.0f, %.0f", wait, patience)
	}
	c.Slot = 5
	if wait, _ := c.NextCall(true); wait != 6000 {
		t.Errorf("watch of one that knows its seat: %.0f", wait)
	}
	if w := c.Failed(3, 0.5); w != 100 {
		t.Errorf("a watch that breaks off is taken up after %.0f", w)
	}
	last := 0.0
	for range 10 {
		last = c.Failed(4, 0.5)
	}
	if last != 12_000 {
		t.Errorf("at the last after %.0f", last)
	}
	if c.TimedOut(4, 5, 0.999) > 0.4*2000 {
		t.Error("one that holds a list and gets no answer leaves more than the grace of a drain between its calls")
	}
	c.Moved(6)
	if c.HasAnswer() || c.Failed(7, 0.5) != 3000 {
		t.Error("a new address begins anew")
	}
}

// A load that shakes is told once; one that changes is told, seldom.
func TestTeller(t *testing.T) {
	var l LoadAnnouncer
	rng := rand.New(rand.NewPCG(1, 1))
	words, last := 0, 0.0
	look := func(from, to int, mean float64) {
		for s := from; s < to; s++ {
			n := 0.0
			for range 100 {
				if rng.Float64() < mean/100 {
					n++
				}
			}
			if told := l.Observe(float64(s)*1000, n); told != last {
				words, last = words+1, told
			}
		}
	}
	look(0, 300, 20)
	if words != 1 || last < 14 || last > 27 {
		t.Errorf("%d words, the last %.1f", words, last)
	}
	look(300, 400, 60)
	if words < 2 || words > 3 || last < 40 {
		t.Errorf("after it grew: %d words, the last %.1f", words, last)
	}
}

func BenchmarkDeal(b *testing.B) {
	for _, n := range []int{300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, hosts := NewNamedRoster(Gateway{Name: "g0"}, peersOf(n, 3, nil)), hostsOf(10, 3)
			for b.Loop() {
				AssignSubsets(r, hosts, 2)
			}
		})
	}
}
