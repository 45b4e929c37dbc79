package routing

import "time"

// Replica lag: which position a replica is assumed to have applied. If replicas don't check positions
// themselves (StalenessCheck), it is the last known one. If they do, a wrong estimate costs only one
// misdirected read, so a replica counts as up to date until it rejects a read. Otherwise all gateways would
// concentrate their reads on the few hosts whose position they learned last.

const (
	// negligibleLag is the lag below which a replica that checks positions counts as up to date.
	negligibleLag = 400 * time.Millisecond
	// lagRetention is how long a known lag is used if health checks are not allowed and can't confirm it.
	lagRetention = 3 * time.Second
	// lagCheckInterval is the interval at which one gateway sends health checks to a lagging replica. If there
	// are many gateways, they space their health checks by gatewaySlotGap.
	lagCheckInterval = 500 * time.Millisecond
)

// estimatedPosition returns the position that a replica is assumed to have applied.
func (r *Router) estimatedPosition(replica *host) Position {
	switch {
	case r.settings.StalenessCheck == StalenessCheckNone:
		return replica.position
	case r.lagIsKnown(replica):
		return max(replica.position, r.currentPosition()-replica.lag)
	}
	return r.currentPosition()
}

// lagIsKnown reports whether a replica is known to lag and this knowledge hasn't expired.
func (r *Router) lagIsKnown(replica *host) bool {
	return replica.lag > 0 && (r.settings.HealthChecksAllowed || r.now < replica.lagKnownAt+lagRetention)
}

// healthCheckLaggingReplica sends a lagging replica a health check if one is due, to learn its position. A
// health check costs much less than the reads that the replica would reject, each after a wait.
func (r *Router) healthCheckLaggingReplica(replica *host) {
	slots := r.roster.Schedule()
	interval := slots.Interval(durationToMillis(lagCheckInterval), durationToMillis(gatewaySlotGap))
	enabled := r.settings.HealthChecksAllowed && r.settings.StalenessCheck != StalenessCheckNone
	lastKnownAt := max(replica.lagKnownAt, replica.healthCheckedAt)
	if enabled && r.now >= lastKnownAt+millisToDuration(interval) {
		r.sendHealthCheck(replica)
	}
}

// sendHealthCheck asks a host for its role and position.
func (r *Router) sendHealthCheck(host *host) {
	host.healthCheckedAt = r.now
	r.emit(HealthCheck{host.ID})
}

// onHealthCheckResult handles a load report. A report of RolePrimary makes the host the primary if the
// report is newer than the other evidence about the role. The position in a primary's report is the time of
// the report. A report of RoleReplica changes no role. No report ends an ejection, resets recent failures
// or ends unresponsiveness.
func (r *Router) onHealthCheckResult(event HealthCheckResult) {
	host := r.hosts[event.Host]
	if host == nil {
		return
	}
	host.healthCheckedAt = 0
	if event.Outcome != OutcomeOK {
		return
	}
	r.observePosition(host, event.Position)
	reportedAt := event.Position + r.settings.PositionEpoch
	newest := host.group.primary == nil || reportedAt > host.group.primarySeenAt
	if event.Role == RolePrimary && event.Position > host.answeredAsReplicaAt && newest {
		r.observeRole(host, RolePrimary, r.now)
	}
}

// observeAttemptResult records the role, position and lag of a host that follow from an attempt's result.
func (r *Router) observeAttemptResult(ended *attempt, event AttemptResult) {
	isWrite := ended.request.class.Consistency == ConsistencyWrite
	switch event.Outcome {
	case OutcomeOK, OutcomeMisdirected, OutcomeError, OutcomeRejected:
		role := event.Role
		if role == RoleUnknown && isWrite && event.Outcome == OutcomeMisdirected {
			role = RoleReplica
		}
		r.observeRole(ended.host, role, event.roleArrivedAt(r.now))
		if !isWrite || event.Outcome != OutcomeOK { // a successful write reports the position of its own commit
			r.observePosition(ended.host, event.Position)
		}
	}
	if r.settings.StalenessCheck != StalenessCheckNone && !isWrite && ended.requiredPosition != 0 {
		r.observeStalenessCheck(ended, event)
	}
}

// observeStalenessCheck records what a replica's check of a read shows. A replica that answered had applied
// the required position when the read was sent. A replica that rejected the read had not.
func (r *Router) observeStalenessCheck(ended *attempt, event AttemptResult) {
	replica := ended.host
	allowedLag := ended.sentAt - r.settings.PositionEpoch - ended.requiredPosition
	switch event.Outcome {
	case OutcomeOK:
		r.observePosition(replica, ended.requiredPosition)
		replica.lag = min(replica.lag, allowedLag)
	case OutcomeMisdirected:
		replica.lag, replica.lagKnownAt = max(replica.lag, allowedLag+time.Millisecond), r.now
		if event.Position > 0 {
			replica.lag = max(replica.lag, r.currentPosition()-event.Position)
		}
	}
}

// observePosition records the position that a host reports to have applied; 0 means unknown. The report may
// be as old as the lag that it shows, so it can lower a known lag but never raise it.
func (r *Router) observePosition(host *host, reported Position) {
	if reported <= 0 {
		return
	}
	host.position = max(host.position, reported)
	if host.lag <= 0 {
		return
	}
	host.lag, host.lagKnownAt = min(host.lag, r.currentPosition()-reported), r.now
	if host.lag < negligibleLag {
		host.lag = 0
	}
}
