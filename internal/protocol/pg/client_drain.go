package pg

// closeIfDrained closes the connection of a draining pool if it is idle. It returns true if it has instead read new input
// or the end of input, which must be processed first.
func (c *Client) closeIfDrained() (newInput bool) {
	if c.session == nil || c.session.InPipeline() {
		return false
	}
	if c.expectsFirstMessage() {
		c.pool.Loop.After(messageTimeoutMs, c.processInput)
		return false
	}
	if c.readMore() || c.halfClosed {
		return true
	}
	if len(c.conn.In()) == 0 { // close at once: a request that arrives meanwhile stays unread, so the client may retry it
		c.close()
	}
	return false
}

// expectsFirstMessage reports whether the client has only just started its session, so that its first request is
// probably on the way.
func (c *Client) expectsFirstMessage() bool {
	return !c.sentMessage && c.pool.Loop.Clock.Now() < c.lastActiveMs+messageTimeoutMs
}
