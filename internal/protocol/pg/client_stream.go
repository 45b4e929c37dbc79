package pg

const (
	// streamWindowBytes bounds the unsent output of a client while an answer is streamed to it.
	streamWindowBytes = 128 << 10
	// scarceStreamWindowBytes replaces streamWindowBytes while the buffers of all connections together are half full.
	scarceStreamWindowBytes = 8 << 10
	// streamSendBufferBytes is the size of the operating system's send buffer for a client that gets a streamed answer.
	streamSendBufferBytes = 64 << 10
)

// SendPart writes as much of a part of a streamed answer as the client's window has space for, and returns the number of
// bytes written. If that is not the whole part, Flushed is called later.
func (c *Client) SendPart(part []byte) int {
	if !c.sendBufferLimited {
		c.sendBufferLimited = true
		c.conn.SetSendBuffer(streamSendBufferBytes)
	}
	windowBytes := streamWindowBytes
	if c.pool.Loop.BuffersHalfFull() {
		windowBytes = scarceStreamWindowBytes
	}
	sent := 0
	for sent < len(part) { // bytes that the socket accepts at once use no window, and no Flushed follows for them
		chunkBytes := min(len(part)-sent, windowBytes-c.conn.Pending())
		if chunkBytes <= 0 {
			break
		}
		c.Send(part[sent : sent+chunkBytes])
		c.forwarded.add(part[sent : sent+chunkBytes])
		c.partialMessage = true
		sent += chunkBytes
	}
	return sent
}
