package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"merlinjunction/fleet"
)

// logInterval is the shortest time between two Log actions.
const logInterval = time.Second

// A Router decides for one gateway. It is not safe for concurrent use.
type Router struct {
	settings Settings
	rng      *rand.Rand    // source of every random draw
	now      time.Duration // clock time of the current Step; never goes back
	actions  []Action      // of the current Step, in order

	hosts        map[string]*host // by ID
	groups       map[int]*group   // by ID
	sortedGroups []*group         // by ID, ascending: no decision depends on the order of a map
	requests     map[uint64]*request

	sessions        map[string]*session
	stampFloor      Position // session stamp of all sessions that aren't in the table
	lastWriteNumber uint64
	siblingRunning  bool // another process of this gateway serves requests

	roster           *fleet.Roster            // the gateways that share the hosts
	topologyVersion  int                      // grows with each change of hosts or gateways
	largestGroupSize int                      // most hosts that were ready in any group; see slowstart.go
	excludedSince    map[string]time.Duration // clock time at which operators excluded a host, by its ID
	subscribeAt      time.Duration            // when to ask for the endpoint list; 0: not needed

	latencies       []latencyEstimate   // by class
	quickErrors     movingFailureShare  // quick errors, against answers
	connectFailures movingFailureShare  // failed connections, against answers
	loadEstimator   fleet.LoadEstimator // arrivals over the rate that was lately served
	meanWeightRate  float64             // mean weight rate of requests; see weightRate
	totalLoadSent   float64             // seconds of answer time sent lately; fades
	primaryLoadSent float64             // part of it that was sent to primaries

	lastMaintenanceAt time.Duration
	overdueCheckAt    time.Duration // when attempts are next checked for being overdue
	timerAt           time.Duration // of the last SetTimer
	lastLogAt         time.Duration
}

// New returns a Router with the given settings; all its random draws come from seed. It returns a
// *SettingError for settings that it can't work with.
func New(settings Settings, seed uint64) (*Router, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	r := &Router{
		settings:      settings,
		rng:           rand.New(rand.NewPCG(seed, seed)),
		hosts:         map[string]*host{},
		groups:        map[int]*group{},
		requests:      map[uint64]*request{},
		sessions:      map[string]*session{},
		excludedSince: map[string]time.Duration{},
		// A primary is taken to get half of the traffic until requests have shown its part.
		totalLoadSent:   2,
		primaryLoadSent: 1,
		topologyVersion: 1,
		roster:          fleet.NewNumberedRoster(settings.GatewayNumber-1, settings.GatewayCount, settings.Zone),
	}
	first := r.scaleToObjective(initialLatency).Seconds()
	r.latencies = slices.Repeat(
		[]latencyEstimate{{meanSeconds: first, deviationSeconds: first / 2}}, len(settings.Classes))
	if settings.SubscribeToEndpoints {
		r.subscribeAt = 1 // the least time that isn't 0: in the first Step
	}
	return r, nil
}

// Step handles what has happened up to now and returns what to do, in order.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	r.now, r.actions = max(now, r.now), nil
	for _, event := range events {
		r.handle(event)
	}
	r.runMaintenance()
	for _, group := range r.sortedGroups {
		r.dispatchWaiting(group)
	}
	r.scheduleTimer()
	return r.actions
}

// handle passes an event to the rule that it concerns. TimerFired needs none: Step does what is due.
func (r *Router) handle(event Event) {
	switch event := event.(type) {
	case EndpointUpdate:
		r.onEndpointUpdate(event)
	case Request:
		r.onRequest(event)
	case AttemptResult:
		r.onAttemptResult(event)
	case HealthCheckResult:
		r.onHealthCheckResult(event)
	case ExcludeHost:
		r.onExcludeHost(event)
	case IncludeHost:
		r.onIncludeHost(event)
	case SiblingProcess:
		r.onSiblingProcess(event)
	case RosterUpdate:
		r.roster = event.Roster
		r.topologyVersion++
	case StreamStarted:
		r.onStreamStarted(event)
	case ClientGone:
		r.finish(r.requests[event.Request])
	}
}

// emit adds an action to those of the current Step.
func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// currentPosition is the position of a host that has applied everything up to now.
func (r *Router) currentPosition() Position { return r.now - r.settings.PositionEpoch }

// log writes a line for the operators: what has happened to a host. Lines of any group within logInterval of
// the last one are dropped, and not counted.
func (r *Router) log(host *host, whatHappened string) {
	if r.lastLogAt > 0 && r.now < r.lastLogAt+logInterval {
		return
	}
	r.lastLogAt = r.now
	text := fmt.Sprintf("group %d: host %s %s", host.group.id, host.ID, whatHappened)
	r.emit(Log{Text: text, Group: host.group.id, Host: host.ID})
}

// A group is one primary and its replicas.
type group struct {
	id      int
	hosts   []*host    // by ID, ascending
	waiting []*request // to be dispatched in this Step or a later one

	primary         *host         // host that last answered as primary; nil: unknown
	primarySeenAt   time.Duration // when it did
	listedPrimary   *host         // host that the endpoint list names as primary; nil: none yet
	listedPrimaryAt Position      // position at the time when the list began to name it
	search          primarySearch

	servedCount    float64 // answers since the last maintenance
	peakAnswerRate float64 // greatest number of answers per second; fades

	admissionGates [hostRoles]float64 // by role of the host; see admission.go

	subset        fleet.Group // assignment of the ready hosts to gateways
	subsetHosts   []*host     // hosts of that assignment, in its order
	subsetVersion int         // topologyVersion at which it was made
}

// groupFor returns a group, which it creates where it is new.
func (r *Router) groupFor(id int) *group {
	if r.groups[id] == nil {
		created := &group{id: id}
		created.openGates()
		r.groups[id] = created
		r.sortedGroups = append(r.sortedGroups, created)
		slices.SortFunc(r.sortedGroups, func(a, b *group) int { return cmp.Compare(a.id, b.id) })
	}
	return r.groups[id]
}
