package platform

import (
	"merlinjunction/internal/protocol/pg"
)

const (
	// answerAllowanceBytes is reserved for the answer of a query that may have to wait for the answers of earlier ones. It
	// has room for the largest answer that is not streamed.
	answerAllowanceBytes = 66 << 10
	// queryOverheadBytes is the memory that is counted for each pending query in addition to its text and its key.
	queryOverheadBytes = 1 << 10
	// maxQueryBytes is the largest reservation of a query without its answer.
	maxQueryBytes = 2*pg.MaxMessage + queryOverheadBytes
	// waitingQueriesShare is the share of Frontend.Memory up to which queries are accepted behind others of their client.
	// Queries that are next in turn get the rest.
	waitingQueriesShare = 0.75
	// waitingAnswersShare is the share of Frontend.Memory up to which such queries are sent to hosts, since their answers may
	// have to wait for their turn. It is lower than waitingQueriesShare, so that held answers don't keep queries from being
	// accepted: the time of a query counts from when it is accepted.
	waitingAnswersShare = 0.5
)

// A query that is next in turn needs no memory for its answer, which is sent at once.

// maySendAhead reports whether the session may have a further query pending behind the pending ones.
func (s *session) maySendAhead() bool {
	return len(s.responses) < maxPipelinedQueries && s.frontend.Memory.AllowsWithin(waitingQueriesShare, maxQueryBytes)
}

// reserveQuery reserves memory for the query. It returns false if there is not enough.
func (r *pendingResponse) reserveQuery() bool {
	size := len(r.statement.text) + len(r.statement.key) + queryOverheadBytes
	if !r.session.frontend.Memory.Reserve(size) {
		return false
	}
	r.reservedBytes = size
	return true
}

// reserveAnswer reserves memory for an answer that may have to wait for its turn. It returns false if there is not enough.
func (r *pendingResponse) reserveAnswer() bool {
	memory := &r.session.frontend.Memory
	if !memory.AllowsWithin(waitingAnswersShare, answerAllowanceBytes) || !memory.Reserve(answerAllowanceBytes) {
		return false
	}
	r.reservedBytes += answerAllowanceBytes
	return true
}

// shrinkTo releases the part of the reservation above a size.
func (r *pendingResponse) shrinkTo(size int) {
	if excess := r.reservedBytes - size; excess > 0 {
		r.reservedBytes = size
		r.session.frontend.releaseMemory(excess)
	}
}

// awaitMemory makes releaseMemory call submitReady once memory for an answer is free.
func (s *session) awaitMemory() {
	if !s.awaitsMemory {
		s.awaitsMemory = true
		s.frontend.awaitMemory = append(s.frontend.awaitMemory, s)
	}
}

// releaseMemory releases memory and lets the sessions that wait for memory submit queries, the one that has waited longest
// first.
func (f *Frontend) releaseMemory(bytes int) {
	f.Memory.Release(bytes)
	if f.submittingWaiting { // called by submitReady below
		return
	}
	f.submittingWaiting = true
	defer func() { f.submittingWaiting = false }()
	for len(f.awaitMemory) > 0 && f.Memory.AllowsWithin(waitingAnswersShare, answerAllowanceBytes) {
		next := f.awaitMemory[0]
		f.awaitMemory[0] = nil // the array keeps its first elements until it is replaced
		f.awaitMemory = f.awaitMemory[1:]
		next.awaitsMemory = false
		next.submitReady()
	}
}

// dropText drops the text of a query that will not be sent to a host again, with all values that refer to it. The key and
// the ID are copies.
func (st *statement) dropText() {
	*st = statement{key: st.key, write: st.write, annotation: annotation{id: st.id}}
}
