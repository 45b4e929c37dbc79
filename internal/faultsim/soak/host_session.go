package soak

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

const (
	stateInternalError = "XX000"
	maxMessageBody     = 1 << 20
	normalAnswerDelay  = time.Millisecond
	slowAnswerDelay    = 120 * time.Millisecond
	repeatDelay        = 300 * time.Microsecond
	maxRepeatDelay     = time.Millisecond
)

// message is one message that the gateway sent.
type message struct {
	messageType byte
	body        []byte
}

// hostSession is one connection of the gateway to a host. A separate goroutine reads the messages, so that the session
// notices the end of the connection while it executes a statement.
type hostSession struct {
	host       *host
	conn       net.Conn
	out        []byte // messages to send with the next ReadyForQuery
	statement  stubserver.Statement
	simple     bool      // the statement was sent in a Query message
	position   time.Time // commit time up to which the answer's data are complete; zero: the host's present position
	skipToSync bool      // an error was answered; messages up to Sync are skipped

	messages chan message  // messages that were read
	ended    chan struct{} // closed when the gateway has closed the connection
}

// serve reports that the host is ready and then answers messages until the connection ends.
func (s *hostSession) serve() {
	s.messages, s.ended = make(chan message, 16), make(chan struct{})
	stop := make(chan struct{})
	defer close(stop)
	go s.read(stop)
	if !s.sendReady() {
		return
	}
	idleLimit := time.Duration(s.host.run.deployment.HostIdleMs * float64(time.Millisecond))
	for {
		select {
		case received := <-s.messages:
			if !s.handle(received) {
				return
			}
		case <-s.ended:
			return
		case <-time.After(idleLimit): // the gateway must close it well before, so that no command is in flight then
			s.host.run.recorder.recordIdleClose(s.host)
			return
		}
	}
}

// read passes messages to serve until the connection ends or stop is closed.
func (s *hostSession) read(stop <-chan struct{}) {
	defer close(s.ended)
	for {
		messageType, body, err := stubserver.ReadMessage(s.conn, maxMessageBody)
		if err != nil || messageType == pg.MsgTerminate {
			return
		}
		select {
		case s.messages <- message{messageType, body}:
		case <-stop:
			return
		}
	}
}

// sendReady completes an answer with the host's role, its position and ReadyForQuery, and sends it. It returns false if the
// connection is broken.
func (s *hostSession) sendReady() bool {
	role := "follower"
	if s.host.isPrimary() {
		role = "leader"
	}
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "node_role", role)
	position := s.position
	if position.IsZero() {
		position = s.host.appliedUpTo()
	}
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus,
		"replay_position", strconv.FormatInt(reportedMs(position, role == "leader"), 10))
	s.out = pg.AppendReadyForQuery(s.out)
	_, err := s.conn.Write(s.out)
	s.out, s.skipToSync, s.position = nil, false, time.Time{}
	return err == nil
}

// reportedMs returns a position in whole milliseconds since 1970. The position of a primary is rounded up, because a commit
// must not be later than the position that is reported with it. The position of a replica is rounded down, because the
// replica has not applied later commits.
func reportedMs(position time.Time, roundUp bool) int64 {
	ms := position.UnixMilli()
	if roundUp {
		ms++
	}
	return ms
}

// handle answers one message. It returns false if the connection must end.
func (s *hostSession) handle(received message) bool {
	switch {
	case received.messageType == pg.MsgSync:
		return s.sendReady()
	case s.skipToSync:
	case received.messageType == pg.MsgQuery:
		s.statement.ReadQuery(received.body)
		s.simple = true
		return s.execute() && s.sendReady()
	case received.messageType == pg.MsgParse:
		s.statement.ReadParse(received.body)
		s.simple = false
		s.out = pg.AppendMessage(s.out, pg.MsgParseComplete)
	case received.messageType == pg.MsgBind:
		s.statement.ReadBind(received.body)
		s.out = pg.AppendMessage(s.out, pg.MsgBindComplete)
	case received.messageType == pg.MsgExecute:
		return s.execute()
	}
	return true
}

// fail answers with an error, after which messages up to Sync are skipped.
func (s *hostSession) fail(sqlstate string) {
	s.out = pg.ErrorResponse{SQLState: sqlstate, Message: "stub"}.AppendTo(s.out)
	s.skipToSync = true
}

var requestID = regexp.MustCompile(`r\d+-\d+`)

// execute executes the statement: an empty one, a health check or a request of a client. It returns false if the
// connection must end.
func (s *hostSession) execute() bool {
	text := s.statement.Text
	switch text {
	case "":
		s.out = pg.AppendMessage(s.out, pg.MsgEmptyQueryResponse)
		return true
	case "SHOW server_load":
		s.answerLoadReport()
		return true
	}
	id := requestID.FindString(text + " " + strings.Join(s.statement.Values, " "))
	received, started := s.host.run.recorder.recordArrival(id, s.host, text)
	if received == nil {
		s.fail(pg.StateProtocol)
		return true
	}
	defer s.host.run.recorder.recordEnd(started)
	return s.executeRequest(received, started)
}

// executeRequest executes a client's request under the host's present fault. It returns false if the connection must end.
func (s *hostSession) executeRequest(received *request, started *attempt) bool {
	fault, faultEnded := s.host.currentFault()
	switch {
	case fault == hostRejects:
		s.fail(pg.StateTooManyConnections)
		return true
	case received.class.isWrite() && !s.host.isPrimary():
		s.fail(stubserver.StateReadOnly)
		return true
	}
	delay := normalAnswerDelay
	switch fault {
	case hostSlow:
		delay = slowAnswerDelay
	case hostHangs:
		if !s.wait(faultEnded) {
			return false
		}
	}
	if received.class.isWrite() && !s.host.isPrimary() { // demoted while the request was waiting
		s.fail(stubserver.StateReadOnly)
		return true
	}
	value := s.apply(received, started) // the request has run, whether or not an answer follows
	if !s.wait(time.After(delay)) {
		return false
	}
	switch fault {
	case hostResetsConn:
		stubserver.Reset(s.conn)
		return false
	case hostReturnsErrors:
		s.fail(stateInternalError)
		return true
	}
	s.appendAnswer(received, value)
	switch fault {
	case hostCutsAnswer:
		_, _ = s.conn.Write(s.out)
		return false
	case hostClosesAfterAnswer:
		s.sendReady()
		return false
	case hostRepeatsAnswer:
		return s.sendAnswerTwice()
	}
	return true
}

// sendAnswerTwice sends the answer, and the same answer again after repeatDelay. It omits the copy if more than
// maxRepeatDelay has passed. The gateway cannot wait longer before it uses the connection again, and could not distinguish a
// later copy from the answer to the next command.
func (s *hostSession) sendAnswerTwice() bool {
	again := append([]byte(nil), s.out...)
	if !s.sendReady() {
		return false
	}
	sentAt := time.Now()
	time.Sleep(repeatDelay)
	if time.Since(sentAt) > maxRepeatDelay {
		return true
	}
	s.out = again
	return s.sendReady()
}

// wait waits until the channel signal is closed or delivers a value. It returns false if the connection ended first.
func (s *hostSession) wait(signal any) bool {
	switch signal := signal.(type) {
	case <-chan struct{}:
		select {
		case <-signal:
		case <-s.ended:
			return false
		}
	case <-chan time.Time:
		select {
		case <-signal:
		case <-s.ended:
			return false
		}
	}
	return true
}

// apply executes a request and returns the value that it wrote or read. It also sets the position of the answer.
func (s *hostSession) apply(received *request, started *attempt) int {
	run := s.host.run
	run.recorder.update(func() { started.executedAt = time.Now() })
	if received.class.isWrite() {
		run.store.write(received.session, received.value)
		s.position = time.Now()
		return received.value
	}
	s.position = s.host.appliedUpTo()
	return run.store.read(received.session, s.position)
}

// appendAnswer appends the result of a request. It has a row with the answerText, except for a write in the extended
// protocol.
func (s *hostSession) appendAnswer(received *request, value int) {
	withRow := s.simple || !received.class.isWrite()
	if s.simple {
		s.out = stubserver.AppendColumnDescription(s.out)
	}
	if withRow {
		s.out = stubserver.AppendRow(s.out, answerText(received, value))
	}
	tag := "SELECT 1"
	if received.class.isWrite() {
		tag = "INSERT 0 1"
	}
	s.out = pg.AppendStrings(s.out, pg.MsgCommandComplete, tag)
}

// answerText returns the value of the row that answers a request.
func answerText(answered *request, value int) string {
	return fmt.Sprintf("%s|%s|%d", answered.id, answered.session, value)
}

// answerLoadReport answers a health check with the host's position and role.
func (s *hostSession) answerLoadReport() {
	primary := 0
	if s.host.isPrimary() {
		primary = 1
	}
	positionMs := reportedMs(s.host.appliedUpTo(), primary == 1)
	report := fmt.Sprintf("x0=%d.%03d,x1=%d", positionMs/1000, positionMs%1000, primary)
	s.out = stubserver.AppendColumnDescription(s.out)
	s.out = stubserver.AppendRow(s.out, report)
	s.out = pg.AppendStrings(s.out, pg.MsgCommandComplete, "SHOW")
}
