package model

import (
	"math"
	"strconv"
	"time"

	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// Discovery is the model of the service that publishes the endpoint list. It answers a limited number of polls for the
// full list per second and rejects the others. It answers watches without a limit.
type Discovery struct {
	MaxFullListsPerSecond float64 // 0: no limit
	HideStartTimes        bool    // the list omits the times at which hosts started

	world        *World
	revision     int          // of the endpoint list
	hosts        []proxy.Host // entries of the endpoint list
	tokens       float64      // token bucket: polls for the full list that may be answered at once
	refilledAtMs float64      // when tokens was last refilled
	waiting      []*Watcher   // watchers whose watch waits for the next revision
}

// NewDiscovery returns a Discovery whose list is empty.
func (w *World) NewDiscovery(maxFullListsPerSecond float64) *Discovery {
	return &Discovery{world: w, MaxFullListsPerSecond: maxFullListsPerSecond}
}

// Publish makes a new revision of the list from the hosts' current state and answers all waiting watches with it. Only
// hosts that are up are listed.
func (d *Discovery) Publish() {
	d.revision++
	d.hosts = d.hosts[:0]
	for _, host := range d.world.Hosts {
		if host.Up {
			d.hosts = append(d.hosts, d.listEntry(host))
		}
	}
	waiting := d.waiting
	d.waiting = nil
	for _, watcher := range waiting {
		watcher.answer()
	}
}

// listEntry returns the list's entry of a host. The time at which a drain is listed first becomes the host's NotifiedAt.
func (d *Discovery) listEntry(host *Host) proxy.Host {
	endpoint := routing.Endpoint{
		ID:      host.ID,
		Group:   host.Group.Index,
		Zone:    host.Zone,
		Primary: host.Group.Primary == host,
		State:   routing.StateReady,
	}
	if !math.IsNaN(host.DrainAt) {
		endpoint.State = routing.StateDraining
		if math.IsNaN(host.NotifiedAt) {
			host.NotifiedAt = d.world.Now()
		}
	}
	if !math.IsNaN(host.StartedAt) && !d.HideStartTimes {
		endpoint.StartedAt = time.Duration((Epoch + host.StartedAt) * float64(time.Millisecond))
	}
	return proxy.Host{Address: strconv.Itoa(host.Index), Endpoint: endpoint}
}

// takeToken reports whether the rate limit allows one more poll for the full list, and counts that poll if so.
func (d *Discovery) takeToken() bool {
	limit := d.MaxFullListsPerSecond
	if limit <= 0 {
		return true
	}
	now := d.world.Now()
	d.tokens = min(limit, d.tokens+(now-d.refilledAtMs)*limit/1000)
	d.refilledAtMs = now
	if d.tokens < 1 {
		return false
	}
	d.tokens--
	return true
}
