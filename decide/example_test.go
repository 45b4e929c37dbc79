package decide_test

import (
	"fmt"
	"time"

	"merlinjunction/decide"
)

// A host builds a Router, feeds it the list and what happens, and carries out its actions. It calls Step on
// every event and whenever the time of the last Wake has come.
func Example() {
	r, err := decide.New(decide.Settings{
		Classes: []decide.Class{
			{Name: "write", Need: decide.NeedPrimary, Effect: decide.EffectUnsafe, Aim: time.Second, Deadline: 5 * time.Second, Worth: 2},
			{Name: "read", Need: decide.NeedSession, Aim: time.Second, Deadline: 2 * time.Second, Worth: 1},
		},
		Routers: 1, MaxAttempts: 4, MayProbe: true,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	step := func(e ...decide.Event) {
		now += time.Millisecond
		for _, a := range r.Step(now, e) {
			switch a := a.(type) {
			case decide.Attempt:
				fmt.Printf("send request %d to %s\n", a.Request, a.Member)
			case decide.Probe:
				fmt.Println("probe", a.Member)
			}
		}
	}
	step(decide.List{Full: true, Members: []decide.Member{
		{ID: "db1", State: decide.Ready}, {ID: "db2", State: decide.Ready},
	}})
	step(decide.Probed{Member: "db1", Role: decide.RolePrimary, Position: now},
		decide.Probed{Member: "db2", Role: decide.RoleReplica, Position: now})
	step(decide.Request{ID: 1, Class: 0, Tenant: -1, Session: "ann", Left: time.Second})
	step(decide.Request{ID: 2, Class: 1, Tenant: -1, Session: "ann", Left: time.Second}) // dirty
	step(decide.Request{ID: 3, Class: 1, Tenant: -1, Session: "bob", Left: time.Second}) // clean
	// Output:
	// probe db1
	// probe db2
	// send request 1 to db1
	// send request 2 to db1
	// send request 3 to db2
}
