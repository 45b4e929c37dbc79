package discovery

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"time"

	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// NoRevision is the revision of an endpoint list that has not been received yet.
const NoRevision = -1

// maxStartedAtMs is the first start time that doesn't fit a time.Duration, as Unix time in milliseconds.
const maxStartedAtMs = math.MaxInt64 / 1e6

// primaryRole is the role of a group's primary in a Document.
const primaryRole = "leader"

// Document is the body of a response from discovery: the whole endpoint list or the entries that have changed.
type Document struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"` // the whole list: a host without an entry has been removed
	Entries  []Entry `json:"members"`
}

// Entry is one database host of a Document.
type Entry struct {
	ID          string  `json:"id"`
	Address     string  `json:"host_port"`
	Zone        string  `json:"locality"`
	Group       int     `json:"cell"`
	State       string  `json:"phase"`
	Role        string  `json:"role"`
	StartedAtMs float64 `json:"up_since_ms"` // Unix time in milliseconds
}

// endpointStates maps the states in a Document to routing's states.
var endpointStates = map[string]routing.EndpointState{
	"active":  routing.StateReady,
	"leaving": routing.StateDraining,
	"left":    routing.StateGone,
}

// EntryError reports an invalid entry of the endpoint list.
type EntryError struct {
	ID      string // "" if the entry has none
	Address string
	Reason  string
}

func (e *EntryError) Error() string {
	if e.ID == "" {
		return fmt.Sprintf("endpoint list: the entry with host_port %q %s", e.Address, e.Reason)
	}
	return fmt.Sprintf("endpoint list: entry %q: %s", e.ID, e.Reason)
}

// Hosts converts the entries. If some are invalid, it returns the hosts of all valid entries together with an *EntryError
// for the first invalid one.
func (d *Document) Hosts() ([]proxy.Host, error) {
	var hosts []proxy.Host
	var firstError error
	for _, entry := range d.Entries {
		host, err := entry.host()
		if err != nil {
			firstError = cmp.Or(firstError, err)
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts, firstError
}

// host converts one entry. Only an entry in the state "active" needs an address.
func (e *Entry) host() (proxy.Host, error) {
	state, known := endpointStates[e.State]
	_, addressErr := netip.ParseAddrPort(e.Address)
	switch {
	case e.ID == "":
		return proxy.Host{}, e.invalid("has no id")
	case !known:
		return proxy.Host{}, e.invalid(fmt.Sprintf("unknown phase %q", e.State))
	case addressErr != nil && state == routing.StateReady:
		return proxy.Host{}, e.invalid(fmt.Sprintf("host_port %q is not an IP address and port", e.Address))
	case !(e.StartedAtMs >= 0 && e.StartedAtMs < maxStartedAtMs):
		return proxy.Host{}, e.invalid("up_since_ms is out of range")
	}
	endpoint := routing.Endpoint{
		ID:        e.ID,
		Group:     e.Group,
		Zone:      e.Zone,
		Primary:   e.Role == primaryRole,
		State:     state,
		StartedAt: time.Duration(e.StartedAtMs*1000) * time.Microsecond,
	}
	return proxy.Host{Address: e.Address, Endpoint: endpoint}, nil
}

// invalid returns an *EntryError for the entry.
func (e *Entry) invalid(reason string) error {
	return &EntryError{ID: e.ID, Address: e.Address, Reason: reason}
}
