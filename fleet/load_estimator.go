package fleet

import "math"

const (
	arrivalWindowMs = 1000.0 // time constant of the arrival rate; short because hosts become overloaded within seconds
	// servedWindowMs is the time constant of the rate of served requests. It is longer than arrivalWindowMs because the
	// baseline is a maximum, and a maximum over a short window follows random peaks.
	servedWindowMs         = 3000.0
	baselineDecayPerSecond = 0.95 // factor by which the baseline shrinks each second unless the served rate is higher
)

// LoadEstimator estimates the load factor: the rate of arriving requests divided by the rate at which the hosts recently
// served requests. A limit on the traffic to warming hosts that is computed for normal traffic must be lowered by that
// factor, because clients that retry after rejections and timeouts can multiply arrivals within a second. The zero value
// has no estimate.
type LoadEstimator struct {
	arrivals     decayingRate
	served       decayingRate
	baselineRate float64 // slowly decaying maximum of the requests served a second while no host was warming up
	baselineAt   float64 // time of the last baseline update
	firstEventAt float64 // 0: no event yet
}

// decayingRate counts events with exponential decay.
type decayingRate struct{ count, updatedAt float64 }

// decayTo decays the count until now and returns the rate in events a second.
func (r *decayingRate) decayTo(now, windowMs float64) float64 {
	r.count *= math.Exp((r.updatedAt - now) / windowMs)
	r.updatedAt = now
	return r.count * 1000 / windowMs
}

// increment counts an event at the time now.
func (r *decayingRate) increment(now, windowMs float64) {
	r.decayTo(now, windowMs)
	r.count++
}

// RequestArrived records an arriving request. Times must not decrease.
func (e *LoadEstimator) RequestArrived(now float64) {
	e.recordFirstEvent(now)
	e.arrivals.increment(now, arrivalWindowMs)
}

// RequestServed records a served request.
func (e *LoadEstimator) RequestServed(now float64) {
	e.recordFirstEvent(now)
	e.served.increment(now, servedWindowMs)
}

// recordFirstEvent sets firstEventAt at the first event.
func (e *LoadEstimator) recordFirstEvent(now float64) {
	if e.firstEventAt == 0 {
		e.firstEventAt = now
	}
}

// UpdateBaseline updates the baseline from the rate of served requests. It is called once a second. The baseline doesn't
// change while any host is warming up: the gateways limit what is served during that time, and a baseline that followed
// the limited rate would shrink further and further.
func (e *LoadEstimator) UpdateBaseline(now float64, allWarmedUp bool) {
	if !allWarmedUp || e.firstEventAt == 0 || now < e.firstEventAt+servedWindowMs {
		e.baselineAt = now
		return
	}
	windowFill := 1 - math.Exp((e.firstEventAt-now)/servedWindowMs) // share of a steady rate that the count shows by now
	decay := math.Pow(baselineDecayPerSecond, (now-e.baselineAt)/1000)
	e.baselineRate = max(e.served.decayTo(now, servedWindowMs)/windowFill, e.baselineRate*decay)
	e.baselineAt = now
}

// Factor returns the load factor, at least 1. It returns 1 while there is no baseline.
func (e *LoadEstimator) Factor(now float64) float64 {
	if e.baselineRate <= 0 {
		return 1
	}
	return max(1, e.arrivals.decayTo(now, arrivalWindowMs)/e.baselineRate)
}
