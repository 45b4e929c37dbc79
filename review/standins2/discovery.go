package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an entry of the endpoint list.
type member struct {
	ID       string  `json:"id"`
	Address  string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	Role     string  `json:"role,omitempty"`
	UpSince  float64 `json:"up_since_ms"`
	revision int
}

// list is the endpoint list in the form of the discovery protocol.
type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is the stand-in for discovery.
type discovery struct {
	record  *record
	address string
	mutex   sync.Mutex
	members []member
	version int
	changed chan struct{}
	delay   time.Duration // how long each answer waits in turn before it is written
}

// startDiscovery serves a list of hosts, all of them in the phase "active".
func startDiscovery(rec *record, hosts []*host) (*discovery, error) {
	d := &discovery{record: rec, version: 41, changed: make(chan struct{})}
	for _, h := range hosts {
		role := "follower"
		if h.cluster.leads(h) {
			role = "leader"
		}
		d.members = append(d.members, member{
			ID: h.id, Address: h.address, Locality: "north", Flavor: "std-3c", Cell: h.cluster.cell, Phase: "active", Size: 1, Role: role, revision: 41,
		})
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return d, nil
}

// setPhase changes the phase of a host.
func (d *discovery) setPhase(id, phase string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.version++
	for i := range d.members {
		if d.members[i].ID == id {
			d.members[i].Phase, d.members[i].revision = phase, d.version
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.record.printf("discovery has revision %d: host %s is %s", d.version, id, phase)
}

// setCell lists a host that has started again as active, in a group.
func (d *discovery) setCell(id string, cell int) {
	d.mutex.Lock()
	for i := range d.members {
		if d.members[i].ID == id {
			d.members[i].Cell, d.members[i].UpSince = cell, nowMs()
		}
	}
	d.mutex.Unlock()
	d.record.printf("discovery lists host %s in the cell %d", id, cell)
	d.setPhase(id, "active")
}

// setDelay changes how long each answer waits before it is written.
func (d *discovery) setDelay(delay time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.delay = delay
	d.record.printf("discovery answers each call %v late from now on", delay)
}

// answer returns what has changed since a version (everything, if since is negative), and the channel of the next change.
func (d *discovery) answer(since int) (list, <-chan struct{}, time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	out := list{Revision: d.version, Complete: since < 0, Members: []member{}}
	for _, m := range d.members {
		if m.revision > since {
			out.Members = append(out.Members, m)
		}
	}
	return out, d.changed, d.delay
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.FormValue("since"))
	if err != nil {
		since = -1
	}
	waitMs, _ := strconv.Atoi(r.FormValue("timeout_ms"))
	out, changed, delay := d.answer(since)
	if since >= 0 && len(out.Members) == 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(waitMs) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		out, _, delay = d.answer(since)
	}
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		d.record.printf("discovery: the gateway gave up the call %s", r.URL)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
	d.record.printf("discovery answered %s: revision %d, %d entries", r.URL, out.Revision, len(out.Members))
}
