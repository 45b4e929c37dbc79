package model

import (
	"math"
	"strconv"
	"time"

	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// Discovery is the model of the service that publishes the endpoint list. It answers a bounded number of polls for the
// full list each second and rejects the others; watches are answered without a bound.
type Discovery struct {
	MaxFullListsPerSecond float64 // 0: no limit
	HideStartTimes        bool    // the list leaves out when hosts started

	world        *World
	version      int // of the list
	hosts        []proxy.Host
	tokens       float64 // full lists that may be answered at once (token bucket)
	refilledAtMs float64 // when tokens was last refilled
	waiting      []*Watcher
}

// NewDiscovery returns a Discovery whose list is empty.
func (w *World) NewDiscovery(maxFullListsPerSecond float64) *Discovery {
	return &Discovery{world: w, MaxFullListsPerSecond: maxFullListsPerSecond}
}

// Publish makes a new version of the list from the hosts' present state and answers all waiting watches with it.
func (d *Discovery) Publish() {
	d.version++
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

// listEntry is a host as the list shows it. Listing a drain for the first time notifies the gateways of it.
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

// takeToken admits one poll for the full list; false where the rate limit is exceeded.
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
