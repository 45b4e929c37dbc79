package membership

import (
	"strings"
	"testing"
)

// A member that was paused accuses nobody when it resumes, and is alive everywhere soon.
func TestPause(t *testing.T) {
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
			t.Errorf("after it resumed: %v", change)
		}
	}
}

// Clocks that step change nothing.
func TestClockSteps(t *testing.T) {
	c := newCluster(t, 5)
	c.clockOffsets[1] = -3_600_000
	c.clockOffsets[2] = 600_000
	c.run(5000)
	if len(c.memberChanges) > 0 {
		t.Errorf("after steps: %v", c.memberChanges)
	}
	if got := c.views[2].Summary().LateSteps; got == 0 {
		t.Error("a step forward was not noticed")
	}
}
