package proxy

import "merlinjunction/routing"

// drainGraceMarginMs is the time before the end of a drain grace period from which no command is sent, so that the last
// command arrives in time.
const drainGraceMarginMs = 20.0

// UpdateHosts applies an endpoint update that counts as notified now. The list is complete if full is set, otherwise it
// contains changes only.
func (c *Core) UpdateHosts(full bool, list []Host) { c.UpdateHostsNotifiedAt(full, list, c.Now()) }

// UpdateHostsNotifiedAt applies an endpoint update that counts as notified at notifiedAtMs. The list is complete if full
// is set, otherwise it contains changes only. The drain grace period of a host that is listed as draining or gone starts
// at notifiedAtMs; once it is over, the host gets no command.
func (c *Core) UpdateHostsNotifiedAt(full bool, list []Host, notifiedAtMs float64) {
	notifiedAtMs = max(1, min(notifiedAtMs, c.Now())) // drainingSinceMs is 0 for a ready host
	update := routing.EndpointUpdate{Full: full, NotifiedAt: toDuration(notifiedAtMs)}
	listed := map[string]bool{}
	for _, entry := range list {
		listed[entry.ID] = true
		update.Endpoints = append(update.Endpoints, entry.Endpoint)
		c.applyEntry(entry, notifiedAtMs)
	}
	for _, h := range c.sortedHosts() {
		if full && !listed[h.ID] {
			h.State = routing.StateGone
			h.applyListedState(notifiedAtMs)
		}
		if h.State == routing.StateGone && h.isRemovable() {
			delete(c.hosts, h.ID)
		}
	}
	c.events = append(c.events, update)
}

// applyEntry applies one entry of the endpoint list.
func (c *Core) applyEntry(entry Host, notifiedAtMs float64) {
	h := c.hosts[entry.ID]
	added := h == nil
	if added {
		if entry.State == routing.StateGone {
			return
		}
		h = &host{core: c}
		c.hosts[entry.ID] = h
	}
	if h.Address != entry.Address || h.StartedAt != entry.StartedAt { // idle connections are to an earlier process
		h.closeIdle()
	}
	if h.Address != entry.Address {
		closeAll(h.dialing)
	}
	if entry.State == routing.StateGone && !added { // its group doesn't change any more
		entry.Group = h.Group
	}
	h.Host = entry
	h.applyListedState(notifiedAtMs)
	if added {
		c.checkNewHost(h)
	}
}

// applyListedState sets drainingSinceMs, closes the idle connections of a host that is gone, and dials for the attempts
// that waited for a closed connection.
func (h *host) applyListedState(notifiedAtMs float64) {
	switch {
	case h.State == routing.StateReady:
		h.drainingSinceMs = 0
	case h.drainingSinceMs == 0:
		h.drainingSinceMs = notifiedAtMs
	}
	if h.State == routing.StateGone {
		h.closeIdle()
	}
	h.dialIfNeeded()
}

// drainGraceOver reports whether the drain grace period of a draining, gone or excluded host is over, so that no command
// may be sent to it. The router checks that when it starts an attempt. This second check covers a connection that is
// established later. If Settings.UseUnlistedHosts is set, only an exclusion starts the grace period of a host that is gone.
func (h *host) drainGraceOver() bool {
	core := h.core
	sinceMs := h.drainingSinceMs
	if core.settings.UseUnlistedHosts && h.State == routing.StateGone {
		sinceMs = 0
	}
	excludedMs, excluded := core.exclusions[h.ID]
	if excluded && (sinceMs == 0 || excludedMs < sinceMs) {
		sinceMs = excludedMs
	}
	return sinceMs > 0 && core.Now() >= sinceMs+toMs(core.settings.DrainGrace)-drainGraceMarginMs
}
