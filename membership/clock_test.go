package membership

import (
	"strings"
	"testing"
)

// A member that resumes after a pause accuses no other member, and is soon alive in all views.
func TestResumedMemberAccusesNoMember(t *testing.T) {
	c := newCluster(t, 6)
	c.paused[2] = true
	c.run(5000)
	c.wantState(Dead, "g2", 0, 1, 3, 4, 5)
	c.paused[2] = false
	c.memberChanges = nil
	c.run(1500)
	c.wantState(Alive, "g2", 0, 1, 3, 4, 5)
	for _, change := range c.memberChanges {
		if strings.HasPrefix(change, "g2 ") {
			t.Errorf("g2 changed a member's state after it resumed: %v", change)
		}
	}
}

// A step of a driver's clock, back or forward, changes no member's state. A step forward counts as a late step.
func TestClockSteps(t *testing.T) {
	c := newCluster(t, 5)
	c.clockOffsets[1] = -3_600_000
	c.clockOffsets[2] = 600_000
	c.run(5000)
	if len(c.memberChanges) > 0 {
		t.Errorf("member changes after clock steps: %v, want none", c.memberChanges)
	}
	if got := c.views[2].Summary().LateSteps; got == 0 {
		t.Error("a forward step of the clock was not counted as a late step")
	}
}
