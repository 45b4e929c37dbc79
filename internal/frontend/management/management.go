// Package management serves the management calls of operators over HTTP. The calls report readiness, telemetry and the
// members of the fleet, exclude and include database hosts, and evacuate the gateway. The package makes no decisions: each
// call becomes one method call of Gateway.
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

// prometheusTextType is the content type of the Prometheus text format.
const prometheusTextType = "text/plain; version=0.0.4"

// Gateway is the gateway that the calls read or change.
type Gateway interface {
	// AcceptsClients reports whether the gateway currently accepts clients and can serve them.
	AcceptsClients() bool
	// Telemetry returns the counters since the start of the process.
	Telemetry() Telemetry
	// Exclude excludes a database host from use. It returns false if no host has the ID.
	Exclude(id string) bool
	// Include ends the exclusion of a database host. It returns false if no host has the ID.
	Include(id string) bool
	// Evacuate makes the gateway not ready, and disconnects each client when it is idle. The listener stays open: new clients
	// are still accepted and are disconnected in the same way.
	Evacuate()
	// Rejoin ends an evacuation. The gateway becomes ready if it can serve clients, and clients stay connected when idle.
	Rejoin()
	// Fleet returns the gateway's view of its fleet, or nil without a fleet.
	Fleet() *Fleet
	// FleetMetrics returns the metrics of the fleet in the Prometheus text format, or "" without a fleet.
	FleetMetrics() string
}

// Fleet is one gateway's view of its fleet.
type Fleet struct {
	Name        string   `json:"fleet"`
	Self        string   `json:"self"`
	Status      string   `json:"standing"` // status of the gateway itself
	Partial     bool     `json:"part"`     // the gateway reaches only a part of the fleet
	Alive       int      `json:"alive"`    // number of alive members, including the gateway itself
	Suspect     int      `json:"suspect"`
	Unreachable int      `json:"unreachable"`
	Dead        int      `json:"dead"`
	Left        int      `json:"left"`
	Health      int      `json:"health"` // from 0, healthy, to 8, the worst
	Loss        float64  `json:"loss"`   // share of the answered pings that needed a retry
	RoundTripMs float64  `json:"round_trip_ms"`
	Members     []Member `json:"members,omitempty"` // sorted by name
}

// Member is one gateway of a fleet.
type Member struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	State       string  `json:"state"`
	Incarnation uint64  `json:"incarnation"`
	Version     int     `json:"version"` // version of the message format
	StateAgeMs  float64 `json:"for_ms"`  // time since the last change of state
}

// Telemetry holds the counters of a gateway and its view of the fleet.
type Telemetry struct {
	Replies map[string]proxy.ReplyCounts `json:"replies"` // by class
	proxy.Stats
	ReloadSuccess int    `json:"reload_success"`
	ReloadFailure int    `json:"reload_failure"`
	Fleet         *Fleet `json:"fleet,omitempty"` // without its members
}

// Serve serves management calls at an address. It calls onAcceptError when a connection can't be accepted.
func Serve(
	loop *eventloop.Loop, address string, gateway Gateway, onAcceptError func(error),
) (*eventloop.Listener, error) {
	handler := func(r httpd.Request) httpd.Response { return respond(gateway, r) }
	return httpd.Serve(loop, address, handler, onAcceptError)
}

// route is the HTTP method and the handler of a path.
type route struct {
	method  string
	handler func(Gateway, httpd.Request) httpd.Response
}

var routes = map[string]route{
	"/api/ready":     {http.MethodGet, ready},
	"/api/telemetry": {http.MethodGet, telemetry},
	"/api/members":   {http.MethodGet, members},
	"/metrics":       {http.MethodGet, metrics},
	"/api/exclude":   {http.MethodPut, exclude},
	"/api/include":   {http.MethodPut, include},
	"/api/evacuate":  {http.MethodPut, evacuate},
	"/api/rejoin":    {http.MethodPut, rejoin},
}

// doneResponse is the response to a successful call that returns no data.
var doneResponse = httpd.Response{Status: http.StatusOK, Body: "yes\n"}

// respond performs the call that the path names. It responds with 404 to an unknown path and with 405 to a wrong method.
func respond(gateway Gateway, r httpd.Request) httpd.Response {
	matched, known := routes[r.Path]
	if !known {
		return httpd.Response{Status: http.StatusNotFound, Body: "no such call\n"}
	}
	if r.Method != matched.method {
		return httpd.Response{
			Status: http.StatusMethodNotAllowed, Body: "this call is a " + matched.method + "\n", Allow: matched.method,
		}
	}
	return matched.handler(gateway, r)
}

// ready responds with 200 if the gateway accepts clients and can serve them, else with 503.
func ready(gateway Gateway, _ httpd.Request) httpd.Response {
	if !gateway.AcceptsClients() {
		return httpd.Response{Status: http.StatusServiceUnavailable, Body: "no clients are taken\n"}
	}
	return doneResponse
}

// telemetry responds with the gateway's counters as JSON.
func telemetry(gateway Gateway, _ httpd.Request) httpd.Response {
	return jsonResponse(gateway.Telemetry())
}

// members responds with the gateway's view of its fleet as JSON, or with 404 without a fleet.
func members(gateway Gateway, _ httpd.Request) httpd.Response {
	fleet := gateway.Fleet()
	if fleet == nil {
		return httpd.Response{Status: http.StatusNotFound, Body: "no fleet is set up: the operator's file has no [fleet]\n"}
	}
	return jsonResponse(fleet)
}

// metrics responds with the metrics of the fleet in the Prometheus text format. Without a fleet the body is empty.
func metrics(gateway Gateway, _ httpd.Request) httpd.Response {
	return httpd.Response{Status: http.StatusOK, ContentType: prometheusTextType, Body: gateway.FleetMetrics()}
}

// exclude excludes the database host that the body names.
func exclude(gateway Gateway, r httpd.Request) httpd.Response {
	return applyToHost(r.Body, gateway.Exclude)
}

// include ends the exclusion of the database host that the body names.
func include(gateway Gateway, r httpd.Request) httpd.Response {
	return applyToHost(r.Body, gateway.Include)
}

// evacuate starts an evacuation of the gateway. It responds before the clients are disconnected.
func evacuate(gateway Gateway, _ httpd.Request) httpd.Response {
	gateway.Evacuate()
	return doneResponse
}

// rejoin ends an evacuation.
func rejoin(gateway Gateway, _ httpd.Request) httpd.Response {
	gateway.Rejoin()
	return doneResponse
}

// jsonResponse responds with a value as JSON.
func jsonResponse(value any) httpd.Response {
	text, err := json.Marshal(value)
	if err != nil {
		return httpd.Response{Status: http.StatusInternalServerError, Body: err.Error() + "\n"}
	}
	return httpd.Response{Status: http.StatusOK, ContentType: "application/json", Body: string(text) + "\n"}
}

// applyToHost performs an operation on the database host that the body of a call names.
func applyToHost(body []byte, operation func(id string) bool) httpd.Response {
	id, ok := parseHostID(body)
	if !ok {
		return httpd.Response{Status: http.StatusBadRequest, Body: `the body has to be {"id":"ID"}` + "\n"}
	}
	if !operation(id) {
		return httpd.Response{Status: http.StatusNotFound, Body: fmt.Sprintf("no database host %q is known\n", id)}
	}
	return doneResponse
}

// parseHostID returns the id of a body that is exactly one JSON object with a non-empty id.
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
