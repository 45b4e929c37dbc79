package membership

const (
	burstWindowMs   = 2000.0
	burstFailures   = 3  // accusations and deaths within burstWindowMs
	burstFleetShare = 10 // in a small fleet one failure for each so many members is enough
)

// isFailureBurst reports whether so many members failed recently that speed matters more than traffic: probes come as
// fast as their attempts, gossip twice as often.
func (v *View) isFailureBurst() bool {
	for len(v.failuresAt) > 0 && v.now-v.failuresAt[0] > burstWindowMs {
		v.failuresAt = v.failuresAt[1:]
	}
	return len(v.failuresAt) >= min(max(1, (len(v.live)+1)/burstFleetShare), burstFailures)
}
