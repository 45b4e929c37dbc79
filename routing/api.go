// Package decide makes the decisions of a client library that routes reads and
// writes in a replicated store. It holds no goroutine, clock, I/O or global: a
// host builds one Router with New, feeds it what happened with Step and carries
// out the Actions that come back. This file is the interface; every decision is
// in decide.go, list.go, ban.go and near.go.
//
// A host calls Step whenever it has events and whenever the time of the last
// Wake has come. After a restart it builds a new Router with a new seed; what the
// old one held is gone. New returns an error for settings that it can't work
// with. Events about requests, attempts or members that the Router doesn't know,
// or that come twice or late, are ignored; a clock that goes back stands still.
// A Router that holds nothing asks for no Wake.
package routing

import (
	"time"

	"merlinjunction/fleet"
)

// Position is a point of a group's log: the time, counted from Settings.Epoch,
// up to which a member has applied all commits. Zero means unknown.
type Position = time.Duration

// Consistency says how new the data behind an answer must be.
type Consistency int

// The needs of a class.
const (
	ConsistencyAny     Consistency = iota // any member may answer
	ConsistencyBounded                    // no older than Class.MaxAge when sent
	ConsistencySession                    // all that the session has written
	ConsistencyStrong                     // all that was written before the request arrived
	ConsistencyWrite                      // a write: only the primary takes it
)

// Idempotency says what may be done with a request that might have run.
type Idempotency int

// The effects of a class.
const (
	Idempotent        Idempotency = iota // may be repeated and refused freely
	IdempotentWithKey                    // repeats are dropped inside Class.RepeatWindow
	NotIdempotent                        // must never run twice
)

// StalenessCheck says what a replica does with a read that it is too far behind for.
type StalenessCheck int

// The ways of checking.
const (
	StalenessCheckNone   StalenessCheck = iota // it answers from what it has
	StalenessCheckReject                       // it turns the read away at once
	StalenessCheckWait                         // it waits a little, then turns the read away
)

// Class is a kind of request.
type Class struct {
	Name                string
	Consistency         Consistency
	MaxStaleness        time.Duration // of a NeedBounded class
	Idempotency         Idempotency
	KeySharedByAllHosts bool          // EffectKeyed: every member drops repeats, not just the group's
	DedupWindow         time.Duration // EffectKeyed: for this long after the first send that might have run
	LatencyObjective    time.Duration // an answer inside it has its full worth
	Deadline            time.Duration // the client's whole patience, all tries together
	PriorityWeight      float64
	LateWeightShare     float64 // share of Worth for an answer after Aim
}

// Tenant is a customer with a share of the service. No decision goes by it at
// present: a quota divided by the number of routers says little where routers
// are many and uneven.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests a second within its share, over all routers
}

// Settings is what a router is told at its start.
type Settings struct {
	Classes              []Class
	Tenants              []Tenant
	OverQuotaWeightShare float64 // worth of a request past its tenant's share, as a share
	GatewayCount         int     // how many there are
	GatewayNumber        int     // which of them this one is, from 1; 0: nobody says
	SubsetSize           int     // hosts of a group that this one prefers; 0: all
	Zone                 string  // where this one stands
	TickInterval         time.Duration
	PositionEpoch        time.Duration // the clock time from which positions count
	StalenessCheck       StalenessCheck
	SessionTokensCarried bool // session reads carry the age of the session's last write
	SubscribeToEndpoints bool // the member list must be asked for
	CancelAllowed        bool
	HealthChecksAllowed  bool
	RetryAfterAllowed    bool          // clients are told when to come back
	MaxRetryAfter        time.Duration // the longest wait that a client follows
	MaxAttempts          int
	DrainGrace           time.Duration
	RemovalNotBinding    bool          // only a listed drain binds; a host missing from the list may run
	SlowStartMinShare    float64       // a started member has at least this share of its capacity
	SlowStartWindow      time.Duration // and all of it after this
	OverloadMultiple     float64       // more than this times its capacity pushes a cold member over
	OverloadWindow       time.Duration // if it lasts this long
}

// Schedule are this router's among all, as the settings tell them.
func (s *Settings) Schedule() fleet.SlotSchedule {
	return fleet.SlotSchedule{GatewayCount: s.GatewayCount, Slot: s.GatewayNumber - 1}
}

// EndpointState is what the list says of a member.
type EndpointState int

// The states of a member.
const (
	StateGone EndpointState = iota
	StateReady
	StateDraining
)

// Endpoint is one entry of the member list.
type Endpoint struct {
	ID        string
	Group     int
	Primary   bool // the list's word, often late or absent
	State     EndpointState
	StartedAt time.Duration // when it last started; 0: long ago
	Zone      string        // where it stands; "" where nobody says
}

// Role is what an answer or a report says of its sender.
type Role int

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Outcome says how an attempt or a probe ended.
type Outcome int

// The outcomes. Miss, Full, NoConnection and Moot prove that nothing ran.
const (
	OutcomeOK             Outcome = iota
	OutcomeMisdirected            // a write at a replica, or a read that it is too far behind for
	OutcomeRejected               // turned away unseen
	OutcomeNoConnection           // no connection in time
	OutcomeNotSent                // never sent
	OutcomeError                  // it might have run
	OutcomeTimeout                // it might have run
	OutcomeConnectionLost         // the connection broke; it might have run
	OutcomeCancelled              // called off; it might have run
)

// Event is something that happened; one of the types below.
type Event interface{ event() }

type (
	// EndpointUpdate brings the member list or a change of it.
	EndpointUpdate struct {
		Full, Failed bool
		NotifiedAt   time.Duration // clock time since when it counts as told, where that is earlier than now
		Endpoints    []Endpoint
	}
	// Request is a client's request.
	Request struct {
		ID             uint64
		Class          int    // index in Settings.Classes
		Tenant         int    // index in Settings.Tenants, or -1
		Group          int    // the only group whose members may serve it
		Session        string // "" where it has none
		SinceLastWrite time.Duration
		TimeLeft       time.Duration // until the client gives up
		ClientRetry    bool
	}
	// AttemptResult ends an attempt.
	AttemptResult struct {
		Request     uint64
		Attempt     int
		Host        string
		Outcome     Outcome
		RequestDone bool // the request needs no answer any more
		Role        Role
		Position    Position
	}
	// StreamStarted says that a streamed answer has begun; the request is the client's now.
	StreamStarted struct{ Request uint64 }
	// ClientGone says that the request is finished.
	ClientGone struct{ Request uint64 }
	// HealthCheckResult brings what a probe found.
	HealthCheckResult struct {
		Host     string
		Outcome  Outcome
		Role     Role
		Position Position
	}
	// ExcludeHost takes a member out of use until Include, whatever the list says.
	ExcludeHost struct {
		Host  string
		Since time.Duration // clock time, where it was taken out earlier than now; 0: now
	}
	// IncludeHost ends all bans of a member.
	IncludeHost struct{ Host string }
	// SiblingProcess says that another Router of the same gateway is at work, or is so no more.
	SiblingProcess struct{ Running bool }
	// RosterUpdate brings the gateways that share the members, in place of Settings.Routers and Index.
	RosterUpdate struct{ Roster *fleet.Roster }
	// TimerFired says that the time of a Wake has come.
	TimerFired struct{}
)

// toldAt is when a list counts as told.
func (l EndpointUpdate) effectiveNotifiedAt(now time.Duration) time.Duration {
	if l.NotifiedAt > 0 {
		return min(l.NotifiedAt, now)
	}
	return now
}

func (EndpointUpdate) event()    {}
func (Request) event()           {}
func (AttemptResult) event()     {}
func (StreamStarted) event()     {}
func (ClientGone) event()        {}
func (HealthCheckResult) event() {}
func (ExcludeHost) event()       {}
func (IncludeHost) event()       {}
func (SiblingProcess) event()    {}
func (RosterUpdate) event()      {}
func (TimerFired) event()        {}

// Action is something for the host to do; one of the types below.
type Action interface{ action() }

type (
	// Attempt sends a request to a member. A request's attempts count from 0.
	Attempt struct {
		Request  uint64
		Host     string
		GiveUpAt time.Duration // clock time; 0: when the client does
		// Before is a clock time: what is not written whole by then is not sent any more. 0: there is no such time.
		SendBefore time.Duration
	}
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt struct {
		Request uint64
		Attempt int
	}
	// Reject is a final answer: nothing was done, trying again is harmless.
	Reject struct {
		Request    uint64
		RetryAfter time.Duration // a hint when to; 0: none
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ Request uint64 }
	// HealthCheck asks a member for a report.
	HealthCheck struct{ Host string }
	// SubscribeEndpoints asks for the member list and its changes.
	SubscribeEndpoints struct{}
	// SetTimer asks for a Step with Woken after a while.
	SetTimer struct{ After time.Duration }
	// Log is a line for the operator.
	Log struct{ Text string }
)

func (Attempt) action()            {}
func (CancelAttempt) action()      {}
func (Reject) action()             {}
func (Fail) action()               {}
func (HealthCheck) action()        {}
func (SubscribeEndpoints) action() {}
func (SetTimer) action()           {}
func (Log) action()                {}
