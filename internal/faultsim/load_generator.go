package faultsim

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

// client sends the load to the gateways, as clients behind a load balancer do: sessions are sticky to a gateway while
// it is up.
type client struct {
	mutex        sync.Mutex
	route        func(session int) (gatewayEndpoint, bool) // the process for a session now; false: none is up
	idleConns    map[string][]net.Conn                     // by process
	acknowledged map[string]int                            // by process and session: the newest value acknowledged
	counts       RequestCounts
	pending      sync.WaitGroup
}

// gatewayEndpoint is one process of a gateway, as clients reach it.
type gatewayEndpoint struct {
	address   string
	process   string                     // names the process
	disturbed func(since time.Time) bool // whether a step has been carried out on it
}

func newClient(route func(session int) (gatewayEndpoint, bool)) *client {
	return &client{
		route:        route,
		idleConns:    map[string][]net.Conn{},
		acknowledged: map[string]int{},
		counts:       newRequestCounts(),
	}
}

// play sends each request at its time, until stop is closed, and returns when all have ended.
func (c *client) play(start time.Time, arrivals []arrival, stop <-chan struct{}) {
	for i := range arrivals {
		next := &arrivals[i]
		intended := start.Add(next.at)
		select {
		case <-time.After(time.Until(intended)):
		case <-stop:
			c.pending.Wait()
			return
		}
		c.pending.Add(1)
		go func() {
			defer c.pending.Done()
			c.request(intended, next)
		}()
	}
	c.pending.Wait()
	c.closeIdleConns()
}

func (c *client) closeIdleConns() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, conns := range c.idleConns {
		for _, conn := range conns {
			stubserver.CloseQuietly(conn)
		}
	}
}

// takeIdleConn returns an idle connection to a process; nil: there is none.
func (c *client) takeIdleConn(process string) net.Conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	conns := c.idleConns[process]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	c.idleConns[process] = conns[:last]
	return conns[last]
}

func (c *client) keepIdleConn(process string, conn net.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idleConns[process] = append(c.idleConns[process], conn)
}

// connect returns an idle connection to a process, or a new one.
func (c *client) connect(endpoint gatewayEndpoint, deadline time.Time) (conn net.Conn, fresh bool, err error) {
	if conn = c.takeIdleConn(endpoint.process); conn != nil {
		return conn, false, conn.SetDeadline(deadline)
	}
	conn, err = net.DialTimeout("tcp4", endpoint.address, time.Until(deadline))
	if err != nil {
		return nil, true, err
	}
	if err := startSession(conn, deadline); err != nil {
		stubserver.CloseQuietly(conn)
		return nil, true, err
	}
	return conn, true, nil
}

// startSession sends the startup message and waits until the gateway is ready.
func startSession(conn net.Conn, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	body := []byte("\x00\x03\x00\x00user\x00svc\x00database\x00main\x00\x00")
	startup := append([]byte{0, 0, 0, byte(len(body) + 4)}, body...)
	if _, err := conn.Write(startup); err != nil {
		return err
	}
	_, err := readResult(conn)
	return err
}

// queryResult is a gateway's answer to one query.
type queryResult struct {
	sqlstate  string // of an error; empty: none
	value     int
	completed bool
}

// isRejected reports whether the gateway shed the request, or shuts down.
func (r *queryResult) isRejected() bool {
	const stateCannotConnectNow = "57P03"
	return r.sqlstate == pg.StateTooManyConnections || r.sqlstate == stateCannotConnectNow
}

// readResult reads up to ReadyForQuery, or to the end of the connection, which is an error.
func readResult(conn net.Conn) (result queryResult, err error) {
	for {
		kind, body, err := stubserver.ReadMessage(conn, maxMessageBody)
		if err != nil {
			return result, err
		}
		switch kind {
		case pg.MsgReadyForQuery:
			return result, nil
		case pg.MsgCommandComplete:
			result.completed = true
		case pg.MsgDataRow:
			fields := pg.NewFieldReader(body)
			fields.Int16() // the number of columns
			result.value, _ = strconv.Atoi(string(fields.Value()))
		case pg.MsgErrorResponse:
			result.sqlstate = stubserver.ReadSQLState(body)
		}
	}
}

// statement is the text of a request for a session, and how long it may take.
func (a *arrival) statement(session string) (text string, limit time.Duration) {
	if a.write {
		return fmt.Sprintf("INSERT INTO setpoints VALUES ('%s', 'k%d', '%d')", session, a.value, a.value), writeDeadline
	}
	return fmt.Sprintf("SELECT v FROM setpoints WHERE greenhouse = '%s'", session), readDeadline
}

// request sends one request and counts its outcome. Its latency counts from the intended time.
func (c *client) request(intended time.Time, arrival *arrival) {
	session := fmt.Sprintf("s%d", arrival.session)
	text, limit := arrival.statement(session)
	endpoint, ok := c.route(arrival.session)
	acknowledgedKey := endpoint.process + session
	c.mutex.Lock()
	c.counts.Sent++
	required := c.acknowledged[acknowledgedKey]
	c.mutex.Unlock()
	if !ok {
		c.count(func(counts *RequestCounts) { counts.Excused++ })
		return
	}
	result, err := c.query(endpoint, text, intended.Add(limit+lateAnswerLimit))
	latency := time.Since(intended)
	c.count(func(counts *RequestCounts) {
		switch {
		case err != nil && endpoint.disturbed(intended):
			counts.Excused++
		case err != nil:
			counts.Lost++
		case result.isRejected():
			counts.Rejected++
		case result.sqlstate != "" || !result.completed:
			counts.Failed++
		default:
			counts.Served++
			counts.recordLatency(min(latency.Microseconds(), maxLatencyMicroseconds))
			if arrival.write {
				c.acknowledged[acknowledgedKey] = max(c.acknowledged[acknowledgedKey], arrival.value)
			} else if result.value < required {
				counts.Stale++
			}
		}
	})
}

// query sends a query to a process. An idle connection may have been closed meanwhile: the query is retried until it
// fails on a new one.
func (c *client) query(endpoint gatewayEndpoint, text string, deadline time.Time) (result queryResult, err error) {
	for {
		conn, fresh, err := c.connect(endpoint, deadline)
		if err == nil {
			if _, err = conn.Write(pg.AppendStrings(nil, pg.MsgQuery, text)); err == nil {
				result, err = readResult(conn)
			}
			if err == nil {
				c.keepIdleConn(endpoint.process, conn)
				return result, nil
			}
			stubserver.CloseQuietly(conn)
		}
		if fresh {
			return result, err
		}
	}
}

// count changes the counts under the lock.
func (c *client) count(change func(*RequestCounts)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change(&c.counts)
}
