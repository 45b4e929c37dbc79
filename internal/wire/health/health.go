// Package health answers balancers: the agent-check protocol of HAProxy, and checks over HTTP/1.1.
package health

import (
	"bytes"
	"fmt"
	"strings"

	"merlinjunction/internal/loop"
)

// State is what a balancer is told.
type State int

// The states.
const (
	Starting State = iota // no host can be reached, or none is known yet
	Ready
	Draining
)

const (
	patienceMs = 2000.0 // with one check, from its start to its end
	mostChecks = 16     // at a time, on one listener
	maxHead    = 8 << 10
)

// agent is what the agent-check protocol says of each state, and web the status and body over HTTP.
var (
	agent = map[State]string{
		Starting: "down#no database host can be reached\n", Ready: "up ready 100%\n", Draining: "drain\n",
	}
	web = map[State]struct{ status, text string }{
		Starting: {"503 Service Unavailable", "no database host can be reached\n"},
		Ready:    {"200 OK", "ready\n"},
		Draining: {"503 Service Unavailable", "draining\n"},
	}
)

// Server answers the checks of one listener.
type Server struct {
	loop  *loop.Loop
	state func() State
	http  bool
	open  int
}

// ServeAgent answers agent checks on an address.
func ServeAgent(l *loop.Loop, addr string, state func() State, full func(error)) (*loop.Listener, error) {
	s := &Server{loop: l, state: state}
	return l.Listen(addr, s.accept, full)
}

// ServeHTTP answers HTTP checks on an address.
func ServeHTTP(l *loop.Loop, addr string, state func() State, full func(error)) (*loop.Listener, error) {
	s := &Server{loop: l, state: state, http: true}
	return l.Listen(addr, s.accept, full)
}

func (s *Server) accept(fd int) {
	conn, err := s.loop.Adopt(fd, maxHead)
	if err != nil {
		return
	}
	c := &check{server: s, conn: conn}
	conn.SetOwner(c)
	s.open++
	if s.open > mostChecks {
		c.leave()
		return
	}
	c.timer = s.loop.After(patienceMs, c.leave)
	if !s.http { // the agent speaks without being asked
		c.say(agent[s.state()])
	}
}

// check is one connection of a balancer.
type check struct {
	server *Server
	conn   *loop.Conn
	timer  *loop.Timer
	said   bool
	left   bool
}

func (c *check) Connected() {}

func (c *check) leave() {
	if !c.left {
		c.left = true
		c.server.open--
		c.timer.Stop()
		c.conn.Close()
	}
}

// say writes the whole answer and ends this side; the other side's end closes the connection.
func (c *check) say(text string) {
	c.said = true
	c.conn.Write([]byte(text))
	c.Flushed()
}

func (c *check) Flushed() {
	if c.said && c.conn.Pending() == 0 {
		c.conn.CloseWrite()
	}
}

// Ended leaves, whether the answer is out or the request will never be whole.
func (c *check) Ended(error) { c.leave() }

func (c *check) Data() {
	in := c.conn.In()
	if c.said || !c.server.http {
		c.conn.Consume(len(in))
		return
	}
	if head, _, ok := bytes.Cut(in, []byte("\r\n\r\n")); ok {
		c.say(respond(string(head), c.server.state()))
		c.conn.Consume(len(c.conn.In()))
	} else if len(in) >= maxHead {
		c.say(response("431 Request Header Fields Too Large", "", true))
	}
}

// respond answers a request by its head.
func respond(head string, s State) string {
	line, _, _ := strings.Cut(head, "\r\n")
	w := strings.Split(line, " ")
	if len(w) != 3 || !strings.HasPrefix(w[2], "HTTP/1.") {
		return response("400 Bad Request", "not an HTTP/1.1 request\n", true)
	}
	path, _, _ := strings.Cut(w[1], "?")
	body := w[0] != "HEAD"
	switch {
	case w[0] != "GET" && w[0] != "HEAD" && w[0] != "OPTIONS":
		return response("405 Method Not Allowed", "GET, HEAD or OPTIONS\n", body)
	case path == "/livez":
		return response("200 OK", "alive\n", body)
	case path == "/" || path == "/healthz" || path == "/readyz" || path == "*":
		return response(web[s].status, web[s].text, body)
	}
	return response("404 Not Found", "only /healthz, /readyz and /livez are here\n", body)
}

func response(status, text string, body bool) string {
	head := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"+
		"Cache-Control: no-store\r\nConnection: close\r\n\r\n", status, len(text))
	if !body {
		return head
	}
	return head + text
}
