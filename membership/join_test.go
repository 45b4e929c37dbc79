package membership

import "testing"

// A joiner whose JoinAccepted messages are lost joins when a member probes it.
func TestJoinAcceptedLost(t *testing.T) {
	c := newCluster(t, 4)
	c.stop(3)
	c.run(40)
	c.isCut = func(_, to int, m *Message) bool { return to == 3 && m.Kind == JoinAccepted }
	c.start(3, Config{BootID: 50})
	c.run(2500)
	c.wantState(Alive, "g3", 0, 1, 2)
	if got := c.views[3].Summary(); got.Status != StatusHealthy || got.Alive != 4 {
		t.Errorf("g3 sees %+v, want the status fine and 4 alive", got)
	}
	if c.countChanges("g3 dead") > 0 {
		t.Errorf("g3 was declared dead: %v", c.memberChanges)
	}
}
