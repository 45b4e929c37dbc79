package pg

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"

	"merlinjunction/internal/eventloop"
)

const (
	patienceMs = 2400.0 // with a client that owes a startup message or the rest of a message, or reads nothing
	sweepMs    = 250.0  // between looks for those
	restMs     = 100.0  // without a request, while others wait for the place
	// Above this percentage of Most, each connection that comes takes the place of one without a request.
	crowdedShare = 40
	firstMs      = 250.0     // for the first message, while others wait for the place
	lingerMs     = 500.0     // for a client to read the last words
	lingerMost   = 32        // clients at a time that are waited for so
	pendingMax   = 512 << 10 // unread answers of one client; while there are more, it gets no further
	streamRoom   = 128 << 10 // of a large answer, written ahead of what the client takes
	streamSystem = 64 << 10  // and so much the system holds of it
	streamLeast  = 8 << 10   // while the buffers of all connections together are half full
	serverName   = "16.0 (merlinjunction)"
	knockMs      = 100.0 // between looks whether a client that can't be read from is still there
	inputMost    = MaxMessage + headerSize
)

// A Canceler is a session whose statement in hand can be called off by a CancelRequest.
type Canceler interface{ Cancel() }

// A Flusher is a session that hears when its client has taken all that was written.
type Flusher interface{ Flushed() }

// A Session is the part of a front that belongs to one client.
type Session interface {
	// HandleMessage takes one message. While it is being worked on Busy must be true.
	HandleMessage(kind byte, body []byte)
	// Busy tells that something is in hand, whose answer is owed.
	Busy() bool
	// Accepts tells whether a message of a type can be taken now; else it waits until Resume.
	Accepts(kind byte) bool
	// InPipeline tells that the client is in the middle of a pipeline: its connection is not idle yet.
	InPipeline() bool
	// ClientGone tells that the client has left; nothing can be sent any more.
	ClientGone()
}

// ClientPool are the clients of one listener.
type ClientPool struct {
	Loop       *eventloop.Loop
	MaxClients int
	NewSession func(*Client) Session
	// IdleTimeoutMs is how long a connection may have nothing in hand; 0: until its place is needed.
	IdleTimeoutMs float64

	all      map[*Client]struct{}
	ending   int // connections among them that hear their last words
	draining bool
}

// Client is one connection from a client: its greeting, its messages one by one, its end.
type Client struct {
	User, Database string // of the startup message
	key            uint64 // with which another connection may call off what this one has in hand

	set      *ClientPool
	conn     *eventloop.Conn
	session  Session          // nil until it has said who it is
	timer    *eventloop.Timer // while it is ending
	ending   bool             // the last words are out; what still comes in is passed over
	half     bool             // the client sends no more, but may still read
	narrow   bool             // the system holds little for it
	asked    bool             // a message of it was taken
	inside   bool             // its messages are being worked on, further up
	lastUsed float64          // a message of it was whole then, or some of what it was sent was taken
	unread   int              // what it had not taken then
	owes     float64          // since when it owes its first message, or the rest of one; 0: it does not
	knocking *eventloop.Timer // until the next look whether it is still there
	partway  bool             // what it was sent last is a part of a message, whose rest is to follow
}

// Accept takes over a descriptor of the listener.
func (s *ClientPool) Accept(fd int) {
	if s.all == nil {
		s.all = map[*Client]struct{}{}
		s.sweep()
	}
	conn, err := s.Loop.Adopt(fd, inputMost)
	if err != nil {
		return // the client sees a closed connection
	}
	c := &Client{set: s, conn: conn, lastUsed: s.Loop.Clock.Now(), owes: s.Loop.Clock.Now()}
	conn.SetHandler(c)
	here := len(s.all) - s.ending
	room := here < s.MaxClients*crowdedShare/100 || s.closeIdle(restMs) || here < s.MaxClients || s.CloseIdle()
	s.all[c] = struct{}{}
	if !room {
		c.Fatal(StateTooManyConnections, "too many connections")
	}
}

// Count is how many connections there are.
func (s *ClientPool) Count() int { return len(s.all) }

// CloseIdle makes room: by the connection that has owed a message, or the rest of one, longest, else by the one that has
// been idle longest. It tells whether there was one. Guards usual clients against others that connect by the hundreds
// and say nothing, stop midway, or ask once and stay. One that has only just come is not closed: its request is on the
// way.
func (s *ClientPool) CloseIdle() bool { return s.closeIdle(0) }

// closeIdle spares connections that have been idle for less than some time.
func (s *ClientPool) closeIdle(ms float64) bool {
	var oldest *Client
	now := s.Loop.Clock.Now()
	for c := range s.all {
		late := c.owes > 0 && now >= c.owes+firstMs
		if c.ending || !late && !(c.idle() && now >= c.lastUsed+ms) {
			continue
		}
		switch {
		case oldest == nil, late && oldest.owes == 0, late && c.owes < oldest.owes,
			!late && oldest.owes == 0 && c.lastUsed < oldest.lastUsed:
			oldest = c
		}
	}
	if oldest == nil || oldest.woke() {
		return false
	}
	oldest.leave()
	return true
}

// woke looks once more before a connection is ended for want of a message. Guards a request that has come since, or begun
// to: once some of it is read it counts as taken, and would be lost.
func (c *Client) woke() bool {
	before, greeted := len(c.conn.In()), c.session != nil
	c.conn.ReadNow()
	return len(c.conn.In()) > before || c.session != nil && (c.session.Busy() || !greeted)
}

// sweep ends connections that hold a place for nothing: clients that say nothing, stop in the middle of a message or
// don't read what they are sent, and those that have asked what they wanted and stay.
func (s *ClientPool) sweep() {
	now := s.Loop.Clock.Now()
	for c := range s.all {
		if c.ending || c.session != nil && c.session.Busy() {
			continue
		}
		// By what the client has taken: the system may hold megabytes for it, and take no more meanwhile.
		untaken := 0
		if c.conn.Pending() > 0 {
			untaken = c.conn.Unacknowledged()
		}
		if untaken < c.unread {
			c.lastUsed = now
		}
		c.unread = untaken
		quiet := now - c.lastUsed
		switch {
		case c.idle():
			if s.IdleTimeoutMs > 0 && quiet >= s.IdleTimeoutMs {
				if !c.woke() {
					c.leave()
				}
			}
		case c.unread > 0:
			if quiet >= patienceMs {
				c.leave()
			}
		case c.owes > 0 && now >= c.owes+patienceMs && !c.woke() && c.conn.IsOpen():
			c.Fatal(StateProtocol, "no whole message came in time")
		}
	}
	s.Loop.After(sweepMs, s.sweep)
}

func (s *ClientPool) cancel(key uint64) {
	for c := range s.all {
		if c.session != nil && c.key == key && c.session.Busy() {
			if x, ok := c.session.(Canceler); ok {
				x.Cancel()
			}
			return
		}
	}
}

// Drain closes what is idle, and everything else as soon as it is.
func (s *ClientPool) Drain() {
	s.draining = true
	for c := range s.all {
		c.work()
	}
}

// StopDraining ends a drain: connections are kept again.
func (s *ClientPool) StopDraining() { s.draining = false }

func (c *Client) idle() bool {
	return c.session != nil && c.owes == 0 && !c.session.Busy() && !c.session.InPipeline() && !c.ending && len(c.conn.In()) == 0 && c.conn.Pending() == 0
}

// Draining tells whether the client's connection is to end soon.
func (c *Client) Draining() bool { return c.set.draining }

// Send writes to the client.
func (c *Client) Send(p []byte) {
	if !c.ending {
		c.partway = false
		c.conn.Write(p)
	}
}

// Fatal says why the connection ends, and ends it.
func (c *Client) Fatal(sqlstate, text string) {
	c.FatalError(ErrorResponse{State: sqlstate, Text: text})
}

// FatalError is Fatal with an error response, which becomes fatal.
func (c *Client) FatalError(response ErrorResponse) {
	response.Fatal = true
	c.Send(response.Append(nil))
	c.finish()
}

// FatalUnknownMessage closes the connection because of a message type that the protocol doesn't have.
func (c *Client) FatalUnknownMessage(kind byte) {
	c.Fatal(StateProtocol, fmt.Sprintf("unknown message type %q", kind))
}

// finish ends the connection once the client has had the chance to read the last words: to close at once with
// input unread would reset it and could take them away.
func (c *Client) finish() {
	if c.ending {
		return
	}
	c.ending = true
	if c.set.ending++; c.set.ending > lingerMost { // many at a time: their descriptors are needed
		c.leave()
		return
	}
	c.timer = c.set.Loop.After(lingerMs, c.leave)
	c.Flushed()
}

// leave forgets the connection.
func (c *Client) leave() {
	if _, ok := c.set.all[c]; !ok {
		return
	}
	delete(c.set.all, c)
	if c.ending {
		c.set.ending--
	}
	c.timer.Stop()
	c.knocking.Stop()
	c.conn.Close()
	if c.session != nil {
		c.session.ClientGone()
	}
}

// Connected does nothing: the connection was accepted.
func (c *Client) Connected() {}

// Flushed goes on where unread answers held the client up.
func (c *Client) Flushed() {
	switch {
	case c.conn.Pending() > 0:
	case c.ending && c.half:
		c.leave()
	case c.ending:
		c.conn.CloseWrite()
	default:
		if f, ok := c.session.(Flusher); ok {
			f.Flushed()
		}
		c.work()
	}
}

// SendPart writes as much of a large answer as is wanted ahead of what the client takes, and tells how much that is. Where
// that is not all, Flushed follows.
func (c *Client) SendPart(p []byte) int {
	if !c.narrow {
		c.narrow = true
		c.conn.SetSendBuffer(streamSystem)
	}
	room := streamRoom
	if c.set.Loop.BuffersHalfFull() { // many at a time: what all of them hold together is bounded
		room = streamLeast
	}
	taken := 0
	for taken < len(p) { // what the system takes at once leaves room for more, and no Flushed comes of it
		n := min(len(p)-taken, room-c.conn.Pending())
		if n <= 0 {
			break
		}
		c.Send(p[taken : taken+n])
		c.partway = true
		taken += n
	}
	return taken
}

// Abort ends the connection in the middle of an answer that will never be whole.
func (c *Client) Abort() { c.leave() }

// Ended tells a client that has left from one that only sends no more: the latter still gets its answers.
func (c *Client) Ended(err error) {
	c.half = true
	if err != io.EOF || c.ending {
		c.leave()
		return
	}
	c.work()
	c.watchOver()
}

// watchOver looks from time to time whether a client is still there that has something in hand and can't be read from:
// it has ended its sending, or its input is full. Closing a connection looks just like ending its sending, and nothing is
// heard of either behind unread input. Guards hosts against work that nobody waits for.
func (c *Client) watchOver() {
	if c.knocking == nil && c.unheard() {
		c.knock()
	}
}

func (c *Client) unheard() bool {
	return c.conn.IsOpen() && !c.ending && c.session != nil && c.session.Busy() && (c.half || len(c.conn.In()) >= inputMost)
}

// knock sends what tells nothing new: by the protocol a parameter may come at any time, so whoever still reads passes it
// over, while the system of one that has closed its connection answers with a reset.
func (c *Client) knock() {
	c.knocking = nil
	if !c.unheard() {
		return
	}
	if !c.partway && c.conn.Pending() == 0 {
		c.Send(AppendStrings(nil, MsgParameterStatus, "client_encoding", "UTF8"))
	}
	c.knocking = c.set.Loop.After(knockMs, c.knock)
}

// Data takes in what has come.
func (c *Client) Data() {
	if c.ending {
		c.conn.Consume(len(c.conn.In()))
		return
	}
	c.work()
	c.watchOver()
}

// Resume goes on with the next message after an answer.
func (c *Client) Resume() {
	c.lastUsed = c.set.Loop.Clock.Now()
	c.work()
}

// work hands message after message to the session, as long as it takes them.
func (c *Client) work() {
	if c.inside || c.ending {
		return
	}
	c.inside = true
	defer func() { c.inside = false }()
	for {
		for c.step() {
		}
		if len(c.conn.In()) > 0 && c.owes == 0 {
			c.owes = c.set.Loop.Clock.Now()
		}
		if c.ending || !c.conn.IsOpen() || c.session != nil && c.session.Busy() || c.conn.Pending() > 0 {
			return
		}
		if c.half { // a message that is not whole will never be
			c.finish()
			return
		}
		if !c.set.draining || c.session == nil || c.session.InPipeline() {
			return
		}
		if now := c.set.Loop.Clock.Now(); !c.asked && now < c.lastUsed+firstMs { // its first request is on the way
			c.set.Loop.After(firstMs, c.work)
			return
		}
		before := len(c.conn.In())
		c.conn.ReadNow() // a request that came just now was accepted, and is served
		if len(c.conn.In()) == before {
			if before == 0 { // at once: a request that crosses this is not read, so the client may send it again
				c.leave()
			}
			return
		}
	}
}

// step works on one message; false when there is none, or the session is busy.
func (c *Client) step() bool {
	if c.ending || !c.conn.IsOpen() || c.conn.Pending() > pendingMax {
		return false
	}
	if c.session == nil {
		return c.startup()
	}
	in := c.conn.In()
	if len(in) == 0 || !c.session.Accepts(in[0]) {
		return false
	}
	kind, body, size, err := SplitMessage(in, MaxMessage)
	switch {
	case err != nil && c.session.Busy(): // what is in hand is answered first
		return false
	case err == ErrTooLarge:
		c.Fatal(StateTooLarge, "the message is too large")
		return false
	case err != nil:
		c.Fatal(StateProtocol, err.Error())
		return false
	case size == 0:
		return false
	case kind == MsgEnd:
		c.leave()
		return false
	}
	c.lastUsed, c.owes, c.asked = c.set.Loop.Clock.Now(), 0, true
	c.session.HandleMessage(kind, body)
	if c.conn.IsOpen() {
		c.conn.Consume(size)
	}
	return true
}

// startup takes in the startup message, or one of the requests that may stand in its place.
func (c *Client) startup() bool {
	in := c.conn.In()
	if len(in) < startupHeader {
		return false
	}
	n, code := binary.BigEndian.Uint32(in), binary.BigEndian.Uint32(in[4:])
	if n < startupHeader || n > maxStartup {
		c.Fatal(StateProtocol, "the startup message has an impossible length")
		return false
	}
	if len(in) < int(n) {
		return false
	}
	body := in[startupHeader:n]
	switch {
	case code == codeSSL || code == codeGSS:
		c.Send([]byte{'N'})
		c.conn.Consume(int(n))
		return true
	case code == codeCancel: // by the specification it has no answer, whether it did something or not
		if len(body) == 8 {
			c.set.cancel(binary.BigEndian.Uint64(body))
		}
		c.leave()
		return false
	case code>>16 != 3:
		c.Fatal(StateNotSupported, "only version 3 of the protocol is spoken here")
		return false
	}
	buf, err := c.greet(body, code)
	if err != nil {
		c.Fatal(StateProtocol, err.Error())
		return false
	}
	c.conn.Consume(int(n))
	c.session = c.set.NewSession(c) // which may end the connection: then no greeting goes out
	c.Send(buf)
	return !c.ending
}

// greet reads the parameters of a startup message and answers them.
func (c *Client) greet(body []byte, code uint32) ([]byte, error) {
	f := NewFieldReader(body)
	var unknown []string
	for {
		name := f.Text()
		if f.Malformed {
			return nil, ErrMalformed
		}
		if name == "" {
			break
		}
		value := f.Text()
		switch {
		case name == "user":
			c.User = value
		case name == "database":
			c.Database = value
		case strings.HasPrefix(name, "_pq_."):
			unknown = append(unknown, name)
		}
	}
	if !f.End() || c.User == "" {
		return nil, ErrMalformed
	}
	if c.Database == "" {
		c.Database = c.User
	}
	var buf []byte
	if code&0xffff > 0 || len(unknown) > 0 { // 3.0 is the newest minor version spoken here
		var m int
		buf, m = BeginMessage(buf, MsgNegotiate)
		buf = binary.BigEndian.AppendUint32(buf, 0)
		buf = binary.BigEndian.AppendUint32(buf, uint32(len(unknown)))
		for _, name := range unknown {
			buf = append(append(buf, name...), 0)
		}
		buf = EndMessage(buf, m)
	}
	buf = AppendMessage(buf, MsgAuthentication, 0, 0, 0, 0)
	for _, p := range [...][2]string{
		{"server_version", serverName}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"session_authorization", c.User}, {"is_superuser", "off"},
		{"in_hot_standby", "off"}, {"default_transaction_read_only", "off"}, // reads and writes are both taken here
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"},
	} {
		buf = AppendStrings(buf, MsgParameterStatus, p[0], p[1])
	}
	c.key = rand.Uint64()
	return AppendReadyForQuery(AppendMessage(buf, MsgBackendKeyData, binary.BigEndian.AppendUint64(nil, c.key)...)), nil
}
