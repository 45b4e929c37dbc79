package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The tolerances of the rules, as the documentation of the platform states them.
const (
	answerTolerance    = 500 * time.Millisecond // how long after its deadline an answer is still accepted
	extraReadTime      = 500 * time.Millisecond // how much longer a client waits, to tell a late answer from a missing one
	timeTolerance      = 50 * time.Millisecond  // added to each time limit that is checked on sockets
	abandonedTolerance = 300 * time.Millisecond // how long after its client has left a request may still be sent to hosts
	// processEndTolerance is the time before the end of the gateway's process in which a request may be sent without being
	// read.
	processEndTolerance = 20 * time.Millisecond
)

// maxViolations is how many violations of a run are reported; further ones are only counted.
const maxViolations = 12

// checkRules returns a description of each violation of a rule by the run.
func (r *run) checkRules() []string {
	violations := r.checkProcess()
	r.recorder.mutex.Lock()
	defer r.recorder.mutex.Unlock()
	for _, text := range r.recorder.unknownStatements {
		violations = append(violations, "a host got a statement that no client sent: "+text)
	}
	for _, id := range r.recorder.idleCloses {
		violations = append(violations, "a connection was neither used nor closed until its host closed it: "+id)
	}
	for _, checked := range r.recorder.order {
		for _, violation := range []string{
			r.checkAnswer(checked), checked.checkContent(), checked.checkRepeats(), checked.checkParallelAttempts(),
			checked.checkAbandoned(), r.checkDrain(checked),
		} {
			if violation != "" {
				violations = append(violations, fmt.Sprintf("%s (%s): %s", checked.id, checked.class.Name, violation))
			}
		}
	}
	if len(violations) > maxViolations {
		violations = append(violations[:maxViolations], fmt.Sprintf("and %d more", len(violations)-maxViolations))
	}
	return violations
}

// checkProcess checks the gateway's process: its log, its exit status, its use of descriptors and memory, and the result
// of the leak check.
func (r *run) checkProcess() []string {
	g := r.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	violations := slices.Concat(g.faultLines, g.otherLines)
	if g.exitError != nil && !g.killed {
		violations = append(violations, "the process ended with "+g.exitError.Error())
	}
	if g.maxFDs > r.deployment.Sockets {
		violations = append(violations, fmt.Sprintf("%d descriptors open, the limit is %d", g.maxFDs, r.deployment.Sockets))
	}
	if g.maxMemoryKB > r.deployment.MemoryMB<<10 {
		violations = append(violations, fmt.Sprintf("%d KB of memory used, the limit is %d MB",
			g.maxMemoryKB, r.deployment.MemoryMB))
	}
	if r.leakViolation != "" {
		violations = append(violations, r.leakViolation)
	}
	return violations
}

// checkAnswer checks that a request that the gateway accepted was answered in time. A request that was not sent whole, or
// that its client abandoned, needs no answer.
func (r *run) checkAnswer(checked *request) string {
	switch {
	case checked.sentAt.IsZero() || checked.outcome == abandoned:
		return ""
	case !checked.answeredAt.IsZero():
		limit := time.Duration(checked.class.DeadlineMs*float64(time.Millisecond)) + answerTolerance
		if elapsed := checked.answeredAt.Sub(checked.deadlineStart); elapsed > limit {
			return fmt.Sprintf("answered after %v", elapsed)
		}
		return ""
	case checked.timedOut:
		return "no answer"
	case checked.connLostAt.IsZero():
		return "" // the run ended before the client read the answer
	}
	return r.checkLostConnection(checked)
}

// checkLostConnection checks a request whose connection ended without an answer to it. That is allowed only if the gateway
// did not read the request. An attempt shows that it did. It must also read the first request of a new connection, except
// during a connection flood and right before its process ends.
func (r *run) checkLostConnection(checked *request) string {
	g := r.gateway
	processEnded := !checked.connLostAt.Before(g.endedAt.Add(-processEndTolerance))
	sentAtTheEnd := !checked.sentAt.Before(g.endedAt.Add(-processEndTolerance))
	switch {
	case processEnded && sentAtTheEnd:
		return ""
	case processEnded && g.killed:
		return fmt.Sprintf("unanswered at SIGKILL, sent %v before", g.endedAt.Sub(checked.sentAt))
	case len(checked.attempts) > 0:
		return fmt.Sprintf("its connection was closed without an answer, %d attempts", len(checked.attempts))
	case checked.firstOnConn && !r.plan.connectionFlood && !sentAtTheEnd:
		return fmt.Sprintf("its new connection was closed without an answer, sent %v and closed %v after SIGTERM",
			checked.sentAt.Sub(g.sigtermAt), checked.connLostAt.Sub(g.sigtermAt))
	}
	return ""
}

// checkContent checks that the answer belongs to the request, and that a read returned data as new as its class requires.
func (r *request) checkContent() string {
	if r.outcome != served || r.class.isWrite() && r.answer == "" {
		return ""
	}
	value, ok := r.answerValue()
	switch {
	case !ok:
		return fmt.Sprintf("the answer %q is not its own", r.answer)
	case !r.class.isWrite() && value < r.minValue:
		return fmt.Sprintf("it read %d at %s, and %d, written at %s, was acknowledged to its session %v before it was sent",
			value, r.attemptSummary(), r.minValue, r.minValueWrite.attemptSummary(), r.sentAt.Sub(r.minValueWrite.answeredAt))
	}
	return ""
}

// attemptSummary lists the hosts that received the request, each with the time from sending the request to its arrival.
func (r *request) attemptSummary() string {
	var arrivals []string
	for _, a := range r.attempts {
		arrivals = append(arrivals, fmt.Sprintf("%s after %v", a.host.id, a.arrivedAt.Sub(r.sentAt).Round(time.Microsecond)))
	}
	return strings.Join(arrivals, ", ")
}

// checkRepeats checks that a request that is not idempotent ran once, and that one with an idempotency key ran again only
// within its deduplication window.
func (r *request) checkRepeats() string {
	var first time.Time
	window := time.Duration(r.class.DedupWindowMs * float64(time.Millisecond))
	for _, a := range r.attempts {
		switch {
		case a.executedAt.IsZero() || r.class.Idempotency == idempotent:
		case first.IsZero():
			first = a.executedAt
		case r.class.Idempotency == notIdempotent:
			return fmt.Sprintf("it ran twice, %v apart", a.executedAt.Sub(first))
		case a.executedAt.Sub(first) > window:
			return fmt.Sprintf("it ran again after %v, the window is %v", a.executedAt.Sub(first), window)
		}
	}
	return ""
}

// checkParallelAttempts checks that the request never had two open attempts at the same time.
func (r *request) checkParallelAttempts() string {
	for i, a := range r.attempts {
		if i == 0 {
			continue
		}
		previous := r.attempts[i-1]
		if previous.endedAt.IsZero() || a.arrivedAt.Before(previous.endedAt.Add(-timeTolerance)) {
			return fmt.Sprintf("an attempt at %s began while one at %s was open", a.host.id, previous.host.id)
		}
	}
	return ""
}

// checkAbandoned checks that the gateway sent no attempt of a request to a host later than abandonedTolerance after its
// client had closed the connection.
func (r *request) checkAbandoned() string {
	if r.abandonedAt.IsZero() {
		return ""
	}
	for _, a := range r.attempts {
		if late := a.arrivedAt.Sub(r.abandonedAt); late > abandonedTolerance {
			return fmt.Sprintf("sent to %s %v after its client had left", a.host.id, late)
		}
	}
	return ""
}

// checkDrain checks that no host received an attempt after the grace period of its drain.
func (r *run) checkDrain(checked *request) string {
	grace := time.Duration(r.deployment.DrainGraceMs*float64(time.Millisecond)) + timeTolerance
	for _, a := range checked.attempts {
		a.host.mutex.Lock()
		notifiedAt := a.host.drainNotifiedAt
		a.host.mutex.Unlock()
		if late := a.arrivedAt.Sub(notifiedAt); !notifiedAt.IsZero() && late > grace {
			return fmt.Sprintf("sent to %s %v after its drain was notified, the grace period is %v",
				a.host.id, late, grace-timeTolerance)
		}
	}
	return ""
}

// figures returns the counts of requests by outcome, of attempts, and the gateway's peak use of descriptors and memory.
func (r *run) figures() string {
	r.recorder.mutex.Lock()
	defer r.recorder.mutex.Unlock()
	names := map[outcome]string{
		unanswered: "unanswered", served: "served", rejected: "rejected", failed: "failed", abandoned: "left"}
	counts := map[outcome]int{}
	attempts := 0
	for _, checked := range r.recorder.order {
		counts[checked.outcome]++
		attempts += len(checked.attempts)
	}
	var parts []string
	for _, kind := range []outcome{served, rejected, failed, abandoned, unanswered} {
		parts = append(parts, fmt.Sprintf("%d %s", counts[kind], names[kind]))
	}
	g := r.gateway
	return fmt.Sprintf("%d requests: %s; %d attempts; %d descriptors, %d MB at most",
		len(r.recorder.order), strings.Join(parts, ", "), attempts, g.maxFDs, g.maxMemoryKB>>10)
}
