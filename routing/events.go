package routing

import (
	"fmt"
	"time"

	"merlinjunction/fleet"
)

// EndpointState is the state of a host in the endpoint list.
type EndpointState int

// The states of a host.
const (
	StateGone EndpointState = iota
	StateReady
	StateDraining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        string
	Group     int
	Primary   bool // what the list says, which is often out of date or missing
	State     EndpointState
	StartedAt time.Duration // clock time of its last start; 0: long ago
	Zone      string        // "" where it is unknown
}

// Role is the role that a host gives itself in an answer or a load report.
type Role int

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Outcome is how an attempt or a health check ended.
type Outcome int

// The outcomes. OutcomeMisdirected, OutcomeRejected, OutcomeNoConnection and OutcomeNotSent prove that
// nothing ran; after OutcomeError, OutcomeTimeout, OutcomeConnectionLost and OutcomeCancelled the request
// may have run.
const (
	OutcomeOK             Outcome = iota
	OutcomeMisdirected            // a write at a replica, or a read that the replica is too far behind for
	OutcomeRejected               // rejected by the host, which has no capacity left
	OutcomeNoConnection           // no connection in time, or it broke before the request was written
	OutcomeNotSent                // the attempt ended before the request was written
	OutcomeError                  // the host answered with an error
	OutcomeTimeout                // the time of the request was over
	OutcomeConnectionLost         // the connection broke
	OutcomeCancelled              // cancelled by CancelAttempt
)

// String returns the outcome's name, as it stands in logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeOK:
		return "ok"
	case OutcomeMisdirected:
		return "misdirected"
	case OutcomeRejected:
		return "rejected"
	case OutcomeNoConnection:
		return "no_connection"
	case OutcomeNotSent:
		return "not_sent"
	case OutcomeError:
		return "error"
	case OutcomeTimeout:
		return "timeout"
	case OutcomeConnectionLost:
		return "connection_lost"
	case OutcomeCancelled:
		return "cancelled"
	}
	return fmt.Sprintf("outcome %d", int(o))
}

// provesNotRun reports whether the outcome proves that the request had no effect at the host.
func (o Outcome) provesNotRun() bool {
	switch o {
	case OutcomeMisdirected, OutcomeRejected, OutcomeNoConnection, OutcomeNotSent:
		return true
	}
	return false
}

// Event is something that happened. It is one of the types of this file.
type Event interface{ event() }

// EndpointUpdate brings the endpoint list, or changes of it.
type EndpointUpdate struct {
	Full, Failed bool          // Full: hosts that aren't in Endpoints are gone; Failed: the poll brought nothing
	NotifiedAt   time.Duration // clock time from which it counts as known, where that is before now; 0: now
	Endpoints    []Endpoint
}

// effectiveNotifiedAt returns the clock time from which the update counts as known.
func (u EndpointUpdate) effectiveNotifiedAt(now time.Duration) time.Duration {
	if u.NotifiedAt > 0 {
		return min(u.NotifiedAt, now)
	}
	return now
}

// Request is a client's request.
type Request struct {
	ID             uint64
	Class          int           // index in Settings.Classes
	Tenant         int           // index in Settings.Tenants, or -1
	Group          int           // the only group whose hosts may serve it
	Session        string        // "" where it has none
	SinceLastWrite time.Duration // age of the session's last write, on the simulator's wire only; 0: not given
	TimeLeft       time.Duration // until the client gives up
	ClientRetry    bool          // the client sends a rejected or failed request again
}

// AttemptResult ends an attempt.
type AttemptResult struct {
	Request     uint64
	Attempt     int    // number of the attempt, from 0
	Host        string // not read: the Router knows the attempt's host
	Outcome     Outcome
	RequestDone bool // the client has its answer, or needs none any more
	Role        Role
	Position    Position
}

// StreamStarted says that a streamed answer has begun to reach the client. It can't be retried any more.
type StreamStarted struct{ Request uint64 }

// ClientGone says that the client waits no longer.
type ClientGone struct{ Request uint64 }

// HealthCheckResult brings what a HealthCheck found.
type HealthCheckResult struct {
	Host     string
	Outcome  Outcome
	Role     Role
	Position Position
}

// ExcludeHost is an operator's order not to use a host until IncludeHost, whatever the endpoint list says.
type ExcludeHost struct {
	Host  string
	Since time.Duration // clock time of the order, where an earlier process received it; 0: now
}

// IncludeHost ends the exclusion of a host, however often it was excluded.
type IncludeHost struct{ Host string }

// SiblingProcess says that another process of the same gateway, with a Router of its own, has begun or
// ceased to serve requests, as during an upgrade.
type SiblingProcess struct{ Running bool }

// RosterUpdate brings the gateways that share the hosts. It replaces Settings.GatewayCount and
// GatewayNumber.
type RosterUpdate struct{ Roster *fleet.Roster }

// TimerFired says that the time of a SetTimer has come.
type TimerFired struct{}

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
