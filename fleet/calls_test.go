package fleet

import (
	"testing"

	"pgregory.net/rapid"

	_ "merlinjunction/internal/testkit/seed" // the same draws each time
)

// Where lists are pushed nobody is spared by waiting: the agent is asked at once, and again well within the grace of a
// drain whatever went wrong how often. On herd+mass a new process made its first call up to 1.2 s late and used a draining
// primary for the whole grace from then: a request went out 2.42 s after the drain counted as told.
func TestAnAgentIsAskedAtOnce(t *testing.T) {
	for _, grace := range []float64{250, 600, 2000} {
		c := PollPolicy{SlotSchedule: SlotSchedule{300, -1}, DrainGraceMs: grace, Pushed: true}
		c.Started(1000)
		if c.FirstDelay(true, 0.99) != 0 || c.MoveDelay(0.99) != 0 {
			t.Errorf("grace %v: the first call comes after %v, after a move %v", grace, c.FirstDelay(true, 0.99), c.MoveDelay(0.99))
		}
		if _, patience := c.NextCall(true); patience > 1500 {
			t.Errorf("grace %v: a first call may take %v ms", grace, patience)
		}
		for range 12 {
			if w := c.Failed(2000, 0.999); w > 0.4*grace {
				t.Errorf("grace %v: asks again after %v", grace, w)
			}
			if w := c.TimedOut(2000, 3000, 0.999); w > 0.4*grace {
				t.Errorf("grace %v: asks again after %v when nothing comes", grace, w)
			}
		}
		if _, told := c.Answered(9000); told != 1000 {
			t.Errorf("grace %v: what the first answer says counts as told at %v, not since the start", grace, told)
		}
		if _, told := c.Answered(9500); told != 9500 {
			t.Errorf("grace %v: what a watch says counts as told at %v", grace, told)
		}
	}
}

// Discovery that is asked for and silent to the first call was left alone for up to 8.5 s: what it would have said counts
// as told 6 s after it fell silent.
func TestASilentFirstCallIsMadeAnewInTime(t *testing.T) {
	for _, grace := range []float64{250, 2000} {
		c := PollPolicy{SlotSchedule: SlotSchedule{300, -1}, DrainGraceMs: grace}
		now, asked, silences := 0.0, 0.0, 0
		for now < toldMs+grace {
			_, patience := c.NextCall(true)
			asked = now
			now += patience
			now += c.TimedOut(asked, now, 0.999)
			silences++
		}
		if silences < 3 {
			t.Errorf("grace %v: after two silent calls the next one comes too late, at %.0f ms", grace, now)
		}
	}
}

// Whatever goes wrong between a gateway and discovery, what it hears in the end never counts as told later than the rules
// count it: as it comes, or where lists are pushed since the agent has it, or 6 s after a call fell silent. And once
// discovery is well the next call comes soon.
func TestWhatIsHeardLateCountsSinceItWasTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pushed := rapid.Bool().Draw(t, "pushed")
		grace := rapid.SampledFrom([]float64{250, 600, 2000}).Draw(t, "grace")
		draw := func() float64 { return float64(rapid.IntRange(0, 999).Draw(t, "draw")) / 1000 }
		c := PollPolicy{SlotSchedule: SlotSchedule{rapid.SampledFrom([]int{1, 6, 300}).Draw(t, "gateways"), -1}, DrainGraceMs: grace, Pushed: pushed}
		now := 1000.0
		c.Started(now)
		newsAt := now + float64(rapid.IntRange(-3000, 20_000).Draw(t, "news")) // an agent, or discovery, has it since
		counts := newsAt                                                       // when the rules count it as told at the latest
		if pushed {
			counts = max(counts, now)
		} else {
			counts = 1e9
		}
		now += c.FirstDelay(true, draw())
		heard := false
		for range rapid.IntRange(0, 8).Draw(t, "calls") {
			wait, patience := c.NextCall(true)
			asked := now
			switch rapid.IntRange(0, 4).Draw(t, "fate") {
			case 0: // answered: with the news if there are any by the end of the wait
				if newsAt <= asked+wait {
					now = max(asked, newsAt)
					heard = true
				} else {
					now = asked + wait
				}
				_, told := c.Answered(now)
				if heard {
					if told > min(counts, now) {
						t.Fatalf("heard at %.0f, counts as told at %.0f, taken as told at %.0f", now, counts, told)
					}
					return
				}
				now += c.IdleDelay(false, asked, now)
			case 1: // told no, at once or after some time
				now += float64(rapid.IntRange(0, int(wait)).Draw(t, "after"))
				if newsAt < now && newsAt >= asked { // it had been written by then
					newsAt = now
					counts = max(counts, now)
				}
				now += c.Failed(now, draw())
			case 2: // silent for some time, then reset or cut off
				now += float64(rapid.IntRange(0, int(patience)).Draw(t, "after"))
				if newsAt < now {
					counts = min(counts, max(newsAt, asked)+toldMs)
				}
				now += c.ConnectionLost(asked, now, draw())
			default:
				now += patience
				if newsAt < now {
					counts = min(counts, max(newsAt, asked)+toldMs)
				}
				pause := c.TimedOut(asked, now, draw())
				if pause > 0.4*grace {
					t.Fatalf("asks again after %.0f ms, the grace is %.0f", pause, grace)
				}
				now += pause
			}
		}
	})
}

// A watch that falls silent and is reset some time later has missed as much as one that is given up: an agent's word counts
// since the watch began, a shared discovery's 6 s later. It is made anew as soon, however often that happens; one that breaks
// at once leaves an overrun discovery alone for longer and longer.
func TestWhatACallMissedBeforeItBrokeCounts(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		c := PollPolicy{SlotSchedule: SlotSchedule{300, -1}, DrainGraceMs: 2000, Pushed: pushed}
		c.Started(1000)
		c.Answered(1500)
		now := 2000.0
		for range 5 {
			pause := c.ConnectionLost(now, now+1500, 0.999)
			if pause > 0.4*c.DrainGraceMs {
				t.Errorf("pushed %v: made anew after %.0f ms", pushed, pause)
			}
			now += 1500 + pause
		}
		want := 2000.0
		if !pushed {
			want += toldMs
		}
		if _, told := c.Answered(now); told != want {
			t.Errorf("pushed %v: counts as told at %.0f, not %.0f", pushed, told, want)
		}
		last := 0.0
		for range 6 {
			last = c.ConnectionLost(now, now, 0.5)
		}
		if !pushed && last < 2000 {
			t.Errorf("a discovery that resets all calls is called again after %.0f ms", last)
		}
	}
}

// Discovery that answers each watch at once with nothing new was asked as fast as it answered.
func TestAWatchWithoutNewsIsNoBusyLoop(t *testing.T) {
	var c PollPolicy
	if n, slow := c.IdleDelay(true, 1000, 1000), c.IdleDelay(false, 1000, 1150); n != 0 || slow != 0 {
		t.Errorf("pauses of %v after news, %v after an answer that took long", n, slow)
	}
	if p := c.IdleDelay(false, 1000, 1010); p < 50 || p >= 200 {
		t.Errorf("a pause of %v", p)
	}
	if _, told := c.Answered(1100); told != 1010 {
		t.Errorf("what came in the pause counts as told at %v", told)
	}
	for _, c := range []PollPolicy{{Pushed: true}, {}} { // settings without a grace
		if w := min(c.Failed(0, 0), c.TimedOut(0, 0, 0)); w < 5 {
			t.Errorf("pushed %v: no pause after a failure: %v", c.Pushed, w)
		}
	}
}
