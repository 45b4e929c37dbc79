package fleet

import "math"

const (
	arrivalWindowMs = 1000.0 // time constant of the arrival rate: short, as hosts become overloaded within seconds
	// servedWindowMs is the time constant of the served rate: longer, because the baseline is a maximum and a maximum
	// over a short window follows chance.
	servedWindowMs         = 3000.0
	baselineDecayPerSecond = 0.95 // factor by which the baseline shrinks each second without a higher served rate
)

// LoadEstimator estimates the load factor: the rate of arriving requests as a multiple of the rate that the hosts
// served recently. A limit on warming hosts that is computed for normal traffic must be lowered by that factor, as
// clients that retry after rejections and time-outs can multiply arrivals within a second. The zero value has no
// estimate.
type LoadEstimator struct {
	arrivals     decayingRate
	served       decayingRate
	baselineRate float64 // served requests a second while no host was warming up; a slowly decaying maximum
	baselineAt   float64 // time of the last baseline update
	firstEventAt float64 // 0: no event yet
}

// decayingRate counts events with exponential decay.
type decayingRate struct{ count, updatedAt float64 }

// decayTo moves the rate on to now and returns it in events a second.
func (r *decayingRate) decayTo(now, windowMs float64) float64 {
	r.count *= math.Exp((r.updatedAt - now) / windowMs)
	r.updatedAt = now
	return r.count * 1000 / windowMs
}

// increment counts an event.
func (r *decayingRate) increment(now, windowMs float64) {
	r.decayTo(now, windowMs)
	r.count++
}

// RequestArrived records a request. Times must not decrease.
func (e *LoadEstimator) RequestArrived(now float64) {
	e.noteEvent(now)
	e.arrivals.increment(now, arrivalWindowMs)
}

// RequestServed records a served request.
func (e *LoadEstimator) RequestServed(now float64) {
	e.noteEvent(now)
	e.served.increment(now, servedWindowMs)
}

func (e *LoadEstimator) noteEvent(now float64) {
	if e.firstEventAt == 0 {
		e.firstEventAt = now
	}
}

// UpdateBaseline takes the served rate into the baseline, once a second. It does so only while no host is warming up:
// what is served while hosts warm up was limited by the gateways, and a baseline that followed it would shrink ever
// further.
func (e *LoadEstimator) UpdateBaseline(now float64, allWarmedUp bool) {
	if !allWarmedUp || e.firstEventAt == 0 || now < e.firstEventAt+servedWindowMs {
		e.baselineAt = now
		return
	}
	counted := 1 - math.Exp((e.firstEventAt-now)/servedWindowMs) // share of a steady rate that the window holds by now
	decay := math.Pow(baselineDecayPerSecond, (now-e.baselineAt)/1000)
	e.baselineRate = max(e.served.decayTo(now, servedWindowMs)/counted, e.baselineRate*decay)
	e.baselineAt = now
}

// Factor is the load factor, at least 1. It is 1 while there is no baseline.
func (e *LoadEstimator) Factor(now float64) float64 {
	if e.baselineRate <= 0 {
		return 1
	}
	return max(1, e.arrivals.decayTo(now, arrivalWindowMs)/e.baselineRate)
}
