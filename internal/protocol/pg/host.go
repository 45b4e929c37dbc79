package pg

import (
	"encoding/binary"
	"errors"
	"io"
	"math"
	"strconv"
	"strings"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// MaxMessage bounds a message in either direction: a value of 64 KiB as hexadecimal text, with room to spare.
const MaxMessage = 160 << 10

// maxAnswer bounds a host's whole answer.
const maxAnswer = 256 << 10

// A row above streamAbove goes on to the client as it comes, where the front takes it so; one above maxStreamed is spoilt.
const (
	streamAbove = 64<<10 + 64 // a value of 64 KiB with what stands before it
	maxStreamed = 4<<20 + 64
	streamAhead = 32 << 10 // of it is read from the host before the client has taken it
	rowHead     = headerSize + 2
)

// maxWords bounds a host's messages but for rows.
const maxWords = 32 << 10

// A Command writes itself to a host. It must end in exactly one ReadyForQuery from there.
type Command interface {
	// AppendTo appends the messages; leftMs is how long the gateway will wait for the answer.
	AppendTo(buf []byte, leftMs float64) []byte
	// Forwards tells whether the client gets a message of the host's answer, by its type.
	Forwards(kind byte) bool
	// IsComplete tells whether all that is relayed makes one whole answer to this command.
	IsComplete(answer []byte) bool
}

// HostDialer dials database hosts.
type HostDialer struct {
	Loop           *eventloop.Loop
	User, Database string
	// The names of the parameters that tell role and position, and the values of the role.
	RoleParameter, PrimaryValue, ReplicaValue, PositionParameter string
	// The role is told at the greeting and whenever it changes, as PostgreSQL does with in_hot_standby; else
	// it comes with each answer.
	RoleOnChange bool
}

// NewHostDialer returns a dialer with the parameter names of the platform.
func NewHostDialer(l *eventloop.Loop) *HostDialer {
	return &HostDialer{
		Loop: l, User: "svc", Database: "main",
		RoleParameter: "node_role", PrimaryValue: "leader", ReplicaValue: "follower", PositionParameter: "replay_position",
	}
}

// Dial starts a connection to a host.
func (h *HostDialer) Dial(addr string, o proxy.UpstreamHandler) (proxy.UpstreamConn, error) {
	c := &hostConn{hosts: h, owner: o}
	var err error
	if c.conn, err = h.Loop.Dial(addr, maxAnswer, c); err != nil {
		return nil, err
	}
	buf, m := BeginMessage(nil, 0)
	buf = append(buf, 0, 3, 0, 0)
	for _, s := range []string{"user", h.User, "database", h.Database, ""} {
		buf = append(append(buf, s...), 0)
	}
	c.conn.Write(EndMessage(buf, m))
	return c, nil
}

// hostConn is one connection to a database host, with one command on it at a time.
type hostConn struct {
	hosts   *HostDialer
	owner   proxy.UpstreamHandler
	conn    *eventloop.Conn
	up      bool // the greeting is over
	busy    Command
	written bool
	answer  proxy.Response
	failed  string       // SQLSTATE of the answer's first error
	role    routing.Role // as last told, where that holds until it changes
	stream  bool         // a large row is, or was, passed on as it comes
	ahead   []byte       // what goes to the client before the rest of that row
	left    int          // of the row
	row     rowCheck     // what is passed on of it
	ended   bool         // the host sends no more; what it has sent is still passed on
}

// A StreamingCommand command can have a large row passed on before its answer is whole.
type StreamingCommand interface {
	// CanStream tells whether an answer that begins so, or goes on so after such a row, may go on with one of so many columns.
	CanStream(answer []byte, columns int) bool
	// IsStreamComplete tells whether what follows the last such row makes the answer whole.
	IsStreamComplete(answer []byte) bool
}

func (c *hostConn) Send(cmd any, leftMs float64) {
	c.busy, c.written, c.failed, c.answer, c.stream = cmd.(Command), false, "", proxy.Response{}, false
	c.conn.Write(c.busy.AppendTo(nil, leftMs))
	c.note()
}

// note tells the owner once the system has taken the last byte: from then on the command may run.
func (c *hostConn) note() {
	if c.busy != nil && !c.written && c.conn.Pending() == 0 && c.conn.IsOpen() {
		c.written = true
		c.owner.RequestWritten()
	}
}

func (c *hostConn) Close()     { c.conn.Close() }
func (c *hostConn) Connected() {}
func (c *hostConn) Flushed()   { c.note() }

func (c *hostConn) Ended(err error) {
	if err == io.EOF && c.stream && len(c.conn.In()) > 0 && !c.ended { // it waits for its client
		c.ended = true
		return
	}
	c.conn.Close()
	if err == nil || err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	c.owner.ConnectionClosed(err)
}

func (c *hostConn) Data() {
	c.messages()
	if c.ended && c.conn.IsOpen() && len(c.conn.In()) == 0 {
		c.Ended(io.ErrUnexpectedEOF)
	}
}

func (c *hostConn) messages() {
	for c.conn.IsOpen() && (len(c.conn.In()) > 0 || len(c.ahead) > 0) {
		if len(c.ahead)+c.left > 0 {
			if !c.pass() {
				return
			}
			continue
		}
		switch large, err := c.begin(); {
		case err != nil:
			c.Ended(err)
			return
		case large && c.left == 0:
			return // its head is not all there
		case large:
			continue
		}
		most := longest(c.conn.In()[0])
		if most == 0 {
			c.Ended(errSpoilt)
			return
		}
		kind, body, size, err := SplitMessage(c.conn.In(), most)
		if err != nil {
			c.Ended(err)
			return
		}
		if size == 0 {
			return
		}
		raw := c.conn.In()[:size]
		done, err := c.take(kind, body, raw)
		if err != nil {
			c.Ended(err)
			return
		}
		c.conn.Consume(size)
		if done && !c.finish() {
			c.Ended(errSpoilt)
			return
		}
	}
}

// begin tells whether a large row begins here that goes on to the client as it comes. Guards memory, and the time to the
// first byte, against values that would have to be whole first.
func (c *hostConn) begin() (bool, error) {
	in := c.conn.In()
	if in[0] != MsgDataRow || len(in) < headerSize || c.busy == nil || c.failed != "" {
		return false, nil
	}
	n := int(binary.BigEndian.Uint32(in[1:]))
	s, ok := c.busy.(StreamingCommand)
	if n <= streamAbove || n > maxStreamed || !ok {
		return false, nil
	}
	if len(in) < rowHead {
		return true, nil
	}
	columns := NewFieldReader(in[headerSize:rowHead]).Int16()
	switch {
	case !s.CanStream(c.answer.Body, columns):
		return false, errSpoilt
	case !c.stream && !c.owner.BeginStream(c.Data):
		return false, nil
	}
	c.stream, c.row, c.left = true, rowCheck{columns: columns, skip: rowHead}, n+1
	c.ahead, c.answer.Body = c.answer.Body, nil
	c.conn.SetLimit(streamAhead)
	return true, nil
}

// rowCheck follows a row that is passed on in parts: its values have to fill it exactly.
type rowCheck struct {
	columns int // whose length has not come
	skip    int // bytes before the next length
	size    [4]byte
	got     int // bytes of a length that is not all there
}

// take takes in the next part.
func (r *rowCheck) take(p []byte) {
	for len(p) > 0 {
		n := min(r.skip, len(p))
		r.skip -= n
		p = p[n:]
		if r.skip > 0 || len(p) == 0 {
			return
		}
		r.size[r.got] = p[0]
		p = p[1:]
		if r.got++; r.got < len(r.size) {
			continue
		}
		r.got = 0
		r.columns--
		switch size := int32(binary.BigEndian.Uint32(r.size[:])); {
		case size >= 0:
			r.skip = int(size)
		case size < -1:
			r.columns = -1 // never whole
		}
	}
}

// whole tells whether the values end where the row does.
func (r *rowCheck) whole() bool { return r.columns == 0 && r.skip == 0 && r.got == 0 }

// pass passes on what its client takes; false where there is no more, or the client takes no more now.
func (c *hostConn) pass() bool {
	if len(c.ahead) > 0 {
		c.ahead = c.ahead[c.owner.StreamPart(c.ahead):]
		return len(c.ahead) == 0
	}
	part := c.conn.In()
	part = part[:min(len(part), c.left)]
	n := c.owner.StreamPart(part)
	if !c.conn.IsOpen() { // the client has gone
		return false
	}
	c.row.take(part[:n])
	c.left -= n
	if c.left == 0 {
		c.conn.SetLimit(maxAnswer)
	}
	c.conn.Consume(n)
	if c.left == 0 && !c.row.whole() {
		c.Ended(errSpoilt)
		return false
	}
	return n == len(part)
}

// errSpoilt ends a connection on which something else came than the protocol has there. The statement in hand may
// have run; nothing of its answer is passed on, and neither role nor position is believed.
var errSpoilt = errors.New("the host's answer is spoilt")

var errUnasked = errors.New("the host sent what nobody asked for")

// take takes in one message; true after ReadyForQuery.
func (c *hostConn) take(kind byte, body, raw []byte) (bool, error) {
	if !wellFormed(kind, body) {
		return false, errSpoilt
	}
	switch kind {
	case MsgReady:
		if c.up && c.busy == nil {
			return false, errUnasked
		}
		return true, nil
	case MsgParameterStatus:
		f := NewFieldReader(body)
		name, value := f.Text(), f.Text()
		switch name {
		case c.hosts.RoleParameter:
			role := map[string]routing.Role{
				c.hosts.PrimaryValue: routing.RolePrimary, c.hosts.ReplicaValue: routing.RoleReplica}[value]
			if role != routing.RoleUnknown { // what can't be read tells nothing
				c.answer.Role = role
			}
			if c.hosts.RoleOnChange {
				c.role = role
			}
		case c.hosts.PositionParameter:
			if v, err := strconv.ParseFloat(value, 64); err == nil {
				c.answer.PositionMs = v
			}
		}
		return false, nil
	case MsgNotice, MsgNotification:
		return false, nil
	case MsgError:
		s := stateOf(body)
		if c.busy == nil { // the greeting, or a farewell
			return false, ErrorResponse{State: s, Text: "the host takes no connection"}
		}
		if c.failed == "" {
			c.failed = s
			c.answer.Body = append(c.answer.Body, raw...)
		}
		return false, nil
	}
	switch {
	case !c.up:
		if kind == MsgAuthentication && NewFieldReader(body).Int32() != 0 {
			return false, errors.New("the host wants a password")
		}
	case c.busy == nil:
		return false, errUnasked
	case c.busy.Forwards(kind):
		if len(c.answer.Body)+len(raw) > maxAnswer {
			return false, ErrTooLarge
		}
		c.answer.Body = append(c.answer.Body, raw...)
	case kind != MsgParseComplete && kind != MsgBindComplete:
		return false, errSpoilt
	}
	return false, nil
}

// finish ends the greeting or hands on the answer; false where that is not whole. Bytes behind it belong to nobody:
// the connection takes no more commands, or the next one would be given them as its answer.
func (c *hostConn) finish() bool {
	more := len(c.conn.In()) > 0
	if !c.up {
		c.up = !more
		c.answer = proxy.Response{}
		if c.up {
			c.owner.Established()
		}
		return c.up
	}
	a := c.answer
	if c.stream {
		if c.failed != "" || !c.busy.(StreamingCommand).IsStreamComplete(a.Body) {
			return false
		}
	} else if c.failed == "" && !c.busy.IsComplete(a.Body) {
		return false
	}
	a.ConnectionEnds = more || c.ended
	a.Outcome = outcomeOf(c.failed)
	a.StatementError = final(c.failed)
	if a.Role == routing.RoleUnknown {
		a.Role = c.role
	}
	c.busy, c.answer = nil, proxy.Response{}
	c.owner.ResponseReceived(a)
	return true
}

// outcomeOf tells what an answer's SQLSTATE says of the attempt.
func outcomeOf(sqlstate string) routing.Outcome {
	switch sqlstate {
	case "":
		return routing.OutcomeOK
	case stateReadOnly, stateTooOld:
		return routing.OutcomeMisdirected
	case StateTooManyConnections, StateCannotConnectNow:
		return routing.OutcomeRejected
	}
	return routing.OutcomeError
}

// final tells whether an error is the statement's own: any host would give it, and the client is to see it.
// Classes 08, 25, 40, 53, 54, 57, 58, 72 and XX tell of the host or of the moment instead.
func final(sqlstate string) bool {
	if len(sqlstate) != 5 {
		return false
	}
	switch sqlstate[:2] {
	case "0A", "22", "23", "26", "42", "44", "P0":
		return true
	}
	return false
}

// LoadReportQuery asks a host for its report.
type LoadReportQuery struct{}

// AppendTo appends the query.
func (LoadReportQuery) AppendTo(buf []byte, _ float64) []byte {
	return AppendStrings(buf, MsgQuery, "SHOW server_load")
}

// Forwards keeps the answer for ReadReport.
func (LoadReportQuery) Forwards(kind byte) bool {
	return kind == MsgRowDescription || kind == MsgDataRow || kind == MsgComplete
}

// IsComplete asks for one row.
func (LoadReportQuery) IsComplete(answer []byte) bool { return MessageTypes(answer) == "TDC" }

// EmptyQuery probes a host that makes no reports: its answer to the empty query tells that it lives, and its role
// is what it told at the greeting or since.
type EmptyQuery struct{}

// AppendTo appends the empty query.
func (EmptyQuery) AppendTo(buf []byte, _ float64) []byte { return AppendStrings(buf, MsgQuery, "") }

// Forwards keeps the answer.
func (EmptyQuery) Forwards(kind byte) bool { return kind == MsgEmptyQuery }

// IsComplete asks for the one message there is.
func (EmptyQuery) IsComplete(answer []byte) bool { return MessageTypes(answer) == "I" }

// ParseLoadReport reads the row that answers a Probe: the position in seconds since 1970 becomes milliseconds.
func ParseLoadReport(answer []byte) (role routing.Role, position float64, ok bool) {
	if !(LoadReportQuery{}).IsComplete(answer) {
		return 0, 0, false
	}
	_, _, size, _ := SplitMessage(answer, maxAnswer)
	_, body, _, _ := SplitMessage(answer[size:], maxAnswer)
	f := NewFieldReader(body)
	if f.Int16() != 1 {
		return 0, 0, false
	}
	role = routing.RoleReplica
	for part := range strings.SplitSeq(string(f.Value()), ",") {
		name, text, _ := strings.Cut(part, "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			continue
		}
		switch strings.TrimSpace(name) {
		case "x0":
			position, ok = v*1000, true
		case "x1":
			if v == 1 {
				role = routing.RolePrimary
			}
		}
	}
	return role, position, ok && !f.Malformed
}
