package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "merlinjunction/internal/testkit/seed" // the same draws each time
)

// An agent with pushed lists is polled at once, and again well within the drain grace period after any failures.
func TestPollPolicyPollsAgentAtOnce(t *testing.T) {
	for _, grace := range []float64{250, 600, 2000} {
		t.Run(fmt.Sprintf("grace %v", grace), func(t *testing.T) {
			policy := PollPolicy{SlotSchedule: SlotSchedule{300, -1}, DrainGraceMs: grace, Pushed: true}
			policy.Started(1000)
			if first, change := policy.FirstDelay(true, 0.99), policy.AddressChangeDelay(0.99); first != 0 || change != 0 {
				t.Errorf("the first poll comes after %v ms, after a change of address %v ms", first, change)
			}
			if _, timeout := policy.NextPoll(true); timeout > 1500 {
				t.Errorf("the first poll may take %v ms", timeout)
			}
			for range 12 {
				if backoff := policy.Failed(2000, 0.999); backoff > 0.4*grace {
					t.Errorf("polls again after %v ms", backoff)
				}
				if backoff := policy.TimedOut(2000, 3000, 0.999); backoff > 0.4*grace {
					t.Errorf("polls again after %v ms on a time-out", backoff)
				}
			}
			if _, notifiedAt := policy.Answered(9000); notifiedAt != 1000 {
				t.Errorf("the first answer counts as notified at %v, not since the start", notifiedAt)
			}
			if _, notifiedAt := policy.Answered(9500); notifiedAt != 9500 {
				t.Errorf("a watch's answer counts as notified at %v", notifiedAt)
			}
		})
	}
}

// A first poll that times out is repeated before what it missed counts as notified for a drain grace period.
func TestPollPolicyRepeatsUnansweredFirstPoll(t *testing.T) {
	for _, grace := range []float64{250, 2000} {
		t.Run(fmt.Sprintf("grace %v", grace), func(t *testing.T) {
			policy := PollPolicy{SlotSchedule: SlotSchedule{300, -1}, DrainGraceMs: grace}
			now, polledAt, timeouts := 0.0, 0.0, 0
			for now < unansweredPollNotifiedMs+grace {
				_, timeout := policy.NextPoll(true)
				polledAt = now
				now += timeout
				now += policy.TimedOut(polledAt, now, 0.999)
				timeouts++
			}
			if timeouts < 3 {
				t.Errorf("after two time-outs the next poll comes too late, at %.0f ms", now)
			}
		})
	}
}

// After any failures an update never counts as notified later than the protocol counts it: when it comes, or with
// pushed lists since the agent has it, or 6 s after an unanswered poll. And a time-out is followed by a poll within
// the drain grace period.
func TestPollPolicyNotifiedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pushed := rapid.Bool().Draw(t, "pushed")
		grace := rapid.SampledFrom([]float64{250, 600, 2000}).Draw(t, "grace")
		draw := func() float64 { return float64(rapid.IntRange(0, 999).Draw(t, "draw")) / 1000 }
		gatewayCount := rapid.SampledFrom([]int{1, 6, 300}).Draw(t, "gateways")
		policy := PollPolicy{SlotSchedule: SlotSchedule{gatewayCount, -1}, DrainGraceMs: grace, Pushed: pushed}
		now := 1000.0
		policy.Started(now)
		// The agent or discovery has the update since updatedAt; the protocol counts it as notified at latest.
		updatedAt := now + float64(rapid.IntRange(-3000, 20_000).Draw(t, "update"))
		latest := updatedAt
		if pushed {
			latest = max(latest, now)
		} else {
			latest = 1e9
		}
		now += policy.FirstDelay(true, draw())
		received := false
		for range rapid.IntRange(0, 8).Draw(t, "polls") {
			wait, timeout := policy.NextPoll(true)
			polledAt := now
			switch rapid.IntRange(0, 4).Draw(t, "outcome") {
			case 0: // answered, with the update if there is one by the end of the wait
				if updatedAt <= polledAt+wait {
					now = max(polledAt, updatedAt)
					received = true
				} else {
					now = polledAt + wait
				}
				_, notifiedAt := policy.Answered(now)
				if received {
					if notifiedAt > min(latest, now) {
						t.Fatalf("received at %.0f, notified at %.0f at the latest, taken as notified at %.0f",
							now, latest, notifiedAt)
					}
					return
				}
				now += policy.IdleDelay(false, polledAt, now)
			case 1: // answered with an error, at once or after some time
				now += float64(rapid.IntRange(0, int(wait)).Draw(t, "after"))
				if updatedAt < now && updatedAt >= polledAt { // the poll would have had it
					updatedAt = now
					latest = max(latest, now)
				}
				now += policy.Failed(now, draw())
			case 2: // unanswered for some time, then the connection breaks
				now += float64(rapid.IntRange(0, int(timeout)).Draw(t, "after"))
				if updatedAt < now {
					latest = min(latest, max(updatedAt, polledAt)+unansweredPollNotifiedMs)
				}
				now += policy.ConnectionLost(polledAt, now, draw())
			default:
				now += timeout
				if updatedAt < now {
					latest = min(latest, max(updatedAt, polledAt)+unansweredPollNotifiedMs)
				}
				backoff := policy.TimedOut(polledAt, now, draw())
				if backoff > 0.4*grace {
					t.Fatalf("polls again after %.0f ms, the grace period is %.0f ms", backoff, grace)
				}
				now += backoff
			}
		}
	})
}

// A watch whose connection breaks after some time has missed as much as one that times out: an agent's updates count
// since the watch began, a shared discovery's 6 s later. It is repeated as soon, any number of times. Connections that
// break at once make the backoff from an overloaded discovery grow.
func TestPollPolicyConnectionLost(t *testing.T) {
	for _, test := range []struct {
		pushed         bool
		wantNotifiedAt float64
	}{
		{true, 2000},
		{false, 2000 + unansweredPollNotifiedMs},
	} {
		t.Run(fmt.Sprintf("pushed %v", test.pushed), func(t *testing.T) {
			policy := PollPolicy{SlotSchedule: SlotSchedule{300, -1}, DrainGraceMs: 2000, Pushed: test.pushed}
			policy.Started(1000)
			policy.Answered(1500)
			now := 2000.0
			for range 5 {
				backoff := policy.ConnectionLost(now, now+1500, 0.999)
				if backoff > 0.4*policy.DrainGraceMs {
					t.Errorf("repeated after %.0f ms", backoff)
				}
				now += 1500 + backoff
			}
			if _, notifiedAt := policy.Answered(now); notifiedAt != test.wantNotifiedAt {
				t.Errorf("counts as notified at %.0f, not %.0f", notifiedAt, test.wantNotifiedAt)
			}
			backoff := 0.0
			for range 6 {
				backoff = policy.ConnectionLost(now, now, 0.5)
			}
			if !test.pushed && backoff < 2000 {
				t.Errorf("a discovery that resets all connections is polled again after %.0f ms", backoff)
			}
		})
	}
}

// A discovery that answers each watch at once without an update is not polled in a busy loop.
func TestPollPolicyIdleDelay(t *testing.T) {
	var policy PollPolicy
	if delay := policy.IdleDelay(true, 1000, 1000); delay != 0 {
		t.Errorf("a delay of %v after an update", delay)
	}
	if delay := policy.IdleDelay(false, 1000, 1150); delay != 0 {
		t.Errorf("a delay of %v after a slow answer", delay)
	}
	if delay := policy.IdleDelay(false, 1000, 1010); delay < 50 || delay >= 200 {
		t.Errorf("a delay of %v", delay)
	}
	if _, notifiedAt := policy.Answered(1100); notifiedAt != 1010 {
		t.Errorf("an update of the delay counts as notified at %v", notifiedAt)
	}
}

// Without a drain grace period a failure is still followed by a delay.
func TestPollPolicyWithoutDrainGrace(t *testing.T) {
	for _, policy := range []PollPolicy{{Pushed: true}, {}} {
		if backoff := min(policy.Failed(0, 0), policy.TimedOut(0, 0, 0)); backoff < 5 {
			t.Errorf("pushed %v: no delay after a failure: %v", policy.Pushed, backoff)
		}
	}
}

// Watches of a fleet that knows its slots get longer with its size, so that their sum does not grow; others don't.
func TestPollPolicySharedDiscovery(t *testing.T) {
	policy := PollPolicy{SlotSchedule: SlotSchedule{300, -1}, DrainGraceMs: 2000}
	if wait, timeout := policy.NextPoll(false); wait != 0 || timeout != 4000 {
		t.Errorf("first poll: %.0f, %.0f", wait, timeout)
	}
	if policy.FirstDelay(false, 0.5) != 0 || policy.FirstDelay(true, 0.5) != 600 || policy.AddressChangeDelay(0.5) != 500 {
		t.Error("spread of first polls")
	}
	first, _ := policy.Answered(1)
	if second, _ := policy.Answered(2); !first || second || !policy.HasAnswer() {
		t.Error("which answer is the first")
	}
	if wait, timeout := policy.NextPoll(true); wait != 2000 || timeout != 3000 {
		t.Errorf("watch: %.0f, %.0f", wait, timeout)
	}
	policy.Slot = 5
	if wait, _ := policy.NextPoll(true); wait != 6000 {
		t.Errorf("watch of a gateway that knows its slot: %.0f", wait)
	}
	if backoff := policy.Failed(3, 0.5); backoff != 100 {
		t.Errorf("a watch that fails is retried after %.0f", backoff)
	}
	backoff := 0.0
	for range 10 {
		backoff = policy.Failed(4, 0.5)
	}
	if backoff != 12_000 {
		t.Errorf("the longest backoff is %.0f", backoff)
	}
	if policy.TimedOut(4, 5, 0.999) > 0.4*2000 {
		t.Error("after a time-out the gateway waits for more than the drain grace period")
	}
	policy.AddressChanged(6)
	if policy.HasAnswer() || policy.Failed(7, 0.5) != 3000 {
		t.Error("a new address does not start anew")
	}
}
