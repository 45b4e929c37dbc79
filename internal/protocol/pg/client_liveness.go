package pg

// livenessIntervalMs is the time between two liveness checks of a client.
const livenessIntervalMs = 100.0

// startLivenessChecks begins to check a client whose end the gateway could not notice otherwise.
func (c *Client) startLivenessChecks() {
	if c.livenessTimer == nil && c.needsLivenessCheck() {
		c.checkLiveness()
	}
}

// needsLivenessCheck reports whether a client with an outstanding answer can't be read from: it has half-closed its
// connection, which looks the same as closing it, or its input buffer is full, so that the end of input isn't seen. The
// check avoids work on hosts whose answer has no recipient.
func (c *Client) needsLivenessCheck() bool {
	readBlocked := c.halfClosed || len(c.conn.In()) >= maxInputBytes
	return c.conn.IsOpen() && !c.closing && c.busy() && readBlocked
}

// checkLiveness sends a message without effect. The protocol allows a ParameterStatus at any time, so that a client
// that still reads ignores it; the system of one that has closed the connection answers with a reset.
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
