package transport

import (
	"testing"

	"pgregory.net/rapid"
)

// For counters in the window, the filter gives the same answers as a set of all counters. Older counters are rejected.
func TestReplayFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var filter ReplayFilter
		seen := map[uint64]bool{}
		var highest uint64
		for range rapid.IntRange(1, 200).Draw(t, "datagrams") {
			step := rapid.SampledFrom([]int{1, 1, 1, 2, -1, -3, -60, 64, 300, 511, 512, 513, 5000}).Draw(t, "step")
			counter := uint64(max(1, int(highest)+step))
			inWindow := len(seen) == 0 || highest < windowBits || counter > highest-windowBits
			want := !seen[counter] && inWindow
			if got := filter.Accept(7, 9, counter); got != want {
				t.Fatalf("counter %d with the highest counter %d: accepted %v, want %v", counter, highest, got, want)
			}
			if want {
				seen[counter] = true
				highest = max(highest, counter)
			}
		}
		if filter.Accept(7, 9, highest) || !filter.Accept(7, 10, highest) || !filter.Accept(8, 9, highest) {
			t.Fatal("the filter does not distinguish processes")
		}
	})
}
