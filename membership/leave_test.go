package membership

import "testing"

// A leave is known in all views within 600 ms although a third of its messages are lost. The member that left answers no
// Ping and requests no step soon. The other members forget it after Tuning.LeftRetentionMs.
func TestLeave(t *testing.T) {
	c := newCluster(t, 5)
	messages := 0
	c.isCut = func(from, _ int, _ *Message) bool {
		messages++
		return from == 2 && messages%3 == 0
	}
	c.step(2, Leave{})
	if got := c.views[2].Summary().Status; got != StatusLeft {
		t.Errorf("the status of g2 after its leave is %v, want %v", got, StatusLeft)
	}
	ping := Message{Kind: Ping, From: IDOf("g1"), BootID: 2, Incarnation: 1, Target: IDOf("g2")}
	if actions := c.views[2].Step(c.now, []Event{Received{addrOf(1), ping}}); len(actions) > 0 {
		t.Errorf("g2 answers a Ping after its leave: %v", actions)
	}
	if wake := c.views[2].Wake(); wake < c.now+1000 {
		t.Errorf("Wake of g2 after its leave is in %v ms, want at least 1000", wake-c.now)
	}
	c.stop(2)
	c.run(600)
	c.wantState(Left, "g2", 0, 1, 3, 4)
	c.run(40_000)
	c.wantState(0, "g2", 0, 1, 3, 4)
}
