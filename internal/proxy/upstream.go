package proxy

import "merlinjunction/routing"

// Response is a host's answer to a command.
type Response struct {
	Outcome        routing.Outcome
	StatementError bool         // the host executed the statement and it failed; Body is for the client
	Role           routing.Role // of the host; unknown where the answer doesn't carry it
	PositionMs     float64      // position of the host's data, milliseconds since 1970; 0: unknown
	Body           []byte       // for the sender of the command
	ConnectionEnds bool         // the connection accepts no further command
}

// UpstreamConn is a connection to a host. It carries one command at a time.
type UpstreamConn interface {
	// Send writes a command. Its type is the one that the connection's Dialer accepts; any other is a fault of the
	// program and may panic. timeLeftMs is the time until the answer is of no use any more.
	Send(command any, timeLeftMs float64)
	// Close closes the connection; no callback of its UpstreamHandler follows.
	Close()
}

// UpstreamHandler receives the callbacks of an UpstreamConn.
type UpstreamHandler interface {
	// Established is called when the connection accepts commands.
	Established()
	// RequestWritten is called when the last byte of a command was handed to the system: from now on it may run.
	RequestWritten()
	// BeginStream is called when a large response begins. It returns whether the parts are to be passed on as they
	// arrive. After StreamPart has taken less than all it got, resume is called when more can be taken.
	// ResponseReceived or ConnectionClosed ends the stream.
	BeginStream(resume func()) bool
	// StreamPart passes on a part of the response and returns how many of its bytes were taken.
	StreamPart(part []byte) int
	// ResponseReceived is called with the complete response; of a streamed one the body is the rest.
	ResponseReceived(Response)
	// ConnectionClosed is called when the connection ended or was never established.
	ConnectionClosed(error)
}

// Dialer opens connections to hosts. The Core passes Request.Command and the health check's command on to them unread.
// An implementation accepts one type of command; that of pg.HostDialer is pg.Command.
type Dialer interface {
	// Dial starts to connect to an address. handler receives the callbacks, none of them before Dial returns.
	Dial(address string, handler UpstreamHandler) (UpstreamConn, error)
}
