package proxy

import (
	"testing"

	"merlinjunction/routing"
)

// Guards against reads that were sent late to a host that was the primary when they were decided. While the second read waits
// for a connection, its host answers the first one as a replica, or another host reports that it is the primary.
func TestReadIsNotSentToAFormerPrimary(t *testing.T) {
	for name, loseRole := range map[string]func(f *fixture, first *fakeConn){
		"it answers as a replica": func(_ *fixture, first *fakeConn) {
			first.handler.ResponseReceived(Response{Outcome: routing.OutcomeOK, Role: routing.RoleReplica, Body: []byte("x")})
		},
		"another host is the primary": func(f *fixture, _ *fakeConn) { f.report("b", routing.RolePrimary) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newReadFixture(t)
			f.submit(strongClass, 900)
			first := f.connTo("a")
			first.handler.Established()
			f.submit(strongClass, 900)
			second := f.connTo("a")
			if second == first {
				t.Fatal("no second connection was dialed")
			}
			f.advance(5)
			loseRole(f, first)
			f.Step()
			if !second.closed {
				second.handler.Established()
			}
			f.report("b", routing.RolePrimary)
			f.advance(20)
			if got := len(first.sent) + len(second.sent); got != 1 {
				t.Errorf("the former primary got %d commands, want only the first", got)
			}
			primary := f.connTo("b")
			primary.handler.Established()
			if len(primary.sent) != 1 {
				t.Errorf("the new primary got %d commands, want 1", len(primary.sent))
			}
		})
	}
}
