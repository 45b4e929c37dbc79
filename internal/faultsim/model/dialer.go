package model

import (
	"fmt"
	"strconv"

	"merlinjunction/internal/proxy"
)

// dialer opens connections from a gateway to hosts. The address of a host is its index in World.Hosts.
type dialer struct{ *Gateway }

// Dial begins to connect to a host. It returns an error if no host has ever had the address.
func (d dialer) Dial(address string, handler proxy.UpstreamHandler) (proxy.UpstreamConn, error) {
	index, err := strconv.Atoi(address)
	if err != nil || index >= len(d.world.Hosts) {
		return nil, fmt.Errorf("no host has the address %q", address)
	}
	dialed := &conn{gateway: d.Gateway, host: d.world.Hosts[index], handler: handler}
	opened := &gatewayConn{dialed}
	d.conns[opened] = struct{}{}
	dialed.deliverToHost(func() { dialed.host.accept(dialed) })
	return opened, nil
}

// gatewayConn is a conn that is in the gateway's set of open connections until the gateway closes it.
type gatewayConn struct{ *conn }

// Close closes the connection and removes it from the gateway's set.
func (c *gatewayConn) Close() {
	delete(c.gateway.conns, c)
	c.conn.Close()
}
