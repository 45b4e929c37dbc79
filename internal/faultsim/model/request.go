package model

import (
	"encoding/binary"
	"fmt"
	"math"

	"merlinjunction/internal/proxy"
)

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes of requests.
const (
	Served Outcome = iota
	Rejected
	Failed
	Lost    // no answer within lateAnswerLimitMs after its deadline
	Excused // its gateway's process ended
)

// lateAnswerLimitMs is how long after a request's deadline an answer still counts.
const lateAnswerLimitMs = 500.0

// noPosition is the position of a session that has written nothing.
var noPosition = math.Inf(-1)

// Completion is called with the outcome of a request, its latency in ms, and whether a read missed a write that its
// session had been acknowledged.
type Completion func(outcome Outcome, latencyMs float64, stale bool)

// requestResponder receives a request's final answer. It implements the responder of proxy.Request.
type requestResponder struct {
	gateway          *Gateway
	statement        *Statement
	submittedAt      float64
	requiredPosition float64 // newest write of the session that this process had acknowledged
	done             bool
	complete         Completion
}

// finish ends the request once; later calls are ignored. position is the log position that the answer shows.
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

// Succeed ends the request with a host's answer, whose body is a log position.
func (r *requestResponder) Succeed(body []byte) {
	r.finish(Served, math.Float64frombits(binary.LittleEndian.Uint64(body)))
}

// Reject ends a request that was shed.
func (r *requestResponder) Reject(float64) { r.finish(Rejected, 0) }

// Fail ends the request with an error.
func (r *requestResponder) Fail([]byte) { r.finish(Failed, 0) }

// acknowledge records that a write of a session is acknowledged.
func (g *Gateway) acknowledge(session int, position float64) {
	if previous, ok := g.acknowledged[session]; !ok || position > previous {
		g.acknowledged[session] = position
	}
}

func (g *Gateway) acknowledgedPosition(session int) float64 {
	if position, ok := g.acknowledged[session]; ok {
		return position
	}
	return noPosition
}

// Submit sends a client's request to the gateway, whose process must run. complete is called once.
func (g *Gateway) Submit(class int, statement *Statement, group int, timeLeftMs float64, complete Completion) {
	g.requestsThisSecond++
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
