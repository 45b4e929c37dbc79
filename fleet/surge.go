package fleet

import "math"

// LoadEstimator tells how many times the traffic that its hosts have lately answered a gateway it is asked for now. A limit on a
// cold host that takes a group's usual traffic for granted is wrong by as much: clients that come again after refusals
// and time-outs can treble what comes within a second. The zero value knows nothing.
type LoadEstimator struct {
	came, done rate
	best       float64 // answers a second, the most of late, while all hosts were warm
	bestAt     float64
	since      float64 // the first request; 0: none yet
}

const (
	cameMs   = 1000.0 // over which requests are counted: hosts fall over within seconds
	doneMs   = 3000.0 // and answers, as their most is taken, which chance raises the more the less is counted
	bestKept = 0.95   // of the most answers, each second
)

// rate is a count of events a second that fades with time.
type rate struct{ count, at float64 }

func (r *rate) fade(now, overMs float64) float64 {
	r.count *= math.Exp((r.at - now) / overMs)
	r.at = now
	return r.count * 1000 / overMs
}

// RequestArrived takes in a request, at a time in milliseconds that does not go back.
func (s *LoadEstimator) RequestArrived(now float64) {
	if s.since == 0 {
		s.since = now
	}
	s.came.fade(now, cameMs)
	s.came.count++
}

// RequestServed takes in an answer.
func (s *LoadEstimator) RequestServed(now float64) {
	if s.since == 0 {
		s.since = now
	}
	s.done.fade(now, doneMs)
	s.done.count++
}

// UpdateBaseline takes down what is answered now, once a second, where all hosts are warm. What is answered while some are cold is
// what they were sent: taken for what they can do, it would be less and less.
func (s *LoadEstimator) UpdateBaseline(now float64, warm bool) {
	if !warm || s.since == 0 || now < s.since+doneMs {
		s.bestAt = now
		return
	}
	counted := 1 - math.Exp((s.since-now)/doneMs) // of a steady rate, by now
	s.best = max(s.done.fade(now, doneMs)/counted, s.best*math.Pow(bestKept, (now-s.bestAt)/1000))
	s.bestAt = now
}

// Factor is how many times what was answered is asked for, 1 at the least; 1 as well until that is known.
func (s *LoadEstimator) Factor(now float64) float64 {
	if s.best <= 0 {
		return 1
	}
	return max(1, s.came.fade(now, cameMs)/s.best)
}
