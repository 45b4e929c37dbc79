package proxy

import "merlinjunction/routing"

// What operators ask of the core: its figures, and hosts out of use and back.

// ReplyCounts counts the final answers to one class's requests.
type ReplyCounts struct {
	Success  int `json:"success"`  // served
	Overload int `json:"overload"` // refused
	Error    int `json:"error"`    // failed
}

// Stats are what the core counts or knows at a moment, beside the replies.
type Stats struct {
	Dispatches      int `json:"dispatches"`       // attempts written whole to hosts
	Concurrent      int `json:"concurrent"`       // requests taken and not ended
	Targets         int `json:"targets"`          // hosts in the list
	TargetsDisabled int `json:"targets_disabled"` // hosts in the list that get nothing new now, by hand or by choice
}

// Stats returns them.
func (c *Core) Stats() Stats {
	f := Stats{Dispatches: c.written, Concurrent: c.OpenRequests(), TargetsDisabled: c.router.UnavailableHosts(span(c.Now()))}
	for _, h := range c.hosts {
		if h.State != routing.StateGone {
			f.Targets++
		}
	}
	return f
}

// ReplyCounts returns the counts by class, in the order of the settings.
func (c *Core) ReplyCounts() []ReplyCounts { return c.replies }

// Exclude takes a host out of use from now on, or from an earlier moment, until Include: over restarts of the host and
// whatever the list says. False where nobody has heard of it.
func (c *Core) Exclude(id string, atMs float64) bool {
	_, banned := c.bans[id]
	if c.hosts[id] == nil && !banned {
		return false
	}
	c.RestoreExclusion(id, atMs)
	return true
}

// RestoreExclusion takes a host out of use that the list need not name yet.
func (c *Core) RestoreExclusion(id string, atMs float64) {
	if at, banned := c.bans[id]; !banned || atMs < at {
		c.bans[id] = atMs
		c.events = append(c.events, routing.ExcludeHost{Host: id, Since: span(atMs)})
	}
}

// Include uses a host again; false where nobody has heard of it.
func (c *Core) Include(id string) bool {
	_, banned := c.bans[id]
	if banned {
		delete(c.bans, id)
		c.events = append(c.events, routing.IncludeHost{Host: id})
	}
	return banned || c.hosts[id] != nil
}

// Exclusions are the hosts out of use by hand, and since when.
func (c *Core) Exclusions() map[string]float64 { return c.bans }

// SetSiblingProcess tells that another process of the same gateway is at work, or is so no more, and how many connections to hosts
// may be held from here meanwhile.
func (c *Core) SetSiblingProcess(live bool, conns int) {
	c.limits.MaxConns = conns
	for c.conns > conns && c.closeOldestIdle() {
	}
	c.events = append(c.events, routing.SiblingProcess{Running: live})
}
