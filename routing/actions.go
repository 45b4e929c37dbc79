package routing

import "time"

// Action is a task for the embedding program. Its implementations are the types in this file.
type Action interface{ action() }

// Attempt tells the program to send a request to a host. The attempts of a request are numbered from 0.
type Attempt struct {
	Request uint64
	Host    string
	// GiveUpAt is the clock time at which the attempt ends with OutcomeTimeout; 0: at the end of the request's
	// time. The Router always sets it to 0.
	GiveUpAt time.Duration
	// SendBefore is the clock time before which the request must be written. After it the request must not be
	// sent, because the deduplication window may be over, or the data of the host may be too old for a read.
	// 0: no limit.
	SendBefore time.Duration
}

// CancelAttempt cancels an attempt whose answer is overdue. The attempt still ends with an AttemptResult.
type CancelAttempt struct {
	Request uint64
	Attempt int
}

// WithdrawAttempt ends an attempt unless its whole command has been written. The attempt ends with
// OutcomeNotSent. An attempt that has been written is not affected.
type WithdrawAttempt struct {
	Request uint64
	Attempt int
}

// Reject is a final answer which says that the request had no effect or can safely be sent again.
type Reject struct {
	Request    uint64
	RetryAfter time.Duration // how long the client should wait before it retries; 0: not given
}

// Fail is a final answer that leaves open whether the request had an effect.
type Fail struct{ Request uint64 }

// HealthCheck asks a host for its role and position.
type HealthCheck struct{ Host string }

// SubscribeEndpoints requests the endpoint list and its changes.
type SubscribeEndpoints struct{}

// SetTimer requests a Step with TimerFired after a delay. The Router ignores timers that it no longer
// needs.
type SetTimer struct{ After time.Duration }

// Log is a log line about a host.
type Log struct {
	Text  string // what happened, including the group and the host
	Group int
	Host  string
}

func (Attempt) action()            {}
func (CancelAttempt) action()      {}
func (WithdrawAttempt) action()    {}
func (Reject) action()             {}
func (Fail) action()               {}
func (HealthCheck) action()        {}
func (SubscribeEndpoints) action() {}
func (SetTimer) action()           {}
func (Log) action()                {}
