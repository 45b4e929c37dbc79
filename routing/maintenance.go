package routing

import (
	"math"
	"slices"
	"time"
)

// Maintenance: what is due by time rather than by an event, and the fading of what the Router has learned.

const (
	// maintenanceInterval is the least time between two fadings of evidence.
	maintenanceInterval = time.Second
	// maxDecayTime is the age at which evidence has faded altogether.
	maxDecayTime = time.Minute
	// answerRateRetentionPerSecond is the part of a group's peak answer rate that is left after a second.
	answerRateRetentionPerSecond = 0.95
	// loadRetentionPerSecond is the part of what is counted as sent lately that is left after a second.
	loadRetentionPerSecond = 0.98
)

// runMaintenance does what is due at this time rather than by an event.
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

// decayStatistics lets what the Router has learned lose weight by the seconds that have passed, and removes
// what it needs no more.
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

// decayGroup lets the failures and the answer rate of a group fade, and removes its hosts that are gone. While
// one of its hosts is warming up the answer rate stays: what the group answers then is only what it was sent.
func (r *Router) decayGroup(group *group, seconds float64) {
	for _, host := range group.hosts {
		host.recentFailures *= math.Pow(failureRetentionPerSecond, seconds)
	}
	if !r.anyWarmingUp(group) {
		faded := group.peakAnswerRate * math.Pow(answerRateRetentionPerSecond, seconds)
		group.peakAnswerRate = max(group.servedCount/seconds, faded)
	}
	group.servedCount = 0
	if !r.settings.UseUnlistedHosts {
		group.hosts = slices.DeleteFunc(group.hosts, r.removeGoneHost)
	}
}
