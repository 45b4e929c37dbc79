package management

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"merlinjunction/internal/protocol/httpd"
	"merlinjunction/internal/proxy"
)

// stubGateway records the method calls that change it. It has one host, "a".
type stubGateway struct {
	accepts bool
	fleet   *Fleet
	calls   []string
}

func (g *stubGateway) AcceptsClients() bool { return g.accepts }
func (g *stubGateway) Fleet() *Fleet        { return g.fleet }
func (g *stubGateway) FleetMetrics() string { return "metric 1\n" }
func (g *stubGateway) Evacuate()            { g.calls = append(g.calls, "evacuate") }
func (g *stubGateway) Rejoin()              { g.calls = append(g.calls, "rejoin") }

func (g *stubGateway) Exclude(id string) bool {
	g.calls = append(g.calls, "exclude "+id)
	return id == "a"
}

func (g *stubGateway) Include(id string) bool {
	g.calls = append(g.calls, "include "+id)
	return id == "a"
}

func (g *stubGateway) Telemetry() Telemetry {
	return Telemetry{
		Replies:       map[string]proxy.ReplyCounts{"read": {Success: 1, Overload: 2, Error: 3}},
		Stats:         proxy.Stats{Dispatches: 4, Concurrent: 5, Targets: 6, TargetsDisabled: 7},
		ReloadSuccess: 8, ReloadFailure: 9,
	}
}

func TestRespond(t *testing.T) {
	const badBody = `the body has to be {"id":"ID"}`
	for _, c := range []struct {
		name, method, path, body string
		gateway                  stubGateway
		status                   int
		want                     string
		call                     string // the recorded method call of the gateway; "" for none
	}{
		{name: "ready", method: "GET", path: "/api/ready", gateway: stubGateway{accepts: true}, status: 200, want: "yes"},
		{name: "not ready", method: "GET", path: "/api/ready", status: 503, want: "no clients are taken"},
		{name: "no fleet", method: "GET", path: "/api/members", status: 404,
			want: "no fleet is set up: the operator's file has no [fleet]"},
		{name: "metrics", method: "GET", path: "/metrics", status: 200, want: "metric 1"},
		{name: "exclude", method: "PUT", path: "/api/exclude", body: `{"id":"a"}`, status: 200, want: "yes",
			call: "exclude a"},
		{name: "include", method: "PUT", path: "/api/include", body: ` {"id":"a"} `, status: 200, want: "yes",
			call: "include a"},
		{name: "unknown host", method: "PUT", path: "/api/exclude", body: `{"id":"b"}`, status: 404,
			want: `no database host "b" is known`, call: "exclude b"},
		{name: "no body", method: "PUT", path: "/api/exclude", status: 400, want: badBody},
		{name: "no id", method: "PUT", path: "/api/exclude", body: `{}`, status: 400, want: badBody},
		{name: "two objects", method: "PUT", path: "/api/include", body: `{"id":"a"}{}`, status: 400, want: badBody},
		{name: "evacuate", method: "PUT", path: "/api/evacuate", status: 200, want: "yes", call: "evacuate"},
		{name: "rejoin", method: "PUT", path: "/api/rejoin", status: 200, want: "yes", call: "rejoin"},
		{name: "wrong method", method: "GET", path: "/api/exclude", body: `{"id":"a"}`, status: 405, want: "this call is a PUT"},
		{name: "unknown path", method: "GET", path: "/api", status: 404, want: "no such call"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := respond(&c.gateway, httpd.Request{Method: c.method, Path: c.path, Body: []byte(c.body)})
			if r.Status != c.status || r.Body != c.want+"\n" {
				t.Errorf("got status %d and body %q, want status %d and body %q", r.Status, r.Body, c.status, c.want+"\n")
			}
			if calls := strings.Join(c.gateway.calls, ", "); calls != c.call {
				t.Errorf("got the calls %q, want %q", calls, c.call)
			}
			if allowed := r.Allow != ""; allowed != (c.status == http.StatusMethodNotAllowed) {
				t.Errorf("status %d: got the Allow header %q, want one for status 405 only", c.status, r.Allow)
			}
		})
	}
}

// Operators' scripts and dashboards depend on the keys of these JSON objects, so the keys must not change.
func TestJSONKeys(t *testing.T) {
	members := []Member{{Name: "a", StateAgeMs: 2}}
	g := &stubGateway{fleet: &Fleet{Name: "f", Self: "a", Status: "fine", Alive: 1, Members: members}}
	for path, want := range map[string]string{
		"/api/telemetry": `{"replies":{"read":{"success":1,"overload":2,"error":3}},` +
			`"dispatches":4,"concurrent":5,"targets":6,"targets_disabled":7,"reload_success":8,"reload_failure":9}`,
		"/api/members": `{"fleet":"f","self":"a","standing":"fine","part":false,"alive":1,"suspect":0,"unreachable":0,` +
			`"dead":0,"left":0,"health":0,"loss":0,"round_trip_ms":0,` +
			`"members":[{"name":"a","address":"","zone":"","state":"","incarnation":0,"version":0,"for_ms":2}]}`,
	} {
		r := respond(g, httpd.Request{Method: "GET", Path: path})
		if r.Body != want+"\n" || r.ContentType != "application/json" || !json.Valid([]byte(r.Body)) {
			t.Errorf("%s: got content type %s and body %s, want JSON: %s", path, r.ContentType, r.Body, want)
		}
	}
}
