package testkit

import (
	"net"
	"strconv"
	"strings"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

// StubHost is one host of a Cluster. What it does with a statement depends on a word in its values: fail, hang, slow,
// reset, error, rowsN, largeN (so many KiB in one row; with cut its second half does not come, with pause it comes later,
// with noise it is followed by some); twice: its answer comes twice; raw-HEX: the first time these bytes come in its place.
type StubHost struct {
	Name      string
	cluster   *Cluster
	listener  *stubserver.Listener
	rejecting bool          // every statement gets 53300
	held      chan struct{} // while it is open, new connections get no greeting
	phase     string        // in the endpoint list
}

func newStubHost(c *Cluster, name string) *StubHost {
	host := &StubHost{Name: name, cluster: c, phase: "active"}
	host.listener = stubserver.NewListener(host.serve)
	return host
}

// Addr is where it listens.
func (h *StubHost) Addr() string { return h.listener.Address() }

func (h *StubHost) serve(conn net.Conn) {
	out, err := stubserver.AcceptStartup(conn)
	if err != nil {
		return
	}
	h.cluster.mutex.Lock()
	held := h.held
	h.cluster.mutex.Unlock()
	if held != nil {
		<-held
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

// hostSession is one connection to a stub host. It keeps one statement and one portal, both unnamed.
type hostSession struct {
	host      *StubHost
	conn      net.Conn
	out       []byte
	statement stubserver.Statement
	failed    bool // the rest up to Sync is skipped
}

// words are the values of the statement, in which scenarios say what the host is to do.
func (s *hostSession) words() string { return strings.Join(s.statement.Values, " ") }

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

// fail answers with an error; it returns true, as the connection goes on.
func (s *hostSession) fail(sqlstate string) bool {
	s.out = pg.ErrorResponse{SQLState: sqlstate, Message: "stub"}.AppendTo(s.out)
	s.failed = true
	return true
}

// handle takes in one message; false where the connection is to end.
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

// describe answers a Describe of the statement, and takes it down as a run of the value "described".
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
