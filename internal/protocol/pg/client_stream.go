package pg

const (
	// streamWindowBytes bounds the unsent output of a client while an answer is streamed to it.
	streamWindowBytes = 128 << 10
	// scarceStreamWindowBytes is the bound while the buffers of all connections together are half full.
	scarceStreamWindowBytes = 8 << 10
	// streamSendBufferBytes bounds what the operating system buffers of a streamed answer.
	streamSendBufferBytes = 64 << 10
)

// SendPart writes as much of a streamed answer as the client's window has space for, and returns the number of bytes.
// When that isn't all, Flushed follows.
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
	for sent < len(part) { // what the socket accepts at once doesn't use the window, and no Flushed follows for it
		chunkBytes := min(len(part)-sent, windowBytes-c.conn.Pending())
		if chunkBytes <= 0 {
			break
		}
		c.Send(part[sent : sent+chunkBytes])
		c.partialMessage = true
		sent += chunkBytes
	}
	return sent
}
