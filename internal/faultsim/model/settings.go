package model

import (
	"time"

	"merlinjunction/routing"
)

// Indexes of the classes in Settings. Requests name their class by its index.
const (
	ClassEventualRead = iota // any replica may answer
	ClassSessionRead         // must show the writes of its session
	ClassWrite
)

// Deadlines of the classes, ms.
const (
	EventualReadDeadlineMs = 1000.0
	SessionReadDeadlineMs  = 600.0
	WriteDeadlineMs        = 2000.0
)

// Settings returns the routing settings of a deployment with the given slow start, hosts and number of gateways.
func Settings(slowStart *SlowStart, hosts *HostConfig, gateways int) routing.Settings {
	return routing.Settings{
		Classes: []routing.Class{
			{
				Name:             "view",
				Consistency:      routing.ConsistencyAny,
				Idempotency:      routing.Idempotent,
				LatencyObjective: milliseconds(200),
				Deadline:         milliseconds(EventualReadDeadlineMs),
				PriorityWeight:   1,
			},
			{
				Name:             "own",
				Consistency:      routing.ConsistencySession,
				Idempotency:      routing.Idempotent,
				LatencyObjective: milliseconds(200),
				Deadline:         milliseconds(SessionReadDeadlineMs),
				PriorityWeight:   3,
			},
			{
				Name:             "write",
				Consistency:      routing.ConsistencyWrite,
				Idempotency:      routing.IdempotentWithKey,
				DedupWindow:      milliseconds(hosts.DedupWindowMs),
				LatencyObjective: milliseconds(600),
				Deadline:         milliseconds(WriteDeadlineMs),
				PriorityWeight:   6,
				LateWeightShare:  0.3,
			},
		},
		GatewayCount:        gateways,
		TickInterval:        milliseconds(5),
		StalenessCheck:      routing.StalenessCheckNone,
		CancelAllowed:       true,
		HealthChecksAllowed: true,
		MaxAttempts:         4,
		DrainGrace:          milliseconds(hosts.DrainGraceMs),
		SlowStartMinShare:   slowStart.MinShare,
		SlowStartWindow:     milliseconds(slowStart.WindowMs),
		OverloadMultiple:    slowStart.OverloadMultiple,
		OverloadWindow:      milliseconds(slowStart.OverloadWindowMs),
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
