package routing

import (
	"slices"
	"time"
)

// Session consistency, after Harmonia (Zhu and others, "Harmonia: Near-linear scalability for replicated
// storage with in-network conflict detection", VLDB 2019): the dirty set holds the writes in flight, the
// stamp is the position of the last completed write. Both are kept for each session and each gateway.
//
// Invariant: the stamp of a session that isn't in the table is at most stampFloor, so that evicting a
// session never lets one of its reads miss its writes.

const (
	sessionRetention = 30 * time.Second // after the end of its last write a session is evicted
	maxSessions      = 50_000           // above this number all sessions without a write in flight are evicted
)

// A session is what the Router knows of one client session's writes.
type session struct {
	dirtyWrites []uint64 // write numbers of its writes in flight, ascending
	stamp       Position // position that its reads need
	updatedAt   time.Duration
}

// sessionFor returns a session, which it creates where it isn't in the table.
func (r *Router) sessionFor(key string) *session {
	found := r.sessions[key]
	if found == nil {
		found = &session{stamp: r.stampFloor}
		r.sessions[key] = found
	}
	return found
}

// markDirty adds a write to its session's dirty set when it is first sent.
func (r *Router) markDirty(request *request) {
	if request.writeNumber != 0 {
		return
	}
	r.lastWriteNumber++
	request.writeNumber = r.lastWriteNumber
	if request.Session != "" {
		session := r.sessionFor(request.Session)
		session.dirtyWrites = append(session.dirtyWrites, request.writeNumber)
	}
}

// completeWrite records that a write was committed at a position. The primary applies a session's writes
// in order, so a write that is the last of its dirty set completes all of them.
func (r *Router) completeWrite(request *request, committed Position) {
	request.mayHaveRun = false
	session := r.sessions[request.Session]
	if session == nil || request.Session == "" {
		return
	}
	if count := len(session.dirtyWrites); count > 0 && request.writeNumber >= session.dirtyWrites[count-1] {
		session.dirtyWrites = nil
	}
	session.raiseStamp(committed)
	r.restartRetention(session)
}

// removeDirtyWrite takes a write that is finished, with or without success, from its session's dirty set, if
// it is still there. One that may have run may have been committed at any time until now, so the session's
// reads need the current position.
func (r *Router) removeDirtyWrite(request *request) {
	session := r.sessions[request.Session]
	if session == nil || request.Session == "" {
		return
	}
	session.dirtyWrites = slices.DeleteFunc(session.dirtyWrites, func(number uint64) bool {
		return number == request.writeNumber
	})
	if request.mayHaveRun {
		session.raiseStamp(r.currentPosition())
	}
	r.restartRetention(session)
}

// raiseStamp makes the session's reads need at least a position.
func (s *session) raiseStamp(least Position) { s.stamp = max(s.stamp, least) }

// restartRetention lets sessionRetention begin now.
func (r *Router) restartRetention(session *session) { session.updatedAt = r.now }

// requiredPosition returns the position that a host needs to have for a read, 0 for any, and whether only
// the primary may serve it, whatever the replicas have. Writes need none.
func (r *Router) requiredPosition(request *request) (required Position, primaryOnly bool) {
	switch request.class.Consistency {
	case ConsistencyBounded:
		return max(0, r.currentPosition()-request.class.MaxStaleness), false
	case ConsistencySession:
		session := r.sessions[request.Session]
		dirty := session != nil && len(session.dirtyWrites) > 0
		return r.sessionPosition(request, session), dirty
	case ConsistencyStrong:
		return request.arrivedAt - r.settings.PositionEpoch, true
	}
	return 0, false
}

// sessionPosition returns the position that a read needs to see its session's completed writes. session is
// nil where the table has none.
func (r *Router) sessionPosition(request *request, session *session) Position {
	required := r.stampFloor
	if session != nil {
		required = session.stamp
	}
	if r.siblingRunning { // the session may have written through the other process until the read arrived
		required = max(required, request.arrivedAt-r.settings.PositionEpoch)
	}
	if r.settings.SessionTokensCarried && request.SinceLastWrite > 0 {
		required = max(required, request.arrivedAt-request.SinceLastWrite-r.settings.PositionEpoch)
	}
	if r.settings.StalenessCheck == StalenessCheckNone {
		// Nothing would stop a replica of unknown position from answering: only one of a known position may.
		required = max(required, 1)
	}
	return required
}

// onSiblingProcess handles that another process of this gateway has begun or ceased to serve requests.
// While it does, any session may write through it (see sessionPosition). Once it has ceased, all that it
// wrote lies before this moment.
func (r *Router) onSiblingProcess(event SiblingProcess) {
	r.siblingRunning = event.Running
	if event.Running {
		return
	}
	r.stampFloor = max(r.stampFloor, r.currentPosition())
	for _, session := range r.sessions {
		session.raiseStamp(r.currentPosition())
	}
}

// evictSessions bounds the table. The stamps of evicted sessions become part of stampFloor; the order of
// the map doesn't matter.
func (r *Router) evictSessions() {
	tooMany := len(r.sessions) > maxSessions
	for key, session := range r.sessions {
		expired := r.now-session.updatedAt >= sessionRetention
		if len(session.dirtyWrites) == 0 && (tooMany || expired) {
			r.stampFloor = max(r.stampFloor, session.stamp)
			delete(r.sessions, key)
		}
	}
}
