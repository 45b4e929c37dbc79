package testkit

import (
	"net"
	"strconv"
	"strings"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

// StubHost is one host of a Cluster. Words in the values of a statement say what it does with it:
//
//	fail           an error in the statement itself
//	error          an internal error
//	hang           no answer
//	slow           a late answer
//	reset          a reset of the connection; resetonce: only the first time
//	raw-HEX        these bytes, only the first time
//	twice          the answer is sent twice
//	rowsN          N rows, of one digit
//	largeN         one row of N KiB; with cut its second half is not sent, with pause it is sent later, and with noise
//	               it is followed by bytes that are no message
type StubHost struct {
	Name         string
	cluster      *Cluster
	listener     *stubserver.Listener
	rejecting    bool          // every statement gets SQLSTATE 53300
	greetingHeld chan struct{} // not nil: new connections wait until it is closed
	phase        string        // in the endpoint list
}

func newStubHost(cluster *Cluster, name string) *StubHost {
	host := &StubHost{Name: name, cluster: cluster, phase: phaseActive}
	host.listener = stubserver.NewListener(host.serve)
	return host
}

// Addr is the address that the host listens on.
func (h *StubHost) Addr() string { return h.listener.Address() }

// serve answers one connection until it ends.
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
		kind, body, err := stubserver.ReadMessage(conn, maxMessageBody)
		if err != nil || kind == pg.MsgTerminate || !session.handle(kind, body) {
			return
		}
	}
}

// maxMessageBody is far above what any test sends, bytes.
const maxMessageBody = 64 << 20

// hostSession is one connection to a stub host. It has one statement and one portal, both unnamed.
type hostSession struct {
	host      *StubHost
	conn      net.Conn
	out       []byte
	statement stubserver.Statement
	failed    bool // messages up to Sync are skipped
}

// words returns the values of the statement, whose words say what the host has to do.
func (s *hostSession) words() string { return strings.Join(s.statement.Values, " ") }

// sendReady sends the pending answers and ReadyForQuery, with the host's role and log position.
func (s *hostSession) sendReady() {
	cluster := s.host.cluster
	cluster.mutex.Lock()
	standby, role := "on", "follower"
	if cluster.primary == s.host.Name {
		standby, role = "off", "leader"
	}
	cluster.mutex.Unlock()
	position := strconv.FormatInt(time.Now().UnixMilli(), 10)
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "in_hot_standby", standby)
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "node_role", role)
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "replay_position", position)
	s.out = pg.AppendReadyForQuery(s.out)
	if strings.Contains(s.words(), "twice") {
		s.out = append(s.out, s.out...)
	}
	_, _ = s.conn.Write(s.out)
	s.out = nil
}

// fail answers with an error and skips the messages up to Sync. It returns true, as the connection remains open.
func (s *hostSession) fail(sqlstate string) bool {
	s.out = pg.ErrorResponse{SQLState: sqlstate, Message: "stub"}.AppendTo(s.out)
	s.failed = true
	return true
}

// handle handles one message. It returns false if the connection has to end.
func (s *hostSession) handle(kind byte, body []byte) bool {
	switch {
	case kind == pg.MsgSync:
		s.failed = false
		s.sendReady()
	case s.failed:
	case kind == pg.MsgQuery:
		return s.query(body)
	case kind == pg.MsgParse:
		s.statement.ReadParse(body)
		if strings.Contains(s.statement.Text, "syntax") {
			return s.fail(pg.StateSyntax)
		}
		s.out = pg.AppendMessage(s.out, pg.MsgParseComplete)
	case kind == pg.MsgBind:
		s.statement.ReadBind(body)
		s.out = pg.AppendMessage(s.out, pg.MsgBindComplete)
	case kind == pg.MsgDescribe:
		s.describe()
	case kind == pg.MsgExecute:
		return s.execute()
	default:
		return s.fail(pg.StateProtocol)
	}
	return true
}

// query answers a simple Query.
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
	s.failed = false
	s.sendReady()
	return true
}

// describe answers a Describe of the statement, and records a run of the value "described".
func (s *hostSession) describe() {
	const typeOIDSize = 4
	cluster := s.host.cluster
	cluster.mutex.Lock()
	cluster.runs["described"] = append(cluster.runs["described"], s.host.Name)
	cluster.mutex.Unlock()
	parameters := byte(strings.Count(s.statement.Text, "$"))
	description := append([]byte{0, parameters}, make([]byte, typeOIDSize*int(parameters))...)
	s.out = pg.AppendMessage(s.out, pg.MsgParameterDescription, description...)
	if strings.HasPrefix(s.statement.Text, "SELECT") {
		s.out = stubserver.AppendColumnDescription(s.out)
	} else {
		s.out = pg.AppendMessage(s.out, pg.MsgNoData)
	}
}
