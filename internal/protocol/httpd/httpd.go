// Package httpd is the bounded HTTP/1.1 server that health checks and the management address share: one call a
// connection, small heads and bodies, and no caller that holds up another.
package httpd

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"merlinjunction/internal/eventloop"
)

const (
	patienceMs = 2000.0 // with one call, from its start to its end
	mostCalls  = 16     // at a time, on one listener
	maxHead    = 8 << 10
	maxBody    = 4 << 10
)

// Request is a whole call.
type Request struct {
	Method, Path string // Path without what follows a question mark
	Body         []byte
}

// Response is the answer. Status is one of net/http's numbers.
type Response struct {
	Status int
	Type   string // "text/plain" where it is empty
	Body   string
	Allow  string // with 405
}

// Server answers the calls of one listener.
type Server struct {
	loop   *eventloop.Loop
	handle func(Request) Response
	calls  []*call // oldest first
}

// Serve answers the calls that come to an address. full hears when no connection can be accepted.
func Serve(l *eventloop.Loop, addr string, handle func(Request) Response, full func(error)) (*eventloop.Listener, error) {
	s := &Server{loop: l, handle: handle}
	return l.Listen(addr, s.accept, full)
}

// accept takes a call; where there are many, the oldest one without an answer makes room. Guards callers against others
// that send half a call, or nothing, and stay.
func (s *Server) accept(fd int) {
	conn, err := s.loop.Adopt(fd, maxHead+maxBody)
	if err != nil {
		return
	}
	c := &call{server: s, conn: conn}
	conn.SetHandler(c)
	if len(s.calls) >= mostCalls {
		s.calls[0].leave()
	}
	s.calls = append(s.calls, c)
	c.timer = s.loop.After(patienceMs, c.late)
}

// call is one connection.
type call struct {
	server *Server
	conn   *eventloop.Conn
	timer  *eventloop.Timer
	said   bool
	left   bool
}

func (c *call) Connected() {}

func (c *call) leave() {
	if c.left {
		return
	}
	c.left = true
	for i, o := range c.server.calls {
		if o == c {
			c.server.calls = append(c.server.calls[:i:i], c.server.calls[i+1:]...)
			break
		}
	}
	c.timer.Stop()
	c.conn.Close()
}

// late ends a call that did not come whole, or whose answer is not read.
func (c *call) late() {
	if !c.said {
		c.say(Response{Status: http.StatusRequestTimeout, Body: "no whole call came in time\n"}, true)
	}
	c.leave()
}

// say writes the whole answer and ends this side; the other side's end closes the connection.
func (c *call) say(r Response, body bool) {
	c.said = true
	c.conn.Write(r.encode(body))
	c.Flushed()
}

func (c *call) Flushed() {
	if c.said && c.conn.Pending() == 0 {
		c.conn.CloseWrite()
	}
}

// Ended leaves, whether the answer is out or the call will never be whole.
func (c *call) Ended(error) { c.leave() }

func (c *call) Data() {
	if !c.said {
		r, refusal, ok := Parse(c.conn.In())
		switch {
		case refusal != nil:
			c.say(*refusal, true)
		case ok && r.Method == http.MethodHead:
			c.say(c.server.handle(r), false)
		case ok:
			c.say(c.server.handle(r), true)
		}
	}
	if c.said && !c.left { // what follows is passed over
		c.conn.Consume(len(c.conn.In()))
	}
}

func (r Response) encode(body bool) []byte {
	kind := r.Type
	if kind == "" {
		kind = "text/plain"
	}
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nCache-Control: no-store\r\n"+
		"Connection: close\r\n", r.Status, http.StatusText(r.Status), kind, len(r.Body))
	if r.Allow != "" {
		head = fmt.Appendf(head, "Allow: %s\r\n", r.Allow)
	}
	head = append(head, "\r\n"...)
	if body {
		head = append(head, r.Body...)
	}
	return head
}

// Parse reads a call: ok once it is whole, or the answer to one that can't be taken.
func Parse(in []byte) (r Request, refusal *Response, ok bool) {
	refuse := func(status int, text string) (Request, *Response, bool) {
		return Request{}, &Response{Status: status, Body: text + "\n"}, false
	}
	head, rest, whole := bytes.Cut(in, []byte("\r\n\r\n"))
	if !whole || len(head) > maxHead {
		if len(head) > maxHead {
			return refuse(http.StatusRequestHeaderFieldsTooLarge, "the head is too large")
		}
		return Request{}, nil, false
	}
	lines := strings.Split(string(head), "\r\n")
	w := strings.Split(lines[0], " ")
	if len(w) != 3 || w[0] == "" || w[1] == "" || w[2] != "HTTP/1.1" && w[2] != "HTTP/1.0" {
		return refuse(http.StatusBadRequest, "not an HTTP/1.1 call")
	}
	length, err := bodyLength(lines[1:])
	switch {
	case err != nil:
		return refuse(http.StatusBadRequest, err.Error())
	case length > maxBody:
		return refuse(http.StatusRequestEntityTooLarge, "the body is too large")
	case len(rest) < length:
		return Request{}, nil, false
	}
	r.Method, r.Body = w[0], rest[:length]
	r.Path, _, _ = strings.Cut(w[1], "?")
	return r, nil, true
}

// bodyLength finds how long the body is. A body in chunks is not taken: no call here needs one.
func bodyLength(lines []string) (int, error) {
	length := -1
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return 0, errors.New("malformed header")
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || length >= 0 && length != int(n) {
				return 0, errors.New("malformed Content-Length")
			}
			length = int(n)
		case "transfer-encoding":
			return 0, errors.New("only bodies with a Content-Length are taken")
		}
	}
	return max(0, length), nil
}
