package routing

import "time"

// Action is something for the embedding program to do. It is one of the types of this file.
type Action interface{ action() }

// Attempt sends a request to a host. The attempts of a request count from 0.
type Attempt struct {
	Request uint64
	Host    string
	// GiveUpAt is the clock time at which the attempt ends with OutcomeTimeout; 0: when the client gives up. The
	// Router leaves it at 0.
	GiveUpAt time.Duration
	// SendBefore is the clock time until which the request must be written, else it must not be sent at all:
	// the deduplication window may be over by then. 0: no such limit.
	SendBefore time.Duration
}

// CancelAttempt ends an attempt whose answer is overdue. Its AttemptResult still comes.
type CancelAttempt struct {
	Request uint64
	Attempt int
}

// Reject is a final answer: the request had no effect, or may be sent again without harm.
type Reject struct {
	Request    uint64
	RetryAfter time.Duration // how long the client should wait before it sends the request again; 0: not given
}

// Fail is a final answer that doesn't say whether the request had an effect.
type Fail struct{ Request uint64 }

// HealthCheck asks a host for its role and position.
type HealthCheck struct{ Host string }

// SubscribeEndpoints asks for the endpoint list and its changes.
type SubscribeEndpoints struct{}

// SetTimer asks for a Step with TimerFired after a while. The Router ignores a timer that it needs no more.
type SetTimer struct{ After time.Duration }

// Log is a line for the operators about a host.
type Log struct {
	Text  string // what happened; it names the group and the host
	Group int
	Host  string
}

func (Attempt) action()            {}
func (CancelAttempt) action()      {}
func (Reject) action()             {}
func (Fail) action()               {}
func (HealthCheck) action()        {}
func (SubscribeEndpoints) action() {}
func (SetTimer) action()           {}
func (Log) action()                {}
