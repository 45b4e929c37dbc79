package fleet

import "testing"

// Twenty requests a second are answered; then three times as many come and no more are answered.
func TestSurge(t *testing.T) {
	var s LoadEstimator
	second, warm := 1000.0, true
	at := func(from, to, every float64, f func(float64)) {
		for now := from; now < to; now += every {
			f(now)
			if now >= second {
				s.UpdateBaseline(now, warm)
				second += 1000
			}
		}
	}
	if s.Factor(1) != 1 {
		t.Error("one that knows nothing thins")
	}
	at(1000, 6000, 50, func(now float64) { s.RequestArrived(now); s.RequestServed(now) })
	if f := s.Factor(6000); f > 1.2 {
		t.Errorf("a calm day counts as %.2f", f)
	}
	warm = false // as hosts are replaced, which is when it counts
	at(6000, 9000, 50.0/3, s.RequestArrived)
	if f := s.Factor(9000); f < 2.4 || f > 3.5 {
		t.Errorf("three times as much counts as %.2f", f)
	}
	at(9000, 14_000, 50, func(now float64) { s.RequestArrived(now); s.RequestServed(now) })
	if f := s.Factor(14_000); f > 1.3 {
		t.Errorf("after it has gone, it counts as %.2f", f)
	}
	// One that came while hosts were cold has seen only what it was let send: it must not thin by that, or ever more.
	s = LoadEstimator{}
	at(20_000, 30_000, 50, s.RequestArrived)
	at(30_000, 31_000, 200, s.RequestServed)
	if f := s.Factor(31_000); f != 1 {
		t.Errorf("a gateway that has come among cold hosts thins by %.2f", f)
	}
}
