package soak

import (
	"fmt"
	"math/rand/v2"
)

// consistency states how recent the data of an answer must be, under the names that the settings use.
type consistency string

const (
	consistencyAny     consistency = "any"
	consistencyBounded consistency = "bounded"
	consistencySession consistency = "session"
	consistencyFresh   consistency = "fresh"
	consistencyWrite   consistency = "write"
)

// idempotency states whether a request may be sent to a host more than once.
type idempotency int

const (
	idempotent idempotency = iota
	idempotentWithKey
	notIdempotent
)

// The names of the idempotency values in the platform's settings and in the operator's configuration file.
var (
	platformIdempotencies = map[idempotency]string{
		idempotent: "read_like", idempotentWithKey: "idempotency_key", notIdempotent: "non_idempotent",
	}
	operatorIdempotencies = map[idempotency]string{
		idempotent: "safe", idempotentWithKey: "keyed", notIdempotent: "unsafe",
	}
)

// class is a class of requests with its routing rules.
type class struct {
	Name          string
	Consistency   consistency
	Idempotency   idempotency
	MaxAgeMs      float64 // for consistencyBounded
	DedupWindowMs float64 // for idempotentWithKey
	ObjectiveMs   float64 // latency objective
	DeadlineMs    float64
	Weight        float64 // priority weight
	LateWeight    float64 // share of Weight that counts for an answer after the latency objective
}

func (c *class) isWrite() bool { return c.Consistency == consistencyWrite }

// deployment holds the gateway's settings and its environment, as drawn from a run's seed.
type deployment struct {
	Extended          bool // the gateway runs the extended frontend; otherwise the platform's
	Classes           []class
	HostsPerGroup     int
	Groups            int
	Gateways          int // the number in the settings; only one gateway runs
	PushedLists       bool
	StalenessCheck    string // value of the platform's setting ServerChecks
	MaxAttempts       int
	CancelAllowed     bool
	HealthChecks      bool // the gateway sends SHOW server_load as a health check
	MaxRetryAfterMs   float64
	HostIdleMs        float64
	ConnectTimeoutMs  float64
	DrainGraceMs      float64
	SlowStartShare    float64
	SlowStartMs       float64
	OverloadMultiple  float64
	OverloadMs        float64
	MemoryMB          int
	Sockets           int // limit of the gateway's descriptors
	ReplicationLagMs  float64
	Connections       int // concurrent connections of clients, besides those of a connection flood or a surge
	ThinkTimeMs       float64
	LongestDeadlineMs float64
}

// draw is the source of a run's random choices.
type draw struct{ *rand.Rand }

func newDraw(seed uint64) draw { return draw{rand.New(rand.NewPCG(seed, 17))} }

// between draws a number from a range.
func (d draw) between(low, high float64) float64 { return low + (high-low)*d.Float64() }

// chance returns true with the given probability.
func (d draw) chance(probability float64) bool { return d.Float64() < probability }

// oneOf draws an element of a list.
func oneOf[T any](d draw, list ...T) T { return list[d.IntN(len(list))] }

// drawDeployment draws a deployment. The ranges cover short and long deadlines, few and many hosts, pushed and polled
// endpoint lists, and all kinds of classes.
func drawDeployment(d draw) *deployment {
	deployed := &deployment{
		Extended:         d.chance(0.4),
		HostsPerGroup:    2 + d.IntN(5),
		Groups:           1 + d.IntN(2),
		Gateways:         oneOf(d, 1, 1, 3, 12),
		PushedLists:      d.chance(0.5),
		StalenessCheck:   "silent",
		MaxAttempts:      2 + d.IntN(3),
		CancelAllowed:    d.chance(0.8),
		HealthChecks:     d.chance(0.5),
		MaxRetryAfterMs:  oneOf(d, 0.0, 300, 700),
		HostIdleMs:       d.between(1500, 4000),
		ConnectTimeoutMs: d.between(80, 400),
		DrainGraceMs:     d.between(300, 1200),
		SlowStartShare:   d.between(0.15, 0.5),
		SlowStartMs:      d.between(2000, 10_000),
		OverloadMultiple: d.between(2, 4),
		OverloadMs:       d.between(600, 2000),
		MemoryMB:         32 + d.IntN(161),
		Sockets:          oneOf(d, 160, 256, 512),
		ReplicationLagMs: d.between(5, 300),
		Connections:      6 + d.IntN(18),
		ThinkTimeMs:      d.between(2, 30),
	}
	deployed.drawClasses(d)
	return deployed
}

// drawClasses draws one or two classes of writes, a class of reads with consistencyAny, and up to three classes of reads
// with the other kinds of consistency.
func (deployed *deployment) drawClasses(d draw) {
	writes := []idempotency{oneOf(d, idempotentWithKey, notIdempotent)}
	if d.chance(0.4) {
		writes = []idempotency{idempotentWithKey, notIdempotent}
	}
	for _, kind := range writes {
		written := deployed.drawClass(d, consistencyWrite)
		written.Idempotency = kind
		if kind == idempotentWithKey {
			written.DedupWindowMs = d.between(150, 2500)
		}
		deployed.Classes = append(deployed.Classes, written)
	}
	for _, kind := range []consistency{consistencyAny, consistencySession, consistencyBounded, consistencyFresh} {
		if kind == consistencyAny || d.chance(0.6) {
			deployed.Classes = append(deployed.Classes, deployed.drawClass(d, kind))
		}
	}
}

func (deployed *deployment) drawClass(d draw, kind consistency) class {
	deadline := oneOf(d, d.between(250, 700), d.between(700, 3000))
	drawn := class{
		Name:        fmt.Sprintf("c%d%s", len(deployed.Classes), kind),
		Consistency: kind,
		DeadlineMs:  deadline,
		ObjectiveMs: deadline * d.between(0.2, 0.8),
		Weight:      oneOf(d, 1.0, 1, 4, 9),
		LateWeight:  oneOf(d, 0.0, 0.3, 0.7),
	}
	if kind == consistencyBounded {
		drawn.MaxAgeMs = d.between(200, 1500)
	}
	deployed.LongestDeadlineMs = max(deployed.LongestDeadlineMs, deadline)
	return drawn
}

// longestWriteClass returns the class of writes with the longest deadline.
func (deployed *deployment) longestWriteClass() *class {
	var longest *class
	for i := range deployed.Classes {
		if c := &deployed.Classes[i]; c.isWrite() && (longest == nil || c.DeadlineMs > longest.DeadlineMs) {
			longest = c
		}
	}
	return longest
}

// summary describes the deployment for the report.
func (deployed *deployment) summary() string {
	frontend, lists := "platform", "polled"
	if deployed.Extended {
		frontend = "extended"
	}
	if deployed.PushedLists {
		lists = "pushed"
	}
	return fmt.Sprintf("%s, %d classes to %.0f ms, %d x %d hosts, lists %s, %d connections, %d MB, %d sockets",
		frontend, len(deployed.Classes), deployed.LongestDeadlineMs, deployed.Groups, deployed.HostsPerGroup, lists,
		deployed.Connections, deployed.MemoryMB, deployed.Sockets)
}
