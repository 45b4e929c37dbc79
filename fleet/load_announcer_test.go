package fleet

import (
	"math/rand/v2"
	"testing"
)

// A load that fluctuates around a constant mean is announced only once. A lasting change is announced in few steps.
func TestLoadAnnouncer(t *testing.T) {
	var announcer LoadAnnouncer
	rng := rand.New(rand.NewPCG(1, 1))
	announcements, last := 0, 0.0
	observe := func(fromSecond, toSecond int, mean float64) {
		for second := fromSecond; second < toSecond; second++ {
			load := 0.0
			for range 100 {
				if rng.Float64() < mean/100 {
					load++
				}
			}
			if announced := announcer.Observe(float64(second)*1000, load); announced != last {
				announcements, last = announcements+1, announced
			}
		}
	}
	observe(0, 300, 20)
	if announcements != 1 || last < 14 || last > 27 {
		t.Errorf("%d announcements, the last of %.1f, want 1 of 14 to 27", announcements, last)
	}
	observe(300, 400, 60)
	if announcements < 2 || announcements > 3 || last < 40 {
		t.Errorf("after the load grew: %d announcements, the last of %.1f, want 2 or 3 and at least 40", announcements, last)
	}
}
