package proxy

import "merlinjunction/routing"

// Response is a host's answer to a command.
type Response struct {
	Outcome        routing.Outcome
	StatementError bool         // the host executed the statement and it failed; Body is for the client
	Role           routing.Role // role of the host; unknown if the answer doesn't contain it
	RoleAtMs       float64      // time from which the role counts, if that is before the response was complete; 0: it is not
	PositionMs     float64      // position of the host's data, milliseconds since 1970; 0: unknown
	Body           []byte       // passed to the sender of the command
	ConnectionEnds bool         // the connection accepts no further command
}

// UpstreamConn is a connection to a host. It carries one command at a time.
type UpstreamConn interface {
	// Send writes a command. Its type must be the one that the connection's Dialer accepts; Send may panic on any other
	// type. timeLeftMs is the time until the sender of the command gives up waiting for the answer.
	Send(command any, timeLeftMs float64)
	// CheckIdle reads what the host has sent by now, while the connection carries no command. If that could be mistaken for
	// a part of the next answer, or if the host has closed the connection, CheckIdle ends the connection by calling
	// UpstreamHandler.ConnectionClosed before it returns.
	CheckIdle()
	// Close closes the connection; no callback of its UpstreamHandler follows.
	Close()
}

// UpstreamHandler receives the callbacks of an UpstreamConn.
type UpstreamHandler interface {
	// Established is called when the connection accepts commands.
	Established()
	// RequestWritten is called when the last byte of a command was handed to the system. From then on the command may run.
	RequestWritten()
	// BeginStream is called when a large response begins. It returns whether the response is to be passed in parts as
	// they arrive. After a call of StreamPart that accepted fewer bytes than it got, resume is called when more can be
	// accepted. ResponseReceived or ConnectionClosed ends the stream.
	BeginStream(resume func()) bool
	// StreamPart forwards a part of the response and returns how many of its bytes were accepted.
	StreamPart(part []byte) int
	// ResponseReceived is called with the complete response. If the response was streamed, its body is the part that was
	// not streamed yet.
	ResponseReceived(Response)
	// ConnectionClosed is called when the connection ended or was never established.
	ConnectionClosed(error)
}

// Dialer opens connections to hosts. The Core passes Request.Command and the health check command to these connections
// without examining them. An implementation accepts one type of command; pg.HostDialer accepts pg.Command.
type Dialer interface {
	// Dial starts to connect to an address. handler receives the callbacks; Dial returns before the first one.
	Dial(address string, handler UpstreamHandler) (UpstreamConn, error)
}
