package faultsim

import (
	"net"
	"strconv"
	"strings"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

// maxMessageBody is the size limit of a message body that the stub hosts and the load generator accept, in bytes.
const maxMessageBody = 1<<20 - 4

// hostSession is one connection to a stub host. It holds only the unnamed prepared statement and its parameter values.
type hostSession struct {
	host      *stubHost
	conn      net.Conn
	out       []byte // encoded answers that have not been sent
	statement stubserver.Statement
	failed    bool // a statement failed: messages up to the next Sync are skipped
}

// run answers messages until the client ends the session or the connection breaks.
func (s *hostSession) run() {
	for s.sendReady() {
		for {
			messageType, body, err := stubserver.ReadMessage(s.conn, maxMessageBody)
			if err != nil || messageType == pg.MsgTerminate {
				return
			}
			if s.handle(messageType, body) {
				break
			}
		}
	}
}

// position returns the time up to which the host has applied the log. Positions are reported in whole milliseconds, and
// the position that is reported with a commit must not be earlier than the commit. The primary's position is therefore one
// millisecond ahead, which rounds it up.
func (s *hostSession) position() time.Time {
	if s.host.isPrimary() {
		return time.Now().Add(time.Millisecond)
	}
	return time.Now().Add(-s.host.all.lag)
}

// sendReady completes an answer with the host's role, position and ReadyForQuery, and sends it. It returns false if the
// connection is broken.
func (s *hostSession) sendReady() bool {
	standby := "on"
	if s.host.isPrimary() {
		standby = "off"
	}
	position := strconv.FormatInt(s.position().UnixMilli(), 10)
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "in_hot_standby", standby)
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "replay_position", position)
	s.out = pg.AppendReadyForQuery(s.out)
	_, err := s.conn.Write(s.out)
	s.out, s.failed = nil, false
	return err == nil
}

// handle processes one message and reports whether the answer is complete and has to be sent.
func (s *hostSession) handle(messageType byte, body []byte) bool {
	switch {
	case messageType == pg.MsgSync:
		return true
	case s.failed:
	case messageType == pg.MsgQuery:
		s.statement.ReadQuery(body)
		if s.statement.Text == "" {
			s.out = pg.AppendMessage(s.out, pg.MsgEmptyQueryResponse)
		} else {
			s.execute(true)
		}
		return true
	case messageType == pg.MsgParse:
		s.statement.ReadParse(body)
		s.out = pg.AppendMessage(s.out, pg.MsgParseComplete)
	case messageType == pg.MsgBind:
		s.statement.ReadBind(body)
		s.out = pg.AppendMessage(s.out, pg.MsgBindComplete)
	case messageType == pg.MsgExecute:
		s.execute(false)
	}
	return false
}

// fail answers with an error and makes the session skip the messages up to the next Sync.
func (s *hostSession) fail(sqlstate string) {
	s.out = pg.ErrorResponse{SQLState: sqlstate, Message: "stub"}.AppendTo(s.out)
	s.failed = true
}

// execute runs the current statement: INSERT ... VALUES ('session', 'key', 'value') or SELECT ... WHERE greenhouse =
// 'session'. It answers any other statement with a syntax error. simple means the simple query protocol, in which the
// answer to a SELECT describes the column.
func (s *hostSession) execute(simple bool) {
	host, all, now := s.host, s.host.all, time.Now()
	text, values := s.statement.Text, s.statement.Values
	all.mutex.Lock()
	defer all.mutex.Unlock()
	host.countStatement(now)
	switch {
	case strings.HasPrefix(text, "INSERT") && len(values) == 3:
		if !host.isPrimary() {
			s.fail(stubserver.StateReadOnly)
			return
		}
		value, _ := strconv.Atoi(values[2])
		all.write(values[0], values[1], value, now)
		s.out = pg.AppendStrings(s.out, pg.MsgCommandComplete, "INSERT 0 1")
	case strings.HasPrefix(text, "SELECT") && len(values) == 1:
		if simple {
			s.out = stubserver.AppendColumnDescription(s.out)
		}
		s.out = stubserver.AppendRow(s.out, strconv.Itoa(host.read(values[0], now)))
		s.out = pg.AppendStrings(s.out, pg.MsgCommandComplete, "SELECT 1")
	default:
		s.fail(pg.StateSyntax)
	}
}
