package testkit

import (
	"encoding/binary"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

// StubHost is one host of a Cluster. A value of a statement may contain these directives, which determine how the host
// handles the statement:
//
//	fail           answers with an error of the statement itself (22012)
//	error          answers with an internal error (XX000)
//	hang           does not answer
//	slow           answers late
//	reset          resets the connection
//	resetonce      resets the connection at the value's first run only
//	raw-HEX        sends these bytes instead of an answer and then hangs, at the value's first run only
//	twice          sends the answer twice
//	rowsN          answers with N rows; N is one digit
//	largeN         answers with one row of N KiB. With cut, its second half is not sent. With pause, its second half is sent
//	               later. With noise, bytes that are not a message follow it.
type StubHost struct {
	Name         string
	cluster      *Cluster
	listener     *stubserver.Listener
	rejecting    bool          // every statement is answered with SQLSTATE 53300
	greetingHeld chan struct{} // if not nil, new connections wait until it is closed
	lag          time.Duration // age of the log position that the host reports
	phase        string        // phase in the endpoint list
}

func newStubHost(cluster *Cluster, name string) *StubHost {
	host := &StubHost{Name: name, cluster: cluster, phase: phaseActive}
	host.listener = stubserver.NewListener(host.serve)
	return host
}

// Addr returns the address that the host listens on.
func (h *StubHost) Addr() string { return h.listener.Address() }

// serve answers the messages of one connection until it ends.
func (h *StubHost) serve(conn net.Conn) {
	out, err := stubserver.AcceptStartup(conn)
	if err != nil {
		return
	}
	h.cluster.mutex.Lock()
	greetingHeld := h.greetingHeld
	h.cluster.mutex.Unlock()
	if greetingHeld != nil {
		<-greetingHeld
	}
	session := &hostSession{host: h, conn: conn, out: out}
	session.sendReady()
	for {
		messageType, body, err := stubserver.ReadMessage(conn, maxMessageBody)
		if err != nil || messageType == pg.MsgTerminate || !session.handle(messageType, body) {
			return
		}
	}
}

// parameterReference matches a parameter in a statement, with the type to which it is cast.
var parameterReference = regexp.MustCompile(`\$[0-9]+(?:::([a-z0-9]+))?`)

// typeOIDs has the types that a description can have. The OID of any other one is 0.
var typeOIDs = map[string]uint32{"int4": 23}

// maxMessageBody is the largest accepted message body in bytes. It is far above what any test sends.
const maxMessageBody = 64 << 20

// hostSession is one connection to a stub host. It has one statement and one portal, both unnamed.
type hostSession struct {
	host       *StubHost
	conn       net.Conn
	out        []byte // answers that are not sent yet
	statement  stubserver.Statement
	skipToSync bool // an error was sent; messages up to Sync are skipped
}

// directives returns the values of the statement in one text. The directives in it are described at StubHost.
func (s *hostSession) directives() string { return strings.Join(s.statement.Values, " ") }

// sendReady sends the pending answers, the host's role and log position, and ReadyForQuery.
func (s *hostSession) sendReady() {
	cluster := s.host.cluster
	cluster.mutex.Lock()
	standby, role, lag := "on", "follower", s.host.lag
	if cluster.primary == s.host.Name {
		standby, role = "off", "leader"
	}
	cluster.mutex.Unlock()
	position := strconv.FormatInt(time.Now().Add(-lag).UnixMilli(), 10)
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "in_hot_standby", standby)
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "node_role", role)
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "replay_position", position)
	s.out = pg.AppendReadyForQuery(s.out)
	if strings.Contains(s.directives(), "twice") {
		s.out = append(s.out, s.out...)
	}
	_, _ = s.conn.Write(s.out)
	s.out = nil
}

// fail answers with an error and has the messages up to Sync skipped. It returns true because the connection remains open.
func (s *hostSession) fail(sqlstate string) bool {
	s.out = pg.ErrorResponse{SQLState: sqlstate, Message: "stub"}.AppendTo(s.out)
	s.skipToSync = true
	return true
}

// handle handles one message. It returns false if the connection has to end.
func (s *hostSession) handle(messageType byte, body []byte) bool {
	switch {
	case messageType == pg.MsgSync:
		s.skipToSync = false
		s.sendReady()
	case s.skipToSync:
	case messageType == pg.MsgQuery:
		return s.query(body)
	case messageType == pg.MsgParse:
		s.statement.ReadParse(body)
		if strings.Contains(s.statement.Text, "syntax") {
			return s.fail(pg.StateSyntax)
		}
		s.out = pg.AppendMessage(s.out, pg.MsgParseComplete)
	case messageType == pg.MsgBind:
		s.statement.ReadBind(body)
		s.out = pg.AppendMessage(s.out, pg.MsgBindComplete)
	case messageType == pg.MsgDescribe:
		s.describe()
		if strings.Contains(s.statement.Text, "undescribed") {
			return s.fail(pg.StateNotSupported)
		}
	case messageType == pg.MsgExecute:
		return s.execute()
	default:
		return s.fail(pg.StateProtocol)
	}
	return true
}

// query answers a simple Query. It returns false if the connection has to end.
func (s *hostSession) query(body []byte) bool {
	s.statement.ReadQuery(body)
	text := s.statement.Text
	if strings.HasPrefix(text, "SELECT") || strings.Contains(text, "RETURNING") {
		s.out = stubserver.AppendColumnDescription(s.out)
	}
	if text == "" {
		s.out = pg.AppendMessage(s.out, pg.MsgEmptyQueryResponse)
	} else if !s.execute() {
		return false
	}
	s.skipToSync = false
	s.sendReady()
	return true
}

// describe answers a Describe of the statement, and records a run of the value "described".
func (s *hostSession) describe() {
	cluster := s.host.cluster
	cluster.mutex.Lock()
	cluster.runs["described"] = append(cluster.runs["described"], s.host.Name)
	cluster.mutex.Unlock()
	parameters := parameterReference.FindAllStringSubmatch(s.statement.Text, -1)
	description := []byte{0, byte(len(parameters))}
	for _, parameter := range parameters {
		description = binary.BigEndian.AppendUint32(description, typeOIDs[parameter[1]])
	}
	s.out = pg.AppendMessage(s.out, pg.MsgParameterDescription, description...)
	if strings.HasPrefix(s.statement.Text, "SELECT") {
		s.out = stubserver.AppendColumnDescription(s.out)
	} else {
		s.out = pg.AppendMessage(s.out, pg.MsgNoData)
	}
}
