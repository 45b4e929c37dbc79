package main

import (
	"math"
	"sync"
)

// logDelayMs is the time after which a replica has the primary's log.
const logDelayMs = 5.0

// commit is one entry of the log of a group.
type commit struct {
	positionMs float64
	key, value string
}

// cluster is a group of hosts with one log. Its leader takes the writes; the others apply the log.
type cluster struct {
	cell      int
	mutex     sync.Mutex
	log       []commit
	byKey     map[string]commit // repeats of an idempotency key within two seconds
	leader    *host             // the primary; nil while the group takes no writes
	noticed   float64           // while there is no primary: the time since which the log stands still; 0: it doesn't
	applyRate float64           // how much of the log a replica applies in a second, in seconds
}

func newCluster(cell int) *cluster {
	return &cluster{cell: cell, byKey: map[string]commit{}, applyRate: 2}
}

// leads reports whether a host is the primary.
func (c *cluster) leads(h *host) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leader == h
}

// setLeader makes a host the primary; nil means that the group takes no writes.
func (c *cluster) setLeader(h *host) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leader, c.noticed = h, 0
	if h == nil {
		c.noticed = nowMs()
	}
}

// setApplyRate changes how fast the replicas apply the log.
func (c *cluster) setApplyRate(rate float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.applyRate = rate
}

// position returns what a host has applied: a primary stands at the present, a replica goes on from where it stood.
func (c *cluster) position(h *host) (positionMs float64, leads bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := nowMs()
	if c.leader == h {
		h.positionMs, h.movedMs = now, now
		return now, true
	}
	end := now - logDelayMs
	if c.noticed > 0 {
		end = min(end, c.noticed)
	}
	h.positionMs = max(h.positionMs, min(end, h.positionMs+c.applyRate*(now-h.movedMs)))
	h.movedMs = now
	return h.positionMs, false
}

// write commits a value at the primary and returns its position. A repeat of an idempotency key changes nothing.
func (c *cluster) write(key, value, idempotencyKey string) (positionMs float64, repeated bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if earlier, found := c.byKey[idempotencyKey]; idempotencyKey != "" && found && nowMs() < earlier.positionMs+2000 {
		return earlier.positionMs, true
	}
	entry := commit{positionMs: math.Ceil(nowMs()), key: key, value: value}
	c.log = append(c.log, entry)
	c.byKey[idempotencyKey] = entry
	return entry.positionMs, false
}

// read returns the value of a key as of a position.
func (c *cluster) read(key string, positionMs float64) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for i := len(c.log) - 1; i >= 0; i-- {
		if c.log[i].key == key && c.log[i].positionMs <= positionMs {
			return c.log[i].value
		}
	}
	return "none"
}
