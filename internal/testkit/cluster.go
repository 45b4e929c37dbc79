// Package testkit holds what tests of several packages share: stub database hosts and a stub discovery, written from
// the public descriptions of the protocols, and a small language for scenarios.
package testkit

import (
	"fmt"
	"net/http"
	"slices"
	"sync"

	"merlinjunction/internal/stubserver"
)

// Cluster is one group of stub hosts. They share a record of which value ran where. It serves their endpoint list.
type Cluster struct {
	mutex    sync.Mutex
	hosts    map[string]*StubHost
	order    []string // of the hosts' names
	primary  string
	runs     map[string][]string // by value: the hosts where it ran
	revision int                 // of the endpoint list
	changed  chan struct{}       // closed with the next revision
}

// UnreachableHostConfig ends an operator's file whose test needs no host. It has one host at an address where nothing
// listens, and the class "read" that any host may answer.
const UnreachableHostConfig = `[[database]]
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

// HostChange is a change of a stub host, in the words of scenarios.
type HostChange string

// The changes of a host.
const (
	ListDraining    HostChange = "drain"   // in the endpoint list
	ListActive      HostChange = "active"  // in the endpoint list
	ListLeft        HostChange = "left"    // in the endpoint list
	MakePrimary     HostChange = "primary" // in place of the present primary
	RejectAll       HostChange = "refuse"  // every statement gets SQLSTATE 53300
	AcceptAll       HostChange = "well"    // ends RejectAll
	StopHost        HostChange = "down"    // connections are closed and refused
	StartHost       HostChange = "up"
	HoldGreeting    HostChange = "hold"    // new connections are accepted but not answered
	ReleaseGreeting HostChange = "release" // ends HoldGreeting
	CloseConns      HostChange = "drop"    // as a host does with idle ones
)

// Phases of a host in the endpoint list, as the discovery protocol names them.
const (
	phaseActive   = "active"
	phaseDraining = "leaving"
	phaseLeft     = "left"
)

// NewCluster starts hosts; the first one is the primary.
func NewCluster(names ...string) (*Cluster, error) {
	cluster := &Cluster{
		hosts:   map[string]*StubHost{},
		primary: names[0],
		runs:    map[string][]string{},
		changed: make(chan struct{}),
	}
	for _, name := range names {
		host := newStubHost(cluster, name)
		cluster.hosts[name] = host
		cluster.order = append(cluster.order, name)
		if err := host.listener.Open(); err != nil {
			return nil, err
		}
	}
	return cluster, nil
}

// Change changes a host. It fails on unknown names and changes, and if the host can't listen again.
func (c *Cluster) Change(name string, change HostChange) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	host := c.hosts[name]
	if host == nil {
		return fmt.Errorf("no host %q", name)
	}
	switch change {
	case ListDraining:
		c.publish(host, phaseDraining)
	case ListActive:
		c.publish(host, phaseActive)
	case ListLeft:
		c.publish(host, phaseLeft)
	case MakePrimary:
		c.primary = name
	case RejectAll:
		host.rejecting = true
	case AcceptAll:
		host.rejecting = false
	case StopHost:
		host.listener.Close()
		host.listener.CloseConns()
	case StartHost:
		return host.listener.Open()
	case HoldGreeting:
		host.greetingHeld = make(chan struct{})
	case ReleaseGreeting:
		close(host.greetingHeld)
		host.greetingHeld = nil
	case CloseConns:
		host.listener.CloseConns()
	default:
		return fmt.Errorf("unknown word %q", change)
	}
	return nil
}

// publish makes a new revision of the endpoint list and answers the waiting watches. The caller holds the lock.
func (c *Cluster) publish(host *StubHost, phase string) {
	host.phase = phase
	c.revision++
	close(c.changed)
	c.changed = make(chan struct{})
}

// Addr is the address that a host listens on.
func (c *Cluster) Addr(name string) string { return c.hosts[name].Addr() }

// Runs returns the hosts where a value ran, in order.
func (c *Cluster) Runs(value string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.runs[value])
}

// ServeHTTP answers a poll of discovery: with the list at once, or as a watch.
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
