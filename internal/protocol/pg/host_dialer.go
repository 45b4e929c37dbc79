package pg

import (
	"encoding/binary"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// HostDialer opens connections to database hosts.
type HostDialer struct {
	Loop           *eventloop.Loop
	User, Database string
	// RoleParameter is the name of the parameter that reports a host's role in a ParameterStatus message. Its value is
	// PrimaryValue or ReplicaValue.
	RoleParameter, PrimaryValue, ReplicaValue string
	// PositionParameter is the name of the parameter that reports a host's position in a ParameterStatus message, in
	// milliseconds since 1970.
	PositionParameter string
	// RoleOnChange means that a host reports its role when the connection starts and whenever the role changes, as
	// PostgreSQL does with in_hot_standby. Otherwise the host reports its role with each answer.
	RoleOnChange bool
}

// NewHostDialer returns a HostDialer with the user, the database and the parameter names that the platform uses.
func NewHostDialer(loop *eventloop.Loop) *HostDialer {
	return &HostDialer{
		Loop: loop, User: "svc", Database: "main",
		RoleParameter: "node_role", PrimaryValue: "leader", ReplicaValue: "follower",
		PositionParameter: "replay_position",
	}
}

// Dial starts to connect to a host and writes the startup message. The handler receives the connection's callbacks.
func (d *HostDialer) Dial(addr string, handler proxy.UpstreamHandler) (proxy.UpstreamConn, error) {
	upstream := &hostConn{dialer: d, handler: handler}
	var err error
	if upstream.conn, err = d.Loop.Dial(addr, maxAnswerBytes, upstream); err != nil {
		return nil, err
	}
	upstream.conn.Write(d.startupMessage())
	return upstream, nil
}

// startupMessage returns the startup message to a host.
func (d *HostDialer) startupMessage() []byte {
	buf, lengthOffset := BeginMessage(nil, 0)
	buf = binary.BigEndian.AppendUint32(buf, Version3)
	for _, text := range []string{"user", d.User, "database", d.Database, ""} {
		buf = appendString(buf, text)
	}
	return EndMessage(buf, lengthOffset)
}

// roleOf returns the role for a value of RoleParameter, or RoleUnknown for any other value.
func (d *HostDialer) roleOf(value string) routing.Role {
	switch value {
	case d.ReplicaValue:
		return routing.RoleReplica
	case d.PrimaryValue:
		return routing.RolePrimary
	}
	return routing.RoleUnknown
}
