package proxy

import "merlinjunction/routing"

// Begin hands a large answer to its client as it comes, if the front can take it so.
func (l *link) Begin(resume func()) bool {
	t := l.attempt
	if t == nil || t.request == nil || t.request.answered {
		return false
	}
	q := t.request
	stream, ok := q.Reply.(Streamer)
	if !ok || !stream.Begin(resume) {
		return false
	}
	c := l.host.core
	q.timer.Stop()
	t.timer.Stop()
	q.stream, q.movedAt = stream, c.Now()
	c.events = append(c.events, routing.Started{Request: q.id})
	c.watchStream(t)
	return true
}

// Part passes a part on.
func (l *link) Part(p []byte) int {
	t := l.attempt
	if t == nil || t.request == nil || t.request.stream == nil {
		return 0
	}
	n := t.request.stream.Part(p)
	if n > 0 {
		t.request.movedAt = l.host.core.Now()
	}
	return n
}

// watchStream ends an answer of which no part moves any more. Guards places and buffers against hosts that stop midway
// and clients that stop reading; nothing else bounds the time of an answer that has begun.
func (c *Core) watchStream(t *attempt) {
	t.timer = c.timers.At(t.request.movedAt+stallMs, func() {
		if c.Now() >= t.request.movedAt+stallMs {
			c.giveUp(t, routing.Timeout)
			return
		}
		c.watchStream(t)
	})
}
