package proxy

import (
	"go.uber.org/zap"

	"merlinjunction/fleet"
	"merlinjunction/internal/eventloop"
	"merlinjunction/routing"
)

// Limits configures the timeouts, the capacity and the health check interval of a Core.
type Limits struct {
	ConnectTimeoutMs      float64 // time allowed for establishing an upstream connection
	HostIdleTimeoutMs     float64 // idle time after which a host closes a connection
	MaxConns              int     // maximum number of upstream connections to all hosts together
	MaxRequests           int     // maximum number of requests held at a time
	HealthCheckIntervalMs float64 // time between the Core's own health checks of a host, besides the router's; 0: none
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

	events     []routing.Event // events since the last Step
	timerFired bool            // a timer of scheduleStep has fired since the last Step
	stepping   bool            // the actions of a Step are being executed

	requests        map[uint64]*request
	lastID          uint64
	abandoned       []*request // requests whose clients left while stepping; removed at the end of the Step
	finalDeadlineMs float64    // time by which all requests must be answered; 0: no such time

	hosts      map[string]*host
	openConns  int                // number of upstream connections, established or being dialed
	exclusions map[string]float64 // for each host that an operator has excluded, the time of the exclusion
	schedule   fleet.SlotSchedule // this gateway's slot among the gateways that share the hosts

	replyCounts     []ReplyCounts // final answers by class
	writtenAttempts int           // number of attempts whose last byte was written
}

// New returns a Core and starts its timers. healthCheckCommand asks a host for its load report. parseLoadReport reads the
// role and the position (milliseconds since 1970) from the body of the answer, and returns false if the body is not a
// load report. seed determines the router's random draws. New returns an error if the router rejects the settings.
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

// Ready reports whether requests can be served, that is, whether there is an eligible host whose last connection attempt
// didn't fail. A host that was never dialed counts as reachable.
func (c *Core) Ready() bool {
	for _, h := range c.hosts {
		if h.isEligible() && !h.connectFailed {
			return true
		}
	}
	return false
}

// SetRoster sets the gateways that share the hosts.
func (c *Core) SetRoster(roster *fleet.Roster) {
	c.schedule = roster.Schedule()
	c.events = append(c.events, routing.RosterUpdate{Roster: roster})
}

// SetSiblingProcess sets whether another process of the same gateway is running, as during an upgrade, and how many
// upstream connections this process may hold. It closes idle connections beyond that number.
func (c *Core) SetSiblingProcess(running bool, maxConns int) {
	c.limits.MaxConns = maxConns
	for c.openConns > maxConns {
		if !c.closeOldestIdle() {
			break
		}
	}
	c.events = append(c.events, routing.SiblingProcess{Running: running})
}

// Step passes the events since the last Step to the router and executes the actions that the router returns. It is
// called once in each round of the event loop.
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
		c.execute(action)
	}
	c.stepping = false
	c.removeAbandoned()
	if len(c.events) > 0 { // an action produced an event at once
		c.scheduleStep(0)
	}
}

// execute executes one action of the router.
func (c *Core) execute(action routing.Action) {
	switch action := action.(type) {
	case routing.Attempt:
		c.startAttempt(action)
	case routing.CancelAttempt:
		c.cancelAttempt(action)
	case routing.WithdrawAttempt:
		c.withdrawAttempt(action)
	case routing.Reject:
		c.rejectRequest(action)
	case routing.Fail:
		c.failRequest(action)
	case routing.HealthCheck:
		c.sendHealthCheck(action.Host)
	case routing.SetTimer:
		c.scheduleStep(toMs(action.After))
	case routing.SubscribeEndpoints: // nothing to do: the owner of the Core subscribes to the endpoint list at its start
	case routing.Log:
		c.log.Info("routing decision", zap.String("decision", action.Text), zap.Int("group", action.Group),
			zap.String("host", action.Host))
	}
}

// scheduleStep ensures that a Step runs after some milliseconds. It is called for a SetTimer action and for events that
// were added during a Step. The router gets a TimerFired event in both cases. Timers that were set before are kept; the
// router ignores those that it no longer needs.
func (c *Core) scheduleStep(afterMs float64) {
	c.timers.After(afterMs, func() { c.timerFired = true })
}
