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

// A Router makes the routing decisions of one gateway. It is not safe for concurrent use.
type Router struct {
	settings Settings
	rng      *rand.Rand    // source of every random draw
	now      time.Duration // clock time of the current Step; never goes back
	actions  []Action      // actions of the current Step, in order

	hosts        map[string]*host // by ID
	groups       map[int]*group   // by ID
	sortedGroups []*group         // by ascending ID, so that no decision depends on the order of a map
	requests     map[uint64]*request

	sessions        map[string]*session
	unidentified    session  // of the writes with Request.SessionUnidentified
	stampFloor      Position // session stamp of every session that isn't in the table
	lastWriteNumber uint64   // writeNumber of the last write that was sent
	siblingRunning  bool     // another process of this gateway is serving requests

	roster           *fleet.Roster            // the gateways that share the hosts
	topologyVersion  int                      // incremented by each change of hosts or gateways
	largestGroupSize int                      // most ready hosts that any group has had; see slowstart.go
	excludedSince    map[string]time.Duration // clock time at which operators excluded a host, by host ID
	subscribeAt      time.Duration            // when to request the endpoint list; 0: no request is due

	latencies       []latencyEstimate   // by class
	quickErrors     movingFailureShare  // share of quick errors among quick errors and answers
	connectFailures movingFailureShare  // share of failed connections among failed connections and answers
	loadEstimator   fleet.LoadEstimator // arrival rate relative to the recently served rate
	meanWeightRate  float64             // mean weight rate of requests; see weightRate
	totalLoadSent   float64             // recently sent load in seconds of latency; decays
	primaryLoadSent float64             // part of totalLoadSent that was sent to primaries

	lastMaintenanceAt time.Duration
	overdueCheckAt    time.Duration // when open attempts are next checked for being overdue
	timerAt           time.Duration // when the last SetTimer fires
	lastLogAt         time.Duration // time of the last Log action
}

// New returns a Router with the given settings. All its random draws derive from seed. It returns a
// *SettingError if the settings are invalid.
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
		// Until requests have shown its actual share, a primary is assumed to get half of the traffic.
		totalLoadSent:   2,
		primaryLoadSent: 1,
		topologyVersion: 1,
		roster:          fleet.NewNumberedRoster(settings.GatewayNumber-1, settings.GatewayCount, settings.Zone),
	}
	first := r.scaleToObjective(initialLatency).Seconds()
	r.latencies = slices.Repeat(
		[]latencyEstimate{{meanSeconds: first, deviationSeconds: first / 2}}, len(settings.Classes))
	if settings.SubscribeToEndpoints {
		r.subscribeAt = 1 // the smallest value other than 0, so that it is due in the first Step
	}
	return r, nil
}

// Step handles the events up to now and returns the resulting actions, in order.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	r.now, r.actions = max(now, r.now), nil
	for _, event := range events {
		r.handle(event)
	}
	r.runMaintenance()
	for _, group := range r.sortedGroups {
		r.dispatchWaiting(group)
	}
	r.removeUnusedGroups()
	r.scheduleTimer()
	return r.actions
}

// handle passes an event to its handler. TimerFired has none, because every Step does the work that is due.
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

// emit adds an action to the current Step.
func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// currentPosition returns the position of a host that has applied all commits up to now.
func (r *Router) currentPosition() Position { return r.now - r.settings.PositionEpoch }

// log emits a log line that says what happened to a host. A line within logInterval after the last one, of
// any group, is dropped and not counted.
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
	waiting []*request // requests to dispatch in this Step or a later one
	open    int        // requests of the group in Router.requests

	primary         *host         // host that was last observed as primary; nil: unknown
	primarySeenAt   time.Duration // when it was last observed as primary
	listedPrimary   *host         // host that the endpoint list last named as primary; nil: none yet
	listedPrimaryAt Position      // current position when the list began to name it
	search          primarySearch

	answerCount    float64 // answers since the last decay
	peakAnswerRate float64 // peak number of answers per second; decays

	admissionGates [hostRoles]float64 // admission gates by role of the host; see admission.go

	subset        fleet.Group // assignment of the ready hosts to gateways
	subsetHosts   []*host     // the hosts of the assignment, in its order
	subsetVersion int         // topologyVersion of the assignment
}

// groupFor returns the group with an ID, creating it if it doesn't exist.
func (r *Router) groupFor(id int) *group {
	if r.groups[id] == nil {
		created := &group{id: id}
		created.openGates()
		r.groups[id] = created
		index, _ := slices.BinarySearchFunc(r.sortedGroups, id, func(group *group, id int) int {
			return cmp.Compare(group.id, id)
		})
		r.sortedGroups = slices.Insert(r.sortedGroups, index, created)
	}
	return r.groups[id]
}

// removeUnusedGroups removes the groups without hosts and requests. Clients choose the groups of their
// requests, and may name ever new ones.
func (r *Router) removeUnusedGroups() {
	r.sortedGroups = slices.DeleteFunc(r.sortedGroups, func(g *group) bool {
		if len(g.hosts) > 0 || g.open > 0 {
			return false
		}
		delete(r.groups, g.id)
		return true
	})
}
