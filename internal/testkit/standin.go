// Package testkit holds what tests share: stand-ins for database hosts and for discovery, written from the
// public protocol descriptions, and a small language for scenarios.
package testkit

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

// Cluster is one group of stand-in hosts that share their data: a list of what ran where.
type Cluster struct {
	mu       sync.Mutex
	hosts    map[string]*StubHost
	order    []string
	primary  string
	runs     map[string][]string // by value: the hosts where it ran
	revision int
	changed  chan struct{}
}

// StubHost is one host. What it does with a statement depends on a word in its values: fail, hang, slow, reset,
// error, rowsN, largeN (so many KiB in one row; with cut its second half does not come, with pause it comes later, with
// noise it is followed by some); twice: its answer comes twice; raw-HEX: the first time these bytes come in its place.
type StubHost struct {
	Name     string
	Addr     string
	cluster  *Cluster
	listener net.Listener
	conns    map[net.Conn]bool
	mode     string        // "": well; refuse: 53300 for every statement
	held     chan struct{} // while it is open, new connections get no greeting
	phase    string
}

// OneHost ends an operator's file whose test needs no host: it names one that is not there, and the class "read" that any
// host may answer.
const OneHost = `[[database]]
name = "main"
group = 0
[[class]]
name = "read"
need = "any"
effect = "safe"
aim_ms = 100
deadline_ms = 500
[[host]]
id = "h"
address = "127.0.0.1:1"
group = 0
`

// NewCluster starts hosts; the first one is the primary.
func NewCluster(names ...string) (*Cluster, error) {
	c := &Cluster{hosts: map[string]*StubHost{}, primary: names[0], runs: map[string][]string{}, changed: make(chan struct{})}
	for _, name := range names {
		h := &StubHost{Name: name, cluster: c, conns: map[net.Conn]bool{}, phase: "active", Addr: "127.0.0.1:0"}
		c.hosts[name] = h
		c.order = append(c.order, name)
		if err := h.up(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (h *StubHost) up() error {
	ln, err := net.Listen("tcp4", h.Addr)
	if err != nil {
		return err
	}
	h.listener, h.Addr = ln, ln.Addr().String()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			h.cluster.mu.Lock()
			h.conns[conn] = true
			h.cluster.mu.Unlock()
			go h.serve(conn)
		}
	}()
	return nil
}

// Do changes a host: drain, active and left change the list; primary, refuse, well, down and up the host itself; hold lets
// its new connections wait for their greeting until release; drop ends all its connections, as a host does with idle ones.
func (c *Cluster) Do(name, what string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[name]
	if h == nil {
		return fmt.Errorf("no host %q", name)
	}
	switch what {
	case "drain", "active", "left":
		h.phase = map[string]string{"drain": "leaving", "active": "active", "left": "left"}[what]
		c.revision++
		close(c.changed)
		c.changed = make(chan struct{})
	case "primary":
		c.primary = name
	case "refuse":
		h.mode = what
	case "well":
		h.mode = ""
	case "down":
		h.listener.Close()
		for conn := range h.conns {
			conn.Close()
		}
		h.conns = map[net.Conn]bool{}
	case "up":
		return h.up()
	case "hold":
		h.held = make(chan struct{})
	case "release":
		close(h.held)
		h.held = nil
	case "drop":
		for conn := range h.conns {
			conn.Close()
		}
		h.conns = map[net.Conn]bool{}
	default:
		return fmt.Errorf("unknown word %q", what)
	}
	return nil
}

// Addr is where a host listens.
func (c *Cluster) Addr(name string) string { return c.hosts[name].Addr }

// Runs are the hosts where a value ran.
func (c *Cluster) Runs(value string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.runs[value]...)
}

// ServeHTTP is discovery: the whole list, or a watch.
func (c *Cluster) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stubserver.AwaitChange(r, func(since int) (bool, <-chan struct{}) {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.revision > since, c.changed
	})
	_, _ = w.Write(c.list())
}

func (c *Cluster) list() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []map[string]any
	for _, name := range c.order {
		h := c.hosts[name]
		members = append(members, map[string]any{"id": name, "host_port": h.Addr, "cell": 0, "phase": h.phase, "up_since_ms": 0})
	}
	text, err := json.Marshal(map[string]any{"revision": c.revision, "complete": true, "members": members})
	if err != nil {
		panic(err)
	}
	return text
}

func (h *StubHost) serve(conn net.Conn) {
	defer conn.Close()
	out, err := stubserver.AcceptStartup(conn)
	if err != nil {
		return
	}
	h.cluster.mu.Lock()
	held := h.held
	h.cluster.mu.Unlock()
	if held != nil {
		<-held
	}
	s := &hostSession{host: h, conn: conn, out: out}
	s.ready()
	for {
		kind, body, err := readMessage(conn)
		if err != nil || kind == pg.MsgEnd || !s.message(kind, body) {
			return
		}
	}
}

// mostMessage is far above what any test sends.
const mostMessage = 64 << 20

func readMessage(r io.Reader) (byte, []byte, error) { return stubserver.ReadMessage(r, mostMessage) }

// hostSession is one connection to a stand-in. It keeps one statement and one portal, both unnamed.
type hostSession struct {
	host   *StubHost
	conn   net.Conn
	out    []byte
	text   string
	values []string
	skip   bool
}

func (s *hostSession) ready() {
	c := s.host.cluster
	c.mu.Lock()
	standby, role := "on", "follower"
	if c.primary == s.host.Name {
		standby, role = "off", "leader"
	}
	c.mu.Unlock()
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "in_hot_standby", standby)
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "node_role", role)
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "replay_position", strconv.FormatInt(time.Now().UnixMilli(), 10))
	s.out = pg.AppendReadyForQuery(s.out)
	if strings.Contains(strings.Join(s.values, " "), "twice") {
		s.out = append(s.out, s.out...)
	}
	_, _ = s.conn.Write(s.out)
	s.out = nil
}

func (s *hostSession) fail(state string) bool {
	s.out = pg.ErrorResponse{State: state, Text: "stand-in"}.Append(s.out)
	s.skip = true
	return true
}

func (s *hostSession) message(kind byte, body []byte) bool {
	f := pg.NewFieldReader(body)
	switch {
	case kind == pg.MsgSync:
		s.skip = false
		s.ready()
	case s.skip:
	case kind == pg.MsgQuery:
		s.text, s.values = f.Text(), nil
		for _, m := range literal.FindAllStringSubmatch(s.text, -1) {
			s.values = append(s.values, m[1])
		}
		if strings.HasPrefix(s.text, "SELECT") || strings.Contains(s.text, "RETURNING") {
			s.columns()
		}
		if s.text == "" {
			s.out = pg.AppendMessage(s.out, pg.MsgEmptyQuery)
		} else if !s.execute() {
			return false
		}
		s.skip = false
		s.ready()
	case kind == pg.MsgParse:
		f.Text()
		s.text = f.Text()
		if strings.Contains(s.text, "syntax") {
			return s.fail(pg.StateSyntax)
		}
		s.out = pg.AppendMessage(s.out, pg.MsgParseComplete)
	case kind == pg.MsgBind:
		f.Text()
		f.Text()
		f.Bytes(2 * f.Int16())
		s.values = nil
		for range f.Int16() {
			s.values = append(s.values, string(f.Value()))
		}
		s.out = pg.AppendMessage(s.out, pg.MsgBindComplete)
	case kind == pg.MsgDescribe:
		c := s.host.cluster
		c.mu.Lock()
		c.runs["described"] = append(c.runs["described"], s.host.Name)
		c.mu.Unlock()
		n := byte(strings.Count(s.text, "$"))
		s.out = pg.AppendMessage(s.out, pg.MsgParamDesc, append([]byte{0, n}, make([]byte, 4*int(n))...)...)
		if strings.HasPrefix(s.text, "SELECT") {
			s.columns()
		} else {
			s.out = pg.AppendMessage(s.out, pg.MsgNoData)
		}
	case kind == pg.MsgExecute:
		return s.execute()
	default:
		return s.fail(pg.StateProtocol)
	}
	return true
}

var raw = regexp.MustCompile(`raw-([0-9a-f]+)`)

var literal = regexp.MustCompile(`'([^']*)'`)

func (s *hostSession) columns() { s.out = stubserver.AppendColumnDescription(s.out) }

// execute runs the statement once and takes it down; false where the connection is to end.
func (s *hostSession) execute() bool {
	all := strings.Join(s.values, " ")
	c, write := s.host.cluster, strings.HasPrefix(s.text, "INSERT")
	c.mu.Lock()
	refuse := s.host.mode == "refuse"
	times := 0
	misplaced := write && c.primary != s.host.Name
	if !refuse && !misplaced {
		for _, v := range s.values {
			c.runs[v] = append(c.runs[v], s.host.Name)
			times = max(times, len(c.runs[v]))
		}
	}
	c.mu.Unlock()
	switch {
	case refuse:
		return s.fail(pg.StateTooManyConnections)
	case misplaced:
		return s.fail("25006")
	case strings.Contains(all, "fail"):
		return s.fail("22012")
	case strings.Contains(all, "error"):
		return s.fail("XX000")
	case strings.Contains(all, "resetonce") && times > 1:
	case strings.Contains(all, "reset"):
		_ = s.conn.(*net.TCPConn).SetLinger(0)
		return false
	case times == 1 && raw.MatchString(all):
		text, _ := hex.DecodeString(raw.FindStringSubmatch(all)[1])
		_, _ = s.conn.Write(text)
		_, _ = io.Copy(io.Discard, s.conn)
		return false
	case strings.Contains(all, "hang"):
		_, _ = io.Copy(io.Discard, s.conn)
		return false
	case strings.Contains(all, "slow"):
		time.Sleep(80 * time.Millisecond)
	}
	if write {
		if strings.Contains(s.text, "RETURNING") {
			s.out = pg.AppendMessage(s.out, pg.MsgDataRow, 0, 1, 0, 0, 0, 1, 'v')
		}
		s.out = pg.AppendStrings(s.out, pg.MsgComplete, "INSERT 0 1")
		return true
	}
	if _, n, ok := strings.Cut(all, "large"); ok {
		return s.large(all, n)
	}
	rows := 1
	if _, n, ok := strings.Cut(all, "rows"); ok {
		rows, _ = strconv.Atoi(n[:1])
	}
	for i := range rows {
		s.out = stubserver.AppendRow(s.out, fmt.Sprintf("%s%d", s.host.Name, i))
	}
	s.out = pg.AppendStrings(s.out, pg.MsgComplete, "SELECT "+strconv.Itoa(rows))
	return true
}

// large writes one long row, in pieces; false where the connection is to end.
func (s *hostSession) large(all, digits string) bool {
	kib, _ := strconv.Atoi(strings.TrimRight(digits, "cutnoisepause"))
	body := append([]byte{0, 1}, binary.BigEndian.AppendUint32(nil, uint32(kib<<10))...)
	for i := range kib << 10 {
		body = append(body, byte(i))
	}
	out := pg.AppendMessage(s.out, pg.MsgDataRow, body...)
	s.out = nil
	if strings.Contains(all, "cut") {
		out = out[:len(out)/2]
	}
	if strings.Contains(all, "pause") {
		_, _ = s.conn.Write(out[:len(out)/2])
		out = out[len(out)/2:]
		time.Sleep(350 * time.Millisecond)
	}
	if _, err := s.conn.Write(out); err != nil {
		return false
	}
	if strings.Contains(all, "noise") {
		_, _ = s.conn.Write([]byte("noise that is no message"))
		_, _ = io.Copy(io.Discard, s.conn)
	}
	if strings.Contains(all, "cut") || strings.Contains(all, "noise") {
		return false
	}
	s.out = pg.AppendStrings(s.out, pg.MsgComplete, "SELECT 1")
	return true
}
