package fleet

import (
	"math"
	"testing"
)

// A numbered roster with an unknown or inconsistent index or count still leads to a usable assignment.
func TestNewNumberedRoster(t *testing.T) {
	for _, test := range []struct {
		name                string
		index, count        int
		wantSize, wantIndex int
	}{
		{"unknown index", -1, 5, 5, -1},
		{"index past the count", 7, 3, 8, 7},
		{"too many gateways for subsets", 3, 1 << 40, 1 << 40, -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := NewNumberedRoster(test.index, test.count, "")
			if r.Size() != test.wantSize || r.Index() != test.wantIndex {
				t.Errorf("index %d of %d gateways, want %d of %d", r.Index(), r.Size(), test.wantIndex, test.wantSize)
			}
		})
	}
	r := NewNumberedRoster(-1, 5, "")
	if order := AssignSubsets(r, newHosts(4, 0), 2).PreferenceOrder(); r.TrafficShare() != 0.2 || len(order) != 4 {
		t.Errorf("unknown index: traffic share %v, order %v, want 0.2 and 4 hosts", r.TrafficShare(), order)
	}
}

// A gateway that knows its zone gets a subset of hosts of its zone.
func TestNumberedRosterPrefersOwnZone(t *testing.T) {
	for index := range 30 {
		assignment := AssignSubsets(NewNumberedRoster(index, 30, "b"), newHosts(9, 4), 2)
		order := assignment.PreferenceOrder()
		if assignment.hosts[order[0]].Zone != "b" || assignment.hosts[order[1]].Zone != "b" {
			t.Errorf("gateway %d of zone b gets hosts %v, want two of its zone", index, order[:2])
		}
	}
}

// A gateway may use more than its even share of a limit only if all loads are known.
func TestQuotaScale(t *testing.T) {
	numbered := NewNumberedRoster(1, 9, "")
	if above, below := numbered.QuotaScale(3), numbered.QuotaScale(0.5); above != 1 || below != 0.5 {
		t.Errorf("unknown loads: scale %v for a ratio of 3 and %v for 0.5, want 1 and 0.5", above, below)
	}
	named := NewNamedRoster(Gateway{Name: "a", Load: 1}, []Gateway{{Name: "b", Load: 1}})
	if got := named.QuotaScale(3); got != 3 {
		t.Errorf("known loads: scale %v, want 3", got)
	}
}

func TestNewNamedRoster(t *testing.T) {
	self := Gateway{Name: "b", Zone: "x", Load: 30}
	r := NewNamedRoster(self, []Gateway{{Name: "c", Load: 10}, {Name: "a"}, {Name: "c", Load: 99}})
	if r.Size() != 3 || r.Index() != 1 || math.Abs(r.TrafficShare()-30.0/60) > 1e-9 {
		t.Errorf("index %d of %d gateways, traffic share %.3f, want 1 of 3 and 0.5", r.Index(), r.Size(), r.TrafficShare())
	}
	if assignment := AssignSubsets(r, nil, 2); assignment.SubsetSize() != 0 || len(assignment.PreferenceOrder()) != 0 {
		t.Error("an assignment of no hosts has hosts")
	}
	others := []Gateway{{Name: "c", Load: 10}, {Name: "a"}}
	for _, test := range []struct {
		name  string
		other *Roster
		want  bool
	}{
		{"similar load", NewNamedRoster(Gateway{Name: "b", Zone: "x", Load: 32}, others), true},
		{"different load", NewNamedRoster(Gateway{Name: "b", Zone: "x", Load: 50}, others), false},
		{"alone", NewNamedRoster(self, nil), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := r.Equivalent(test.other); got != test.want {
				t.Errorf("equivalent: %v, want %v", got, test.want)
			}
		})
	}
}
