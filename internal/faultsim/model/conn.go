package model

import (
	"errors"
	"slices"

	"merlinjunction/internal/proxy"
)

var (
	errRefused = errors.New("refused")
	errReset   = errors.New("reset")
)

// conn is a connection between a gateway and a host. It is the gateway's end, and the host answers through it.
type conn struct {
	gateway *Gateway
	host    *Host
	handler proxy.UpstreamHandler
	closed  bool // by either end
}

// deliverToHost calls a function after the link's delay. If the link is cut at the beginning or at the end of the delay
// the message is lost and the connection stays silent.
func (c *conn) deliverToHost(deliver func()) {
	world := c.host.world
	if world.IsCut(c.gateway.Index, c.host.Index) {
		return
	}
	delayMs := world.LinkDelayMs
	if c.gateway.Zone != c.host.Zone {
		delayMs += world.CrossZoneDelayMs
	}
	generation := c.gateway.generation
	world.At(world.Now()+delayMs, func() {
		if !c.closed && c.gateway.generation == generation && !world.IsCut(c.gateway.Index, c.host.Index) {
			deliver()
		}
	})
}

// deliverToGateway calls a function within a round of the gateway's event loop, after the link's delay, which is the
// same in both directions.
func (c *conn) deliverToGateway(deliver func()) {
	c.deliverToHost(func() { c.gateway.receive(deliver) })
}

func (c *conn) refuse() {
	c.deliverToGateway(func() {
		c.closed = true
		c.handler.ConnectionClosed(errRefused)
	})
}

func (c *conn) establish() { c.deliverToGateway(func() { c.handler.Established() }) }

func (c *conn) answer(response proxy.Response) {
	c.deliverToGateway(func() { c.handler.ResponseReceived(response) })
}

// reset ends the connection from the host's side.
func (c *conn) reset() {
	c.removeFromHost()
	c.deliverToGateway(func() {
		c.closed = true
		c.handler.ConnectionClosed(errReset)
	})
}

// Send sends a command, which counts as written at once.
func (c *conn) Send(command any, _ float64) {
	statement := command.(*Statement)
	c.handler.RequestWritten()
	c.deliverToHost(func() {
		if c.host.Up {
			c.host.receiveStatement(c, statement)
		}
	})
}

// Close ends the connection from the gateway's side. The handler is not called any more.
func (c *conn) Close() {
	c.closed = true
	c.removeFromHost()
}

func (c *conn) removeFromHost() {
	host := c.host
	if !host.conns[c] {
		return
	}
	delete(host.conns, c)
	if i := slices.Index(host.connOrder, c); i >= 0 {
		host.connOrder = append(host.connOrder[:i], host.connOrder[i+1:]...)
	}
}
