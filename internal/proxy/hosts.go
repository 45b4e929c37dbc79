package proxy

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
	"merlinjunction/routing"
)

// host is a database host with its connections from here.
type host struct {
	Host
	core    *Core
	offAt   float64 // when it was listed as draining or gone; 0: it is ready
	idle    []*link // the one used last at the end
	dialing []*link
	waiting []*attempt // for a connection, oldest first
	refuses bool       // the last connection to it did not come up
}

// link is one connection to a host.
type link struct {
	host    *host
	conn    UpstreamConn
	up      bool
	closed  bool
	attempt *attempt
	timer   *eventloop.Timer // while it is dialled
	idleAt  float64
	restsTo float64 // it gets no command before
}

// UpdateHosts takes in the host list, or changes of it, as told now, and tells the module.
func (c *Core) UpdateHosts(full bool, list []Host) { c.UpdateHostsNotifiedAt(full, list, c.Now()) }

// UpdateHostsNotifiedAt takes in a list, or changes of it, that count as told since some time: what is listed as leaving gets
// nothing once the grace from then is over.
func (c *Core) UpdateHostsNotifiedAt(full bool, list []Host, told float64) {
	told = max(1, min(told, c.Now())) // 0 would be a host that is ready
	e := routing.EndpointUpdate{Full: full, NotifiedAt: span(told)}
	seen := map[string]bool{}
	for _, l := range list {
		seen[l.ID] = true
		e.Endpoints = append(e.Endpoints, l.Endpoint)
		h := c.hosts[l.ID]
		added := h == nil
		if added {
			if l.State == routing.StateGone {
				continue
			}
			h = &host{core: c}
			c.hosts[l.ID] = h
		}
		if h.Address != l.Address || h.StartedAt != l.StartedAt { // what is idle leads to a process that is no more
			h.closeIdle()
		}
		h.Host = l
		h.mark(told)
		if added {
			c.greetHost(h)
		}
	}
	for _, h := range c.inOrder() {
		if full && !seen[h.ID] {
			h.State = routing.StateGone
			h.mark(told)
		}
		if h.State == routing.StateGone && h.unused() {
			delete(c.hosts, h.ID)
		}
	}
	c.events = append(c.events, e)
}

// inOrder is all hosts by ID: what is done to them at one time is done in one order, or one seed would not give one run.
func (c *Core) inOrder() []*host {
	return slices.SortedFunc(maps.Values(c.hosts), func(a, b *host) int { return cmp.Compare(a.ID, b.ID) })
}

// mark takes down when a host went off, and closes what no request will use any more.
func (h *host) mark(told float64) {
	switch {
	case h.State == routing.StateReady:
		h.offAt = 0
	case h.offAt == 0:
		h.offAt = told
	}
	if h.State == routing.StateGone {
		h.closeIdle()
	}
}

func (h *host) unused() bool {
	if len(h.idle)+len(h.dialing)+len(h.waiting) > 0 {
		return false
	}
	for _, q := range h.core.requests {
		if q.open != nil && q.open.host == h {
			return false
		}
	}
	return true
}

func (h *host) closeIdle() {
	for len(h.idle) > 0 {
		h.idle[0].close()
	}
}

// barred tells whether the grace of a drain is over: nothing may be sent any more. Guards against a connection
// that came up so late that the module's own look at the drain no longer holds.
func (h *host) barred() bool {
	off := h.offAt
	if h.core.set.RemovalNotBinding && h.State == routing.StateGone {
		off = 0
	}
	if at, banned := h.core.bans[h.ID]; banned && (off == 0 || at < off) {
		off = at
	}
	return off > 0 && h.core.timers.Clock.Now() >= off+h.core.set.DrainGrace.Seconds()*1000-drainSlackMs
}

// inUse tells whether a host is listed as ready and not taken out by hand.
func (h *host) inUse() bool {
	_, banned := h.core.bans[h.ID]
	return h.State == routing.StateReady && !banned
}

// assign gives an attempt an idle connection, or lets it wait for the next one that is free.
func (c *Core) assign(t *attempt) {
	h := t.host
	if l := h.rested(); l != nil && len(h.waiting) == 0 {
		l.start(t)
		return
	}
	h.waiting = append(h.waiting, t)
	if len(h.idle) > 0 {
		c.timers.After(settleMs, h.feed)
	}
	h.provide()
}

// provide dials where fewer connections are on their way than attempts wait in line.
func (h *host) provide() {
	if len(h.dialing)+len(h.idle) >= len(h.waiting) {
		return
	}
	if err := h.dial(); err != nil {
		h.core.log.Debug("dial", zap.String("host", h.ID), zap.Error(err))
		t := h.waiting[len(h.waiting)-1]
		h.drop(t)
		h.core.result(t, routing.OutcomeNoConnection, Response{})
	}
}

// rested takes the idle connection used last, of those whose last answer is some time old. Guards against hosts that
// close a connection right after an answer, or send more than the answer: a command that crosses that is lost, or
// given the bytes that follow as its answer.
func (h *host) rested() *link {
	now := h.core.timers.Clock.Now()
	for i := len(h.idle) - 1; i >= 0; i-- {
		if l := h.idle[i]; l.restsTo <= now {
			h.idle = slices.Delete(h.idle, i, i+1)
			return l
		}
	}
	return nil
}

// feed gives the attempts in line the connections that have rested.
func (h *host) feed() {
	for len(h.waiting) > 0 {
		l := h.rested()
		if l == nil {
			return
		}
		t := h.waiting[0]
		h.waiting = h.waiting[1:]
		l.start(t)
	}
}

// drop takes an attempt out of the line. A connection that is being dialled for it still serves the next one.
func (h *host) drop(t *attempt) {
	h.waiting = slices.DeleteFunc(h.waiting, func(o *attempt) bool { return o == t })
}

var errNoRoom = errors.New("all connections to hosts are in use")

func (h *host) dial() error {
	c := h.core
	if c.conns >= c.limits.MaxConns && !c.closeOldestIdle() {
		return errNoRoom
	}
	l := &link{host: h}
	conn, err := c.dialer.Dial(h.Address, l)
	if err != nil {
		return err
	}
	c.conns++
	l.conn = conn
	h.dialing = append(h.dialing, l)
	l.timer = c.timers.After(c.limits.ConnectTimeoutMs, func() {
		l.close()
		l.dialFailed()
	})
	return nil
}

// closeOldestIdle makes room for a new connection.
func (c *Core) closeOldestIdle() bool {
	var oldest *link
	for _, h := range c.hosts {
		if len(h.idle) == 0 {
			continue
		}
		if l := h.idle[0]; oldest == nil || l.idleAt < oldest.idleAt || l.idleAt == oldest.idleAt && h.ID < oldest.host.ID {
			oldest = l
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	return true
}

// sweep retires idle connections well before hosts close them: a request written to one that the host has just
// closed would be a reset, and might have run.
func (c *Core) sweep() {
	cut := c.timers.Clock.Now() - c.limits.HostIdleTimeoutMs*idleShare
	for _, h := range c.inOrder() {
		for len(h.idle) > 0 && h.idle[0].idleAt < cut {
			h.idle[0].close()
		}
	}
	if !c.Ready() { // no traffic may come to find out that hosts are back
		for _, h := range c.inOrder() {
			if h.inUse() && len(h.dialing) == 0 {
				_ = h.dial() // one that fails is tried again
			}
		}
	}
	c.timers.After(sweepMs, c.sweep)
}

// start sends an attempt on a link that is up.
func (l *link) start(t *attempt) {
	c := l.host.core
	left := probeMs
	if q := t.request; q != nil {
		left = q.deadline - c.timers.Clock.Now()
	}
	late := t.before > 0 && c.timers.Clock.Now() >= t.before
	if l.host.barred() || late || left < 1 { // checked again here: the connection may have been long in coming
		l.rest(0)
		c.result(t, routing.OutcomeNotSent, Response{})
		return
	}
	l.attempt, t.link = t, l
	command := c.probe
	if t.request != nil {
		command = t.request.Command
	}
	l.conn.Send(command, left)
}

// rest takes a free link: after some time the next attempt in line gets it.
func (l *link) rest(ms float64) {
	h := l.host
	l.attempt = nil
	if h.State == routing.StateGone && len(h.waiting) == 0 {
		l.close()
		return
	}
	l.idleAt = h.core.timers.Clock.Now()
	l.restsTo = l.idleAt + ms
	h.idle = append(h.idle, l)
	if len(h.waiting) > 0 {
		h.core.timers.At(l.restsTo, h.feed)
	}
}

// close ends the link and takes it out of the books.
func (l *link) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.timer.Stop()
	l.conn.Close()
	l.host.core.conns--
	isThis := func(o *link) bool { return o == l }
	l.host.idle = slices.DeleteFunc(l.host.idle, isThis)
	l.host.dialing = slices.DeleteFunc(l.host.dialing, isThis)
}

// Established is called when the connection takes commands.
func (l *link) Established() {
	l.up, l.host.refuses = true, false
	l.timer.Stop()
	h := l.host
	h.dialing = slices.DeleteFunc(h.dialing, func(o *link) bool { return o == l })
	l.rest(0)
	h.feed()
}

// RequestWritten is called when the last byte of a command is out.
func (l *link) RequestWritten() {
	if t := l.attempt; t != nil {
		t.written = true
		if t.request != nil {
			l.host.core.written++
		}
	}
}

// ResponseReceived is called with the whole answer.
func (l *link) ResponseReceived(a Response) {
	t := l.attempt
	if t == nil {
		return
	}
	l.host.core.result(t, a.Outcome, a)
	if a.ConnectionEnds {
		l.close()
		l.host.provide()
		return
	}
	l.rest(settleMs)
}

// ConnectionClosed is called when the connection has ended. What was written whole may have run; what was not never did.
func (l *link) ConnectionClosed(err error) {
	t := l.attempt
	l.close()
	switch {
	case !l.up:
		l.host.core.log.Debug("connect", zap.String("host", l.host.ID), zap.Error(err))
		l.dialFailed()
	case t != nil && t.written:
		l.host.core.result(t, routing.OutcomeConnectionLost, Response{})
	case t != nil:
		l.host.core.result(t, routing.OutcomeNoConnection, Response{})
	default:
		l.host.provide()
	}
}

// dialFailed ends the attempt that has waited longest, where no other connection is on its way for it.
func (l *link) dialFailed() {
	h := l.host
	h.refuses = true
	if len(h.dialing)+len(h.idle) < len(h.waiting) {
		t := h.waiting[0]
		h.waiting = h.waiting[1:]
		h.core.result(t, routing.OutcomeNoConnection, Response{})
	}
}
