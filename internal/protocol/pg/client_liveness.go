package pg

// livenessIntervalMs is the time between two liveness checks of a client.
const livenessIntervalMs = 100.0

// startLivenessChecks starts to check a client if the gateway could not notice otherwise that it has disconnected.
func (c *Client) startLivenessChecks() {
	if c.livenessTimer == nil && c.needsLivenessCheck() {
		c.checkLiveness()
	}
}

// needsLivenessCheck reports whether the client has an outstanding answer and reading can't show that it has disconnected.
// Either the client has half-closed its connection, which looks the same as closing it, or its input buffer is full, so
// that the end of input isn't read. The checks avoid work on hosts for answers that have no recipient.
func (c *Client) needsLivenessCheck() bool {
	readBlocked := c.halfClosed || c.conn.InputFull()
	return c.conn.IsOpen() && !c.closing && c.busy() && readBlocked
}

// checkLiveness sends a message that has no effect. The protocol allows a ParameterStatus at any time, and a client that
// still reads ignores this one. If the client has closed the connection, its operating system answers with a reset.
func (c *Client) checkLiveness() {
	c.livenessTimer = nil
	if !c.needsLivenessCheck() {
		return
	}
	if !c.partialMessage && c.conn.Pending() == 0 {
		c.Send(AppendStrings(nil, MsgParameterStatus, "client_encoding", "UTF8"))
	}
	c.livenessTimer = c.pool.Loop.After(livenessIntervalMs, c.checkLiveness)
}
