package routing

import (
	"time"

	"merlinjunction/fleet"
)

// Position is a point in the log of a group: the time, relative to Settings.PositionEpoch, up to which a
// host has applied all commits. Zero means unknown.
type Position = time.Duration

// Consistency is how recent the data of an answer must be.
type Consistency int

// The consistency levels of a class.
const (
	ConsistencyAny     Consistency = iota // any host may answer
	ConsistencyBounded                    // at most Class.MaxStaleness old when the request is sent
	ConsistencySession                    // includes all writes of the session
	ConsistencyStrong                     // includes all writes committed before the request arrived
	ConsistencyWrite                      // a write, which only the primary accepts
)

// Idempotency is whether a request that may have run can be sent again.
type Idempotency int

// The idempotency levels of a class.
const (
	Idempotent        Idempotency = iota // may always be sent again, and rejected although it may have run
	IdempotentWithKey                    // hosts drop repeats of its key during Class.DedupWindow
	NotIdempotent                        // must never run twice
)

// StalenessCheck is what a replica does with a read that requires a newer position than it has applied.
type StalenessCheck int

// The ways in which replicas check positions.
const (
	StalenessCheckNone   StalenessCheck = iota // it answers anyway: the gateway must choose a suitable replica
	StalenessCheckReject                       // it rejects the read at once (OutcomeMisdirected)
	StalenessCheckWait                         // it waits briefly for the position, then rejects the read
)

// Class is a kind of request and the rules for it.
type Class struct {
	Name              string
	Consistency       Consistency
	MaxStaleness      time.Duration // for ConsistencyBounded: maximum age of the data
	Idempotency       Idempotency
	DedupAcrossGroups bool          // for IdempotentWithKey: all groups drop repeats, not only the request's own
	DedupWindow       time.Duration // for IdempotentWithKey: counts from the first send that may have run
	LatencyObjective  time.Duration // an answer within it has the full PriorityWeight
	Deadline          time.Duration // how long the client waits, over all attempts
	PriorityWeight    float64       // value of an answer: requests with less are shed first
	LateWeightShare   float64       // share of PriorityWeight that an answer after LatencyObjective has
}

// Tenant is a customer with a quota. No routing decision depends on it: a quota divided by the number of
// gateways means little if there are many gateways with uneven load.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests per second over all gateways
}

// Settings are fixed for the lifetime of a Router. New validates them.
type Settings struct {
	Classes              []Class
	Tenants              []Tenant
	OverQuotaWeightShare float64       // share of the priority weight for requests over quota; no rule reads it
	GatewayCount         int           // number of gateways that share the hosts; RosterUpdate replaces it
	GatewayNumber        int           // number of this gateway among them, from 1; 0: unknown
	SubsetSize           int           // number of hosts per group that this gateway prefers for reads; 0: all
	Zone                 string        // zone of this gateway; hosts of the same zone are preferred
	TickInterval         time.Duration // shortest timer; an action may take effect this much later
	PositionEpoch        time.Duration // clock time at which positions are 0
	StalenessCheck       StalenessCheck
	SessionTokensCarried bool          // session reads carry Request.SinceLastWrite (simulator only)
	SubscribeToEndpoints bool          // the endpoint list is sent only after SubscribeEndpoints
	CancelAllowed        bool          // the Router may emit CancelAttempt
	HealthChecksAllowed  bool          // the Router may emit HealthCheck
	RetryAfterAllowed    bool          // Reject may carry RetryAfter
	MaxRetryAfter        time.Duration // longest RetryAfter that clients obey
	MaxAttempts          int           // maximum number of attempts per request
	DrainGrace           time.Duration // how long a draining primary may still get requests; see inService
	UseUnlistedHosts     bool          // a host missing from the list is used unless it was listed as draining
	SlowStartMinShare    float64       // share of its capacity that a host is certain to have when it starts
	SlowStartWindow      time.Duration // time in which that share grows linearly to the full capacity
	OverloadMultiple     float64       // a warming host fails above this multiple of its capacity share
	OverloadWindow       time.Duration // how long an overload must last for the host to fail
}

// Schedule returns the slot of this gateway among all gateways according to the settings.
func (s *Settings) Schedule() fleet.SlotSchedule {
	return fleet.SlotSchedule{GatewayCount: s.GatewayCount, Slot: s.GatewayNumber - 1}
}
