// Package health responds to the health checks of load balancers: the agent-check protocol of HAProxy, and checks over
// HTTP/1.1.
package health

import (
	"net/http"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/protocol/httpd"
)

// State is the state of the gateway that health checks report.
type State int

// States of a gateway.
const (
	Starting State = iota // no host is known or can be reached, or the gateway awaits its first endpoint list
	Ready
	Draining
)

const (
	agentCheckTimeoutMs = 2000.0 // from accepting a connection to closing it
	maxAgentChecks      = 16     // open connections of one listener
	agentInputLimit     = 1 << 10
)

// agentResponses are the agent-check protocol's responses for each state.
var agentResponses = map[State]string{
	Starting: "down#no database host can be reached\n",
	Ready:    "up ready 100%\n",
	Draining: "drain\n",
}

// httpResponses are the responses to HTTP checks for each state.
var httpResponses = map[State]httpd.Response{
	Starting: {Status: http.StatusServiceUnavailable, Body: "no database host can be reached\n"},
	Ready:    {Status: http.StatusOK, Body: "ready\n"},
	Draining: {Status: http.StatusServiceUnavailable, Body: "draining\n"},
}

// ServeHTTP responds to HTTP checks on an address. onAcceptError is called when accepting a connection fails.
func ServeHTTP(
	loop *eventloop.Loop, address string, state func() State, onAcceptError func(error),
) (*eventloop.Listener, error) {
	handler := func(r httpd.Request) httpd.Response { return respond(r, state()) }
	return httpd.Serve(loop, address, handler, onAcceptError)
}

func respond(r httpd.Request, state State) httpd.Response {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
	default:
		return httpd.Response{
			Status: http.StatusMethodNotAllowed, Body: "GET, HEAD or OPTIONS\n", Allow: "GET, HEAD, OPTIONS",
		}
	}
	switch r.Path {
	case "/livez":
		return httpd.Response{Status: http.StatusOK, Body: "alive\n"}
	case "/", "/healthz", "/readyz", "*":
		return httpResponses[state]
	}
	return httpd.Response{Status: http.StatusNotFound, Body: "only /healthz, /readyz and /livez are here\n"}
}

// ServeAgent responds to agent checks on an address. It sends the state as soon as it has accepted a connection.
// onAcceptError is called when accepting a connection fails.
func ServeAgent(
	loop *eventloop.Loop, address string, state func() State, onAcceptError func(error),
) (*eventloop.Listener, error) {
	agent := &agentServer{loop: loop, state: state}
	return loop.Listen(address, agent.accept, onAcceptError)
}

// agentServer serves the agent checks of one listener.
type agentServer struct {
	loop  *eventloop.Loop
	state func() State
	open  int // number of open connections
}

func (s *agentServer) accept(fd int) {
	conn, err := s.loop.Adopt(fd, agentInputLimit)
	if err != nil {
		return
	}
	c := &agentCheck{server: s, conn: conn}
	conn.SetHandler(c)
	s.open++
	if s.open > maxAgentChecks {
		c.close()
		return
	}
	c.timer = s.loop.After(agentCheckTimeoutMs, c.close)
	conn.Write([]byte(agentResponses[s.state()]))
	c.Flushed()
}

// agentCheck is one connection of an agent check. It implements eventloop.Handler.
type agentCheck struct {
	server *agentServer
	conn   *eventloop.Conn
	timer  *eventloop.Timer
	closed bool
}

// Connected implements eventloop.Handler.
func (c *agentCheck) Connected() {}

// Flushed implements eventloop.Handler. It ends the gateway's sending direction once the response has been written. The
// connection is closed when the load balancer has ended its direction too.
func (c *agentCheck) Flushed() {
	if c.conn.Pending() == 0 {
		c.conn.CloseWrite()
	}
}

// Ended implements eventloop.Handler. It closes the connection.
func (c *agentCheck) Ended(error) { c.close() }

// Data implements eventloop.Handler. It discards all input.
func (c *agentCheck) Data() { c.conn.Consume(len(c.conn.In())) }

func (c *agentCheck) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.server.open--
	c.timer.Stop()
	c.conn.Close()
}
