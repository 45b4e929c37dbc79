// Package testkit holds what tests share: stub database hosts and a stub discovery, written from the public protocol
// descriptions, and a small language for scenarios.
package testkit

import (
	"fmt"
	"net/http"
	"slices"
	"sync"

	"merlinjunction/internal/stubserver"
)

// Cluster is one group of stub hosts that share their data: a list of what ran where. It serves their endpoint list.
type Cluster struct {
	mutex    sync.Mutex
	hosts    map[string]*StubHost
	order    []string
	primary  string
	runs     map[string][]string // by value: the hosts where it ran
	revision int
	changed  chan struct{} // closed with the next revision
}

// OneHost ends an operator's file whose test needs no host: it names one that is not there, and the class "read" that any
// host may answer.
const OneHost = `[[database]]
name = "main"
group = 0
[[class]]
name = "read"
need = "any"
effect = "safe"
aim_ms = 100
deadline_ms = 500
[[host]]
id = "h"
address = "127.0.0.1:1"
group = 0
`

// NewCluster starts hosts; the first one is the primary.
func NewCluster(names ...string) (*Cluster, error) {
	c := &Cluster{
		hosts: map[string]*StubHost{}, primary: names[0], runs: map[string][]string{}, changed: make(chan struct{}),
	}
	for _, name := range names {
		host := newStubHost(c, name)
		c.hosts[name] = host
		c.order = append(c.order, name)
		if err := host.listener.Open(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Do changes a host: drain, active and left change the list; primary, refuse, well, down and up the host itself; hold lets
// its new connections wait for their greeting until release; drop ends all its connections, as a host does with idle ones.
func (c *Cluster) Do(name, what string) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	host := c.hosts[name]
	if host == nil {
		return fmt.Errorf("no host %q", name)
	}
	switch what {
	case "drain":
		c.publish(host, "leaving")
	case "active", "left":
		c.publish(host, what)
	case "primary":
		c.primary = name
	case "refuse":
		host.rejecting = true
	case "well":
		host.rejecting = false
	case "down":
		host.listener.Close()
		host.listener.CloseConns()
	case "up":
		return host.listener.Open()
	case "hold":
		host.held = make(chan struct{})
	case "release":
		close(host.held)
		host.held = nil
	case "drop":
		host.listener.CloseConns()
	default:
		return fmt.Errorf("unknown word %q", what)
	}
	return nil
}

// publish makes a new revision of the endpoint list. The caller holds the lock.
func (c *Cluster) publish(host *StubHost, phase string) {
	host.phase = phase
	c.revision++
	close(c.changed)
	c.changed = make(chan struct{})
}

// Addr is where a host listens.
func (c *Cluster) Addr(name string) string { return c.hosts[name].Addr() }

// Runs are the hosts where a value ran.
func (c *Cluster) Runs(value string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.runs[value])
}

// ServeHTTP is discovery: the whole list, or a watch.
func (c *Cluster) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stubserver.AwaitChange(r, func(since int) (bool, <-chan struct{}) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.revision > since, c.changed
	})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var endpoints []stubserver.Endpoint
	for _, name := range c.order {
		host := c.hosts[name]
		endpoints = append(endpoints, stubserver.Endpoint{ID: name, Address: host.Addr(), Phase: host.phase})
	}
	stubserver.WriteList(w, c.revision, endpoints)
}
