package proxy

import (
	"fmt"
	"testing"

	"merlinjunction/routing"
)

// An attempt waits for the end of a connection's settle period. Meanwhile its host is removed from the endpoint list or
// gets another address, so that the connection is closed. Another connection must be dialed for the attempt. Otherwise it
// would wait until it times out.
func TestListChangeLeavesNoAttemptWithoutConnection(t *testing.T) {
	for name, list := range map[string][]Host{
		"gone":  nil,
		"moved": {{Address: "elsewhere", Endpoint: routing.Endpoint{ID: "a", State: routing.StateReady}}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "a")
			f.submit(readClass, 900)
			f.conns[0].handler.Established()
			f.conns[0].handler.ResponseReceived(success("x"))
			f.submit(readClass, 900) // waits for the end of the settle period
			f.UpdateHosts(true, list)
			f.Step()
			if len(f.conns) != 2 {
				t.Fatalf("%d connections, want 2", len(f.conns))
			}
			f.conns[1].handler.Established()
			if len(f.conns[1].sent) != 1 {
				t.Errorf("%d commands on the new connection, want 1", len(f.conns[1].sent))
			}
		})
	}
}

// The address of a host changes while its ID stays the same. Another host may be at the earlier address by now, so
// connections that were being dialed or carried a command at the time must get no further command.
func TestConnectionToAnEarlierAddressGetsNoCommand(t *testing.T) {
	moved := Host{Address: "elsewhere", Endpoint: routing.Endpoint{ID: "a", State: routing.StateReady}}
	for _, established := range []bool{false, true} {
		t.Run(fmt.Sprintf("established %v", established), func(t *testing.T) {
			f := newFixture(t, "a")
			f.submit(readClass, 900)
			first := f.conns[0]
			if established {
				first.handler.Established()
			}
			f.UpdateHosts(true, []Host{moved})
			f.Step()
			if established { // the answer to the command that was sent before is still passed on
				first.handler.ResponseReceived(success("x"))
				f.wantAnswers(t, "1000 succeeded x")
				f.submit(readClass, 900)
			}
			sentBefore := len(first.sent)
			f.advance(settlePeriodMs + 1)
			if !first.closed || len(first.sent) != sentBefore {
				t.Errorf("connection closed %v, %d further commands to the earlier address; want true and 0",
					first.closed, len(first.sent)-sentBefore)
			}
			last := f.conns[len(f.conns)-1]
			if last.addr != "elsewhere" {
				t.Fatalf("dialed %s, want elsewhere", last.addr)
			}
			last.handler.Established()
			if len(last.sent) != 1 {
				t.Errorf("%d commands to the new address, want 1", len(last.sent))
			}
		})
	}
}

// Guards against requests that were answered with the data of another group: one waited for a connection while the list
// moved its host. What must hold is checked when the command is sent.
func TestWaitingAttemptIsNotSentToAHostThatMoved(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(readClass, 900)
	moved := routing.Endpoint{ID: "a", Group: 1, State: routing.StateReady}
	f.UpdateHosts(false, []Host{{Address: "a", Endpoint: moved}})
	f.conns[0].handler.Established() // before the router handles the update
	f.Step()
	if sent := f.sentCount(); sent != 0 {
		t.Errorf("%d commands were sent to a host of another group, want 0", sent)
	}
}
