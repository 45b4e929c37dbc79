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
			{Name: "write", Need: routing.NeedPrimary, Effect: routing.EffectUnsafe, Aim: time.Second, Deadline: 5 * time.Second, Worth: 2},
			{Name: "read", Need: routing.NeedSession, Aim: time.Second, Deadline: 2 * time.Second, Worth: 1},
		},
		Routers: 1, MaxAttempts: 4, MayProbe: true,
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
				fmt.Printf("send request %d to %s\n", a.Request, a.Member)
			case routing.Probe:
				fmt.Println("probe", a.Member)
			}
		}
	}
	step(routing.List{Full: true, Members: []routing.Member{
		{ID: "db1", State: routing.Ready}, {ID: "db2", State: routing.Ready},
	}})
	step(routing.Probed{Member: "db1", Role: routing.RolePrimary, Position: now},
		routing.Probed{Member: "db2", Role: routing.RoleReplica, Position: now})
	step(routing.Request{ID: 1, Class: 0, Tenant: -1, Session: "ann", Left: time.Second})
	step(routing.Request{ID: 2, Class: 1, Tenant: -1, Session: "ann", Left: time.Second}) // dirty
	step(routing.Request{ID: 3, Class: 1, Tenant: -1, Session: "bob", Left: time.Second}) // clean
	// Output:
	// probe db1
	// probe db2
	// send request 1 to db1
	// send request 2 to db1
	// send request 3 to db2
}
