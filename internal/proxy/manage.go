package proxy

import "merlinjunction/routing"

// What operators ask of the core: its figures, and hosts out of use and back.

// Replies counts the final answers to one class's requests.
type Replies struct {
	Success  int `json:"success"`  // served
	Overload int `json:"overload"` // refused
	Error    int `json:"error"`    // failed
}

// Figures are what the core counts or knows at a moment, beside the replies.
type Figures struct {
	Dispatches      int `json:"dispatches"`       // attempts written whole to hosts
	Concurrent      int `json:"concurrent"`       // requests taken and not ended
	Targets         int `json:"targets"`          // hosts in the list
	TargetsDisabled int `json:"targets_disabled"` // hosts in the list that get nothing new now, by hand or by choice
}

// Figures returns them.
func (c *Core) Figures() Figures {
	f := Figures{Dispatches: c.written, Concurrent: c.Open(), TargetsDisabled: c.router.Avoided(span(c.Now()))}
	for _, h := range c.hosts {
		if h.State != routing.Gone {
			f.Targets++
		}
	}
	return f
}

// Replies returns the counts by class, in the order of the settings.
func (c *Core) Replies() []Replies { return c.replies }

// Exclude takes a host out of use from now on, or from an earlier moment, until Include: over restarts of the host and
// whatever the list says. False where nobody has heard of it.
func (c *Core) Exclude(id string, atMs float64) bool {
	_, banned := c.bans[id]
	if c.hosts[id] == nil && !banned {
		return false
	}
	c.Restore(id, atMs)
	return true
}

// Restore takes a host out of use that the list need not name yet.
func (c *Core) Restore(id string, atMs float64) {
	if at, banned := c.bans[id]; !banned || atMs < at {
		c.bans[id] = atMs
		c.events = append(c.events, routing.Exclude{Member: id, At: span(atMs)})
	}
}

// Include uses a host again; false where nobody has heard of it.
func (c *Core) Include(id string) bool {
	_, banned := c.bans[id]
	if banned {
		delete(c.bans, id)
		c.events = append(c.events, routing.Include{Member: id})
	}
	return banned || c.hosts[id] != nil
}

// Bans are the hosts out of use by hand, and since when.
func (c *Core) Bans() map[string]float64 { return c.bans }

// Beside tells that another process of the same gateway is at work, or is so no more, and how many connections to hosts
// may be held from here meanwhile.
func (c *Core) Beside(live bool, conns int) {
	c.limits.Conns = conns
	for c.conns > conns && c.closeOldestIdle() {
	}
	c.events = append(c.events, routing.Beside{Live: live})
}
