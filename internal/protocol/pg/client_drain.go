package pg

const (
	// busyDrainMs is how long a client that always has a request in flight may go on sending in a drain with DrainBusy.
	busyDrainMs = 1000.0
	// refusalDelayMs is the time from when nothing more is read from a client until its requests that still wait here are
	// rejected, so that its connection ends in time.
	refusalDelayMs = 1500.0
	// closeRetryMs is the time after which closeAfterReading tries again.
	closeRetryMs = 50.0
)

// DrainBusy does the same as Drain, and also disconnects clients that are never idle. After busyDrainMs nothing more is read
// from such a client; what was read is answered, at last with a rejection, and the connection is closed. The client sends
// again what was not read.
func (p *ClientPool) DrainBusy() {
	p.drainBusySinceMs = p.Loop.Clock.Now()
	p.Drain()
}

// endReadingIfDue stops reading from a client that is never idle in a drain with DrainBusy, unless it is within a pipeline.
func (c *Client) endReadingIfDue() {
	sinceMs := c.pool.drainBusySinceMs
	if sinceMs == 0 || c.readingEnded || c.session == nil || c.session.InPipeline() {
		return
	}
	if c.pool.Loop.Clock.Now() >= max(sinceMs, c.acceptedMs)+busyDrainMs {
		c.readingEnded, c.readingEndedMs = true, c.pool.Loop.Clock.Now()
		c.conn.SetInputLimit(0)
	}
}

// RejectsRequests reports whether further requests of the client are to be rejected, which is harmless, instead of run.
func (c *Client) RejectsRequests() bool {
	return c.readingEnded && c.pool.Loop.Clock.Now() >= c.readingEndedMs+refusalDelayMs
}

// resumeReading undoes endReadingIfDue.
func (c *Client) resumeReading() {
	if c.readingEnded && !c.closing {
		c.readingEnded = false
		c.conn.SetInputLimit(max(c.reservedInput, smallInputBytes))
	}
}

// lacksSync reports whether the client is about to begin a pipeline whose Sync was not read and will not be.
func (c *Client) lacksSync() bool {
	if !c.readingEnded || c.session.InPipeline() {
		return false
	}
	input := c.conn.In()
	return IsExtendedQuery(input[0]) && syncEnd(input) == 0
}

// closeAfterReading closes the connection of a client from which nothing more is read. If too many connections are being
// closed, it is tried again later, since closing at once could discard answers.
func (c *Client) closeAfterReading() {
	if c.pool.closingCount >= maxLingering {
		c.pool.Loop.After(closeRetryMs, c.processInput)
		return
	}
	c.conn.Consume(len(c.conn.In()))
	c.conn.SetInputLimit(smallInputBytes) // later input is discarded while the client reads its last answer
	c.closeGracefully()
}

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
