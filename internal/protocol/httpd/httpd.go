// Package httpd is the bounded HTTP/1.1 server that health checks and the management calls share: one request a
// connection, small heads and bodies, and no client that can hold up another.
package httpd

import (
	"errors"
	"fmt"
	"net/http"
	"slices"

	"merlinjunction/internal/eventloop"
)

const (
	requestTimeoutMs = 2000.0 // from the connection's start to its end
	maxConnections   = 16     // of one listener at a time
)

// Response is the response to a Request.
type Response struct {
	Status      int    // one of net/http's numbers
	ContentType string // "": text/plain
	Body        string
	Allow       string // the methods that are allowed, with status 405
}

// Handler responds to a request. It runs on the event loop and must not block.
type Handler func(Request) Response

// Server serves the requests of one listener.
type Server struct {
	loop        *eventloop.Loop
	handler     Handler
	connections []*connection // oldest first
}

// Serve serves the requests that come to an address. onAcceptError is called when no connection can be accepted.
func Serve(
	loop *eventloop.Loop, address string, handler Handler, onAcceptError func(error),
) (*eventloop.Listener, error) {
	s := &Server{loop: loop, handler: handler}
	return loop.Listen(address, s.accept, onAcceptError)
}

// accept adopts a connection, and closes the oldest one where there are too many: clients that send a part of a
// request, or nothing, can't hold up others.
func (s *Server) accept(fd int) {
	conn, err := s.loop.Adopt(fd, maxHeadBytes+maxBodyBytes)
	if err != nil {
		return
	}
	c := &connection{server: s, conn: conn}
	conn.SetHandler(c)
	if len(s.connections) >= maxConnections {
		s.connections[0].close()
	}
	s.connections = append(s.connections, c)
	c.timer = s.loop.After(requestTimeoutMs, c.timeOut)
}

// connection serves one request. It implements eventloop.Handler.
type connection struct {
	server    *Server
	conn      *eventloop.Conn
	timer     *eventloop.Timer
	responded bool
	closed    bool
}

// Connected implements eventloop.Handler.
func (c *connection) Connected() {}

// Flushed implements eventloop.Handler: it ends this side once the response is written; the client's end closes the
// connection.
func (c *connection) Flushed() {
	if c.responded && c.conn.Pending() == 0 {
		c.conn.CloseWrite()
	}
}

// Ended implements eventloop.Handler.
func (c *connection) Ended(error) { c.close() }

// Data implements eventloop.Handler: it responds once the request is complete, and discards what follows it.
func (c *connection) Data() {
	if !c.responded {
		c.handleInput()
	}
	if c.responded && !c.closed {
		c.conn.Consume(len(c.conn.In()))
	}
}

// handleInput responds to the request once it is complete or turns out to be malformed.
func (c *connection) handleInput() {
	request, err := parseRequest(c.conn.In())
	var rejected *requestError
	switch {
	case errors.As(err, &rejected):
		c.respond(rejected.response(), true)
	case request != nil:
		c.respond(c.server.handler(*request), request.Method != http.MethodHead)
	}
}

// respond writes the response and ends this side.
func (c *connection) respond(response Response, withBody bool) {
	c.responded = true
	c.conn.Write(response.encode(withBody))
	c.Flushed()
}

// timeOut ends a connection whose request is incomplete, or whose client does not read the response.
func (c *connection) timeOut() {
	if !c.responded {
		c.respond(Response{Status: http.StatusRequestTimeout, Body: "no whole call came in time\n"}, true)
	}
	c.close()
}

// close closes the connection and removes it from its server.
func (c *connection) close() {
	if c.closed {
		return
	}
	c.closed = true
	if i := slices.Index(c.server.connections, c); i >= 0 {
		c.server.connections = slices.Delete(c.server.connections, i, i+1)
	}
	c.timer.Stop()
	c.conn.Close()
}

// encode is the response as it is written; a response to HEAD goes without its body.
func (r Response) encode(withBody bool) []byte {
	contentType := r.ContentType
	if contentType == "" {
		contentType = "text/plain"
	}
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nCache-Control: no-store\r\n"+
		"Connection: close\r\n", r.Status, http.StatusText(r.Status), contentType, len(r.Body))
	if r.Allow != "" {
		out = fmt.Appendf(out, "Allow: %s\r\n", r.Allow)
	}
	out = append(out, "\r\n"...)
	if withBody {
		out = append(out, r.Body...)
	}
	return out
}
