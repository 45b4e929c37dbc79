package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "merlinjunction/internal/testkit/seed" // makes rapid draw the same cases in each run
)

// With pushed lists, the agent is polled at once, and again well within the drain grace period after any number of
// failures.
func TestPollPolicyPollsAgentAtOnce(t *testing.T) {
	for _, grace := range []float64{250, 600, 2000} {
		t.Run(fmt.Sprintf("grace %v", grace), func(t *testing.T) {
			policy := PollPolicy{SlotSchedule: SlotSchedule{300, -1}, DrainGraceMs: grace, Pushed: true}
			policy.Started(1000)
			if first, change := policy.FirstDelay(true, 0.99), policy.AddressChangeDelay(0.99); first != 0 || change != 0 {
				t.Errorf("delay of the first poll %v ms, after a change of address %v ms, want 0 and 0", first, change)
			}
			if _, timeout := policy.NextPoll(true); timeout > 1500 {
				t.Errorf("the first poll times out after %v ms, want at most 1500", timeout)
			}
			for range 12 {
				if backoff := policy.Failed(2000, 0.999); backoff > 0.4*grace {
					t.Errorf("polls again %v ms after a failure, want at most 0.4 of the grace period", backoff)
				}
				if backoff := policy.TimedOut(2000, 3000, 0.999); backoff > 0.4*grace {
					t.Errorf("polls again %v ms after a timeout, want at most 0.4 of the grace period", backoff)
				}
			}
			if _, notifiedAt := policy.Answered(9000); notifiedAt != 1000 {
				t.Errorf("the first answer counts as notified at %v, want 1000, the time of the start", notifiedAt)
			}
			if _, notifiedAt := policy.Answered(9500); notifiedAt != 9500 {
				t.Errorf("the answer to a watch counts as notified at %v, want 9500", notifiedAt)
			}
		})
	}
}

// A first poll that times out is repeated before the updates that it missed have counted as notified for a drain grace
// period.
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
				t.Errorf("after %d timeouts the next poll comes at %.0f ms, want it before %.0f ms",
					timeouts, now, unansweredPollNotifiedMs+grace)
			}
		})
	}
}

// After any sequence of failures, the policy counts an update as notified no later than the protocol does: when the
// gateway receives it, or with pushed lists when the agent gets it, or 6 s after an unanswered poll. A timeout is
// followed by a poll within the drain grace period.
func TestPollPolicyNotifiedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pushed := rapid.Bool().Draw(t, "pushed")
		grace := rapid.SampledFrom([]float64{250, 600, 2000}).Draw(t, "grace")
		draw := func() float64 { return float64(rapid.IntRange(0, 999).Draw(t, "draw")) / 1000 }
		gatewayCount := rapid.SampledFrom([]int{1, 6, 300}).Draw(t, "gateways")
		policy := PollPolicy{SlotSchedule: SlotSchedule{gatewayCount, -1}, DrainGraceMs: grace, Pushed: pushed}
		now := 1000.0
		policy.Started(now)
		// The agent or discovery gets the update at updatedAt. The protocol counts it as notified at the time latest.
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
			case 0: // answered, with the update if discovery gets it before the wait ends
				if updatedAt <= polledAt+wait {
					now = max(polledAt, updatedAt)
					received = true
				} else {
					now = polledAt + wait
				}
				_, notifiedAt := policy.Answered(now)
				if received {
					if notifiedAt > min(latest, now) {
						t.Fatalf("received at %.0f, notified at %.0f at the latest, but the policy counts it as notified at %.0f",
							now, latest, notifiedAt)
					}
					return
				}
				now += policy.IdleDelay(false, polledAt, now)
			case 1: // answered with an error, at once or after some time
				now += float64(rapid.IntRange(0, int(wait)).Draw(t, "after"))
				if updatedAt < now && updatedAt >= polledAt { // the poll would have returned the update
					updatedAt = now
					latest = max(latest, now)
				}
				now += policy.Failed(now, draw())
			case 2: // unanswered for some time until the connection breaks
				now += float64(rapid.IntRange(0, int(timeout)).Draw(t, "after"))
				if updatedAt < now {
					latest = min(latest, max(updatedAt, polledAt)+unansweredPollNotifiedMs)
				}
				now += policy.ConnectionLost(polledAt, now, draw())
			default: // unanswered until the timeout
				now += timeout
				if updatedAt < now {
					latest = min(latest, max(updatedAt, polledAt)+unansweredPollNotifiedMs)
				}
				backoff := policy.TimedOut(polledAt, now, draw())
				if backoff > 0.4*grace {
					t.Fatalf("polls again %.0f ms after a timeout, want at most 0.4 of the grace period of %.0f ms", backoff, grace)
				}
				now += backoff
			}
		}
	})
}

// After a watch whose connection breaks after some time, updates count as missed in the same way as after a timeout:
// from the start of the watch with an agent, from 6 s later with a shared discovery. The watch is also repeated as soon
// as after a timeout, any number of times. Connections that break at once increase the backoff, because a shared
// discovery may be overloaded.
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
					t.Errorf("polls again %.0f ms after the connection broke, want at most 0.4 of the grace period", backoff)
				}
				now += 1500 + backoff
			}
			if _, notifiedAt := policy.Answered(now); notifiedAt != test.wantNotifiedAt {
				t.Errorf("the answer counts as notified at %.0f, want %.0f", notifiedAt, test.wantNotifiedAt)
			}
			backoff := 0.0
			for range 6 {
				backoff = policy.ConnectionLost(now, now, 0.5)
			}
			if !test.pushed && backoff < 2000 {
				t.Errorf("a discovery that resets all connections is polled again after %.0f ms, want at least 2000", backoff)
			}
		})
	}
}

// A discovery that answers each watch at once without an update is not polled in a busy loop.
func TestPollPolicyIdleDelay(t *testing.T) {
	var policy PollPolicy
	if delay := policy.IdleDelay(true, 1000, 1000); delay != 0 {
		t.Errorf("a delay of %v ms after an update, want none", delay)
	}
	if delay := policy.IdleDelay(false, 1000, 1150); delay != 0 {
		t.Errorf("a delay of %v ms after a slow answer, want none", delay)
	}
	if delay := policy.IdleDelay(false, 1000, 1010); delay < 50 || delay >= 200 {
		t.Errorf("a delay of %v ms after an immediate answer without an update, want 50 to 200", delay)
	}
	if _, notifiedAt := policy.Answered(1100); notifiedAt != 1010 {
		t.Errorf("an update during the delay counts as notified at %v, want 1010", notifiedAt)
	}
}

// Without a drain grace period a failure is still followed by a delay.
func TestPollPolicyWithoutDrainGrace(t *testing.T) {
	for _, policy := range []PollPolicy{{Pushed: true}, {}} {
		if backoff := min(policy.Failed(0, 0), policy.TimedOut(0, 0, 0)); backoff < 5 {
			t.Errorf("pushed %v: polls again %v ms after a failure, want at least 5", policy.Pushed, backoff)
		}
	}
}

// If the gateways know their slots, watches get longer with the fleet's size, so that the fleet's rate of polls does not
// grow. If they don't know their slots, the length of watches is constant.
func TestPollPolicySharedDiscovery(t *testing.T) {
	policy := PollPolicy{SlotSchedule: SlotSchedule{300, -1}, DrainGraceMs: 2000}
	if wait, timeout := policy.NextPoll(false); wait != 0 || timeout != 4000 {
		t.Errorf("first poll: wait %.0f ms, timeout %.0f ms, want 0 and 4000", wait, timeout)
	}
	if policy.FirstDelay(false, 0.5) != 0 || policy.FirstDelay(true, 0.5) != 600 || policy.AddressChangeDelay(0.5) != 500 {
		t.Error("the delays of the first poll and of the poll after a change of address are not 0, 600 and 500 ms")
	}
	first, _ := policy.Answered(1)
	if second, _ := policy.Answered(2); !first || second || !policy.HasAnswer() {
		t.Error("only the first answer must be reported as the first")
	}
	if wait, timeout := policy.NextPoll(true); wait != 2000 || timeout != 3000 {
		t.Errorf("watch: wait %.0f ms, timeout %.0f ms, want 2000 and 3000", wait, timeout)
	}
	policy.Slot = 5
	if wait, _ := policy.NextPoll(true); wait != 6000 {
		t.Errorf("watch of a gateway that knows its slot: wait %.0f ms, want 6000", wait)
	}
	if backoff := policy.Failed(3, 0.5); backoff != 100 {
		t.Errorf("a watch that fails is retried after %.0f ms, want 100", backoff)
	}
	backoff := 0.0
	for range 10 {
		backoff = policy.Failed(4, 0.5)
	}
	if backoff != 12_000 {
		t.Errorf("the longest backoff is %.0f ms, want 12000", backoff)
	}
	if policy.TimedOut(4, 5, 0.999) > 0.4*2000 {
		t.Error("after a timeout the gateway waits for more than 0.4 of the drain grace period")
	}
	policy.AddressChanged(6)
	if policy.HasAnswer() || policy.Failed(7, 0.5) != 3000 {
		t.Error("a change of address does not reset the policy")
	}
}

// Guards against drains that were never heard, because discovery answered later than the time that each poll had for its
// response. The time must grow until an answer is heard, stay while answers are late, and be short again for prompt ones.
func TestSlowDiscoveryIsHeard(t *testing.T) {
	const lateMs = 1500.0 // of each answer, after the wait that the poll asked for
	policy := PollPolicy{SlotSchedule: SlotSchedule{GatewayCount: 1, Slot: -1}, DrainGraceMs: 2000}
	now := 1000.0
	policy.Started(now)
	policy.NextPoll(false)
	policy.Answered(now)
	policy.IdleDelay(true, now, now)
	heardAt, timeouts := now, 0
	for range 20 {
		wait, timeout := policy.NextPoll(true)
		polledAt := now
		if wait+lateMs >= timeout {
			timeouts++
			now += timeout
			now += policy.TimedOut(polledAt, now, 0.5)
			continue
		}
		now += wait + lateMs
		policy.Answered(now)
		policy.IdleDelay(false, polledAt, now)
		if now-heardAt > unansweredPollNotifiedMs {
			t.Errorf("nothing was heard for %.0f ms, want at most %.0f", now-heardAt, unansweredPollNotifiedMs)
		}
		heardAt = now
	}
	if timeouts != 1 {
		t.Errorf("%d of 20 polls timed out, want only the first", timeouts)
	}
	wait, _ := policy.NextPoll(true)
	policy.Answered(now + wait)
	policy.IdleDelay(false, now, now+wait)
	if wait, timeout := policy.NextPoll(true); timeout != wait+responseTimeoutMs {
		t.Errorf("after a prompt answer the response has %v ms, want %v", timeout-wait, responseTimeoutMs)
	}
}
