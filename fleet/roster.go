// Package fleet decides what part of a shared set of hosts one gateway of many uses, and when it does what the
// whole fleet does: subsets of hosts, shares of a host's budget, turns. It holds no goroutine, clock, I/O or
// global. Every gateway computes the same from the same facts, so what each takes adds up without a word between
// them; where their facts differ, the sums are off by as much as the facts are.
//
// Rendezvous hashing is Thaler and Ravishankar's (1998), the bound on it that of consistent hashing with bounded
// loads (Mirrokni, Thorup, Zadimoghaddam 2016). docs/fleet.md weighs them against the others.
//
// All times are milliseconds, all rates a second.
package fleet

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Gateway is one gateway of the fleet.
type Gateway struct {
	Name string
	Zone string  // "" where nobody says
	Load float64 // requests a second that it takes; 0: not known, taken for the mean
}

// Roster is the gateways that share the hosts. It does not change; a new view makes a new one.
type Roster struct {
	peers []Gateway // by name
	keys  []uint64
	loads []float64 // none is 0
	order []int     // in which subsets are dealt: by key
	total float64   // of loads
	size  int       // as many as peers, or more where no subsets are dealt
	self  int       // -1: nobody knows which one this is
	told  bool      // all loads are known
	names uint64    // a hash over names and zones: dealings depend on nothing else
}

// mostPeers is the largest fleet that subsets are dealt to.
const mostPeers = 10_000

// NewNumberedRoster is a fleet of which only the number of gateways is known, and which of them this one is: 0 to count-1, or
// -1. A count under 1 is taken for 1; a number past the count for one of a fleet that is that much larger. Where this
// gateway stands is known, where the others do isn't: it is dealt to of its own zone first, and they of any.
func NewNumberedRoster(index, count int, zone string) *Roster {
	count = max(1, count, index+1)
	if index < 0 || count > mostPeers {
		return &Roster{self: -1, size: count, total: 1}
	}
	peers := make([]Gateway, count)
	for i := range peers {
		peers[i].Name = fmt.Sprintf("%06d", i)
	}
	peers[index].Zone = zone
	return newRoster(index, peers)
}

// NewNamedRoster is a fleet whose members are known. This gateway is added where it is not among them; of two peers of one
// name the first counts.
func NewNamedRoster(self Gateway, peers []Gateway) *Roster {
	all := append([]Gateway{self}, peers...)
	slices.SortStableFunc(all, func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
	all = slices.CompactFunc(all, func(a, b Gateway) bool { return a.Name == b.Name })
	at, _ := slices.BinarySearchFunc(all, self.Name, func(p Gateway, name string) int { return cmp.Compare(p.Name, name) })
	all[at] = self
	return newRoster(at, all)
}

func newRoster(self int, peers []Gateway) *Roster {
	r := &Roster{peers: peers, self: self, size: len(peers), keys: make([]uint64, len(peers)), loads: make([]float64, len(peers)), order: make([]int, len(peers))}
	known, sum := 0, 0.0
	for _, p := range peers {
		if p.Load > 0 {
			known++
			sum += p.Load
		}
	}
	r.told = known == len(peers)
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	for i, p := range peers {
		r.keys[i], r.order[i], r.loads[i] = keyOf(p.Name), i, p.Load
		if !(p.Load > 0) {
			r.loads[i] = mean
		}
		r.total += r.loads[i]
	}
	h := xxhash.New()
	for _, p := range peers {
		_, _ = fmt.Fprintf(h, "%q %q ", p.Name, p.Zone)
	}
	r.names = h.Sum64()
	slices.SortFunc(r.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.keys[a], r.keys[b]), cmp.Compare(a, b))
	})
	return r
}

// Size is the number of gateways, this one among them.
func (r *Roster) Size() int { return r.size }

// Index is this gateway's place among them, by name: 0 to Size()-1, or -1 where it isn't known.
func (r *Roster) Index() int { return r.self }

// TrafficShare is this gateway's part of the fleet's traffic: by its load, or an even part where loads aren't known.
func (r *Roster) TrafficShare() float64 {
	if r.self < 0 {
		return 1 / float64(r.size)
	}
	return r.loads[r.self] / r.total
}

// QuotaScale is how many times its even part of a limit a gateway may take that sends times as much of its own traffic to a host
// as all do. Where loads aren't known it may have far more traffic than the others, and its even part is all it gets.
func (r *Roster) QuotaScale(times float64) float64 {
	if r.told {
		return times
	}
	return min(1, times)
}

// Equivalent tells whether two rosters lead to the same choices: loads within a quarter of each other are the same.
func (r *Roster) Equivalent(o *Roster) bool {
	return r.self == o.self && r.size == o.size && slices.EqualFunc(r.peers, o.peers, func(a, b Gateway) bool {
		return a.Name == b.Name && a.Zone == b.Zone && (a.Load > 0) == (b.Load > 0) && a.Load <= 1.25*b.Load && b.Load <= 1.25*a.Load
	})
}

// LoadAnnouncer decides when a gateway tells the others its load anew: what is told goes to all of them, so it must be seldom.
// The zero value has told nothing.
type LoadAnnouncer struct {
	load, told float64
	at         float64
	looks      int
}

const (
	loadGain  = 0.2      // weight of a new second in the load
	loadLooks = 5        // seconds that are looked at before anything is told
	tellMs    = 10_000.0 // between two words
	tellTimes = 1.5      // that the load has to have changed
	loadLeast = 0.1      // requests a second; less is none
)

// Observe takes in what came in the last second, and returns what the others are to be told: 0 for nothing yet.
func (t *LoadAnnouncer) Observe(now, load float64) float64 {
	if t.looks++; t.looks == 1 {
		t.load = load
	}
	t.load += max(loadGain, 1/float64(t.looks)) * (load - t.load)
	is := max(t.load, loadLeast)
	if t.looks >= loadLooks && (t.told == 0 || now >= t.at+tellMs && (is > tellTimes*t.told || is*tellTimes < t.told)) {
		t.told, t.at = math.Round(10*is)/10, now
	}
	return t.told
}

// Host is a host of one group as far as all gateways know the same of it.
type Host struct {
	ID   string
	Zone string
}

func keyOf(name string) uint64 { return xxhash.Sum64String(name) }

// score is how much a gateway prefers a host, the same wherever it is worked out.
func score(peer, host uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], peer)
	binary.LittleEndian.PutUint64(b[8:], host)
	return xxhash.Sum64(b[:])
}
