package pg

import "encoding/binary"

// Each client may have a small part of a message in its input. The memory for more is limited for all clients together
// (ClientPool.InputMemory). A client that needs more than is free waits in a queue, and its data stays in the socket. Each
// client reserves the size of its whole message at once, so what it has reserved always suffices to complete the message,
// and clients with incomplete messages can't block each other.

const (
	// smallInputBytes is the input that each client may have without a reservation.
	smallInputBytes = 8 << 10
	// maxInputBytes bounds the unprocessed input of a client.
	maxInputBytes = MaxMessage + headerSize
	// plentifulInputShare is the share of ClientPool.InputMemory up to which a client may have several messages in its
	// input. Above it, a client gets memory for one message at a time.
	plentifulInputShare = 0.5
	// inputReliefIntervalMs is the interval at which stalled clients are looked for while others wait for memory.
	inputReliefIntervalMs = 20.0
	// inputStallMs is the time without new input after which an incomplete message counts as stalled while others wait.
	inputStallMs = 100.0
	// maxReservationMs is the time after which an incomplete message counts as stalled although input keeps arriving.
	maxReservationMs = 1000.0
)

// growInput reserves memory for more input if the input is full, and reads more. It returns false if nothing was read.
// If the next message needs memory that isn't free, the client waits for it.
func (c *Client) growInput() bool {
	if c.closing || c.readingEnded || c.awaitsInput || !c.conn.IsOpen() || !c.conn.InputFull() {
		return false
	}
	memory := &c.pool.InputMemory
	queueEmpty := len(c.pool.inputQueue) == 0
	size := c.nextMessageSize()
	switch {
	case c.reservedInput == maxInputBytes:
		return false
	case queueEmpty && memory.AllowsWithin(plentifulInputShare, maxInputBytes-c.reservedInput):
		size = maxInputBytes
	case size <= max(smallInputBytes, c.reservedInput): // the message is complete, and waits until the session accepts it
		return false
	case c.session != nil && !c.session.Accepts(c.conn.In()[0]): // the session calls Resume when it accepts the message
		return false
	case !queueEmpty || !memory.Allows(size-c.reservedInput):
		c.pool.enqueueForInput(c)
		return false
	}
	c.reserveInput(size)
	return c.readMore()
}

// nextMessageSize returns the size of the first message in the input as its header says, whether or not it is complete. It
// returns 0 if the header is incomplete or the size invalid.
func (c *Client) nextMessageSize() int {
	input := c.conn.In()
	if c.session == nil {
		if len(input) < startupHeaderSize {
			return 0
		}
		return int(min(binary.BigEndian.Uint32(input), maxStartupBytes))
	}
	if len(input) < headerSize {
		return 0
	}
	length := binary.BigEndian.Uint32(input[1:])
	if length > MaxMessage {
		return 0
	}
	return int(length) + 1
}

// reserveInput raises the client's reservation to a size, for which there must be enough memory.
func (c *Client) reserveInput(size int) {
	c.pool.InputMemory.Reserve(size - c.reservedInput)
	c.reservedInput = size
	c.inputReservedMs = c.pool.Loop.Clock.Now()
	if !c.readingEnded {
		c.conn.SetInputLimit(max(size, smallInputBytes))
	}
	c.conn.GrowInput(c.nextMessageSize())
}

// releaseInput releases the client's reservation unless its input or its next message needs it.
func (c *Client) releaseInput() {
	if c.reservedInput > 0 && len(c.conn.In()) <= smallInputBytes && c.nextMessageSize() <= smallInputBytes {
		c.dropInputReservation()
		if !c.readingEnded {
			c.conn.SetInputLimit(smallInputBytes)
		}
	}
}

// dropInputReservation releases the client's reservation and lets the clients that wait have it.
func (c *Client) dropInputReservation() {
	c.awaitsInput = false
	if c.reservedInput > 0 {
		c.pool.InputMemory.Release(c.reservedInput)
		c.reservedInput = 0
		c.pool.serveInputQueue()
	}
}

// enqueueForInput makes a client wait for memory.
func (p *ClientPool) enqueueForInput(client *Client) {
	client.awaitsInput = true
	p.inputQueue = append(p.inputQueue, client)
	if !p.relievingInput {
		p.relievingInput = true
		p.Loop.After(inputReliefIntervalMs, p.relieveInput)
	}
}

// serveInputQueue reserves memory for the clients that wait for it, in order, as far as it suffices.
func (p *ClientPool) serveInputQueue() {
	for len(p.inputQueue) > 0 {
		next := p.inputQueue[0]
		if next.awaitsInput {
			size := next.nextMessageSize()
			if !p.InputMemory.Allows(size - next.reservedInput) {
				return
			}
			next.awaitsInput = false
			next.reserveInput(size) // the event loop then reads the rest
		}
		p.inputQueue[0] = nil // the array keeps its first elements until it is replaced
		p.inputQueue = p.inputQueue[1:]
	}
}

// relieveInput closes the connections of stalled clients while others wait for the memory that they have reserved. It runs
// again as long as any client waits.
func (p *ClientPool) relieveInput() {
	p.relievingInput = false
	skipped := map[*Client]bool{}
	for len(p.inputQueue) > 0 {
		stalled := p.longestStalledInput(skipped)
		if stalled == nil {
			break
		}
		skipped[stalled] = true
		if !stalled.mustStayOpen() {
			stalled.failIncompleteMessage()
		}
	}
	if len(p.inputQueue) > 0 && !p.relievingInput {
		p.relievingInput = true
		p.Loop.After(inputReliefIntervalMs, p.relieveInput)
	}
}

// longestStalledInput returns the client whose message has been due longest among those whose input has stalled, leaving
// out the skipped ones. It returns nil if there is none.
func (p *ClientPool) longestStalledInput(skipped map[*Client]bool) *Client {
	now := p.Loop.Clock.Now()
	var stalled *Client
	for client := range p.clients {
		if skipped[client] || !client.inputStalled(now) {
			continue
		}
		if stalled == nil || client.evictedBefore(stalled) {
			stalled = client
		}
	}
	return stalled
}

// inputStalled reports whether the client has reserved memory for a message whose rest doesn't come. While the client is
// busy, its next message may wait for an answer.
func (c *Client) inputStalled(now float64) bool {
	if c.reservedInput == 0 || c.closing || c.busy() || c.inBacklog || c.messageDueSinceMs == 0 {
		return false
	}
	progressMs := max(c.lastInputMs, c.inputReservedMs)
	return now >= progressMs+inputStallMs || now >= c.inputReservedMs+maxReservationMs
}

// failIncompleteMessage closes the connection because the rest of a message did not come in time.
func (c *Client) failIncompleteMessage() {
	if !c.conn.IsOpen() {
		return
	}
	c.conn.Consume(len(c.conn.In()))
	c.Fatal(StateProtocol, "no whole message came in time")
}
