// Package management serves the operators' calls over HTTP: they read readiness, telemetry and the fleet's members,
// take database hosts out of use, and evacuate the gateway. It decides nothing: each call becomes one method call of
// Gateway.
package management

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/protocol/httpd"
	"merlinjunction/internal/proxy"
)

// prometheusTextType is the content type of Prometheus's text format.
const prometheusTextType = "text/plain; version=0.0.4"

// Gateway is what the calls act on.
type Gateway interface {
	// AcceptsClients reports whether clients are accepted now and can be served.
	AcceptsClients() bool
	// Telemetry is what has been counted since the process started.
	Telemetry() Telemetry
	// Exclude takes a database host out of use; false where no such host is known.
	Exclude(id string) bool
	// Include uses a database host again; false where no such host is known.
	Include(id string) bool
	// Evacuate makes the gateway not ready, and disconnects clients as they become idle. The listener stays open: new
	// clients are still accepted and are disconnected in the same way.
	Evacuate()
	// Rejoin ends an evacuation: the gateway is ready again where it can serve, and clients stay connected.
	Rejoin()
	// Fleet is the gateway's view of its fleet; nil without one.
	Fleet() *Fleet
	// FleetMetrics are the fleet's metrics in the text format of Prometheus; "" without a fleet.
	FleetMetrics() string
}

// Fleet is one gateway's view of its fleet.
type Fleet struct {
	Name        string   `json:"fleet"`
	Self        string   `json:"self"`
	Status      string   `json:"standing"` // of the gateway itself
	Partial     bool     `json:"part"`     // the gateway reaches only a part of the fleet
	Alive       int      `json:"alive"`    // members, itself included
	Suspect     int      `json:"suspect"`
	Unreachable int      `json:"unreachable"`
	Dead        int      `json:"dead"`
	Left        int      `json:"left"`
	Health      int      `json:"health"` // 0 is healthy, 8 the worst
	Loss        float64  `json:"loss"`   // share of answered pings that needed a retry
	RoundTripMs float64  `json:"round_trip_ms"`
	Members     []Member `json:"members,omitempty"` // by name
}

// Member is one gateway of a fleet.
type Member struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	State       string  `json:"state"`
	Incarnation uint64  `json:"incarnation"`
	Version     int     `json:"version"` // of the message format
	StateAgeMs  float64 `json:"for_ms"`  // since the last change of state
}

// Telemetry is what a gateway has counted.
type Telemetry struct {
	Replies map[string]proxy.ReplyCounts `json:"replies"` // by class
	proxy.Stats
	ReloadSuccess int    `json:"reload_success"`
	ReloadFailure int    `json:"reload_failure"`
	Fleet         *Fleet `json:"fleet,omitempty"` // without its members
}

// Serve serves the calls that come to an address. onAcceptError is called when no connection can be accepted.
func Serve(
	loop *eventloop.Loop, address string, gateway Gateway, onAcceptError func(error),
) (*eventloop.Listener, error) {
	handler := func(r httpd.Request) httpd.Response { return respond(gateway, r) }
	return httpd.Serve(loop, address, handler, onAcceptError)
}

// call is one of the operators' calls.
type call struct {
	method  string
	respond func(Gateway, httpd.Request) httpd.Response
}

var calls = map[string]call{
	"/api/ready":     {http.MethodGet, ready},
	"/api/telemetry": {http.MethodGet, telemetry},
	"/api/members":   {http.MethodGet, members},
	"/metrics":       {http.MethodGet, metrics},
	"/api/exclude":   {http.MethodPut, exclude},
	"/api/include":   {http.MethodPut, include},
	"/api/evacuate":  {http.MethodPut, evacuate},
	"/api/rejoin":    {http.MethodPut, rejoin},
}

// done is the response to a call that was carried out.
var done = httpd.Response{Status: http.StatusOK, Body: "yes\n"}

// respond carries out the call that the path names, or responds with 404 or 405.
func respond(gateway Gateway, r httpd.Request) httpd.Response {
	called, known := calls[r.Path]
	if !known {
		return httpd.Response{Status: http.StatusNotFound, Body: "no such call\n"}
	}
	if r.Method != called.method {
		return httpd.Response{
			Status: http.StatusMethodNotAllowed, Body: "this call is a " + called.method + "\n", Allow: called.method,
		}
	}
	return called.respond(gateway, r)
}

// ready responds with 200 while clients are accepted and can be served, else with 503.
func ready(gateway Gateway, _ httpd.Request) httpd.Response {
	if !gateway.AcceptsClients() {
		return httpd.Response{Status: http.StatusServiceUnavailable, Body: "no clients are taken\n"}
	}
	return done
}

// telemetry responds with the gateway's counters as JSON.
func telemetry(gateway Gateway, _ httpd.Request) httpd.Response {
	return jsonResponse(gateway.Telemetry())
}

// members responds with the gateway's view of its fleet as JSON; 404 without a fleet.
func members(gateway Gateway, _ httpd.Request) httpd.Response {
	fleet := gateway.Fleet()
	if fleet == nil {
		return httpd.Response{Status: http.StatusNotFound, Body: "no fleet is set up: the operator's file has no [fleet]\n"}
	}
	return jsonResponse(fleet)
}

// metrics responds with the fleet's metrics as Prometheus's text; the body is empty without a fleet.
func metrics(gateway Gateway, _ httpd.Request) httpd.Response {
	return httpd.Response{Status: http.StatusOK, ContentType: prometheusTextType, Body: gateway.FleetMetrics()}
}

// exclude takes the database host that the body names out of use.
func exclude(gateway Gateway, r httpd.Request) httpd.Response {
	return callWithHost(r.Body, gateway.Exclude)
}

// include uses the database host that the body names again.
func include(gateway Gateway, r httpd.Request) httpd.Response {
	return callWithHost(r.Body, gateway.Include)
}

// evacuate starts an evacuation of the gateway; it returns before the clients have left.
func evacuate(gateway Gateway, _ httpd.Request) httpd.Response {
	gateway.Evacuate()
	return done
}

// rejoin ends an evacuation.
func rejoin(gateway Gateway, _ httpd.Request) httpd.Response {
	gateway.Rejoin()
	return done
}

// jsonResponse responds with a value as JSON.
func jsonResponse(value any) httpd.Response {
	text, err := json.Marshal(value)
	if err != nil {
		return httpd.Response{Status: http.StatusInternalServerError, Body: err.Error() + "\n"}
	}
	return httpd.Response{Status: http.StatusOK, ContentType: "application/json", Body: string(text) + "\n"}
}

// callWithHost carries out a call whose body names a database host.
func callWithHost(body []byte, carryOut func(id string) bool) httpd.Response {
	id, ok := parseHostID(body)
	if !ok {
		return httpd.Response{Status: http.StatusBadRequest, Body: `the body has to be {"id":"ID"}` + "\n"}
	}
	if !carryOut(id) {
		return httpd.Response{Status: http.StatusNotFound, Body: fmt.Sprintf("no database host %q is known\n", id)}
	}
	return done
}

// parseHostID reads a body that is one JSON object with an id and nothing behind it.
func parseHostID(body []byte) (id string, ok bool) {
	var request struct {
		ID string `json:"id"`
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&request); err != nil || request.ID == "" {
		return "", false
	}
	trailing := decoder.Decode(&struct{}{})
	return request.ID, errors.Is(trailing, io.EOF)
}
