package fleet

import "testing"

// Twenty requests a second arrive and are served, then three times as many arrive and none is served. The factor follows
// the arrivals, because the baseline keeps the rate that was served before.
func TestLoadEstimator(t *testing.T) {
	var estimator LoadEstimator
	nextSecond, allWarmedUp := 1000.0, true
	repeat := func(from, to, every float64, event func(now float64)) {
		for now := from; now < to; now += every {
			event(now)
			if now >= nextSecond {
				estimator.UpdateBaseline(now, allWarmedUp)
				nextSecond += 1000
			}
		}
	}
	arriveAndServe := func(now float64) {
		estimator.RequestArrived(now)
		estimator.RequestServed(now)
	}
	if estimator.Factor(1) != 1 {
		t.Error("the factor of an estimator without events is not 1")
	}
	repeat(1000, 6000, 50, arriveAndServe)
	if factor := estimator.Factor(6000); factor > 1.2 {
		t.Errorf("normal traffic has a factor of %.2f, want at most 1.2", factor)
	}
	allWarmedUp = false
	repeat(6000, 9000, 50.0/3, estimator.RequestArrived)
	if factor := estimator.Factor(9000); factor < 2.4 || factor > 3.5 {
		t.Errorf("three times the normal traffic has a factor of %.2f, want 2.4 to 3.5", factor)
	}
	repeat(9000, 14_000, 50, arriveAndServe)
	if factor := estimator.Factor(14_000); factor > 1.3 {
		t.Errorf("after the overload, normal traffic has a factor of %.2f, want at most 1.3", factor)
	}
	// A gateway that started while hosts warmed up has served only the requests that it admitted, so it has no baseline.
	estimator = LoadEstimator{}
	repeat(20_000, 30_000, 50, estimator.RequestArrived)
	repeat(30_000, 31_000, 200, estimator.RequestServed)
	if factor := estimator.Factor(31_000); factor != 1 {
		t.Errorf("a gateway that started while hosts warmed up has a factor of %.2f, want 1", factor)
	}
}
