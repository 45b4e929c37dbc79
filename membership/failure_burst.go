package membership

const (
	burstWindowMs          = 2000.0
	maxBurstFailures       = 3  // failures within burstWindowMs that are a burst in a fleet of any size
	membersPerBurstFailure = 10 // live members for each failure that a burst needs
)

// isFailureBurst reports whether members failed recently in such a number that speed matters more than traffic: probes
// come as fast as their attempts, gossip twice as often, and more indirect probes are requested. A failure is a change
// to Suspect or to Dead, so one crash usually counts twice. Below 20 live members, this one included, a single failure
// is a burst, below 30 two are, from there on three.
func (v *View) isFailureBurst() bool {
	for len(v.failuresAt) > 0 && v.now-v.failuresAt[0] > burstWindowMs {
		v.failuresAt = v.failuresAt[1:]
	}
	return len(v.failuresAt) >= min(max(1, (len(v.live)+1)/membersPerBurstFailure), maxBurstFailures)
}
