package stubserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// EndpointList is the list of hosts as discovery writes it.
type EndpointList struct {
	Revision int        `json:"revision"`
	Complete bool       `json:"complete"`
	Members  []Endpoint `json:"members"`
}

// Endpoint is one host of an EndpointList. Phase is active, leaving or left.
type Endpoint struct {
	ID        string `json:"id"`
	Address   string `json:"host_port"`
	Group     int    `json:"cell"`
	Phase     string `json:"phase"`
	StartedMs int64  `json:"up_since_ms"` // since 1970; 0: long ago
}

// WriteList answers a call with the whole list.
func WriteList(w http.ResponseWriter, revision int, endpoints []Endpoint) {
	list := EndpointList{Revision: revision, Complete: true, Members: endpoints}
	_ = json.NewEncoder(w).Encode(list) // the caller has gone if this fails
}

// AwaitChange holds a watch until there is a revision newer than the one that the call names, or its time is over. state
// tells whether there is one, and returns a channel that is closed when there will be.
func AwaitChange(r *http.Request, state func(since int) (newer bool, changed <-chan struct{})) {
	since, err := strconv.Atoi(r.FormValue("since"))
	if err != nil {
		return
	}
	timeoutMs, _ := strconv.Atoi(r.FormValue("timeout_ms"))
	if newer, changed := state(since); !newer {
		select {
		case <-changed:
		case <-time.After(time.Duration(timeoutMs) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
}
