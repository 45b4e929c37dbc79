package model

import (
	"encoding/binary"
	"fmt"
	"math"

	"merlinjunction/internal/proxy"
)

// Outcome is the result of a request as its client sees it.
type Outcome int

// The outcomes of requests.
const (
	Served Outcome = iota
	Rejected
	Failed
	Lost    // no answer within lateAnswerLimitMs after its deadline
	Excused // the gateway's process ended during the request
)

// lateAnswerLimitMs is how long after a request's deadline its answer is still accepted.
const lateAnswerLimitMs = 500.0

// noPosition is the required log position of a session without acknowledged writes.
var noPosition = math.Inf(-1)

// Completion is called with the outcome of a request and its latency in ms. stale means that the request was a read, and
// that its answer lacks a write of its session that had been acknowledged before the read was submitted.
type Completion func(outcome Outcome, latencyMs float64, stale bool)

// requestResponder receives the final answer of a request, as the Responder of its proxy.Request.
type requestResponder struct {
	gateway          *Gateway
	statement        *Statement
	submittedAt      float64
	requiredPosition float64 // log position of the session's newest write that the process had acknowledged
	done             bool
	complete         Completion
}

// finish completes the request. Calls after the first are ignored. position is the log position of the answer.
func (r *requestResponder) finish(outcome Outcome, position float64) {
	if r.done {
		return
	}
	r.done = true
	stale := false
	if outcome == Served && r.statement.Write {
		r.gateway.acknowledge(r.statement.Session, position)
	} else if outcome == Served {
		stale = position < r.requiredPosition
	}
	r.complete(outcome, r.gateway.world.Now()-r.submittedAt, stale)
}

// Succeed completes the request as served. body is the body of the host's answer, a log position.
func (r *requestResponder) Succeed(body []byte) {
	r.finish(Served, math.Float64frombits(binary.LittleEndian.Uint64(body)))
}

// Reject completes the request as rejected by load shedding.
func (r *requestResponder) Reject(float64) { r.finish(Rejected, 0) }

// Fail completes the request as failed.
func (r *requestResponder) Fail([]byte) { r.finish(Failed, 0) }

// acknowledge records the log position of an acknowledged write of a session, if it is the newest.
func (g *Gateway) acknowledge(session int, position float64) {
	if previous, ok := g.acknowledged[session]; !ok || position > previous {
		g.acknowledged[session] = position
	}
}

// acknowledgedPosition returns the log position of the newest acknowledged write of a session, or noPosition.
func (g *Gateway) acknowledgedPosition(session int) float64 {
	if position, ok := g.acknowledged[session]; ok {
		return position
	}
	return noPosition
}

// Submit sends a client's request to the gateway, whose process must be running. complete is called once. timeLeftMs is the
// time until the request's deadline.
func (g *Gateway) Submit(class int, statement *Statement, group int, timeLeftMs float64, complete Completion) {
	g.newRequestCount++
	g.requestCount++
	number, generation := g.requestCount, g.generation
	responder := &requestResponder{
		gateway:          g,
		statement:        statement,
		submittedAt:      g.world.Now(),
		requiredPosition: g.acknowledgedPosition(statement.Session),
	}
	responder.complete = func(outcome Outcome, latencyMs float64, stale bool) {
		if g.generation == generation {
			delete(g.pendingRequests, number)
		}
		complete(outcome, latencyMs, stale)
	}
	g.pendingRequests[number] = func() { responder.finish(Excused, 0) }
	request := proxy.Request{
		Class:      class,
		Tenant:     -1,
		Group:      group,
		Session:    fmt.Sprint(statement.Session),
		TimeLeftMs: timeLeftMs,
		Command:    statement,
		Responder:  responder,
	}
	g.receive(func() {
		if _, ok := g.core.Submit(request); !ok {
			responder.finish(Rejected, 0)
		}
	})
	g.world.At(g.world.Now()+timeLeftMs+lateAnswerLimitMs, func() { responder.finish(Lost, 0) })
}
