package soak

import (
	"encoding/binary"
	"net"
	"sync"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

const (
	// startupTimeout is how long a client waits for the answer to a startup message that it sent along with a request.
	startupTimeout = 2 * time.Second
	// firstRequestWindow is the minimum time that the gateway must wait for the first request of a new connection.
	firstRequestWindow = 100 * time.Millisecond
)

const (
	// maxPipeline is the largest number of requests that a client sends in one write.
	maxPipeline = 4
	// maxOverlap is the largest number of requests that a client sends one by one without waiting for answers.
	maxOverlap = 10
)

// clientBehavior is how a client sends its requests.
type clientBehavior string

const (
	// clientSteady sends one request after another and reads the answer to each.
	clientSteady clientBehavior = "steady"
	// clientSendsNonRequests is clientSteady, but sends a query of nonRequestQueries in place of some requests.
	clientSendsNonRequests clientBehavior = "says-odd"
	// clientPipelines sends up to maxPipeline requests in one write.
	clientPipelines clientBehavior = "pipelines"
	// clientAbandons closes some connections while a request is in flight.
	clientAbandons clientBehavior = "leaves"
	// clientHalfCloses closes its sending side after a request, and then reads the answer.
	clientHalfCloses clientBehavior = "half-closes"
	// clientSplitsMessages sends the first half of a request's messages, pauses, and sends the rest.
	clientSplitsMessages clientBehavior = "sends-half"
	// clientReconnects opens a new connection for each request.
	clientReconnects clientBehavior = "reconnects"
	// clientOverlaps sends up to maxOverlap requests at intervals without waiting for the answers.
	clientOverlaps clientBehavior = "overlaps"
	// clientAbandonsMessage is clientSplitsMessages, but closes some connections in place of sending the rest.
	clientAbandonsMessage clientBehavior = "abandons-half"
)

var clientBehaviors = []clientBehavior{clientSteady, clientSteady, clientSendsNonRequests, clientPipelines,
	clientAbandons, clientHalfCloses, clientOverlaps, clientOverlaps, clientSplitsMessages, clientReconnects,
	clientAbandonsMessage}

// client sends requests on one connection at a time until the gateway's process has ended.
type client struct {
	run          *run
	draw         draw
	number       int
	behavior     clientBehavior
	group        int
	sessions     []string
	requestCount int // number of requests that were created

	conn         net.Conn
	connectedAt  time.Time // when conn was established
	lastAnswerAt time.Time // when the last answer was received
	firstSent    bool      // whether a request was sent on conn
	prepared     bool      // whether the named statement for preparedClass exists on conn
	// preparedClass is the class whose requests use a named prepared statement. It is drawn anew for each connection. All
	// connections use the same statement name.
	preparedClass *class
}

// sendLoop sends requests until stop is closed or the gateway's process has ended.
func (c *client) sendLoop(stop <-chan struct{}) {
	defer c.disconnect()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if c.conn == nil && !c.connect() {
			return
		}
		c.sendRound()
		c.pause(c.draw.between(0, 2*c.run.deployment.ThinkTimeMs))
	}
}

// sendSurge sends each request on a new connection, right after the startup message, and reads the answers concurrently.
func (c *client) sendSurge(count int) {
	var readers sync.WaitGroup
	for range count {
		conn, err := net.DialTimeout("tcp4", c.run.gateway.address, time.Second)
		if err != nil { // the listener is closed
			break
		}
		c.startConn(conn)
		sent := c.newRequest(nil)
		if !c.send([]*request{sent}, c.appendRequest(c.startupMessage(), sent)) {
			continue
		}
		reader := *c
		readers.Go(func() {
			defer reader.disconnect()
			reader.receiveFirst([]*request{sent})
		})
		c.pause(surgePauseMs)
	}
	c.conn = nil // the readers close the connections
	readers.Wait()
}

func (c *client) pause(ms float64) { time.Sleep(time.Duration(ms * float64(time.Millisecond))) }

// connect opens a connection and, unless the client reconnects for each request, starts a session. It retries until it
// succeeds, and returns false once the gateway's process has ended.
func (c *client) connect() bool {
	for c.run.gateway.running() {
		conn, err := net.DialTimeout("tcp4", c.run.gateway.address, time.Second)
		if err == nil {
			c.startConn(conn)
			if c.behavior == clientReconnects || c.startSession() == nil {
				return true
			}
			c.disconnect()
		}
		c.pause(20)
	}
	return false
}

// startConn makes conn the client's connection and resets the state that belongs to a connection.
func (c *client) startConn(conn net.Conn) {
	c.conn, c.connectedAt, c.firstSent, c.prepared = conn, time.Now(), false, false
	c.preparedClass = &c.run.deployment.Classes[c.draw.IntN(len(c.run.deployment.Classes))]
}

func (c *client) disconnect() {
	if c.conn != nil {
		stubserver.CloseQuietly(c.conn)
		c.conn = nil
	}
}

// startupMessage returns the client's startup message.
func (c *client) startupMessage() []byte {
	out, mark := pg.BeginMessage(nil, 0)
	out = binary.BigEndian.AppendUint32(out, pg.Version3)
	for _, text := range []string{"user", "svc", "database", databaseName(c.group), ""} {
		out = append(append(out, text...), 0)
	}
	return pg.EndMessage(out, mark)
}

// startSession sends the startup message and waits until the gateway is ready for a query.
func (c *client) startSession() error {
	if _, err := c.conn.Write(c.startupMessage()); err != nil {
		return err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := c.readResult()
	return err
}
