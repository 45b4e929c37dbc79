package proxy

import (
	"fmt"
	"slices"
)

// CheckAccounting returns an error if an open upstream connection or a request is not in exactly one state. open lists
// the handlers of all connections that the Dialer has open. Tests and the fault simulator call CheckAccounting after a
// Step; the gateway doesn't.
//
// A connection is being dialed, is idle (during or after its settle period), or carries one attempt of a request or a
// health check. A request either waits for a decision of the router or has one attempt, which waits for a connection or
// is on a connection. A finished request is kept only while it has an attempt. For each waiting attempt there is a
// connection that is idle or being dialed. If the connection limit was reached, it is enough that one connection to the
// host of the attempt is open.
func (c *Core) CheckAccounting(open []UpstreamHandler) error {
	if len(open) != c.openConns {
		return fmt.Errorf("%d connections are open, but openConns is %d", len(open), c.openConns)
	}
	for _, handler := range open {
		if err := c.checkConn(handler.(*pooledConn)); err != nil {
			return err
		}
	}
	for _, h := range c.sortedHosts() {
		if err := h.checkAccounting(); err != nil {
			return fmt.Errorf("host %s: %w", h.ID, err)
		}
	}
	for id, req := range c.requests {
		if err := req.checkState(); err != nil {
			return fmt.Errorf("request %d: %w", id, err)
		}
	}
	return nil
}

// checkConn checks that an open connection belongs to a known host and is in one state.
func (c *Core) checkConn(conn *pooledConn) error {
	h := conn.host
	states := countOf(h.dialing, conn) + countOf(h.idle, conn)
	if attempt := conn.attempt; attempt != nil {
		states++
		if attempt.ended || attempt.conn != conn {
			return fmt.Errorf("a connection to host %s carries an attempt that has ended or is on another one", h.ID)
		}
	}
	if states != 1 {
		return fmt.Errorf("a connection to host %s is in %d states, want 1", h.ID, states)
	}
	if c.hosts[h.ID] != h {
		return fmt.Errorf("a connection to host %s is open, but that host was removed", h.ID)
	}
	return nil
}

// checkAccounting checks the attempts that wait for a connection to the host, and that the lists dialing and idle contain
// only open connections.
func (h *host) checkAccounting() error {
	for _, conn := range slices.Concat(h.dialing, h.idle) {
		if conn.closed {
			return fmt.Errorf("a closed connection is in the list dialing or idle")
		}
	}
	for _, attempt := range h.waiting {
		if attempt.ended || attempt.conn != nil || countOf(h.waiting, attempt) != 1 {
			return fmt.Errorf("a queued attempt has ended, has a connection or is queued twice")
		}
	}
	if h.needsConn() && (!h.awaitsRelease || h.openConns == 0) {
		return fmt.Errorf("%d attempts wait for %d idle or dialing connections", len(h.waiting), len(h.dialing)+len(h.idle))
	}
	return nil
}

// checkState checks the state of a request in Core.requests.
func (r *request) checkState() error {
	attempt := r.openAttempt
	switch {
	case attempt == nil && r.finished:
		return fmt.Errorf("it is finished and has no attempt, but was not removed")
	case attempt == nil:
		return nil
	case attempt.ended || attempt.request != r:
		return fmt.Errorf("its attempt has ended or belongs to another request")
	case attempt.conn == nil && countOf(attempt.host.waiting, attempt) != 1:
		return fmt.Errorf("its attempt has no connection and is not queued for one")
	case attempt.conn != nil && attempt.conn.attempt != attempt:
		return fmt.Errorf("the connection of its attempt does not carry that attempt")
	}
	return nil
}

// countOf returns how often a list contains a value.
func countOf[T comparable](list []T, value T) int {
	count := 0
	for _, other := range list {
		if other == value {
			count++
		}
	}
	return count
}
