package pg

// livenessIntervalMs is the time between two liveness checks of a client.
const livenessIntervalMs = 100.0

// startLivenessChecks starts to check a client if the gateway could not notice otherwise that it has disconnected.
func (c *Client) startLivenessChecks() {
	if c.livenessTimer == nil && c.needsLivenessCheck() {
		c.checkLiveness()
	}
}

// PeerEnded is called when the client has ended its sending direction, also while earlier input is unread. A client that has
// closed its connection, and doesn't only read on, must be noticed before its next messages are processed.
func (c *Client) PeerEnded() {
	c.peerEnded = true
	if c.livenessTimer == nil && c.needsLivenessCheck() {
		c.checkLiveness()
		return
	}
	c.probeLiveness()
}

// IsGone reports whether the client has left, by what the operating system knows now. A client that has closed its
// connection is known to have left once its system has answered a liveness check.
func (c *Client) IsGone() bool { return c.conn.PeerGone() }

// needsLivenessCheck reports whether the client has an outstanding answer and reading can't show that it has disconnected.
// Either the client has half-closed its connection, which looks the same as closing it, or its input buffer is full, so
// that the end of input isn't read. The checks avoid work on hosts for answers that have no recipient.
func (c *Client) needsLivenessCheck() bool {
	readBlocked := c.peerEnded || c.halfClosed || c.conn.InputFull()
	return c.conn.IsOpen() && !c.closing && c.busy() && readBlocked
}

// checkLiveness checks the client now and at intervals.
func (c *Client) checkLiveness() {
	c.livenessTimer = nil
	if !c.needsLivenessCheck() {
		return
	}
	c.probeLiveness()
	c.livenessTimer = c.pool.Loop.After(livenessIntervalMs, c.checkLiveness)
}

// probeLiveness sends a message that has no effect, if the client owes or is owed something and other output doesn't serve
// the same purpose. The protocol allows a ParameterStatus at any time, and a client that still reads ignores this one. If
// the client has closed the connection, its operating system answers with a reset.
func (c *Client) probeLiveness() {
	waiting := c.session != nil && (c.busy() || len(c.conn.In()) > 0)
	if waiting && !c.partialMessage && c.conn.Pending() == 0 {
		c.Send(AppendStrings(nil, MsgParameterStatus, "client_encoding", "UTF8"))
	}
}
