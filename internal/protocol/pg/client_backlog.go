package pg

// A client can send messages faster than the event loop can process them. So that it doesn't keep the loop from other
// connections, its messages are processed in turns. A client whose input still has messages after its turn waits in
// ClientPool.backlog, and so does one whose last turn took long. The backlog gets one turn of each client in a row, and
// after expensive ones it rests for as long as they took. New messages of other clients are processed at once.

const (
	// maxTurnMessages is the number of messages of one client that are processed in a row.
	maxTurnMessages = 32
	// maxTurnMs is the processing time from which no further message of the same client is processed in a row.
	maxTurnMs = 1.0
	// maxBacklogMs is the processing time from which the rest of the backlog waits for a later round.
	maxBacklogMs = 4.0
)

// turn measures the processing of one client's messages in a row.
type turn struct {
	startMs  float64
	messages int
}

func (c *Client) beginTurn() *turn { return &turn{startMs: c.pool.Loop.Clock.Now()} }

// turnMs returns the time since the beginning of the turn.
func (c *Client) turnMs(current *turn) float64 { return c.pool.Loop.Clock.Now() - current.startMs }

// endTurn records whether the messages of a turn were expensive.
func (c *Client) endTurn(current *turn) {
	if current.messages > 0 {
		c.expensive = c.turnMs(current) >= maxTurnMs
	}
}

// processMessages processes messages, and reads more, until the client has to wait for more input or an answer. It returns
// false if the turn is over before that.
func (c *Client) processMessages(current *turn) bool {
	for {
		switch {
		case len(c.conn.In()) > 0 && c.turnOver(current):
			return false
		case c.processMessage():
			current.messages++
		case !c.growInput():
			return true
		}
	}
}

// turnOver reports whether the client has used its turn.
func (c *Client) turnOver(current *turn) bool {
	return current.messages >= maxTurnMessages || current.messages > 0 && c.turnMs(current) >= maxTurnMs
}

// enterBacklog makes the client wait for its next turn.
func (c *Client) enterBacklog() {
	c.inBacklog = true
	c.pool.backlog = append(c.pool.backlog, c)
	c.pool.scheduleBacklog()
}

// scheduleBacklog runs processBacklog in the next round, or at the end of the backlog's rest.
func (p *ClientPool) scheduleBacklog() {
	if p.backlogScheduled {
		return
	}
	p.backlogScheduled = true
	if p.backlogRestsUntilMs <= p.Loop.Clock.Now() {
		p.Loop.NextRound(p.processBacklog)
		return
	}
	p.Loop.At(p.backlogRestsUntilMs, p.processBacklog)
}

// processBacklog gives a turn to the clients of the backlog, the one that has waited longest first.
func (p *ClientPool) processBacklog() {
	startMs := p.Loop.Clock.Now()
	elapsedMs := 0.0
	waiting := p.backlog
	p.backlog = nil
	for len(waiting) > 0 && elapsedMs < maxBacklogMs {
		client := waiting[0]
		waiting = waiting[1:]
		client.inBacklog = false
		if !client.closing {
			client.takeTurn()
		}
		elapsedMs = p.Loop.Clock.Now() - startMs
	}
	p.backlog = append(waiting, p.backlog...)
	p.backlogScheduled = false
	if elapsedMs >= maxTurnMs {
		p.backlogRestsUntilMs = startMs + 2*elapsedMs
	}
	if len(p.backlog) > 0 {
		p.scheduleBacklog()
	}
}
