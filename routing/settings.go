package routing

import (
	"time"

	"merlinjunction/fleet"
)

// Position is a point of a group's log: the time, counted from Settings.PositionEpoch, up to which a host
// has applied all commits. Zero means unknown.
type Position = time.Duration

// Consistency is how new the data behind an answer must be.
type Consistency int

// The consistency levels of a class.
const (
	ConsistencyAny     Consistency = iota // any host may answer
	ConsistencyBounded                    // at most Class.MaxStaleness old when the request is sent
	ConsistencySession                    // includes all that the session has written
	ConsistencyStrong                     // includes all that was written before the request arrived
	ConsistencyWrite                      // a write: only the primary accepts it
)

// Idempotency is whether a request that may have run can be sent again.
type Idempotency int

// The idempotency levels of a class.
const (
	Idempotent        Idempotency = iota // may be sent again, and rejected, at any time
	IdempotentWithKey                    // hosts drop repeats of its key during Class.DedupWindow
	NotIdempotent                        // must never run twice
)

// StalenessCheck is what a replica does with a read that needs a newer position than it has applied.
type StalenessCheck int

// The ways in which replicas check.
const (
	StalenessCheckNone   StalenessCheck = iota // it answers from what it has: the gateway must choose well
	StalenessCheckReject                       // it rejects the read at once (OutcomeMisdirected)
	StalenessCheckWait                         // it waits for the position a short time, then rejects the read
)

// Class is a kind of request.
type Class struct {
	Name              string
	Consistency       Consistency
	MaxStaleness      time.Duration // for ConsistencyBounded: greatest age of the data
	Idempotency       Idempotency
	DedupAcrossGroups bool          // for IdempotentWithKey: every group drops repeats, not only its own
	DedupWindow       time.Duration // for IdempotentWithKey: from the first send that may have run
	LatencyObjective  time.Duration // an answer within it has the full PriorityWeight
	Deadline          time.Duration // how long the client waits, all attempts together
	PriorityWeight    float64       // value of an answer: requests of less are shed first
	LateWeightShare   float64       // share of PriorityWeight that an answer after LatencyObjective has
}

// Tenant is a customer with a quota of the service. No routing decision depends on it: a quota divided by
// the number of gateways means little where gateways are many and their load is uneven.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests per second, over all gateways
}

// Settings are fixed for the life of a Router. New validates them.
type Settings struct {
	Classes              []Class
	Tenants              []Tenant
	OverQuotaWeightShare float64       // priority weight share of requests over quota; not read by any rule
	GatewayCount         int           // number of gateways that share the hosts; RosterUpdate replaces it
	GatewayNumber        int           // this gateway among them, from 1; 0: unknown
	SubsetSize           int           // hosts of a group that this gateway prefers for reads; 0: all of them
	Zone                 string        // zone of this gateway; hosts of the same zone are preferred
	TickInterval         time.Duration // shortest timer; an action may take effect this much later
	PositionEpoch        time.Duration // clock time at which positions are 0
	StalenessCheck       StalenessCheck
	SessionTokensCarried bool          // session reads carry Request.SinceLastWrite (simulator only)
	SubscribeToEndpoints bool          // the endpoint list comes only after SubscribeEndpoints
	CancelAllowed        bool          // CancelAttempt may be used
	HealthChecksAllowed  bool          // HealthCheck may be used
	RetryAfterAllowed    bool          // Reject may carry RetryAfter
	MaxRetryAfter        time.Duration // longest RetryAfter that clients follow
	MaxAttempts          int           // per request
	DrainGrace           time.Duration // how long a draining primary may still get requests; see inService
	UseUnlistedHosts     bool          // a host that the list drops, and never named as draining, may be used
	SlowStartMinShare    float64       // share of its capacity that a host has for certain when it starts
	SlowStartWindow      time.Duration // after which it has all of it; the share grows linearly
	OverloadMultiple     float64       // a warming host fails under more than this times its share of capacity
	OverloadWindow       time.Duration // if that lasts so long
}

// Schedule returns this gateway's slot among all gateways, as the settings give it.
func (s *Settings) Schedule() fleet.SlotSchedule {
	return fleet.SlotSchedule{GatewayCount: s.GatewayCount, Slot: s.GatewayNumber - 1}
}
