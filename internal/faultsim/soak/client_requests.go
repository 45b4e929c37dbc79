package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"merlinjunction/internal/protocol/pg"
)

// oddTexts are queries that are no request. The gateway answers each, with an error or without.
var oddTexts = []string{"=", " = ;", "", ";", "-- nothing", "SET", "RESET", "DEALLOCATE", "DISCARD ALL", "/*", "'", "$$", "BEGIN"}

// sayOdd sends a query that is no request, and reads its answer.
func (c *client) sayOdd() {
	if _, err := c.conn.Write(pg.AppendStrings(nil, pg.MsgQuery, oneOf(c.draw, oddTexts...))); err != nil {
		c.disconnect()
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.readResult(); err != nil {
		c.disconnect()
	}
	c.prepared = false // DISCARD ALL drops it
}

// round sends one request, or several at once, and reads the answers, as the habit says.
func (c *client) round() {
	switch {
	case c.habit == saysOdd && c.draw.chance(0.2):
		c.sayOdd()
		return
	case c.habit == overlaps:
		c.overlap()
		return
	}
	count := 1
	if c.habit == pipelines {
		count = 1 + c.draw.IntN(maxPipeline)
	}
	var batch []*request
	var out []byte
	if c.habit == reconnects { // the first query straight after the startup message
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
	if c.habit == leaves && c.draw.chance(0.3) {
		if c.draw.chance(0.5) { // what follows looks like its half-close, until something is sent to it
			_ = c.conn.(*net.TCPConn).CloseWrite()
		}
		c.pause(c.draw.between(0, 30))
		c.leave(batch)
		return
	}
	if c.habit == halfCloses {
		_ = c.conn.(*net.TCPConn).CloseWrite()
	}
	if c.habit == reconnects {
		c.receiveFirst(batch)
	} else {
		c.receive(batch)
	}
	if c.habit == halfCloses || c.habit == reconnects {
		c.disconnect()
	}
}

// receiveFirst reads the answer to the startup message and those to a batch behind it.
func (c *client) receiveFirst(batch []*request) {
	_ = c.conn.SetReadDeadline(time.Now().Add(startupLimit))
	if _, err := c.readResult(); err != nil {
		c.endWith(batch, errors.Is(err, os.ErrDeadlineExceeded))
		return
	}
	c.receive(batch)
}

// overlap sends requests at intervals, while those before them are not answered yet.
func (c *client) overlap() {
	awaited := make(chan *request, maxOverlap)
	received := make(chan struct{})
	reader := *c
	go func() {
		defer close(received)
		for next := range awaited {
			if reader.conn == nil { // it has ended
				reader.end([]*request{next})
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

// newRequest draws a request. Requests of one batch have different sessions, so that what one writes is not required of
// another that runs at the same time.
func (c *client) newRequest(batch []*request) *request {
	deployed := c.run.deployment
	c.counter++
	drawn := &deployed.Classes[c.draw.IntN(len(deployed.Classes))]
	switch {
	case c.habit == overlaps && c.draw.chance(0.5): // what hangs longest
		drawn = deployed.longestWrite()
	case deployed.Extended && c.draw.chance(0.5):
		drawn = c.preparedClass
	}
	return &request{
		id:      fmt.Sprintf("r%d-%d", c.number, c.counter),
		class:   drawn,
		group:   c.group,
		session: c.sessions[len(batch)],
		value:   c.counter,
		first:   !c.firstSent && len(batch) == 0 && time.Since(c.connected) < firstRequestLimit,
	}
}

// send sends a batch; false where the connection was broken, or the client has left behind half a message.
func (c *client) send(batch []*request, out []byte) bool {
	for _, sent := range batch {
		c.run.require(sent)
		c.run.recorder.add(sent)
	}
	if half := len(out) / 2; c.habit == sendsHalf || c.habit == fillsAndGoes {
		_, _ = c.conn.Write(out[:half])
		c.pause(c.draw.between(10, 250))
		if c.habit == fillsAndGoes && c.draw.chance(0.5) {
			c.leave(batch)
			return false
		}
		out = out[half:]
	}
	_, err := c.conn.Write(out)
	now := time.Now()
	c.run.recorder.update(func() {
		for _, sent := range batch {
			sent.sentAt, sent.dueSince = now, now
		}
	})
	c.firstSent = true
	if err != nil {
		c.end(batch)
		return false
	}
	return true
}

// leave closes the connection with requests in flight.
func (c *client) leave(batch []*request) {
	c.disconnect()
	now := time.Now()
	c.run.recorder.update(func() {
		for _, left := range batch {
			left.outcome, left.leftAt = abandoned, now
		}
	})
}

// end records that the connection has ended before these requests were answered.
func (c *client) end(batch []*request) { c.endWith(batch, false) }

// endWith is end; timedOut says that the client has given up, and the connection was still open.
func (c *client) endWith(batch []*request, timedOut bool) {
	now := time.Now()
	c.run.recorder.update(func() {
		for i, lost := range batch {
			lost.endedAt, lost.timedOut = now, timedOut && i == 0
		}
	})
	c.disconnect()
}

// receive reads the answers to a batch, in its order.
func (c *client) receive(batch []*request) {
	for i, awaited := range batch {
		limit := time.Duration(awaited.class.DeadlineMs*float64(time.Millisecond)) + lateAnswerLimit + readSlack
		_ = c.conn.SetReadDeadline(time.Now().Add(limit))
		result, err := c.readResult()
		if err != nil {
			c.endWith(batch[i:], errors.Is(err, os.ErrDeadlineExceeded))
			return
		}
		now := time.Now()
		c.run.recorder.update(func() {
			result.record(awaited, now)
			if c.answered.After(awaited.dueSince) { // its time counts from the answer before it
				awaited.dueSince = c.answered
			}
			c.answered = now
		})
		c.run.acknowledge(awaited)
	}
}
