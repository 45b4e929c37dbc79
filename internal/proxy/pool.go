package proxy

import (
	"errors"
	"slices"

	"go.uber.org/zap"

	"merlinjunction/routing"
)

const (
	// settlePeriodMs is the time after a response during which a connection gets no command. A host may close a
	// connection right after its response, or send further bytes after it. A command sent at that moment would be lost,
	// or would get those bytes as its response. serveWaiting reads the connection after that time.
	settlePeriodMs = 2.0
	// idleRetireShare is the share of Limits.HostIdleTimeoutMs after which an idle connection is closed. A command that
	// is written to a connection while the host closes it fails, and it is unknown whether the command ran.
	idleRetireShare = 0.5
	// maintainIntervalMs is the time between two runs of maintainConns.
	maintainIntervalMs = 500.0
)

// errConnectionLimit is returned when Limits.MaxConns is reached and no idle connection can be closed, because there is
// none or attempts wait for all of them.
var errConnectionLimit = errors.New("all connections to hosts are in use")

// assignConn sends an attempt on an idle connection, or queues it until a connection is free. Attempts that already wait
// are sent first.
func (c *Core) assignConn(attempt *hostAttempt) {
	h := attempt.host
	h.waiting = append(h.waiting, attempt)
	h.serveWaiting()
	if !slices.Contains(h.waiting, attempt) {
		return
	}
	if len(h.idle) > 0 {
		c.timers.After(settlePeriodMs, h.serveWaiting)
	}
	h.dialIfNeeded()
}

// findSettled returns the most recently used idle connection whose settle period is over, or nil if there is none.
func (h *host) findSettled() *pooledConn {
	now := h.core.Now()
	for _, conn := range slices.Backward(h.idle) {
		if conn.settledAtMs <= now {
			return conn
		}
	}
	return nil
}

// serveWaiting sends the waiting attempts on idle connections whose settle period is over. It reads each connection first:
// that the clock has passed the settle period doesn't mean that the event loop has read since, as a round of the loop may
// take longer. A connection that doesn't pass this check is closed, which may also end attempts that wait.
func (h *host) serveWaiting() {
	for len(h.waiting) > 0 {
		conn := h.findSettled()
		if conn == nil {
			return
		}
		conn.upstream.CheckIdle()
		if conn.closed {
			continue
		}
		h.idle = withoutConn(h.idle, conn)
		conn.sendIfAllowed(h.takeOldestWaiting())
	}
}

// takeOldestWaiting removes the attempt that has waited longest from the queue and returns it. The queue must not be
// empty.
func (h *host) takeOldestWaiting() *hostAttempt {
	oldest := h.waiting[0]
	h.waiting[0] = nil // the array keeps its first elements until it is replaced
	h.waiting = h.waiting[1:]
	return oldest
}

// removeWaiting removes an attempt from the queue. A connection that was dialed for it serves the next attempt.
func (h *host) removeWaiting(attempt *hostAttempt) {
	h.waiting = slices.DeleteFunc(h.waiting, func(other *hostAttempt) bool { return other == attempt })
}

// needsConn reports whether more attempts wait than connections are idle or being dialed.
func (h *host) needsConn() bool { return len(h.dialing)+len(h.idle) < len(h.waiting) }

// dialIfNeeded dials a connection for each waiting attempt that needs one. If Limits.MaxConns is reached, the attempts
// wait for the open connections to the host. If the host has no open connection, or if dialing fails, the most recently
// queued attempts end. At the limit they end as not sent, as the gateway's own limit is not a failure of the host.
func (h *host) dialIfNeeded() {
	h.awaitsRelease = false
	for h.needsConn() {
		err := h.dial()
		if err == nil {
			continue
		}
		outcome := routing.OutcomeNoConnection
		if errors.Is(err, errConnectionLimit) {
			if h.openConns > 0 {
				h.awaitsRelease = true
				return
			}
			outcome = routing.OutcomeNotSent
		}
		h.core.log.Debug("cannot dial host", zap.String("host", h.ID), zap.Error(err))
		last := h.waiting[len(h.waiting)-1]
		h.removeWaiting(last)
		h.core.finishAttempt(last, outcome, Response{})
	}
}

// dial starts to establish a connection. It returns errConnectionLimit or an error of the Dialer. The connect timeout is
// not logged; a connection that fails earlier is logged by pooledConn.ConnectionClosed at level Debug.
func (h *host) dial() error {
	core := h.core
	if core.openConns >= core.limits.MaxConns && !core.closeOldestIdle() {
		return errConnectionLimit
	}
	conn := &pooledConn{host: h, address: h.Address}
	upstream, err := core.dialer.Dial(h.Address, conn)
	if err != nil {
		return err
	}
	core.openConns++
	h.openConns++
	conn.upstream = upstream
	h.dialing = append(h.dialing, conn)
	conn.connectTimer = core.timers.After(core.limits.ConnectTimeoutMs, func() {
		conn.close()
		h.connectionFailed()
	})
	return nil
}

// connectionFailed handles a connection that was not established. It ends the attempt that has waited longest if fewer
// connections are idle or being dialed than attempts wait. At the connection limit further attempts may have waited for
// the same connection, so connectionFailed dials for them.
func (h *host) connectionFailed() {
	h.connectFailed = true
	if h.needsConn() {
		h.core.finishAttempt(h.takeOldestWaiting(), routing.OutcomeNoConnection, Response{})
	}
	h.dialIfNeeded()
}

// closeIdle closes all idle connections.
func (h *host) closeIdle() { closeAll(h.idle) }

// closeAll closes the connections of a list. It iterates over a copy, as each connection removes itself from the list
// when it is closed.
func closeAll(list []*pooledConn) {
	for _, conn := range slices.Clone(list) {
		conn.close()
	}
}

// closeOldestIdle closes the connection that has been idle longest among the hosts that have more connections idle or
// being dialed than attempts waiting. If several connections have been idle equally long, it closes the one of the first
// host by ID. It returns false if there is no such connection.
func (c *Core) closeOldestIdle() bool {
	var oldest *pooledConn
	for _, h := range c.hosts {
		if len(h.idle) == 0 || len(h.dialing)+len(h.idle) <= len(h.waiting) {
			continue
		}
		if conn := h.idle[0]; oldest == nil || conn.idleLongerThan(oldest) {
			oldest = conn
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	return true
}

// maintainConns closes connections that have been idle for too long. While the Core isn't ready, it also dials the
// eligible hosts. It runs again after maintainIntervalMs.
func (c *Core) maintainConns() {
	c.retireIdle()
	if !c.Ready() {
		c.redialHosts()
	}
	c.timers.After(maintainIntervalMs, c.maintainConns)
}

// retireIdle closes idle connections well before their hosts do.
func (c *Core) retireIdle() {
	idleSinceLimitMs := c.Now() - c.limits.HostIdleTimeoutMs*idleRetireShare
	for _, h := range c.sortedHosts() {
		for len(h.idle) > 0 && h.idle[0].idleSinceMs < idleSinceLimitMs {
			h.idle[0].close()
		}
	}
}

// redialHosts dials the eligible hosts to find out whether they are reachable again. While the Core isn't ready, there
// may be no request that would dial them.
func (c *Core) redialHosts() {
	for _, h := range c.sortedHosts() {
		if h.isEligible() && len(h.dialing) == 0 {
			_ = h.dial() // retried by the next maintainConns
		}
	}
}
