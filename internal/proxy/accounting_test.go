package proxy

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"merlinjunction/routing"
)

// coreModel applies random events to a Core. The fixture calls CheckAccounting after each Step.
type coreModel struct {
	*fixture
	t        *rapid.T
	waiting  map[uint64]bool // IDs of accepted requests that have no answer yet and whose client has not left
	answered int
	hosts    []string
	moves    map[string]int // by host: number of address changes
}

// modelResponder receives the answer to one request.
type modelResponder struct {
	model *coreModel
	id    *uint64
}

func (r modelResponder) Succeed([]byte) { r.record() }
func (r modelResponder) Reject(float64) { r.record() }
func (r modelResponder) Fail([]byte)    { r.record() }

func (r modelResponder) record() {
	if !r.model.waiting[*r.id] {
		r.model.t.Fatalf("request %d got an answer although it is already answered, not accepted or its client has left", *r.id)
	}
	delete(r.model.waiting, *r.id)
	r.model.answered++
}

// applyRandomEvent applies one random event and runs a Step.
func (m *coreModel) applyRandomEvent() {
	switch rapid.IntRange(0, 15).Draw(m.t, "event") {
	case 0, 1, 2:
		m.submitRandom()
	case 3, 4, 5:
		m.withRandomOpenConn("respond", func(conn *fakeConn) { m.respond(conn) })
	case 6:
		m.withRandomOpenConn("close", func(conn *fakeConn) {
			conn.closed = true
			conn.handler.ConnectionClosed(errors.New("closed"))
		})
	case 7:
		m.endRandomRequest()
	case 8:
		m.updateRandomHosts()
	case 9:
		m.excludeOrIncludeRandomHost()
	case 10:
		limit := rapid.IntRange(1, 4).Draw(m.t, "limit")
		m.SetSiblingProcess(limit < 4, limit)
	case 11:
		m.sendHealthCheck(m.randomHost())
	default:
		m.advance(float64(rapid.SampledFrom([]int{1, 2, 3, 20, 200}).Draw(m.t, "ms")))
	}
	m.Step()
}

func (m *coreModel) randomHost() string { return rapid.SampledFrom(m.hosts).Draw(m.t, "host") }

func (m *coreModel) submitRandom() {
	id := new(uint64)
	accepted := false
	*id, accepted = m.Submit(Request{
		Class:      rapid.SampledFrom([]int{readClass, writeClass, keyedWriteClass}).Draw(m.t, "class"),
		Tenant:     -1,
		TimeLeftMs: float64(rapid.SampledFrom([]int{20, 200, 900}).Draw(m.t, "time left")),
		Command:    "command",
		Responder:  modelResponder{m, id},
	})
	if accepted {
		m.waiting[*id] = true
	}
}

// withRandomOpenConn calls a function with a random open connection, if there is one.
func (m *coreModel) withRandomOpenConn(label string, call func(*fakeConn)) {
	var open []*fakeConn
	for _, conn := range m.conns {
		if !conn.closed {
			open = append(open, conn)
		}
	}
	if len(open) > 0 {
		call(rapid.SampledFrom(open).Draw(m.t, label))
	}
}

// respond establishes a connection, or answers the command on it.
func (m *coreModel) respond(conn *fakeConn) {
	pooled := conn.handler.(*pooledConn)
	switch {
	case !pooled.established:
		conn.handler.Established()
	case pooled.attempt != nil:
		response := primarySuccess("answer")
		response.Outcome = rapid.SampledFrom([]routing.Outcome{
			routing.OutcomeOK, routing.OutcomeError, routing.OutcomeRejected, routing.OutcomeMisdirected,
		}).Draw(m.t, "outcome")
		response.ConnectionEnds = rapid.IntRange(0, 4).Draw(m.t, "connection ends") == 0
		conn.handler.ResponseReceived(response)
	}
}

// endRandomRequest ends at most one waiting request: its client leaves or cancels the request.
func (m *coreModel) endRandomRequest() {
	for id := uint64(1); id <= m.lastID; id++ {
		if !m.waiting[id] || !rapid.Bool().Draw(m.t, "leaves") {
			continue
		}
		delete(m.waiting, id)
		if rapid.Bool().Draw(m.t, "cancels") {
			m.CancelRequest(id)
		} else {
			m.ClientGone(id)
		}
		return
	}
}

// updateRandomHosts updates the endpoint list. Each host is either listed in a random state or not listed, and its
// address may change.
func (m *coreModel) updateRandomHosts() {
	var list []Host
	for _, id := range m.hosts {
		if rapid.IntRange(0, 5).Draw(m.t, "moves") == 0 {
			m.moves[id]++
		}
		endpoint := routing.Endpoint{ID: id, State: rapid.SampledFrom([]routing.EndpointState{
			routing.StateReady, routing.StateReady, routing.StateDraining, routing.StateGone,
		}).Draw(m.t, "state")}
		if rapid.IntRange(0, 3).Draw(m.t, "listed") > 0 {
			list = append(list, Host{Address: fmt.Sprint(id, m.moves[id]), Endpoint: endpoint})
		}
	}
	m.UpdateHosts(rapid.Bool().Draw(m.t, "full"), list)
}

func (m *coreModel) excludeOrIncludeRandomHost() {
	if id := m.randomHost(); rapid.Bool().Draw(m.t, "exclude") {
		m.Exclude(id, m.nowMs)
	} else {
		m.Include(id)
	}
}

// For random sequences of events, each open connection and each request is in exactly one state after each Step. Each
// request gets exactly one answer, or none if its client has left, and is then removed.
func TestAccountingHoldsAfterEachStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &coreModel{
			fixture: newFixture(t, "a", "b"), t: t,
			waiting: map[uint64]bool{}, hosts: []string{"a", "b", "c"}, moves: map[string]int{},
		}
		m.limits.MaxRequests = 12
		m.parseLoadReport = func([]byte) (routing.Role, float64, bool) { return routing.RoleReplica, 0, true }
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			m.applyRandomEvent()
		}
		m.advance(1500) // longer than the time of any request
		if len(m.waiting) > 0 || len(m.requests) > 0 {
			t.Fatalf("%d requests have no answer, %d were not removed", len(m.waiting), len(m.requests))
		}
	})
}
