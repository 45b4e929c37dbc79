package routing

import "time"

// timerHorizon is the time within which something must be due for a timer to be set.
const timerHorizon = time.Minute

// scheduleTimer asks for a Step at the time when something is due: the endpoint list, requests that wait,
// or the first attempt that becomes overdue. It sets no timer where nothing is due within timerHorizon, or
// where the last timer comes soon enough.
func (r *Router) scheduleTimer() {
	limit := r.now + timerHorizon
	due := limit
	if r.subscribeAt > 0 {
		due = r.subscribeAt
	}
	for _, request := range r.requests { // the least of all: the order of the map doesn't matter
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
