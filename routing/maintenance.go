package routing

import (
	"math"
	"slices"
	"time"
)

// Maintenance: work that is due at a certain time instead of after an event, and the decay of the Router's
// statistics.

const (
	// maintenanceInterval is the shortest time between two decays of the statistics.
	maintenanceInterval = time.Second
	// maxDecayTime is the longest time that a single decay accounts for. By then the recent failures have
	// decayed almost completely.
	maxDecayTime = time.Minute
	// answerRateRetentionPerSecond is the share of a group's peak answer rate that remains after one second.
	answerRateRetentionPerSecond = 0.95
	// loadRetentionPerSecond is the share of the recently sent load that remains after one second.
	loadRetentionPerSecond = 0.98
)

// runMaintenance does the work that is due at the current time.
func (r *Router) runMaintenance() {
	if r.subscribeAt > 0 && r.now >= r.subscribeAt {
		r.subscribeAt = 0
		r.emit(SubscribeEndpoints{})
	}
	if r.now >= r.overdueCheckAt {
		for _, group := range r.sortedGroups {
			for _, host := range group.hosts {
				r.checkOverdueAttempts(host)
			}
		}
	}
	if elapsed := min(r.now-r.lastMaintenanceAt, maxDecayTime); elapsed >= maintenanceInterval {
		r.lastMaintenanceAt = r.now
		r.decayStatistics(elapsed.Seconds())
	}
}

// decayStatistics reduces the weight of what the Router has learned according to the seconds that have
// passed, and removes sessions and hosts that are no longer needed.
func (r *Router) decayStatistics(seconds float64) {
	for _, group := range r.sortedGroups {
		r.decayGroup(group, seconds)
	}
	loadRetention := math.Pow(loadRetentionPerSecond, seconds)
	r.totalLoadSent *= loadRetention
	r.primaryLoadSent *= loadRetention
	r.evictSessions()
	r.loadEstimator.UpdateBaseline(durationToMillis(r.now), r.allWarmedUp())
}

// decayGroup decays the recent failures and the peak answer rate of a group, and removes its hosts that are
// gone. The answer rate doesn't decay while a host of the group is warming up: the group then answers only
// the reduced load that it was sent.
func (r *Router) decayGroup(group *group, seconds float64) {
	for _, host := range group.hosts {
		host.recentFailures *= math.Pow(failureRetentionPerSecond, seconds)
	}
	if !r.anyWarmingUp(group) {
		decayed := group.peakAnswerRate * math.Pow(answerRateRetentionPerSecond, seconds)
		group.peakAnswerRate = max(group.answerCount/seconds, decayed)
	}
	group.answerCount = 0
	group.hosts = slices.DeleteFunc(group.hosts, r.removeGoneHost)
}
