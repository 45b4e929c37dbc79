package soak

import (
	"net"
	"net/http"
	"sync"
	"time"

	"merlinjunction/internal/stubserver"
)

// discoveryFault is how the stub discovery service fails for some time.
type discoveryFault string

const (
	discoveryHealthy        discoveryFault = "healthy"
	discoverySilent         discoveryFault = "silent" // polls and watches get no response
	discoveryBusy           discoveryFault = "busy"   // responds with status 503
	discoveryCutsResponses  discoveryFault = "cuts"   // closes the connection in the middle of a response
	discoveryIgnoresWatches discoveryFault = "quiet"  // watches that are open when the fault begins get no response
)

var discoveryFaults = []discoveryFault{discoverySilent, discoveryBusy, discoveryCutsResponses, discoveryIgnoresWatches}

// discovery is the stub discovery service. It serves the same endpoint list at two addresses.
type discovery struct {
	run     *run
	servers []*http.Server

	mutex    sync.Mutex
	fault    discoveryFault
	revision int
	changed  chan struct{} // closed at the next change of revision or fault
	frozen   chan struct{} // closed when discoveryIgnoresWatches begins; the watches that are open then get no response
	// notifiedOnPublish means that the gateway counts as notified of an endpoint update as soon as it is published: lists are
	// pushed, and no step of the run can delay the notification.
	notifiedOnPublish bool
}

func newDiscovery(r *run) (*discovery, error) {
	d := &discovery{run: r, fault: discoveryHealthy, changed: make(chan struct{}), frozen: make(chan struct{})}
	for range 2 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: d, Addr: listener.Addr().String()}
		d.servers = append(d.servers, server)
		go func() { _ = server.Serve(listener) }() // returns when server is closed
	}
	return d, nil
}

func (d *discovery) close() {
	d.setFault(discoveryHealthy)
	for _, server := range d.servers {
		stubserver.CloseQuietly(server)
	}
}

// address returns one of the two addresses.
func (d *discovery) address(index int) string { return d.servers[index].Addr }

// setFault begins a fault. discoveryHealthy ends the present one.
func (d *discovery) setFault(next discoveryFault) {
	d.mutex.Lock()
	d.fault = next
	if next == discoveryIgnoresWatches {
		close(d.frozen)
		d.frozen = make(chan struct{})
	}
	d.wakeWatches()
	d.mutex.Unlock()
	d.recordPublished()
}

// publish publishes a new revision of the endpoint list.
func (d *discovery) publish() {
	d.mutex.Lock()
	d.revision++
	d.wakeWatches()
	d.mutex.Unlock()
	d.recordPublished()
}

// wakeWatches ends the wait of all open watches. ServeHTTP then responds to each as the present fault requires. The caller
// holds the lock.
func (d *discovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// recordPublished records that the gateway is notified of the published list, provided that notifiedOnPublish is set and
// discovery is neither silent nor busy.
func (d *discovery) recordPublished() {
	d.mutex.Lock()
	counts := d.notifiedOnPublish && d.fault != discoverySilent && d.fault != discoveryBusy
	d.mutex.Unlock()
	if counts {
		d.recordDrainsNotified(time.Now())
	}
}

// recordDrainsNotified records that the gateway is notified of the drains of all hosts that drain.
func (d *discovery) recordDrainsNotified(at time.Time) {
	for _, h := range d.run.hosts {
		h.recordDrainNotified(at)
	}
}

// ServeHTTP answers a poll at once, and a watch when there is a newer revision, the fault changes or its time-out passes.
// The fault at that time decides what the response is.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mutex.Lock()
	frozen := d.frozen
	d.mutex.Unlock()
	stubserver.AwaitChange(r, func(since int) (bool, <-chan struct{}) {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		return d.revision > since, d.changed
	})
	d.mutex.Lock()
	fault := d.fault
	d.mutex.Unlock()
	select {
	case <-frozen:
		fault = discoverySilent
	default:
	}
	switch fault {
	case discoverySilent:
		<-r.Context().Done()
		return
	case discoveryBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case discoveryCutsResponses:
		d.cutResponse(w)
		return
	}
	d.writeList(w)
}

// writeList responds with the complete endpoint list, and records that the gateway is notified of the drains in it.
func (d *discovery) writeList(w http.ResponseWriter) {
	var endpoints []stubserver.Endpoint
	d.mutex.Lock()
	revision := d.revision
	d.mutex.Unlock()
	for _, h := range d.run.hosts {
		endpoints = append(endpoints, h.endpoint())
	}
	stubserver.WriteList(w, revision, endpoints)
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	now := time.Now()
	for i, h := range d.run.hosts {
		if endpoints[i].Phase == phaseDraining {
			h.recordDrainNotified(now)
		}
	}
}

// cutResponse closes the connection in the middle of a response.
func (d *discovery) cutResponse(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	_, _ = w.Write([]byte(`{"revision":`))
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := hijacker.Hijack(); err == nil {
		stubserver.CloseQuietly(conn)
	}
}
