package proxy

import "merlinjunction/routing"

// Exclude takes a host out of use by an operator's order, from a time in milliseconds on, until Include. It holds over
// restarts of the host and whatever the endpoint list says. Exclude returns false where the host is unknown.
func (c *Core) Exclude(id string, sinceMs float64) bool {
	if !c.knowsHost(id) {
		return false
	}
	c.RestoreExclusion(id, sinceMs)
	return true
}

// RestoreExclusion excludes a host that the endpoint list need not name yet. Of two times the earlier one counts.
func (c *Core) RestoreExclusion(id string, sinceMs float64) {
	if current, excluded := c.exclusions[id]; !excluded || sinceMs < current {
		c.exclusions[id] = sinceMs
		c.events = append(c.events, routing.ExcludeHost{Host: id, Since: toDuration(sinceMs)})
	}
}

// Include ends the exclusion of a host. It returns false where the host is unknown.
func (c *Core) Include(id string) bool {
	known := c.knowsHost(id)
	if _, excluded := c.exclusions[id]; excluded {
		delete(c.exclusions, id)
		c.events = append(c.events, routing.IncludeHost{Host: id})
	}
	return known
}

// Exclusions returns the hosts that are excluded by hand, and since when in milliseconds. The caller must not change
// the map.
func (c *Core) Exclusions() map[string]float64 { return c.exclusions }

// knowsHost returns whether a host is in the endpoint list or excluded.
func (c *Core) knowsHost(id string) bool {
	_, excluded := c.exclusions[id]
	return excluded || c.hosts[id] != nil
}
