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

// loadGenerator sends the requests of the load to the gateways, like clients behind a load balancer: sessions are sticky
// to a gateway while it is up.
type loadGenerator struct {
	mutex        sync.Mutex
	route        func(session int) (gatewayEndpoint, bool) // returns the process for a session; false: no gateway is up
	idleConns    map[string][]net.Conn                     // idle connections, by process
	acknowledged map[string]int                            // newest value that was acknowledged, by process and session
	counts       RequestCounts
	pending      sync.WaitGroup
	holdUps      *holdUpMonitor
}

// gatewayEndpoint is the client listener of one process of a gateway.
type gatewayEndpoint struct {
	address     string
	process     string                     // identifies the process
	interrupted func(since time.Time) bool // reports whether a step has killed, paused or resumed the process since a time
}

func newLoadGenerator(route func(session int) (gatewayEndpoint, bool)) *loadGenerator {
	return &loadGenerator{
		route:        route,
		idleConns:    map[string][]net.Conn{},
		acknowledged: map[string]int{},
		counts:       newRequestCounts(),
	}
}

// sendRequests sends each request at its intended time until stop is closed. It returns when all sent requests have ended.
func (g *loadGenerator) sendRequests(start time.Time, arrivals []arrival, stop <-chan struct{}) {
	for i := range arrivals {
		next := &arrivals[i]
		intended := start.Add(next.at)
		select {
		case <-time.After(time.Until(intended)):
		case <-stop:
			g.pending.Wait()
			return
		}
		g.pending.Add(1)
		go func() {
			defer g.pending.Done()
			g.sendRequest(intended, next)
		}()
	}
	g.pending.Wait()
	g.closeIdleConns()
}

func (g *loadGenerator) closeIdleConns() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, conns := range g.idleConns {
		for _, conn := range conns {
			stubserver.CloseQuietly(conn)
		}
	}
}

// takeIdleConn removes an idle connection to a process and returns it, or nil if there is none.
func (g *loadGenerator) takeIdleConn(process string) net.Conn {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	conns := g.idleConns[process]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	g.idleConns[process] = conns[:last]
	return conns[last]
}

func (g *loadGenerator) keepIdleConn(process string, conn net.Conn) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.idleConns[process] = append(g.idleConns[process], conn)
}

// connect returns an idle connection to a process, or opens a new one. isNew is also true if opening it fails.
func (g *loadGenerator) connect(endpoint gatewayEndpoint, deadline time.Time) (conn net.Conn, isNew bool, err error) {
	if conn = g.takeIdleConn(endpoint.process); conn != nil {
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
	sqlstate  string // SQLSTATE of an error; empty: no error
	value     int
	completed bool
}

// isRejected reports whether the gateway shed the request or is shutting down.
func (r *queryResult) isRejected() bool {
	const stateCannotConnectNow = "57P03"
	return r.sqlstate == pg.StateTooManyConnections || r.sqlstate == stateCannotConnectNow
}

// readResult reads an answer up to ReadyForQuery. The end of the connection before that is an error.
func readResult(conn net.Conn) (result queryResult, err error) {
	for {
		messageType, body, err := stubserver.ReadMessage(conn, maxMessageBody)
		if err != nil {
			return result, err
		}
		switch messageType {
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

// statement returns the text of a request for a session and its time limit.
func (a *arrival) statement(session string) (text string, timeLimit time.Duration) {
	if a.write {
		return fmt.Sprintf("INSERT INTO setpoints VALUES ('%s', 'k%d', '%d')", session, a.value, a.value), writeDeadline
	}
	return fmt.Sprintf("SELECT v FROM setpoints WHERE greenhouse = '%s'", session), readDeadline
}

// sendRequest sends one request of the load and counts its outcome. The latency is measured from the intended send time.
func (g *loadGenerator) sendRequest(intended time.Time, arrival *arrival) {
	session := fmt.Sprintf("s%d", arrival.session)
	text, timeLimit := arrival.statement(session)
	endpoint, ok := g.route(arrival.session)
	acknowledgedKey := endpoint.process + session
	g.mutex.Lock()
	g.counts.Sent++
	required := g.acknowledged[acknowledgedKey]
	g.mutex.Unlock()
	if !ok {
		g.count(func(counts *RequestCounts) { counts.Excused++ })
		return
	}
	result, err := g.query(endpoint, text, intended, timeLimit+lateAnswerLimit)
	latency := time.Since(intended)
	heldUp := g.holdUps.between(intended, time.Now()) > 0
	g.count(func(counts *RequestCounts) {
		switch {
		case err != nil && endpoint.interrupted(intended):
			counts.Excused++
		case err == nil && heldUp && !result.completed: // the hosts were held up too
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
				g.acknowledged[acknowledgedKey] = max(g.acknowledged[acknowledgedKey], arrival.value)
			} else if result.value < required {
				counts.Stale++
			}
		}
	})
}

// query sends a query to a process. The gateway may have closed an idle connection, so a query that fails is sent again
// until it fails on a new connection. The time limit counts from the intended time and is extended by hold-ups.
func (g *loadGenerator) query(
	endpoint gatewayEndpoint, text string, intended time.Time, timeLimit time.Duration,
) (result queryResult, err error) {
	for {
		extended := g.holdUps.between(intended, time.Now())
		deadline := intended.Add(timeLimit)
		conn, isNew, err := g.connect(endpoint, deadline.Add(extended))
		if err == nil {
			answers := &extendedConn{conn, g.holdUps, intended, deadline, extended}
			if _, err = conn.Write(pg.AppendStrings(nil, pg.MsgQuery, text)); err == nil {
				result, err = readResult(answers)
			}
			if err == nil {
				g.keepIdleConn(endpoint.process, conn)
				return result, nil
			}
			stubserver.CloseQuietly(conn)
		}
		heldUpMeanwhile := g.holdUps.between(intended, time.Now()) > extended
		if conn == nil && heldUpMeanwhile { // connecting may have failed because of that
			continue
		}
		if isNew {
			return result, err
		}
	}
}

// count calls change with the counts while it holds the lock.
func (g *loadGenerator) count(change func(*RequestCounts)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change(&g.counts)
}
