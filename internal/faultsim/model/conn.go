package model

import (
	"errors"
	"slices"

	"merlinjunction/internal/proxy"
)

var (
	errRefused = errors.New("connection refused by the host")
	errReset   = errors.New("connection reset by the host")
)

// conn is a connection between a gateway and a host. Both ends use it: the gateway sends its commands through it, and the
// host its answers.
type conn struct {
	gateway *Gateway
	host    *Host
	handler proxy.UpstreamHandler
	closed  bool // the gateway has closed it, or was notified that the host has
}

// deliverToHost calls a function after the link's delay, as the delivery of a message. The message is lost if the link is
// cut at the beginning or at the end of the delay, and neither end is notified of the loss. The message is also dropped if
// the connection is closed or the gateway's process ends during the delay.
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

// deliverToGateway calls a function in a round of the gateway's event loop after the link's delay. It uses deliverToHost, as
// delay and losses are the same in both directions.
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

// reset closes the connection from the host's side.
func (c *conn) reset() {
	c.removeFromHost()
	c.deliverToGateway(func() {
		c.closed = true
		c.handler.ConnectionClosed(errReset)
	})
}

// Send sends a command, which must be a *Statement. It counts as written at once.
func (c *conn) Send(command any, _ float64) {
	statement := command.(*Statement)
	c.handler.RequestWritten()
	c.deliverToHost(func() {
		if c.host.Up {
			c.host.receiveStatement(c, statement)
		}
	})
}

// CheckIdle does nothing, because the gateway has processed each message at the time of its delivery.
func (c *conn) CheckIdle() {}

// Close closes the connection from the gateway's side. No callback of the handler follows.
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
