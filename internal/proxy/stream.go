package proxy

import "merlinjunction/routing"

// BeginStream hands a large answer to its client as it comes, if the front can take it so.
func (l *link) BeginStream(resume func()) bool {
	t := l.attempt
	if t == nil || t.request == nil || t.request.answered {
		return false
	}
	q := t.request
	stream, ok := q.Responder.(Streamer)
	if !ok || !stream.BeginStream(resume) {
		return false
	}
	c := l.host.core
	q.timer.Stop()
	t.timer.Stop()
	q.stream, q.movedAt = stream, c.Now()
	c.events = append(c.events, routing.StreamStarted{Request: q.id})
	c.watchStream(t)
	return true
}

// StreamPart passes a part on.
func (l *link) StreamPart(p []byte) int {
	t := l.attempt
	if t == nil || t.request == nil || t.request.stream == nil {
		return 0
	}
	n := t.request.stream.StreamPart(p)
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
			c.giveUp(t, routing.OutcomeTimeout)
			return
		}
		c.watchStream(t)
	})
}
