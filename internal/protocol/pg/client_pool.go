package pg

import (
	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/memory"
)

const (
	// sweepIntervalMs is the time between two sweeps, which close stalled and idle connections.
	sweepIntervalMs = 250.0
	// earlyEvictionMinIdleMs is how long a connection must be idle to be evicted before MaxClients is reached.
	earlyEvictionMinIdleMs = 100.0
	// earlyEvictionPercent is the percentage of MaxClients from which on a new connection evicts another one. It is well
	// below 100 because idle connections also occupy sockets on the clients' side, whose number is limited too.
	earlyEvictionPercent = 40
	// maxLingering bounds the closing connections that wait for their clients to read the last message.
	maxLingering = 32
)

// ClientPool is the set of client connections of one listener.
type ClientPool struct {
	Loop       *eventloop.Loop
	MaxClients int
	NewSession func(*Client) Session
	// IdleTimeoutMs is how long a connection may be idle. 0 means no limit.
	IdleTimeoutMs float64
	// InputMemory limits the input of all clients together, except for the first smallInputBytes of each.
	InputMemory memory.Budget

	clients      map[*Client]struct{} // nil until the first Accept
	closingCount int                  // number of clients that are closing
	draining     bool
	// drainBusySinceMs is the time of the call of DrainBusy; 0: clients may stay busy as long as they like.
	drainBusySinceMs float64

	backlog          []*Client // clients whose further messages wait for their next turn
	backlogScheduled bool
	// backlogRestsUntilMs is the end of the rest that follows expensive turns.
	backlogRestsUntilMs float64

	inputQueue     []*Client // clients that wait for memory for their input, in the order in which they began to wait
	relievingInput bool      // the timer of relieveInput is set
}

// Accept takes ownership of the descriptor of a new connection. If all slots are in use, it evicts another connection or,
// if none is evictable, rejects the new one.
func (p *ClientPool) Accept(fd int) {
	if p.clients == nil {
		p.clients = map[*Client]struct{}{}
		p.sweep()
	}
	conn, err := p.Loop.Adopt(fd, smallInputBytes)
	if err != nil {
		return // the client sees a closed connection
	}
	now := p.Loop.Clock.Now()
	client := &Client{pool: p, conn: conn, lastActiveMs: now, messageDueSinceMs: now, acceptedMs: now}
	conn.SetHandler(client)
	conn.WatchPeerEnd(client)
	conn.LeaveInputUncounted()
	admitted := p.ensureSlot()
	p.clients[client] = struct{}{}
	if !admitted {
		client.Fatal(StateTooManyConnections, "too many connections")
	}
}

// ensureSlot reports whether there is a slot for one more connection. It evicts another connection if necessary.
func (p *ClientPool) ensureSlot() bool {
	if !p.slotsAreScarce() {
		return true
	}
	open := p.openCount()
	return p.evict(earlyEvictionMinIdleMs) || open < p.MaxClients || p.EvictIdle()
}

// openCount returns the number of connections that are not closing.
func (p *ClientPool) openCount() int { return len(p.clients) - p.closingCount }

// slotsAreScarce reports whether so many slots are in use that new connections evict others.
func (p *ClientPool) slotsAreScarce() bool {
	return p.openCount() >= p.MaxClients*earlyEvictionPercent/100
}

// Count returns the number of connections.
func (p *ClientPool) Count() int { return len(p.clients) }

// EvictIdle closes one connection in favor of a new one: the one whose message has been overdue longest or, if no message
// is overdue, the one that has been idle longest. It returns false if it closes none. A connection that has only just
// been accepted is not closed, because its first message is probably on the way.
//
// Eviction protects clients against others that open hundreds of connections and send nothing, an incomplete message, or
// only one request.
func (p *ClientPool) EvictIdle() bool { return p.evict(0) }

// evict does the same as EvictIdle, but closes an idle connection only if it has been idle for at least minIdleMs. This
// minimum doesn't apply to a connection whose message is overdue.
func (p *ClientPool) evict(minIdleMs float64) bool {
	skipped := map[*Client]bool{} // connections that must stay open
	for {
		candidate := p.evictionCandidate(minIdleMs, skipped)
		if candidate == nil {
			return false
		}
		if !candidate.mustStayOpen() {
			candidate.close()
			return true
		}
		skipped[candidate] = true
	}
}

// evictionCandidate returns the connection to evict first, leaving out the skipped ones. It returns nil if there is none.
func (p *ClientPool) evictionCandidate(minIdleMs float64, skipped map[*Client]bool) *Client {
	now := p.Loop.Clock.Now()
	var candidate *Client
	for client := range p.clients {
		if skipped[client] || !client.evictable(now, minIdleMs) {
			continue
		}
		if candidate == nil || client.evictedBefore(candidate) {
			candidate = client
		}
	}
	return candidate
}

// maxPending returns the unsent output of a client above which no further messages of it are processed. While the buffers
// of all connections together are half full, it is 0.
func (p *ClientPool) maxPending() int {
	if p.Loop.BuffersHalfFull() {
		return 0
	}
	return maxPendingBytes
}

// sweep closes the connections that occupy a slot without using it, and schedules the next sweep.
func (p *ClientPool) sweep() {
	now := p.Loop.Clock.Now()
	for client := range p.clients {
		client.closeIfStalled(now)
		client.endReadingIfDue()
	}
	p.Loop.After(sweepIntervalMs, p.sweep)
}

// cancel cancels the statement in flight of the client with the given cancel key.
func (p *ClientPool) cancel(key uint64) {
	for client := range p.clients {
		if client.cancelKey != key || !client.busy() {
			continue
		}
		if canceler, ok := client.session.(Canceler); ok {
			canceler.Cancel()
		}
		return
	}
}

// Drain closes idle connections now and all others as soon as they are idle.
func (p *ClientPool) Drain() {
	p.draining = true
	for client := range p.clients {
		client.processInput()
	}
}

// StopDraining ends a drain. The remaining connections are no longer closed as soon as they are idle.
func (p *ClientPool) StopDraining() {
	p.draining, p.drainBusySinceMs = false, 0
	for client := range p.clients {
		client.resumeReading()
	}
}
