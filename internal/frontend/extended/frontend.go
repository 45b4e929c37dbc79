// Package extended is the frontend for clients that use the extended query protocol, or simple queries without annotations.
//
// The gateway stores prepared statements and bound parameters itself. An Execute becomes one request to the proxy core, and
// no host is chosen before that. Each statement of a pipeline commits on its own. Explicit transactions are rejected.
package extended

import (
	"merlinjunction/internal/memory"
	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
)

// noTenant is the index of the tenant of clients whose user is no tenant.
const noTenant = -1

// Frontend turns Execute messages and simple queries into requests to the proxy core.
type Frontend struct {
	Core  *proxy.Core
	Rules *Rules
	// Ready reports whether clients can be served.
	Ready func() bool
	// MaxReservedBytes limits the total memory of the statements, portals and rows that the sessions keep.
	MaxReservedBytes int
	// QueryMemory limits the total memory of the simple queries that have no answer yet.
	QueryMemory memory.Budget

	sessionsOpened uint64 // the number of sessions so far, from which each session gets a unique ID
	reservedBytes  int    // total of all sessions, at most MaxReservedBytes
}

// NewSession starts the session of a client. A client that names an unknown database gets an error, and its connection
// is closed.
func (f *Frontend) NewSession(client *pg.Client) pg.Session {
	f.sessionsOpened++
	s := &session{
		frontend:   f,
		client:     client,
		id:         f.sessionsOpened,
		statements: map[string]*preparedStatement{},
		portals:    map[string]*portal{},
		tenant:     noTenant,
	}
	if tenant, ok := f.Rules.Tenants[client.User]; ok {
		s.tenant = tenant
	}
	group, known := f.Rules.Databases[client.Database]
	if !known {
		client.FatalError(unknownDatabase(client.Database))
		return s
	}
	s.group = group
	return s
}
