// Package health answers balancers: the agent-check protocol of HAProxy, and checks over HTTP/1.1.
package health

import (
	"net/http"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/protocol/httpd"
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
	mostChecks = 16     // at a time
	maxUnasked = 1 << 10
)

// agent is what the agent-check protocol says of each state, and web the answer over HTTP.
var (
	agent = map[State]string{
		Starting: "down#no database host can be reached\n", Ready: "up ready 100%\n", Draining: "drain\n",
	}
	web = map[State]httpd.Response{
		Starting: {Status: http.StatusServiceUnavailable, Body: "no database host can be reached\n"},
		Ready:    {Status: http.StatusOK, Body: "ready\n"},
		Draining: {Status: http.StatusServiceUnavailable, Body: "draining\n"},
	}
)

// ServeHTTP answers HTTP checks on an address.
func ServeHTTP(l *eventloop.Loop, addr string, state func() State, full func(error)) (*eventloop.Listener, error) {
	return httpd.Serve(l, addr, func(r httpd.Request) httpd.Response { return respond(r, state()) }, full)
}

func respond(r httpd.Request, s State) httpd.Response {
	switch {
	case r.Method != "GET" && r.Method != "HEAD" && r.Method != "OPTIONS":
		return httpd.Response{Status: http.StatusMethodNotAllowed, Body: "GET, HEAD or OPTIONS\n", Allow: "GET, HEAD, OPTIONS"}
	case r.Path == "/livez":
		return httpd.Response{Status: http.StatusOK, Body: "alive\n"}
	case r.Path == "/" || r.Path == "/healthz" || r.Path == "/readyz" || r.Path == "*":
		return web[s]
	}
	return httpd.Response{Status: http.StatusNotFound, Body: "only /healthz, /readyz and /livez are here\n"}
}

// ServeAgent answers agent checks on an address. The agent speaks without being asked.
func ServeAgent(l *eventloop.Loop, addr string, state func() State, full func(error)) (*eventloop.Listener, error) {
	open := 0
	return l.Listen(addr, func(fd int) {
		conn, err := l.Adopt(fd, maxUnasked)
		if err != nil {
			return
		}
		c := &check{conn: conn, open: &open}
		conn.SetHandler(c)
		if open++; open > mostChecks {
			c.leave()
			return
		}
		c.timer = l.After(patienceMs, c.leave)
		conn.Write([]byte(agent[state()]))
		c.Flushed()
	}, full)
}

// check is one connection of a balancer's agent check.
type check struct {
	conn  *eventloop.Conn
	timer *eventloop.Timer
	open  *int
	left  bool
}

func (c *check) Connected() {}

func (c *check) leave() {
	if !c.left {
		c.left = true
		*c.open--
		c.timer.Stop()
		c.conn.Close()
	}
}

// Flushed ends this side; the other side's end closes the connection.
func (c *check) Flushed() {
	if c.conn.Pending() == 0 {
		c.conn.CloseWrite()
	}
}

// Ended leaves: the answer is out, or nobody hears it.
func (c *check) Ended(error) { c.leave() }

// Data passes over whatever is said.
func (c *check) Data() { c.conn.Consume(len(c.conn.In())) }
