package faultsim

import (
	"testing"
	"time"
)

func TestHoldUpsBetween(t *testing.T) {
	start := time.Now().Add(-time.Hour)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	monitor := &holdUpMonitor{checkedAt: at(0)}
	monitor.check(at(50))  // no hold-up
	monitor.check(at(460)) // from 60 to 460
	monitor.check(at(470))
	monitor.check(at(1480))                         // from 480 to 1480
	monitor.checkedAt = time.Now().Add(time.Minute) // the call of between below is no check
	for name, test := range map[string]struct{ from, to, wantMs int }{
		"before both": {0, 60, 0},
		"both":        {0, 2000, 1400},
		"a part":      {100, 200, 100},
		"two parts":   {260, 680, 400},
		"after both":  {1480, 3000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := monitor.between(at(test.from), at(test.to)); got != time.Duration(test.wantMs)*time.Millisecond {
				t.Errorf("got %v, want %d ms", got, test.wantMs)
			}
		})
	}
	if got := (*holdUpMonitor)(nil).between(at(0), at(1)); got != 0 {
		t.Errorf("without a monitor: got %v, want 0", got)
	}
}
