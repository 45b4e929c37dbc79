package proxy

import (
	"go.uber.org/zap"

	"merlinjunction/fleet"
	"merlinjunction/internal/eventloop"
	"merlinjunction/routing"
)

// Limits are the bounds of a Core.
type Limits struct {
	ConnectTimeoutMs      float64 // for an upstream connection to be established
	HostIdleTimeoutMs     float64 // a host closes a connection that was idle for so long
	MaxConns              int     // upstream connections to all hosts together
	MaxRequests           int     // requests held at a time
	HealthCheckIntervalMs float64 // between health checks of a host that the router doesn't ask for; 0: there are none
}

// Core holds the requests, the endpoint list and the upstream connections of one gateway.
type Core struct {
	timers             *eventloop.Timers
	log                *zap.Logger
	router             *routing.Router
	settings           routing.Settings
	limits             Limits
	dialer             Dialer
	healthCheckCommand any
	parseLoadReport    func(body []byte) (role routing.Role, positionMs float64, ok bool)

	events     []routing.Event // since the last Step
	timerFired bool            // a timer of scheduleStep has fired since the last Step
	stepping   bool            // the actions of a Step are being carried out

	requests        map[uint64]*request
	lastID          uint64
	departed        []*request // whose clients left while stepping; they are removed after the actions
	finalDeadlineMs float64    // by which all requests have to be answered; 0: there is none

	hosts      map[string]*host
	openConns  int                // upstream connections, established or being dialed
	exclusions map[string]float64 // hosts excluded by hand, and since when
	schedule   fleet.SlotSchedule // this gateway's slot among those that share the hosts

	replyCounts     []ReplyCounts // by class
	writtenAttempts int           // attempts whose last byte was written
}

// New returns a Core, which starts its timers at once. healthCheckCommand asks a host for its load report, and
// parseLoadReport reads the role and the position (milliseconds since 1970) from the body of the answer; its last
// result is false where the body is no load report. seed determines the router's random draws. New fails on settings
// that the router can't work with.
func New(timers *eventloop.Timers, log *zap.Logger, settings routing.Settings, seed uint64, limits Limits,
	dialer Dialer, healthCheckCommand any, parseLoadReport func([]byte) (routing.Role, float64, bool),
) (*Core, error) {
	router, err := routing.New(settings, seed)
	if err != nil {
		return nil, err
	}
	core := &Core{
		timers:             timers,
		log:                log,
		router:             router,
		settings:           settings,
		limits:             limits,
		dialer:             dialer,
		healthCheckCommand: healthCheckCommand,
		parseLoadReport:    parseLoadReport,
		requests:           map[uint64]*request{},
		hosts:              map[string]*host{},
		exclusions:         map[string]float64{},
		schedule:           settings.Schedule(),
		replyCounts:        make([]ReplyCounts, len(settings.Classes)),
	}
	core.maintainConns()
	core.checkAllHosts()
	return core, nil
}

// Now returns the time in milliseconds.
func (c *Core) Now() float64 { return c.timers.Clock.Now() }

// Ready returns whether requests can be served: some host is eligible and the last connection attempt to it didn't
// fail. A host that was never dialed counts as reachable.
func (c *Core) Ready() bool {
	for _, h := range c.hosts {
		if h.isEligible() && !h.connectFailed {
			return true
		}
	}
	return false
}

// SetRoster takes in the gateways that share the hosts.
func (c *Core) SetRoster(roster *fleet.Roster) {
	c.schedule = roster.Schedule()
	c.events = append(c.events, routing.RosterUpdate{Roster: roster})
}

// SetSiblingProcess notes whether another process of the same gateway is running, as during an upgrade, and how many
// upstream connections this process may hold meanwhile.
func (c *Core) SetSiblingProcess(running bool, maxConns int) {
	c.limits.MaxConns = maxConns
	for c.openConns > maxConns {
		if !c.closeOldestIdle() {
			break
		}
	}
	c.events = append(c.events, routing.SiblingProcess{Running: running})
}

// Step passes the events since the last Step to the router and carries out the actions that come back. It is called
// once in each round of the event loop.
func (c *Core) Step() {
	if len(c.events) == 0 && !c.timerFired {
		return
	}
	events := c.events
	if c.timerFired {
		events = append(events, routing.TimerFired{})
	}
	c.events, c.timerFired = nil, false
	c.stepping = true
	for _, action := range c.router.Step(toDuration(c.Now()), events) {
		c.carryOut(action)
	}
	c.stepping = false
	c.removeDeparted()
	if len(c.events) > 0 { // an action had its result at once
		c.scheduleStep(0)
	}
}

// carryOut does what the router decided.
func (c *Core) carryOut(action routing.Action) {
	switch action := action.(type) {
	case routing.Attempt:
		c.startAttempt(action)
	case routing.CancelAttempt:
		c.cancelAttempt(action)
	case routing.Reject:
		c.rejectRequest(action)
	case routing.Fail:
		c.failRequest(action)
	case routing.HealthCheck:
		c.sendHealthCheck(action.Host)
	case routing.SetTimer:
		c.scheduleStep(toMs(action.After))
	case routing.SubscribeEndpoints: // nothing to do: the owner of the Core follows the endpoint list from the start
	case routing.Log:
		c.log.Info("routing decision", zap.String("decision", action.Text), zap.Int("group", action.Group),
			zap.String("host", action.Host))
	}
}

// scheduleStep makes a Step due after some milliseconds, at a SetTimer action or for events that came up during a Step;
// the router gets a TimerFired event for either. Timers that were set before stay; the router ignores those that it
// doesn't need any more.
func (c *Core) scheduleStep(afterMs float64) {
	c.timers.After(afterMs, func() { c.timerFired = true })
}
