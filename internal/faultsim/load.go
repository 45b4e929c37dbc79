package faultsim

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

// arrival is one request, drawn ahead.
type arrival struct {
	at      time.Duration // since second 0: when it is meant to be sent
	session int
	write   bool
	value   int // of a write
}

// draw draws the arrivals of a whole run: a Poisson stream, whose sessions are picked at random.
func (l *Load) draw(seconds float64, seed uint64) []arrival {
	if l.Rate <= 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	var list []arrival
	for t := 0.0; ; {
		t += rng.ExpFloat64() / l.Rate
		if t >= seconds {
			return list
		}
		list = append(list, arrival{time.Duration(t * 1e9), rng.IntN(sessionCount), rng.Float64() < l.Writes, len(list) + 1})
	}
}

// The classes of the load, as the gateways are configured.
const (
	sessionCount    = 64
	readDeadline    = 600 * time.Millisecond
	writeDeadline   = 2 * time.Second
	lateAnswerLimit = 500 * time.Millisecond // later than this past its deadline an answer counts as none
)

// RequestCounts is what became of the requests, seen from the clients.
type RequestCounts struct {
	Sent, Served, Refused, Failed int
	Lost                          int                     // no final answer, and nothing had been done to the gateway
	Excused                       int                     // the gateway was killed, stopped or paused under it
	Stale                         int                     // showed less than the session had written through that process
	Latency                       *hdrhistogram.Histogram // of the served, µs from the intended time
}

// measure are what both engines measure of the requests.
func (y *RequestCounts) measure(r *Result, f Measurements) {
	f["lost"], f["stale"] = float64(y.Lost), float64(y.Stale)
	f["served_share"] = float64(y.Served) / float64(max(1, y.Sent-y.Excused))
	f["p99_ms"] = float64(y.Latency.ValueAtQuantile(99)) / 1000
	for p := range 101 {
		r.Latency = append(r.Latency, float64(y.Latency.ValueAtQuantile(float64(p)))/1000)
	}
}

// client sends the load to the gateways, as a front would: a session keeps to one gateway while that one is up.
type client struct {
	mutex        sync.Mutex
	targetOf     func(session int) (target, bool) // which process takes a session now
	idleConns    map[string][]net.Conn
	acknowledged map[string]int // by process and session: the newest write that it acknowledged
	tally        RequestCounts
	pending      sync.WaitGroup
}

// target is one life of one gateway.
type target struct {
	address   string
	process   string
	disturbed func(since time.Time) bool // it was held up or ended since
}

func newClient(targets func(int) (target, bool)) *client {
	return &client{targetOf: targets, idleConns: map[string][]net.Conn{}, acknowledged: map[string]int{},
		tally: RequestCounts{Latency: hdrhistogram.New(1, 60_000_000, 3)}}
}

// play sends each request at its time and returns when all have ended.
func (c *client) play(start time.Time, list []arrival, stop <-chan struct{}) {
	for i := range list {
		a := &list[i]
		select {
		case <-time.After(time.Until(start.Add(a.at))):
		case <-stop:
			c.pending.Wait()
			return
		}
		c.pending.Add(1)
		go func() {
			defer c.pending.Done()
			c.request(start.Add(a.at), a)
		}()
	}
	c.pending.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, list := range c.idleConns {
		for _, conn := range list {
			stubserver.CloseQuietly(conn)
		}
	}
}

// connect is an idle connection to a process, or a new one. Its first word is the startup message.
func (c *client) connect(t target, deadline time.Time) (conn net.Conn, fresh bool, err error) {
	c.mutex.Lock()
	if list := c.idleConns[t.process]; len(list) > 0 {
		conn = list[len(list)-1]
		c.idleConns[t.process] = list[:len(list)-1]
	}
	c.mutex.Unlock()
	if conn != nil {
		return conn, false, conn.SetDeadline(deadline)
	}
	conn, err = net.DialTimeout("tcp4", t.address, time.Until(deadline))
	if err != nil {
		return nil, true, err
	}
	if err := conn.SetDeadline(deadline); err != nil {
		stubserver.CloseQuietly(conn)
		return nil, true, err
	}
	body := []byte("\x00\x03\x00\x00user\x00svc\x00database\x00main\x00\x00")
	start := append([]byte{0, 0, 0, byte(len(body) + 4)}, body...)
	if _, err = conn.Write(start); err == nil {
		_, err = readResult(conn)
	}
	if err != nil {
		stubserver.CloseQuietly(conn)
		return nil, true, err
	}
	return conn, true, nil
}

// queryResult is a gateway's answer to one query.
type queryResult struct {
	sqlstate  string // SQLSTATE of an error
	value     int
	completed bool
}

// readResult reads up to ReadyForQuery, or a fatal error.
func readResult(conn net.Conn) (r queryResult, err error) {
	for {
		kind, body, err := stubserver.ReadMessage(conn, maxMessageBody)
		if err != nil {
			return r, err
		}
		switch kind {
		case pg.MsgReadyForQuery:
			return r, nil
		case pg.MsgCommandComplete:
			r.completed = true
		case pg.MsgDataRow:
			f := pg.NewFieldReader(body)
			f.Int16()
			r.value, _ = strconv.Atoi(string(f.Value()))
		case pg.MsgErrorResponse:
			f := pg.NewFieldReader(body)
			for field := f.Byte(); field != 0 && !f.Malformed; field = f.Byte() {
				if text := f.Text(); field == 'C' {
					r.sqlstate = text
				}
			}
		}
	}
}

func (c *client) request(intended time.Time, a *arrival) {
	session := fmt.Sprintf("s%d", a.session)
	limit := readDeadline
	text := fmt.Sprintf("SELECT v FROM setpoints WHERE greenhouse = '%s'", session)
	if a.write {
		limit = writeDeadline
		text = fmt.Sprintf("INSERT INTO setpoints VALUES ('%s', 'k%d', '%d')", session, a.value, a.value)
	}
	t, ok := c.targetOf(a.session)
	c.mutex.Lock()
	c.tally.Sent++
	asked := c.acknowledged[t.process+session]
	c.mutex.Unlock()
	if !ok {
		c.count(func(y *RequestCounts) { y.Excused++ }) // nobody is up
		return
	}
	deadline := intended.Add(limit + lateAnswerLimit)
	var r queryResult
	var err error
	for { // a kept connection may have been closed meanwhile: once more, on a new one
		var conn net.Conn
		var fresh bool
		if conn, fresh, err = c.connect(t, deadline); err == nil {
			if _, err = conn.Write(pg.AppendStrings(nil, pg.MsgQuery, text)); err == nil {
				r, err = readResult(conn)
			}
			if err == nil {
				c.mutex.Lock()
				c.idleConns[t.process] = append(c.idleConns[t.process], conn)
				c.mutex.Unlock()
				break
			}
			stubserver.CloseQuietly(conn)
		}
		if fresh {
			break
		}
	}
	took := time.Since(intended)
	c.count(func(y *RequestCounts) {
		switch {
		case err != nil && t.disturbed(intended):
			y.Excused++
		case err != nil:
			y.Lost++
		case r.sqlstate == pg.StateTooManyConnections || r.sqlstate == "57P03":
			y.Refused++
		case r.sqlstate != "" || !r.completed:
			y.Failed++
		default:
			y.Served++
			_ = y.Latency.RecordValue(min(took.Microseconds(), 60_000_000))
			if a.write {
				c.acknowledged[t.process+session] = max(c.acknowledged[t.process+session], a.value)
			} else if r.value < asked {
				y.Stale++
			}
		}
	})
}

func (c *client) count(f func(*RequestCounts)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	f(&c.tally)
}
