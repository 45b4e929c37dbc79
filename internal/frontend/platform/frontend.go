// Package platform is the frontend for clients of the platform. They send simple queries that end with a comment, called the
// annotation, which has the metadata of the request.
package platform

import (
	"fmt"

	"merlinjunction/internal/memory"
	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// Frontend turns simple queries into requests to the proxy core.
type Frontend struct {
	Core *proxy.Core
	// Ready reports whether clients can be served.
	Ready func() bool
	// Memory limits the memory of all pending queries and of the answers that wait for their turn.
	Memory memory.Budget

	classes       []routing.Class
	classIndexes  map[string]int      // index in classes, by class name
	tenantIndexes map[string]int      // index in the tenants of the settings, by tenant name
	openRequests  map[string]struct{} // IDs of the requests that have no final answer
	usedIDs       usedIDs             // IDs of ended requests that must not run again
	idRetentionMs float64             // see idRetentionMs

	awaitMemory       []*session // sessions whose queries wait for memory, in the order in which they began to wait
	submittingWaiting bool       // releaseMemory is submitting their queries
}

// New returns a Frontend for the classes and tenants of the settings.
func New(core *proxy.Core, settings routing.Settings, ready func() bool) *Frontend {
	f := &Frontend{
		Core:          core,
		Ready:         ready,
		classes:       settings.Classes,
		classIndexes:  map[string]int{},
		tenantIndexes: map[string]int{},
		openRequests:  map[string]struct{}{},
		usedIDs:       newUsedIDs(),
		idRetentionMs: idRetentionMs(settings.Classes),
	}
	for i, class := range settings.Classes {
		f.classIndexes[class.Name] = i
	}
	for i, tenant := range settings.Tenants {
		f.tenantIndexes[tenant.Name] = i
	}
	return f
}

// NewSession starts the session of a client.
func (f *Frontend) NewSession(client *pg.Client) pg.Session {
	return &session{frontend: f, client: client}
}

// newRequest validates a statement against the settings and returns the request to submit to the core.
//
// It rejects a statement that a host would answer with SQLSTATE 08P01 or by closing the connection. It also rejects an ID
// that an open request has, because the answers to the two requests could be confused, and an ID whose request may have
// run and must not run again.
func (f *Frontend) newRequest(parsed *statement) (proxy.Request, error) {
	classIndex, classKnown := f.classIndexes[parsed.class]
	tenantIndex, tenantKnown := f.tenantIndexes[parsed.tenant]
	if !classKnown {
		return proxy.Request{}, fmt.Errorf("unknown class %q", parsed.class)
	}
	if !tenantKnown && len(f.tenantIndexes) > 0 {
		return proxy.Request{}, fmt.Errorf("unknown tenant %q", parsed.tenant)
	}
	class := f.classes[classIndex]
	if err := validateClass(class, parsed); err != nil {
		return proxy.Request{}, err
	}
	if _, open := f.openRequests[parsed.id]; open {
		return proxy.Request{}, fmt.Errorf("a request with the id %q is in hand", parsed.id)
	}
	if f.usedIDs.contains(parsed.id, f.Core.Now()) {
		return proxy.Request{}, fmt.Errorf("a request with the id %q may have run", parsed.id)
	}
	request := proxy.Request{
		Class: classIndex, Tenant: -1, Group: parsed.group,
		TimeLeftMs: parsed.timeLeftMs, ClientRetry: parsed.clientRetry, Command: parsed,
	}
	if tenantKnown {
		request.Tenant = tenantIndex
	}
	if class.Consistency == routing.ConsistencyWrite || class.Consistency == routing.ConsistencySession {
		request.Session = parsed.key
	}
	return request, nil
}

// validateClass returns an error if the statement is a write and its class is not, or the reverse, or if it lacks the
// idempotency key that its class needs.
func validateClass(class routing.Class, parsed *statement) error {
	if parsed.write != (class.Consistency == routing.ConsistencyWrite) {
		return fmt.Errorf("class %q takes no statement of this form", parsed.class)
	}
	if class.Idempotency == routing.IdempotentWithKey && parsed.idempotencyKey == "" {
		return fmt.Errorf("class %q needs the idempotency key k", parsed.class)
	}
	return nil
}
