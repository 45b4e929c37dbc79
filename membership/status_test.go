package membership

import (
	"slices"
	"strings"
	"testing"
)

// A member that receives no messages becomes isolated and accuses no other member.
func TestIsolated(t *testing.T) {
	c := newCluster(t, 6)
	c.isCut = func(_, to int, _ *Message) bool { return to == 2 }
	c.run(6000)
	if !slices.Contains(c.statusChanges, "g2 deaf") || !c.views[2].Summary().Partial {
		t.Errorf("status changes: %v, want \"g2 deaf\" among them and a partial view of g2", c.statusChanges)
	}
	for _, change := range c.memberChanges {
		if strings.HasPrefix(change, "g2 ") && !strings.Contains(change, "unreachable") {
			t.Errorf("g2 changed a member's state: %v, want only changes to unreachable", change)
		}
	}
	c.isCut = nil
	c.run(4000)
	for i := range c.views {
		c.wantState(Alive, "g2", i)
		c.wantState(Alive, "g0", i)
	}
}

// A member whose messages are all lost is declared dead, and reports StatusDisputed.
func TestDisputed(t *testing.T) {
	c := newCluster(t, 6)
	c.isCut = func(from, _ int, _ *Message) bool { return from == 2 }
	c.run(9000)
	if !slices.Contains(c.statusChanges, "g2 unheard") {
		t.Errorf("status changes: %v, want \"g2 unheard\" among them", c.statusChanges)
	}
	c.wantState(Dead, "g2", 0, 1, 3, 4, 5)
	c.isCut = nil
	c.run(4000)
	c.wantState(Alive, "g2", 0, 1, 3, 4, 5)
}

// A cut between two members, in one or both directions, makes neither of them Dead or Unreachable.
func TestCutBetweenTwoMembers(t *testing.T) {
	for name, both := range map[string]bool{"one direction": false, "both directions": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 5)
			c.isCut = func(from, to int, _ *Message) bool { return from == 1 && to == 3 || both && from == 3 && to == 1 }
			c.run(20_000)
			if c.countChanges("dead")+c.countChanges("unreachable") > 0 {
				t.Errorf("member changes: %v, want none to dead or unreachable", c.memberChanges)
			}
		})
	}
}

// Both halves of a partitioned fleet keep working, report that they see only a part, and merge after the partition heals.
func TestPartitionIntoHalves(t *testing.T) {
	c := newCluster(t, 8)
	c.isCut = func(from, to int, _ *Message) bool { return from/4 != to/4 }
	c.run(6000)
	for i, v := range c.views {
		if got := v.Summary(); got.Alive != 4 || !got.Partial {
			t.Errorf("g%d sees %+v, want 4 alive and a partial view", i, got)
		}
	}
	c.isCut = nil
	c.run(4000)
	for i, v := range c.views {
		if got := v.Summary(); got.Alive != 8 || got.Partial {
			t.Errorf("after the partition has healed g%d sees %+v, want 8 alive and no partial view", i, got)
		}
	}
}

// In a fleet of two no third member can confirm a failure, so a crashed member is Unreachable rather than Dead.
func TestCrashInFleetOfTwo(t *testing.T) {
	c := newCluster(t, 2)
	c.stop(1)
	c.run(5000)
	c.wantState(Unreachable, "g1", 0)
	if got := c.views[0].Summary(); !got.Partial || got.Status != StatusIsolated {
		t.Errorf("g0 sees %+v, want the status deaf and a partial view", got)
	}
}
