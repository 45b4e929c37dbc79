package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"merlinjunction/internal/stubserver"
)

// discovery serves a list that does not change.
type discovery struct{ list Object }

// listRevision is the revision of the list.
const listRevision = 41

// List returns the list of the hosts in discovery's form. roles says whether it names the primary.
func List(hosts []*Host, roles bool) Object {
	var members []Object
	for _, host := range hosts {
		entry := Object{
			"id": host.ID, "host_port": host.Address(), "locality": host.Zone, "flavor": "m1", "cell": host.Group,
			"phase": "active", "size": 1.0, "up_since_ms": 0,
		}
		if roles {
			entry["role"] = "follower"
			if host.Primary() {
				entry["role"] = "leader"
			}
		}
		members = append(members, entry)
	}
	return Object{"revision": listRevision, "complete": true, "members": members}
}

// ServeDiscovery starts discovery with a list and returns its address.
func ServeDiscovery(list Object) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: discovery{list}, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// ServeHTTP answers with the whole list, or a watch with no change once its time is over.
func (d discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := d.list
	if since, err := strconv.Atoi(r.FormValue("since")); err == nil && since >= listRevision {
		stubserver.AwaitChange(r, func(int) (bool, <-chan struct{}) { return false, nil })
		answer = Object{"revision": listRevision, "complete": false, "members": []Object{}}
	}
	_ = json.NewEncoder(w).Encode(answer) // an error means that the gateway has closed the connection
}
