package routing_test

import (
	"fmt"
	"time"

	"merlinjunction/routing"
)

// The embedding program creates a Router, passes the endpoint list and other events to it, and carries out
// the actions. It calls Step for every event and whenever the time of the last SetTimer has come.
func Example() {
	const write, read = 0, 1 // indices in Settings.Classes
	router, err := routing.New(routing.Settings{
		Classes: []routing.Class{
			write: {
				Name: "write", Consistency: routing.ConsistencyWrite, Idempotency: routing.NotIdempotent,
				LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 2,
			},
			read: {
				Name: "read", Consistency: routing.ConsistencySession,
				LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1,
			},
		},
		GatewayCount: 1, MaxAttempts: 4, HealthChecksAllowed: true,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	step := func(events ...routing.Event) {
		now += time.Millisecond
		for _, action := range router.Step(now, events) {
			switch action := action.(type) {
			case routing.Attempt:
				fmt.Printf("send request %d to %s\n", action.Request, action.Host)
			case routing.HealthCheck:
				fmt.Println("check", action.Host)
			}
		}
	}
	request := func(id uint64, class int, session string) {
		step(routing.Request{ID: id, Class: class, Tenant: -1, Session: session, TimeLeft: time.Second})
	}
	step(routing.EndpointUpdate{Full: true, Endpoints: []routing.Endpoint{
		{ID: "db1", State: routing.StateReady}, {ID: "db2", State: routing.StateReady},
	}})
	step(routing.HealthCheckResult{Host: "db1", Role: routing.RolePrimary, Position: now},
		routing.HealthCheckResult{Host: "db2", Role: routing.RoleReplica, Position: now})
	request(1, write, "ann")
	request(2, read, "ann") // the session has a write in flight
	request(3, read, "bob") // the session has none
	// Output:
	// check db1
	// check db2
	// send request 1 to db1
	// send request 2 to db1
	// send request 3 to db2
}
