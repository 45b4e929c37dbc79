package membership

const (
	burstWindowMs          = 2000.0 // period in which failures are counted
	maxBurstThreshold      = 3      // failures within burstWindowMs that are a burst in a fleet of any size
	membersPerBurstFailure = 10     // live members, this one included, for each failure that a burst requires
)

// isFailureBurst reports whether so many members failed within burstWindowMs that fast detection matters more than low
// traffic. During a burst, regular probes start at intervals of Tuning.MinAttemptIntervalMs, gossip rounds run twice as
// often, and more indirect probes are requested. A change to Suspect and a change to Dead each count as a failure, so one
// crash usually counts twice. With fewer than 20 live members, this one included, one failure is a burst, with fewer than
// 30 two are, and with 30 or more three are.
func (v *View) isFailureBurst() bool {
	for len(v.failureTimes) > 0 && v.now-v.failureTimes[0] > burstWindowMs {
		v.failureTimes = v.failureTimes[1:]
	}
	return len(v.failureTimes) >= min(max(1, (len(v.live)+1)/membersPerBurstFailure), maxBurstThreshold)
}
