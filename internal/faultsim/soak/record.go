package soak

import (
	"sync"
	"time"
)

// outcome is the final state of a request as its client saw it.
type outcome int

const (
	unanswered outcome = iota
	served
	rejected  // answered with 53300 or 57P03: nothing ran, or a repeat is safe
	failed    // answered with any other error
	abandoned // the client closed the connection without waiting for the answer
)

// request is one request of a client, with its answer and its arrivals at hosts.
type request struct {
	id          string
	class       *class
	group       int
	session     string
	value       int  // the value that a write stores
	firstOnConn bool // the first one on its connection, sent within firstRequestWindow

	sentAt        time.Time // when the write of its last byte returned, even with an error; zero: it was never written
	deadlineStart time.Time // the later of sentAt and the previous answer on its connection
	answeredAt    time.Time
	outcome       outcome
	sqlstate      string
	answer        string    // the value of the row; see answerText
	minValue      int       // the smallest value that a read may return
	minValueWrite *request  // the acknowledged write of minValue; nil: none
	abandonedAt   time.Time // when its client abandoned it
	connLostAt    time.Time // when its connection ended, or its client gave up, without an answer
	timedOut      bool      // its client got no answer in time and gave up
	attempts      []*attempt
}

// attempt is one arrival of a request at a host.
type attempt struct {
	host       *host
	arrivedAt  time.Time
	endedAt    time.Time // when it was answered or its connection ended; zero: it is open
	executedAt time.Time // zero: it was not executed
}

// recorder collects the requests of a run and what the hosts report about them.
type recorder struct {
	mutex             sync.Mutex
	requests          map[string]*request
	order             []*request // in the order in which the clients created them
	unknownStatements []string   // statements that no client sent
	idleCloses        []string   // one host ID for each connection that a host closed because it was idle
}

func newRecorder() *recorder { return &recorder{requests: map[string]*request{}} }

// add adds a request. It is called before the request is sent.
func (r *recorder) add(added *request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests[added.id] = added
	r.order = append(r.order, added)
}

// update calls change while it holds the lock. change may modify requests and attempts.
func (r *recorder) update(change func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change()
}

// recordArrival records that a host received the statement of a request, and returns the request and its new attempt. It
// returns nil if no client sent a request with that ID.
func (r *recorder) recordArrival(id string, h *host, text string) (*request, *attempt) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found := r.requests[id]
	if found == nil {
		r.unknownStatements = append(r.unknownStatements, text)
		return nil, nil
	}
	started := &attempt{host: h, arrivedAt: now}
	found.attempts = append(found.attempts, started)
	return found, started
}

// recordIdleClose records that a host closed a connection because the gateway left it unused for HostIdleMs.
func (r *recorder) recordIdleClose(h *host) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.idleCloses = append(r.idleCloses, h.id)
}

// recordEnd records that an attempt was answered or that its connection ended.
func (r *recorder) recordEnd(finished *attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if finished.endedAt.IsZero() {
		finished.endedAt = time.Now()
	}
}
