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
	Primary   bool // whether the list names it as primary; often out of date or missing
	State     EndpointState
	StartedAt time.Duration // clock time of its last start; 0: long ago
	Zone      string        // "" if unknown
}

// Role is the role that a host reports about itself in an answer or a load report.
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
	OutcomeMisdirected            // a write sent to a replica, or a read for which the replica lags too far
	OutcomeRejected               // the host rejected the request for lack of capacity
	OutcomeNoConnection           // no connection in time, or it broke before the whole request was written
	OutcomeNotSent                // the attempt ended before the request was written
	OutcomeError                  // the host answered with an error
	OutcomeTimeout                // the time of the request expired
	OutcomeConnectionLost         // the connection broke after the request was written
	OutcomeCancelled              // CancelAttempt cancelled the attempt
)

// String returns the name of the outcome as it appears in logs.
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

// ProvesNotRun reports whether the outcome proves that the request had no effect at the host.
func (o Outcome) ProvesNotRun() bool {
	switch o {
	case OutcomeMisdirected, OutcomeRejected, OutcomeNoConnection, OutcomeNotSent:
		return true
	}
	return false
}

// Event is something that happened. Its implementations are the types in this file.
type Event interface{ event() }

// EndpointUpdate carries the endpoint list or changes to it.
type EndpointUpdate struct {
	Full, Failed bool          // Full: hosts missing from Endpoints are gone; Failed: the poll returned no list
	NotifiedAt   time.Duration // clock time of the notification, if it was earlier than now; 0: now
	Endpoints    []Endpoint
}

// effectiveNotifiedAt returns the clock time at which the update became known: NotifiedAt, or the current
// time if NotifiedAt is unset or later.
func (u EndpointUpdate) effectiveNotifiedAt(now time.Duration) time.Duration {
	if u.NotifiedAt > 0 {
		return min(u.NotifiedAt, now)
	}
	return now
}

// Request announces a new request of a client.
type Request struct {
	ID      uint64
	Class   int    // index in Settings.Classes
	Tenant  int    // index in Settings.Tenants, or -1
	Group   int    // the group whose hosts serve it; no other group may
	Session string // session key; "": none
	// SessionUnidentified is set if the request belongs to a session whose key is not known, so that it can be
	// any session. A read then requires all writes before it, and all sessions' reads require a write.
	SessionUnidentified bool
	SinceLastWrite      time.Duration // age of the session's last write; 0: not given (only simulator)
	TimeLeft            time.Duration // time until the client stops waiting
	ClientRetry         bool          // the client sends a rejected or failed request again
}

// AttemptResult reports the end of an attempt.
type AttemptResult struct {
	Request     uint64
	Attempt     int    // index among the attempts of the request, from 0
	Host        string // not used: the Router knows the host of the attempt
	Outcome     Outcome
	RequestDone bool // the client has its answer or no longer needs one
	Role        Role
	RoleAt      time.Duration // clock time at which the role arrived, if that was earlier than now; 0: now
	Position    Position
}

// roleArrivedAt returns the clock time at which the role arrived: RoleAt, or the current time if RoleAt is
// unset or later.
func (a AttemptResult) roleArrivedAt(now time.Duration) time.Duration {
	if a.RoleAt > 0 {
		return min(a.RoleAt, now)
	}
	return now
}

// StreamStarted reports that part of a streamed answer has reached the client, so the request can't be
// retried.
type StreamStarted struct{ Request uint64 }

// ClientGone reports that the client no longer waits for an answer.
type ClientGone struct{ Request uint64 }

// HealthCheckResult carries the result of a HealthCheck.
type HealthCheckResult struct {
	Host     string
	Outcome  Outcome
	Role     Role
	Position Position
}

// ExcludeHost is an operator's command not to use a host until IncludeHost, whatever the endpoint list
// says.
type ExcludeHost struct {
	Host  string
	Since time.Duration // clock time of the command, if an earlier process received it; 0: now
}

// IncludeHost ends the exclusion of a host, no matter how many times it was excluded.
type IncludeHost struct{ Host string }

// SiblingProcess reports that another process of this gateway, with its own Router, has started or stopped
// serving requests, for example during an upgrade.
type SiblingProcess struct{ Running bool }

// RosterUpdate carries the gateways that share the hosts. It replaces Settings.GatewayCount and
// GatewayNumber.
type RosterUpdate struct{ Roster *fleet.Roster }

// TimerFired reports that the time of a SetTimer has come.
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
