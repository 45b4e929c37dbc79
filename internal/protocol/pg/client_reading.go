package pg

import "merlinjunction/internal/proxy"

const (
	// slowReaderTimeoutMs is how long a client may leave its output unread. A client that reads slowly, but without stopping,
	// shows that only once it has read a good part of its system's receive buffer.
	slowReaderTimeoutMs = 60_000.0
	// scarceReaderTimeoutMs replaces it while others need the memory or the slots that such clients hold.
	scarceReaderTimeoutMs = 2400.0
)

// isScarce reports whether memory for output or slots for clients are scarce.
func (p *ClientPool) isScarce() bool {
	return p.Loop.BuffersHalfFull() || p.slotsAreScarce()
}

// readerTimeoutMs returns how long a client may leave its output unread now.
func (p *ClientPool) readerTimeoutMs() float64 {
	if p.isScarce() {
		return scarceReaderTimeoutMs
	}
	return slowReaderTimeoutMs
}

// ReadingState returns how the client has read its output since the last call.
func (c *Client) ReadingState() proxy.ReadingState {
	acknowledged := c.conn.Acknowledged()
	advanced := acknowledged > c.acknowledged
	c.acknowledged = acknowledged
	switch {
	case advanced:
		return proxy.ReadingAdvanced
	case c.conn.Unacknowledged() == 0:
		return proxy.ReadingCaughtUp
	case c.pool.isScarce():
		return proxy.ReadingStalled
	}
	return proxy.ReadingPaused
}
