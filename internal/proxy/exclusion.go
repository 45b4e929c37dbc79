package proxy

import "merlinjunction/routing"

// Exclude excludes a host on an operator's request, from a time in milliseconds until Include is called. The exclusion
// stays in effect when the host restarts, and regardless of the host's state in the endpoint list. Exclude returns false
// if the host is unknown.
func (c *Core) Exclude(id string, sinceMs float64) bool {
	if !c.knowsHost(id) {
		return false
	}
	c.RestoreExclusion(id, sinceMs)
	return true
}

// RestoreExclusion excludes a host, whether or not the endpoint list contains it. If the host is already excluded, the
// earlier of the two times applies.
func (c *Core) RestoreExclusion(id string, sinceMs float64) {
	if current, excluded := c.exclusions[id]; !excluded || sinceMs < current {
		c.exclusions[id] = sinceMs
		c.events = append(c.events, routing.ExcludeHost{Host: id, Since: toDuration(sinceMs)})
	}
}

// Include ends the exclusion of a host. It returns false if the host is unknown.
func (c *Core) Include(id string) bool {
	known := c.knowsHost(id)
	if _, excluded := c.exclusions[id]; excluded {
		delete(c.exclusions, id)
		c.events = append(c.events, routing.IncludeHost{Host: id})
	}
	return known
}

// Exclusions returns, for each host that an operator has excluded, the time of the exclusion in milliseconds. The caller
// must not change the map.
func (c *Core) Exclusions() map[string]float64 { return c.exclusions }

// knowsHost reports whether a host is in the endpoint list or excluded.
func (c *Core) knowsHost(id string) bool {
	_, excluded := c.exclusions[id]
	return excluded || c.hosts[id] != nil
}
