package stubserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// EndpointList is the endpoint list in the form of the discovery protocol.
type EndpointList struct {
	Revision int        `json:"revision"`
	Complete bool       `json:"complete"`
	Members  []Endpoint `json:"members"`
}

// Endpoint is one host of an EndpointList. Phase is "active", "leaving" while the host drains, or "left".
type Endpoint struct {
	ID        string `json:"id"`
	Address   string `json:"host_port"`
	Group     int    `json:"cell"`
	Phase     string `json:"phase"`
	StartedMs int64  `json:"up_since_ms"` // when the host started, in milliseconds since 1970; 0: long ago
}

// WriteList responds to a poll with the complete list.
func WriteList(w http.ResponseWriter, revision int, endpoints []Endpoint) {
	list := EndpointList{Revision: revision, Complete: true, Members: endpoints}
	_ = json.NewEncoder(w).Encode(list) // an error means that the gateway has closed the connection
}

// AwaitChange delays the response to a watch, which is a poll that names a revision in "since". state reports whether there
// is a newer revision, and returns a channel that is closed at the next change. AwaitChange returns when there is a newer
// revision, at the next change, when the watch's time-out has passed, or when its client has closed the connection. For any
// other poll it returns at once.
func AwaitChange(r *http.Request, state func(since int) (newer bool, changed <-chan struct{})) {
	since, err := strconv.Atoi(r.FormValue("since"))
	if err != nil {
		return
	}
	timeoutMs, _ := strconv.Atoi(r.FormValue("timeout_ms")) // 0 if it is missing: no delay
	newer, changed := state(since)
	if newer {
		return
	}
	select {
	case <-changed:
	case <-time.After(time.Duration(timeoutMs) * time.Millisecond):
	case <-r.Context().Done():
	}
}
