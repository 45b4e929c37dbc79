package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the moved-host case, in seconds after the gateway is ready.
const (
	moveLeavingAt = 3.0  // discovery says that the host drains
	moveLeftAt    = 6.0  // it has left, and its process ends
	moveActiveAt  = 9.0  // it starts again, in its new group
	moveEnd       = 30.0 // the load ends
)

// movedHost takes a replica out of one group, with a drain, and puts the same machine into another group. Requests of the
// first group must not reach it any more.
func movedHost(p *player) ([]string, error) {
	north, south := newCluster(3), newCluster(4)
	north.log = []commit{{key: "key0", value: "of group 3"}}
	south.log = []commit{{key: "key0", value: "of group 4"}}
	hosts, err := startHosts(p.record, north, 4)
	if err != nil {
		return nil, err
	}
	others, err := startHosts(p.record, south, 3)
	if err != nil {
		return nil, err
	}
	lists, err := startDiscovery(p.record, append(hosts, others...))
	if err != nil {
		return nil, err
	}
	g, err := p.startGateway(platformConfig(lists.address, settings(commonClasses, "automatic")))
	if err != nil {
		return nil, err
	}
	startMs := nowMs()
	stop := make(chan struct{})
	foreign := &foreignAnswers{}
	var load sync.WaitGroup
	for range 4 {
		load.Go(func() { foreign.read(p, g, stop) })
	}
	target := north
	if p.trouble {
		target = south
	}
	at(startMs, moveLeavingAt)
	moved := busiestReplica(hosts)
	lists.setPhase(moved.id, "leaving")
	at(startMs, moveLeftAt)
	lists.setPhase(moved.id, "left")
	moved.stop()
	at(startMs, moveActiveAt)
	if err := moved.restart(target); err != nil {
		return nil, err
	}
	lists.setCell(moved.id, target.cell)
	listedMs := nowMs()
	at(startMs, moveEnd)
	close(stop)
	endGateways()
	load.Wait()
	if len(foreign.values) < 100 {
		return nil, fmt.Errorf("%w: only %d reads were answered", errSetup, len(foreign.values))
	}
	return foreign.violations(moved, target, listedMs), nil
}

// busiestReplica returns the replica that has got most reads. The gateway prefers some replicas of a group to others.
func busiestReplica(hosts []*host) *host {
	busiest := hosts[1]
	for _, h := range hosts[1:] {
		if len(h.runsSince(0)) > len(busiest.runsSince(0)) {
			busiest = h
		}
	}
	return busiest
}

// foreignAnswers counts what clients of group 3 got from another group.
type foreignAnswers struct {
	mutex  sync.Mutex
	values map[string]string // by request
}

// read reads a key of group 3.
func (f *foreignAnswers) read(p *player, g *gateway, stop <-chan struct{}) {
	repeat(g, 40*time.Millisecond, stop, func(c *client) error {
		id, text := query("sensor-view", "key0", "", 1000)
		a, err := c.ask(text, 2*time.Second)
		if err != nil {
			return err
		}
		p.record.printf("client read %s in the group 3: %s %q", id, a.outcome(), a.value)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if f.values == nil {
			f.values = map[string]string{}
		}
		f.values[id] = a.value
		return nil
	})
}

// violations returns the requests of group 3 that reached the moved host after the list had told that it is a member of
// another group, with the grace that a drain would have.
func (f *foreignAnswers) violations(moved *host, target *cluster, listedMs float64) (violations []string) {
	for _, r := range moved.runsSince(listedMs + drainGraceMs + slackMs) {
		if r.cluster != fmt.Sprint(target.cell) {
			violations = append(violations, fmt.Sprintf(
				"request %s of group %s reached host %s of group %d, %.1f s after the list said so; its client got %q",
				r.id, r.cluster, moved.id, target.cell, (r.atMs-listedMs)/1000, f.values[r.id]))
		}
	}
	return violations
}
