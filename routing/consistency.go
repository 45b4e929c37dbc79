package routing

import (
	"crypto/sha256"
	"slices"
	"time"
)

// Session consistency, after Harmonia (Zhu and others, "Harmonia: Near-linear scalability for replicated
// storage with in-network conflict detection", VLDB 2019). The dirty set of a session holds its writes in
// flight, and its stamp is the position of its last completed write. Each gateway keeps its own dirty sets
// and stamps.
//
// Invariant: the stamp of a session that isn't in the table is at most stampFloor. Evicting a session
// therefore never lets one of its reads miss its writes.

const (
	sessionRetention = 30 * time.Second // how long after the end of its last write a session is kept
	maxSessions      = 50_000           // if exceeded, all sessions without a write in flight are evicted
	maxSessionKey    = 64               // length, in bytes, above which the table has a digest of the key
)

// A session holds the state of one client session's writes.
type session struct {
	dirtyWrites []uint64      // write numbers of its writes in flight, ascending
	stamp       Position      // position required by the reads of the session
	updatedAt   time.Duration // start of the retention period
}

// tableKey returns the key under which the table holds a session. Clients choose the keys, so the table
// doesn't keep long ones. The digest is one of SHA-256, of which no two keys with the same value are known.
func tableKey(sessionKey string) string {
	if len(sessionKey) <= maxSessionKey {
		return sessionKey
	}
	digest := sha256.Sum256([]byte(sessionKey))
	return string(digest[:])
}

// findSession returns the session of a request. It returns nil if the request has none or the table lacks it.
func (r *Router) findSession(request *request) *session {
	switch {
	case request.SessionUnidentified:
		return &r.unidentified
	case request.Session == "":
		return nil
	}
	return r.sessions[request.Session]
}

// sessionFor does the same as findSession, but creates a session that isn't in the table.
func (r *Router) sessionFor(request *request) *session {
	found := r.findSession(request)
	if found == nil && request.Session != "" {
		found = &session{stamp: r.stampFloor}
		r.sessions[request.Session] = found
	}
	return found
}

// markDirty adds a write to the dirty set of its session when the write is first sent.
func (r *Router) markDirty(request *request) {
	if request.writeNumber != 0 {
		return
	}
	r.lastWriteNumber++
	request.writeNumber = r.lastWriteNumber
	if session := r.sessionFor(request); session != nil {
		session.dirtyWrites = append(session.dirtyWrites, request.writeNumber)
	}
}

// completeWrite records that a write was committed at a position. The primary applies the writes of a
// session in order, so the last write of the dirty set completes all of them. Unidentified writes can be of
// several sessions.
func (r *Router) completeWrite(request *request, committed Position) {
	request.mayHaveRun = false
	session := r.findSession(request)
	if session == nil {
		return
	}
	count := len(session.dirtyWrites)
	if count > 0 && request.writeNumber >= session.dirtyWrites[count-1] && !request.SessionUnidentified {
		session.dirtyWrites = nil
	}
	session.raiseStamp(committed)
	r.restartRetention(session)
}

// removeDirtyWrite removes a finished write, successful or not, from its session's dirty set if it is still
// there. A write that may have run may have been committed at any time until now, so the session's reads
// then require the current position.
func (r *Router) removeDirtyWrite(request *request) {
	session := r.findSession(request)
	if session == nil {
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

// raiseStamp makes the session's reads require at least the given position.
func (s *session) raiseStamp(least Position) { s.stamp = max(s.stamp, least) }

// restartRetention restarts the retention period of a session.
func (r *Router) restartRetention(session *session) { session.updatedAt = r.now }

// requiredPosition returns the position that a host must have applied to serve a read; 0 allows any
// position. It also returns whether only the primary may serve the read, whatever positions the replicas
// have. A write requires no position.
func (r *Router) requiredPosition(request *request) (required Position, primaryOnly bool) {
	consistency := request.class.Consistency
	if consistency == ConsistencySession && request.SessionUnidentified {
		consistency = ConsistencyStrong
	}
	switch consistency {
	case ConsistencyBounded:
		return max(0, r.currentPosition()-request.class.MaxStaleness), false
	case ConsistencySession:
		session := r.findSession(request)
		dirty := session != nil && len(session.dirtyWrites) > 0 || len(r.unidentified.dirtyWrites) > 0
		return r.sessionPosition(request, session), dirty
	case ConsistencyStrong:
		return request.arrivedAt - r.settings.PositionEpoch, true
	}
	return 0, false
}

// freshUntil returns the clock time from which the data of a replica, as far as it is known, is too old for
// a bounded read. The read may wait for a connection to the replica, and the position that it requires rises
// with the time. freshUntil returns 0 if there is no such time: for another read, and where the replica
// checks its position itself. The primary has all commits.
func (r *Router) freshUntil(request *request, target *host) time.Duration {
	isBounded := request.class.Consistency == ConsistencyBounded
	if !isBounded || r.settings.StalenessCheck != StalenessCheckNone || target.role() == primaryRole {
		return 0
	}
	return r.settings.PositionEpoch + target.position + request.class.MaxStaleness
}

// sessionPosition returns the position at which a read sees all completed writes of its session. session is
// nil if it isn't in the table.
func (r *Router) sessionPosition(request *request, session *session) Position {
	required := max(r.stampFloor, r.unidentified.stamp)
	if session != nil {
		required = max(session.stamp, r.unidentified.stamp)
	}
	if r.siblingRunning { // until the read arrived, the session may have written through the sibling process
		required = max(required, request.arrivedAt-r.settings.PositionEpoch)
	}
	if r.settings.SessionTokensCarried && request.SinceLastWrite > 0 {
		required = max(required, request.arrivedAt-request.SinceLastWrite-r.settings.PositionEpoch)
	}
	if r.settings.StalenessCheck == StalenessCheckNone {
		// A replica that has not applied the position would answer anyway. Requiring a position above 0
		// excludes replicas of unknown position.
		required = max(required, 1)
	}
	return required
}

// onSiblingProcess handles that another process of this gateway has started or stopped serving requests.
// While it serves, any session may write through it (see sessionPosition). Once it has stopped, all of its
// writes have positions at or before the current one.
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

// evictSessions limits the size of the session table. It raises stampFloor to the highest stamp of the
// evicted sessions. The iteration order of the map doesn't matter.
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
