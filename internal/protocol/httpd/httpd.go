// Package httpd provides a minimal HTTP/1.1 server for health checks and management calls. It serves one request per
// connection, bounds the sizes of heads and bodies, and keeps clients that are slow or silent from blocking others.
package httpd

import (
	"errors"
	"fmt"
	"net/http"
	"slices"

	"merlinjunction/internal/eventloop"
)

const (
	requestTimeoutMs = 2000.0 // from accepting a connection to closing it
	maxConnections   = 16     // open connections of one listener
)

// Response is the response to a Request.
type Response struct {
	Status      int    // HTTP status code
	ContentType string // text/plain if empty
	Body        string
	Allow       string // value of the Allow header in a response with status 405
}

// Handler responds to a request. It runs on the event loop and must not block.
type Handler func(Request) Response

// Server serves the requests of one listener.
type Server struct {
	loop        *eventloop.Loop
	handler     Handler
	connections []*connection // oldest first
}

// Serve listens on an address and serves the requests that it receives. onAcceptError is called when accepting a
// connection fails.
func Serve(
	loop *eventloop.Loop, address string, handler Handler, onAcceptError func(error),
) (*eventloop.Listener, error) {
	s := &Server{loop: loop, handler: handler}
	return loop.Listen(address, s.accept, onAcceptError)
}

// accept adopts a connection. If there are too many, it closes the oldest one, so that clients that send an incomplete
// request or nothing can't block others.
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

// Flushed implements eventloop.Handler. It ends the server's sending direction once the response has been written. The
// connection is closed when the client has ended its direction too.
func (c *connection) Flushed() {
	if c.responded && c.conn.Pending() == 0 {
		c.conn.CloseWrite()
	}
}

// Ended implements eventloop.Handler. It closes the connection.
func (c *connection) Ended(error) { c.close() }

// Data implements eventloop.Handler. It responds once the request is complete and discards all later input.
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

// respond writes the response and ends the server's sending direction.
func (c *connection) respond(response Response, withBody bool) {
	c.responded = true
	c.conn.Write(response.encode(withBody))
	c.Flushed()
}

// timeOut closes a connection whose request is incomplete or whose client has not read the response in time.
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

// encode returns the encoded response. withBody is false for a response to HEAD, whose body is omitted.
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
