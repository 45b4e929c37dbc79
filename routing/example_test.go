package routing_test

import (
	"fmt"
	"time"

	"merlinjunction/routing"
)

// A host builds a Router, feeds it the list and what happens, and carries out its actions. It calls Step on
// every event and whenever the time of the last Wake has come.
func Example() {
	r, err := routing.New(routing.Settings{
		Classes: []routing.Class{
			{Name: "write", Consistency: routing.ConsistencyWrite, Idempotency: routing.NotIdempotent, LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 2},
			{Name: "read", Consistency: routing.ConsistencySession, LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1},
		},
		GatewayCount: 1, MaxAttempts: 4, HealthChecksAllowed: true,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	step := func(e ...routing.Event) {
		now += time.Millisecond
		for _, a := range r.Step(now, e) {
			switch a := a.(type) {
			case routing.Attempt:
				fmt.Printf("send request %d to %s\n", a.Request, a.Host)
			case routing.HealthCheck:
				fmt.Println("probe", a.Host)
			}
		}
	}
	step(routing.EndpointUpdate{Full: true, Endpoints: []routing.Endpoint{
		{ID: "db1", State: routing.StateReady}, {ID: "db2", State: routing.StateReady},
	}})
	step(routing.HealthCheckResult{Host: "db1", Role: routing.RolePrimary, Position: now},
		routing.HealthCheckResult{Host: "db2", Role: routing.RoleReplica, Position: now})
	step(routing.Request{ID: 1, Class: 0, Tenant: -1, Session: "ann", TimeLeft: time.Second})
	step(routing.Request{ID: 2, Class: 1, Tenant: -1, Session: "ann", TimeLeft: time.Second}) // dirty
	step(routing.Request{ID: 3, Class: 1, Tenant: -1, Session: "bob", TimeLeft: time.Second}) // clean
	// Output:
	// probe db1
	// probe db2
	// send request 1 to db1
	// send request 2 to db1
	// send request 3 to db2
}
