package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"merlinjunction/internal/protocol/pg"
)

// nonRequestQueries are query texts that are not requests. The gateway must answer each of them, with or without an error.
var nonRequestQueries = []string{"=", " = ;", "", ";", "-- nothing", "SET", "RESET", "DEALLOCATE", "DISCARD ALL", "/*",
	"'", "$$", "BEGIN"}

// sendNonRequest sends a query that is not a request and reads the answer.
func (c *client) sendNonRequest() {
	if _, err := c.conn.Write(pg.AppendStrings(nil, pg.MsgQuery, oneOf(c.draw, nonRequestQueries...))); err != nil {
		c.disconnect()
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.readResult(); err != nil {
		c.disconnect()
	}
	c.prepared = false // DISCARD ALL drops the named statement
}

// sendRound sends one or several requests, as the client's behavior requires, and reads the answers.
func (c *client) sendRound() {
	switch {
	case c.behavior == clientSendsNonRequests && c.draw.chance(0.2):
		c.sendNonRequest()
		return
	case c.behavior == clientOverlaps:
		c.sendOverlapping()
		return
	}
	count := 1
	if c.behavior == clientPipelines {
		count = 1 + c.draw.IntN(maxPipeline)
	}
	var batch []*request
	var out []byte
	if c.behavior == clientReconnects { // the query follows the startup message without waiting for its answer
		out = c.startupMessage()
	}
	for range count {
		next := c.newRequest(batch)
		batch = append(batch, next)
		out = c.appendRequest(out, next)
	}
	if !c.send(batch, out) {
		return
	}
	if c.behavior == clientAbandons && c.draw.chance(0.3) {
		if c.draw.chance(0.5) { // to the gateway the close looks like a half-close until it sends something
			_ = c.conn.(*net.TCPConn).CloseWrite()
		}
		c.pause(c.draw.between(0, 30))
		c.abandon(batch)
		return
	}
	if c.behavior == clientHalfCloses {
		_ = c.conn.(*net.TCPConn).CloseWrite()
	}
	if c.behavior == clientReconnects {
		c.receiveFirst(batch)
	} else {
		c.receive(batch)
	}
	if c.behavior == clientHalfCloses || c.behavior == clientReconnects {
		c.disconnect()
	}
}

// receiveFirst reads the answer to the startup message and then the answers to a batch that was sent right after it.
func (c *client) receiveFirst(batch []*request) {
	_ = c.conn.SetReadDeadline(time.Now().Add(startupTimeout))
	if _, err := c.readResult(); err != nil {
		c.recordLoss(batch, errors.Is(err, os.ErrDeadlineExceeded))
		return
	}
	c.receive(batch)
}

// sendOverlapping sends requests at intervals without waiting for the answers, which it reads concurrently.
func (c *client) sendOverlapping() {
	awaited := make(chan *request, maxOverlap)
	received := make(chan struct{})
	reader := *c
	go func() {
		defer close(received)
		for next := range awaited {
			if reader.conn == nil { // the connection has ended
				reader.recordConnLoss([]*request{next})
				continue
			}
			reader.receive([]*request{next})
		}
	}()
	var batch []*request
	for range 1 + c.draw.IntN(maxOverlap) {
		next := c.newRequest(batch)
		batch = append(batch, next)
		if !c.send([]*request{next}, c.appendRequest(nil, next)) {
			break
		}
		awaited <- next
		c.pause(c.draw.between(0, 250))
	}
	close(awaited)
	<-received
	if reader.conn == nil {
		c.conn = nil
	}
}

// newRequest draws a request. The requests of a batch have different sessions, so that a read need not return the value of
// a write that runs at the same time.
func (c *client) newRequest(batch []*request) *request {
	deployed := c.run.deployment
	c.requestCount++
	drawn := &deployed.Classes[c.draw.IntN(len(deployed.Classes))]
	switch {
	case c.behavior == clientOverlaps && c.draw.chance(0.5): // such requests stay open longest at a host that hangs
		drawn = deployed.longestWriteClass()
	case deployed.Extended && c.draw.chance(0.5):
		drawn = c.preparedClass
	}
	return &request{
		id:          fmt.Sprintf("r%d-%d", c.number, c.requestCount),
		class:       drawn,
		group:       c.group,
		session:     c.sessions[len(batch)],
		value:       c.requestCount,
		firstOnConn: !c.firstSent && len(batch) == 0 && time.Since(c.connectedAt) < firstRequestWindow,
	}
}

// send records the requests of a batch and writes out, their messages, to the connection. It returns false if the
// connection was lost or the client abandoned it after the first half of out.
func (c *client) send(batch []*request, out []byte) bool {
	for _, sent := range batch {
		c.run.setMinValue(sent)
		c.run.recorder.add(sent)
	}
	if half := len(out) / 2; c.behavior == clientSplitsMessages || c.behavior == clientAbandonsMessage {
		_, _ = c.conn.Write(out[:half])
		c.pause(c.draw.between(10, 250))
		if c.behavior == clientAbandonsMessage && c.draw.chance(0.5) {
			c.abandon(batch)
			return false
		}
		out = out[half:]
	}
	_, err := c.conn.Write(out)
	now := time.Now()
	c.run.recorder.update(func() {
		for _, sent := range batch {
			sent.sentAt, sent.deadlineStart = now, now
		}
	})
	c.firstSent = true
	if err != nil {
		c.recordConnLoss(batch)
		return false
	}
	return true
}

// abandon closes the connection while the requests of a batch are in flight.
func (c *client) abandon(batch []*request) {
	c.disconnect()
	now := time.Now()
	c.run.recorder.update(func() {
		for _, left := range batch {
			left.outcome, left.abandonedAt = abandoned, now
		}
	})
}

// recordConnLoss records that the connection ended before the requests of a batch were answered.
func (c *client) recordConnLoss(batch []*request) { c.recordLoss(batch, false) }

// recordLoss records that the requests of a batch will not be answered, and closes the connection. timedOut means that the
// connection was still open and the client gave up waiting for the first answer.
func (c *client) recordLoss(batch []*request, timedOut bool) {
	now := time.Now()
	c.run.recorder.update(func() {
		for i, lost := range batch {
			lost.connLostAt, lost.timedOut = now, timedOut && i == 0
		}
	})
	c.disconnect()
}

// receive reads the answers to a batch, in its order.
func (c *client) receive(batch []*request) {
	for i, awaited := range batch {
		limit := time.Duration(awaited.class.DeadlineMs*float64(time.Millisecond)) + answerTolerance + extraReadTime
		_ = c.conn.SetReadDeadline(time.Now().Add(limit))
		result, err := c.readResult()
		if err != nil {
			c.recordLoss(batch[i:], errors.Is(err, os.ErrDeadlineExceeded))
			return
		}
		now := time.Now()
		c.run.recorder.update(func() {
			result.record(awaited, now)
			if c.lastAnswerAt.After(awaited.deadlineStart) { // its deadline counts from the previous answer
				awaited.deadlineStart = c.lastAnswerAt
			}
			c.lastAnswerAt = now
		})
		c.run.recordAcknowledgedWrite(awaited)
	}
}
