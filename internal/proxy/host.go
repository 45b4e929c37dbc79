package proxy

import (
	"cmp"
	"maps"
	"slices"

	"merlinjunction/routing"
)

// Host is an entry of the endpoint list with its address.
type Host struct {
	routing.Endpoint
	Address string
}

// host is a database host with its upstream connections and the attempts that wait for a connection. A connection is
// either in the list idle, or in the list dialing, or it carries an attempt.
type host struct {
	Host
	core            *Core
	drainingSinceMs float64        // time since which the host is listed as draining or gone; 0: it is ready
	idle            []*pooledConn  // ordered by last use, the most recently used last
	dialing         []*pooledConn  // not yet established
	waiting         []*hostAttempt // attempts that wait for a connection, oldest first
	openConns       int            // number of connections that are idle, being dialed or carry an attempt
	awaitsRelease   bool           // Limits.MaxConns is reached, and attempts wait for connections in use
	connectFailed   bool           // the last connection attempt to the host failed
}

// isEligible reports whether the host is listed as ready and not excluded by an operator.
func (h *host) isEligible() bool {
	_, excluded := h.core.exclusions[h.ID]
	return h.State == routing.StateReady && !excluded
}

// isRemovable reports whether the host has no connection and no attempt that waits for one.
func (h *host) isRemovable() bool { return h.openConns == 0 && len(h.waiting) == 0 }

// sortedHosts returns all hosts ordered by ID, so that operations on several hosts process them in a fixed order.
func (c *Core) sortedHosts() []*host {
	return slices.SortedFunc(maps.Values(c.hosts), func(a, b *host) int { return cmp.Compare(a.ID, b.ID) })
}
