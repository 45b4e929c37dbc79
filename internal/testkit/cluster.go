// Package testkit holds test helpers that several packages share: stub database hosts, a stub discovery, and a Player
// for scenario files. The stubs are written from the public descriptions of the protocols.
package testkit

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"merlinjunction/internal/stubserver"
)

// Cluster is one group of stub hosts. It records which statement values ran at which hosts, and it is the HTTP handler of
// the stub discovery, which serves the hosts' endpoint list.
type Cluster struct {
	mutex     sync.Mutex
	hosts     map[string]*StubHost
	hostNames []string // in the order of the endpoint list
	primary   string
	runs      map[string][]string // by value: the names of the hosts where it ran, in order
	revision  int                 // revision of the endpoint list
	changed   chan struct{}       // closed when the next revision is published
}

// UnreachableHostConfig is the last part of an operator's file for tests that need no host. It has one host, at an address
// where nothing listens, and the class "read", which any host may answer.
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

// HostChange is a change of a stub host, as scenarios write it.
type HostChange string

// The changes of a host.
const (
	ListDraining    HostChange = "drain"   // the endpoint list shows the host as draining
	ListActive      HostChange = "active"  // the endpoint list shows the host as active
	ListLeft        HostChange = "left"    // the endpoint list shows that the host has left
	MakePrimary     HostChange = "primary" // the host replaces the current primary
	RejectAll       HostChange = "refuse"  // the host answers every statement with SQLSTATE 53300
	AcceptAll       HostChange = "well"    // ends RejectAll
	StopHost        HostChange = "down"    // the host closes its connections and refuses new ones
	StartHost       HostChange = "up"      // ends StopHost
	HoldGreeting    HostChange = "hold"    // the host accepts new connections but does not answer their startup
	ReleaseGreeting HostChange = "release" // ends HoldGreeting
	FallBehind      HostChange = "lag"     // the host reports a log position that is a minute old
	CloseConns      HostChange = "drop"    // the host closes its connections, as hosts do with idle ones
)

// Phases of a host in the endpoint list, as the discovery protocol names them.
const (
	phaseActive   = "active"
	phaseDraining = "leaving"
	phaseLeft     = "left"
)

// NewCluster starts a host for each name. The first host is the primary.
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
		cluster.hostNames = append(cluster.hostNames, name)
		if err := host.listener.Open(); err != nil {
			return nil, err
		}
	}
	return cluster, nil
}

// Change applies a change to a host. It returns an error if the name or the change is unknown, or if the host cannot listen
// again.
func (c *Cluster) Change(name string, change HostChange) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	host := c.hosts[name]
	if host == nil {
		return fmt.Errorf("the cluster has no host %q", name)
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
	case FallBehind:
		host.lag = time.Minute
	case CloseConns:
		host.listener.CloseConns()
	default:
		return fmt.Errorf("unknown host change %q", change)
	}
	return nil
}

// publish sets a host's phase in a new revision of the endpoint list and answers the waiting watches. The caller holds the
// mutex.
func (c *Cluster) publish(host *StubHost, phase string) {
	host.phase = phase
	c.revision++
	close(c.changed)
	c.changed = make(chan struct{})
}

// Addr returns the address that a host listens on.
func (c *Cluster) Addr(name string) string { return c.hosts[name].Addr() }

// Runs returns the names of the hosts where a value ran, in the order of the runs.
func (c *Cluster) Runs(value string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.runs[value])
}

// ServeHTTP answers a poll of discovery with the endpoint list. A watch is answered when its wait ends or the list changes.
func (c *Cluster) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stubserver.AwaitChange(r, func(since int) (bool, <-chan struct{}) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.revision > since, c.changed
	})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var endpoints []stubserver.Endpoint
	for _, name := range c.hostNames {
		host := c.hosts[name]
		endpoints = append(endpoints, stubserver.Endpoint{ID: name, Address: host.Addr(), Phase: host.phase})
	}
	stubserver.WriteList(w, c.revision, endpoints)
}
