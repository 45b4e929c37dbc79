package proxy

import "merlinjunction/routing"

// ReplyCounts counts the final answers to the requests of one class, by result.
type ReplyCounts struct {
	Success  int `json:"success"`
	Overload int `json:"overload"` // rejected, including requests that were not accepted
	Error    int `json:"error"`    // failed
}

// Stats are the counters and gauges of a Core, besides ReplyCounts.
type Stats struct {
	Dispatches int `json:"dispatches"` // attempts whose last byte was written to a host
	Concurrent int `json:"concurrent"` // requests without a final answer
	Targets    int `json:"targets"`    // hosts in the endpoint list
	// TargetsDisabled counts the hosts in the endpoint list that are excluded, draining, ejected or unresponsive. An
	// unresponsive host may still get reads.
	TargetsDisabled int `json:"targets_disabled"`
}

// Stats returns the current values.
func (c *Core) Stats() Stats {
	stats := Stats{
		Dispatches:      c.writtenAttempts,
		Concurrent:      c.OpenRequests(),
		TargetsDisabled: c.router.UnavailableHosts(toDuration(c.Now())),
	}
	for _, h := range c.hosts {
		if h.State != routing.StateGone {
			stats.Targets++
		}
	}
	return stats
}

// CountRejection counts a request that a frontend rejects without calling Submit.
func (c *Core) CountRejection(class int) { c.replyCounts[class].Overload++ }

// ReplyCounts returns the counts by class, in the order of the settings. The caller must not change them.
func (c *Core) ReplyCounts() []ReplyCounts { return c.replyCounts }

// AcceptedRequests returns how many requests Submit has accepted since the start.
func (c *Core) AcceptedRequests() int { return int(c.lastID) }

// OpenRequests returns how many requests have no final answer yet and a client that still waits for it.
func (c *Core) OpenRequests() int {
	open := 0
	for _, req := range c.requests {
		if !req.finished {
			open++
		}
	}
	return open
}
