package proxy

import "merlinjunction/routing"

const (
	// healthCheckTimeoutMs is the time after which an unanswered health check is aborted.
	healthCheckTimeoutMs = 250.0
	// healthCheckGapMs is the minimum average time between two health checks of a host by all gateways together.
	healthCheckGapMs = 10.0
)

// checkAllHosts sends a health check to all eligible hosts to learn their roles. It runs again after an interval that
// grows with the number of gateways. The router discovers an unknown primary by sending writes. Without these health
// checks a group that gets only reads would have no known primary, and all reads that need the primary would be rejected.
func (c *Core) checkAllHosts() {
	if !c.healthChecksEnabled() {
		return
	}
	for _, h := range c.sortedHosts() {
		c.checkIfEligible(h)
	}
	c.timers.After(c.schedule.Interval(c.limits.HealthCheckIntervalMs, healthCheckGapMs), c.checkAllHosts)
}

// checkNewHost sends a health check to a host that was added to the endpoint list.
func (c *Core) checkNewHost(h *host) {
	if c.healthChecksEnabled() {
		c.checkIfEligible(h)
	}
}

func (c *Core) healthChecksEnabled() bool { return c.limits.HealthCheckIntervalMs > 0 }

func (c *Core) checkIfEligible(h *host) {
	if h.isEligible() {
		c.sendHealthCheck(h.ID)
	}
}

// sendHealthCheck asks a host for its load report.
func (c *Core) sendHealthCheck(hostID string) {
	h := c.hosts[hostID]
	if h == nil {
		c.events = append(c.events, routing.HealthCheckResult{Host: hostID, Outcome: routing.OutcomeNotSent})
		return
	}
	attempt := &hostAttempt{host: h}
	attempt.timer = c.timers.After(healthCheckTimeoutMs, func() { c.abortAttempt(attempt, routing.OutcomeTimeout) })
	c.assignConn(attempt)
}

// finishHealthCheck passes the result of a health check to the router.
func (c *Core) finishHealthCheck(attempt *hostAttempt, outcome routing.Outcome, response Response) {
	result := routing.HealthCheckResult{
		Host:     attempt.host.ID,
		Outcome:  outcome,
		Role:     response.Role,
		Position: c.position(response.PositionMs),
	}
	if outcome == routing.OutcomeOK {
		if role, positionMs, ok := c.parseLoadReport(response.Body); ok {
			result.Role, result.Position = role, c.position(positionMs)
		}
	}
	if result.Role == routing.RolePrimary && result.Position == 0 {
		result.Position = c.position(c.Now()) // a primary has all commits, so its position is the current time
	}
	c.events = append(c.events, result)
}
