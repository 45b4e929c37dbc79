package health

import (
	"testing"

	"merlinjunction/internal/protocol/httpd"
)

func TestRespond(t *testing.T) {
	for _, c := range []struct {
		method, path string
		state        State
		status       int
		body         string
	}{
		{"GET", "/healthz", Starting, 503, "no database host can be reached\n"},
		{"GET", "/healthz", Ready, 200, "ready\n"},
		{"GET", "/readyz", Draining, 503, "draining\n"},
		{"HEAD", "/", Ready, 200, "ready\n"},
		{"OPTIONS", "*", Ready, 200, "ready\n"},
		{"GET", "/livez", Starting, 200, "alive\n"},
		{"POST", "/livez", Ready, 405, "GET, HEAD or OPTIONS\n"},
		{"GET", "/nowhere", Ready, 404, "only /healthz, /readyz and /livez are here\n"},
	} {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			r := respond(httpd.Request{Method: c.method, Path: c.path}, c.state)
			if r.Status != c.status || r.Body != c.body {
				t.Errorf("got status %d and body %q, want %d and %q", r.Status, r.Body, c.status, c.body)
			}
		})
	}
}
