package fleet

import "testing"

func TestTokenBucket(t *testing.T) {
	var bucket TokenBucket
	taken := 0
	for now := 1000.0; now < 11_000; now++ {
		if bucket.Take(now, 20, 0.3) {
			taken++
		}
	}
	if taken < 200 || taken > 208 {
		t.Errorf("took %d tokens in ten seconds at 20 a second, want 200 to 208", taken)
	}
}
