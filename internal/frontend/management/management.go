// Package management is the operators' address: they ask how the gateway does, take database hosts out and back in,
// and send its clients away. It decides nothing: each call becomes one call of the gateway's.
package management

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/protocol/httpd"
	"merlinjunction/internal/proxy"
)

// Gateway is what the calls act on.
type Gateway interface {
	// TakesClients tells whether clients are taken now.
	AcceptsClients() bool
	// Telemetry is what has been counted since this process started.
	Telemetry() Telemetry
	// Exclude takes a database host out of use, Include uses it again; false where no such host is known.
	Exclude(id string) bool
	Include(id string) bool
	// Evacuate sends the clients away, Rejoin takes them again.
	Evacuate()
	Rejoin()
	// Fleet is what is known of the other gateways; nil where no fleet is set up.
	Fleet() *Fleet
	// FleetMetrics are the fleet's figures in the text form of Prometheus.
	FleetMetrics() string
}

// Fleet is one gateway's view of its fleet.
type Fleet struct {
	Name        string   `json:"fleet"`
	Self        string   `json:"self"`
	Status      string   `json:"standing"` // what it thinks of itself
	Partial     bool     `json:"part"`     // it sees only a part of the fleet
	Alive       int      `json:"alive"`    // itself included
	Suspect     int      `json:"suspect"`
	Unreachable int      `json:"unreachable"`
	Dead        int      `json:"dead"`
	Left        int      `json:"left"`
	Health      int      `json:"health"` // 0 is well, 8 the worst
	Loss        float64  `json:"loss"`   // share of answered probes that needed another try
	RoundTripMs float64  `json:"round_trip_ms"`
	Members     []Member `json:"members,omitempty"` // by name
}

// Member is one gateway.
type Member struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	State       string  `json:"state"`
	Incarnation uint64  `json:"incarnation"`
	Version     int     `json:"version"` // of messages
	ForMs       float64 `json:"for_ms"`  // since the last change of state
}

// Telemetry are the figures.
type Telemetry struct {
	Replies map[string]proxy.ReplyCounts `json:"replies"` // by class
	proxy.Stats
	ReloadSuccess int    `json:"reload_success"`
	ReloadFailure int    `json:"reload_failure"`
	Fleet         *Fleet `json:"fleet,omitempty"` // without members
}

// Serve answers the calls that come to an address.
func Serve(l *eventloop.Loop, addr string, g Gateway, full func(error)) (*eventloop.Listener, error) {
	return httpd.Serve(l, addr, func(r httpd.Request) httpd.Response { return respond(g, r) }, full)
}

func respond(g Gateway, r httpd.Request) httpd.Response {
	method, known := methods[r.Path]
	switch {
	case !known:
		return httpd.Response{Status: http.StatusNotFound, Body: "no such call\n"}
	case r.Method != method:
		return httpd.Response{Status: http.StatusMethodNotAllowed, Body: "this call is a " + method + "\n", Allow: method}
	}
	switch r.Path {
	case "/api/ready":
		if !g.AcceptsClients() {
			return httpd.Response{Status: http.StatusServiceUnavailable, Body: "no clients are taken\n"}
		}
	case "/api/telemetry":
		return figures(g.Telemetry())
	case "/api/members":
		f := g.Fleet()
		if f == nil {
			return httpd.Response{Status: http.StatusNotFound, Body: "no fleet is set up: the operator's file has no [fleet]\n"}
		}
		return figures(f)
	case "/metrics":
		return httpd.Response{Status: http.StatusOK, Type: "text/plain; version=0.0.4", Body: g.FleetMetrics()}
	case "/api/exclude":
		return host(r.Body, g.Exclude)
	case "/api/include":
		return host(r.Body, g.Include)
	case "/api/evacuate":
		g.Evacuate()
	case "/api/rejoin":
		g.Rejoin()
	}
	return yes
}

func figures(v any) httpd.Response {
	text, err := json.Marshal(v)
	if err != nil {
		return httpd.Response{Status: http.StatusInternalServerError, Body: err.Error() + "\n"}
	}
	return httpd.Response{Status: http.StatusOK, Type: "application/json", Body: string(text) + "\n"}
}

var (
	yes     = httpd.Response{Status: http.StatusOK, Body: "yes\n"}
	methods = map[string]string{
		"/api/ready": "GET", "/api/telemetry": "GET", "/api/members": "GET", "/metrics": "GET",
		"/api/exclude": "PUT", "/api/include": "PUT", "/api/evacuate": "PUT", "/api/rejoin": "PUT",
	}
)

// host reads which database host a call names, and carries it out.
func host(body []byte, call func(id string) bool) httpd.Response {
	var named struct {
		ID string `json:"id"`
	}
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(&named); err != nil || named.ID == "" || d.Decode(&struct{}{}) != io.EOF {
		return httpd.Response{Status: http.StatusBadRequest, Body: `the body has to be {"id":"ID"}` + "\n"}
	}
	if !call(named.ID) {
		return httpd.Response{Status: http.StatusNotFound, Body: fmt.Sprintf("no database host %q is known\n", named.ID)}
	}
	return yes
}
