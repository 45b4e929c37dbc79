package routing

import "time"

// timerHorizon limits how far ahead a timer is set.
const timerHorizon = time.Minute

// scheduleTimer requests a Step for the time of the next due work: requesting the endpoint list,
// dispatching waiting requests, or handling the first attempt that becomes overdue. It sets no timer if
// nothing is due within timerHorizon or if the last timer fires early enough.
func (r *Router) scheduleTimer() {
	limit := r.now + timerHorizon
	due := limit
	if r.subscribeAt > 0 {
		due = r.subscribeAt
	}
	for _, request := range r.requests { // a minimum, so the order of the map doesn't matter
		open := request.openAttempt
		switch {
		case open == nil:
			due = min(due, r.now+r.scaleToObjective(waitingCheckInterval))
		case !open.overdue:
			due = min(due, open.sentAt+r.attemptTimeout(request.Class))
		}
	}
	r.overdueCheckAt = max(due, r.now+r.settings.TickInterval)
	lastTimerHasFired := r.timerAt <= r.now
	if due < limit && (lastTimerHasFired || r.overdueCheckAt < r.timerAt) {
		r.timerAt = r.overdueCheckAt
		r.emit(SetTimer{r.overdueCheckAt - r.now})
	}
}
