package proxy

import "merlinjunction/routing"

// drainGraceMarginMs is how long before the end of a drain grace period the last command is sent, so that it arrives
// in time.
const drainGraceMarginMs = 20.0

// UpdateHosts takes in the complete endpoint list (full), or changes of it, as notified now.
func (c *Core) UpdateHosts(full bool, list []Host) { c.UpdateHostsNotifiedAt(full, list, c.Now()) }

// UpdateHostsNotifiedAt takes in the complete endpoint list (full), or changes of it, that count as notified since a
// time in milliseconds. A host that is listed as draining or gone gets no command once the drain grace period from
// that time is over.
func (c *Core) UpdateHostsNotifiedAt(full bool, list []Host, notifiedAtMs float64) {
	notifiedAtMs = max(1, min(notifiedAtMs, c.Now())) // 0 stands for a host that is ready
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

// applyEntry takes in one entry of the endpoint list.
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
	if h.Address != entry.Address || h.StartedAt != entry.StartedAt { // idle connections lead to an earlier process
		h.closeIdle()
	}
	if h.Address != entry.Address {
		closeAll(h.dialing)
	}
	h.Host = entry
	h.applyListedState(notifiedAtMs)
	if added {
		c.checkNewHost(h)
	}
}

// applyListedState notes since when the host is draining or gone, closes connections that no request will use, and
// dials for the attempts that waited for one of these.
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

// drainGraceOver returns whether the drain grace period of a draining, gone or excluded host is over: no command may
// be sent to it any more. The router checks that when it starts an attempt; this check is for a connection that is
// established later.
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
