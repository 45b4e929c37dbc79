package pg

const (
	// stalledTimeoutMs is how long a client may leave a message incomplete.
	stalledTimeoutMs = 2400.0
	// messageTimeoutMs is how long a message may be due before the client's connection may be evicted.
	messageTimeoutMs = 250.0
)

// idle reports whether no message, answer or output is outstanding.
func (c *Client) idle() bool {
	return c.session != nil && !c.session.Busy() && !c.session.InPipeline() && !c.closing &&
		c.messageDueSinceMs == 0 && len(c.conn.In()) == 0 && c.conn.Pending() == 0
}

// evictable reports whether the connection may be closed in favor of a new one, because its message is overdue or it has
// been idle for at least minIdleMs. A busy client's connection may not: its next message may be waiting for the answer to
// an earlier one.
func (c *Client) evictable(now, minIdleMs float64) bool {
	return c.overdue(now) || c.idle() && now >= c.lastActiveMs+minIdleMs
}

// overdue reports whether the client has let a message be due for too long. A message is not overdue while the client is
// busy, since its answer may come first, or while the message waits here for memory or its turn.
func (c *Client) overdue(now float64) bool {
	if c.closing || c.busy() || c.awaitsInput || c.inBacklog {
		return false
	}
	return c.messageDueSinceMs > 0 && now >= c.messageDueSinceMs+messageTimeoutMs
}

// evictedBefore reports whether c is to be evicted before other. Connections with an overdue message come before idle
// ones. Among connections of one kind, the one that has been overdue or idle longest comes first.
func (c *Client) evictedBefore(other *Client) bool {
	if c.messageDueSinceMs > 0 {
		return other.messageDueSinceMs == 0 || c.messageDueSinceMs < other.messageDueSinceMs
	}
	return other.messageDueSinceMs == 0 && c.lastActiveMs < other.lastActiveMs
}

// mustStayOpen reads input once more before the connection is closed, and reports whether the connection must stay open.
// It must if the unprocessed input has grown, the session has started, or an answer is outstanding, to new input or to
// earlier input. A request that has been read in part counts as accepted and must not be lost. A message that the session
// has handled completely during this call is no reason to stay open.
func (c *Client) mustStayOpen() bool {
	startedBefore := c.session != nil
	if c.readMore() {
		return true
	}
	return c.session != nil && (c.session.Busy() || !startedBefore)
}

// closeIfStalled closes a connection that occupies its slot without using it: one that has been idle for too long, whose
// client doesn't read its answers, or whose message stays incomplete.
func (c *Client) closeIfStalled(now float64) {
	if c.closing || c.busy() || c.inBacklog {
		return
	}
	c.updateActivity(now)
	inactiveMs := now - c.lastActiveMs
	switch {
	case c.idle():
		if idleTimeoutMs := c.pool.IdleTimeoutMs; idleTimeoutMs > 0 && inactiveMs >= idleTimeoutMs && !c.mustStayOpen() {
			c.close()
		}
	case c.unacknowledged > 0:
		if inactiveMs >= c.pool.readerTimeoutMs() {
			c.close()
		}
	case c.messageDueSinceMs > 0 && now >= c.messageDueSinceMs+stalledTimeoutMs:
		if !c.mustStayOpen() {
			c.failIncompleteMessage()
		}
	}
}

// updateActivity counts output that the client has read as activity. The measure is the output that the client's TCP
// stack has acknowledged. The gateway's own socket may buffer megabytes and then accept no more output for a long time,
// although the client reads.
func (c *Client) updateActivity(now float64) {
	unacknowledged := 0
	if c.conn.Pending() > 0 {
		unacknowledged = c.conn.Unacknowledged()
	}
	if unacknowledged < c.unacknowledged {
		c.lastActiveMs = now
	}
	c.unacknowledged = unacknowledged
}
