package faultsim

import (
	"encoding/json"
	"fmt"
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

// Databases are the stand-in hosts of one group: the first is the primary, the others apply its log a little later. They
// speak the simple and the extended protocol as far as the gateway uses it, and keep books on the rules.
type Databases struct {
	mu      sync.Mutex
	hosts   []*database
	lag     time.Duration
	rows    map[string][]version // by session, oldest first
	ran     map[string]time.Time // keyed writes
	told    int                  // the list's version
	changed chan struct{}
	books   Counters
}

// version is one committed write.
type version struct {
	value int
	at    time.Time
}

// Counters are what the stand-in hosts saw.
type Counters struct {
	Served           map[string]int // statements, by host
	Doubled, Drained int
	Cold             int // times a host that had just started was pushed over
	Conns            map[string]int
}

type database struct {
	id       string
	all      *Databases
	listener net.Listener
	addr     string
	conns    map[net.Conn]bool
	drainAt  time.Time // zero: it doesn't
	started  time.Time // zero: long ago
	recent   []time.Time
}

// What the stand-ins and the configuration made for the gateways agree on.
const (
	drainGrace  = 2 * time.Second
	drainSlack  = 150 * time.Millisecond // news takes its time
	keyWindow   = 2 * time.Second
	coldFor     = 5 * time.Second
	coldShare   = 0.2
	hostRate    = 400.0 // statements a second that a warm host is good for
	tipMultiple = 2.5
	tipWindow   = time.Second
)

func newDatabases(n int, lag time.Duration) (*Databases, error) {
	d := &Databases{lag: lag, rows: map[string][]version{}, ran: map[string]time.Time{}, changed: make(chan struct{}),
		books: Counters{Served: map[string]int{}, Conns: map[string]int{}}}
	for i := range n {
		h := &database{id: fmt.Sprintf("h%d", i), all: d, addr: "127.0.0.1:0"}
		d.hosts = append(d.hosts, h)
		if err := h.listen(); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

func (h *database) listen() error {
	ln, err := net.Listen("tcp4", h.addr)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.id, err)
	}
	h.all.mu.Lock()
	h.listener, h.addr, h.conns = ln, ln.Addr().String(), map[net.Conn]bool{}
	h.all.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			h.all.mu.Lock()
			h.conns[conn] = true
			h.all.books.Conns[h.id]++
			h.all.mu.Unlock()
			go h.serve(conn)
		}
	}()
	return nil
}

func (d *Databases) close() {
	for i := range d.hosts {
		d.kill(i)
	}
}

func (d *Databases) kill(i int) {
	h := d.hosts[i]
	d.mu.Lock()
	defer d.mu.Unlock()
	if h.listener == nil {
		return
	}
	h.listener.Close()
	h.listener = nil
	for c := range h.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (d *Databases) start(i int) error {
	h := d.hosts[i]
	if err := h.listen(); err != nil {
		return err
	}
	d.mu.Lock()
	h.started, h.drainAt, h.recent = time.Now(), time.Time{}, nil
	d.news()
	d.mu.Unlock()
	return nil
}

func (d *Databases) drain(i int) {
	d.mu.Lock()
	d.hosts[i].drainAt = time.Now()
	d.news()
	d.mu.Unlock()
}

func (d *Databases) news() {
	d.told++
	close(d.changed)
	d.changed = make(chan struct{})
}

// discovery is the list as one gateway sees it: each host at the address of its own relay.
func (d *Databases) discovery(addr func(host int) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stubserver.AwaitChange(r, func(since int) (bool, <-chan struct{}) {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.told > since, d.changed
		})
		d.mu.Lock()
		defer d.mu.Unlock()
		var list []map[string]any
		for i, h := range d.hosts {
			phase, up := "active", int64(0)
			if !h.drainAt.IsZero() {
				phase = "leaving"
			}
			if !h.started.IsZero() {
				up = h.started.UnixMilli()
			}
			list = append(list, map[string]any{"id": h.id, "host_port": addr(i), "cell": 0, "phase": phase, "up_since_ms": up})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"revision": d.told, "complete": true, "members": list})
	})
}

func (h *database) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		h.all.mu.Lock()
		delete(h.conns, conn)
		h.all.mu.Unlock()
	}()
	out, err := stubserver.AcceptStartup(conn)
	if err != nil {
		return
	}
	s := &databaseSession{host: h, conn: conn, out: out}
	for s.ready() {
		for {
			kind, body, err := stubserver.ReadMessage(conn, mostMessage)
			if err != nil || kind == pg.MsgEnd {
				return
			}
			if s.message(kind, body) {
				break
			}
		}
	}
}

// mostMessage is the longest body of a message that the laboratory takes, bytes.
const mostMessage = 1<<20 - 4

// databaseSession is one connection; it keeps one statement and its values.
type databaseSession struct {
	host   *database
	conn   net.Conn
	out    []byte
	text   string
	values []string
	failed bool
}

// position is up to where the host has applied the log, as it is told: in whole ms, no commit is later than it is told.
func (s *databaseSession) position() time.Time {
	if s.host == s.host.all.hosts[0] {
		return time.Now().Add(time.Millisecond)
	}
	return time.Now().Add(-s.host.all.lag)
}

// ready ends an answer; false where the connection is broken.
func (s *databaseSession) ready() bool {
	standby := "on"
	if s.host == s.host.all.hosts[0] {
		standby = "off"
	}
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "in_hot_standby", standby)
	s.out = pg.AppendStrings(s.out, pg.MsgParameterStatus, "replay_position", strconv.FormatInt(s.position().UnixMilli(), 10))
	s.out = pg.AppendReadyForQuery(s.out)
	_, err := s.conn.Write(s.out)
	s.out, s.failed = nil, false
	return err == nil
}

var quoted = regexp.MustCompile(`'([^']*)'`)

// message takes one in; true at the end of an answer.
func (s *databaseSession) message(kind byte, body []byte) bool {
	f := pg.NewFieldReader(body)
	switch {
	case kind == pg.MsgSync:
		return true
	case s.failed:
	case kind == pg.MsgQuery:
		s.text, s.values = f.Text(), nil
		for _, m := range quoted.FindAllStringSubmatch(s.text, -1) {
			s.values = append(s.values, m[1])
		}
		if s.text == "" {
			s.out = pg.AppendMessage(s.out, pg.MsgEmptyQuery)
		} else {
			s.run(true)
		}
		return true
	case kind == pg.MsgParse:
		f.Text()
		s.text = f.Text()
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
	case kind == pg.MsgExecute:
		s.run(false)
	}
	return false
}

func (s *databaseSession) fail(state string) {
	s.out = pg.ErrorResponse{State: state, Text: "stand-in"}.Append(s.out)
	s.failed = true
}

// run runs the statement: INSERT ... VALUES ('session', 'key', 'value') or SELECT ... WHERE greenhouse = 'session'.
func (s *databaseSession) run(simple bool) {
	d, h, now := s.host.all, s.host, time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.books.Served[h.id]++
	if !h.drainAt.IsZero() && now.Sub(h.drainAt) > drainGrace+drainSlack {
		d.books.Drained++
	}
	if !h.started.IsZero() && now.Sub(h.started) < coldFor {
		h.recent = append(h.recent, now)
		for now.Sub(h.recent[0]) > tipWindow {
			h.recent = h.recent[1:]
		}
		warm := coldShare + (1-coldShare)*now.Sub(h.started).Seconds()/coldFor.Seconds()
		if float64(len(h.recent)) > tipMultiple*warm*hostRate*tipWindow.Seconds() {
			d.books.Cold++
			h.recent = nil
		}
	}
	switch {
	case strings.HasPrefix(s.text, "INSERT") && len(s.values) == 3:
		if h != d.hosts[0] {
			s.fail("25006")
			return
		}
		session, key := s.values[0], s.values[1]
		value, _ := strconv.Atoi(s.values[2])
		before, repeated := d.ran[key]
		if repeated && now.Sub(before) > keyWindow {
			d.books.Doubled++
		}
		if !repeated {
			d.rows[session] = append(d.rows[session], version{value, now})
		}
		d.ran[key] = now
		s.out = pg.AppendStrings(s.out, pg.MsgComplete, "INSERT 0 1")
	case strings.HasPrefix(s.text, "SELECT") && len(s.values) == 1:
		seen := 0
		for _, v := range d.rows[s.values[0]] {
			if h == d.hosts[0] || now.Sub(v.at) >= d.lag {
				seen = max(seen, v.value)
			}
		}
		if simple {
			s.out = stubserver.AppendColumnDescription(s.out)
		}
		s.out = stubserver.AppendRow(s.out, strconv.Itoa(seen))
		s.out = pg.AppendStrings(s.out, pg.MsgComplete, "SELECT 1")
	default:
		s.fail("42601")
	}
}
