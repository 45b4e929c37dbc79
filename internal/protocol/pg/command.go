package pg

// A Command is a request to a host. The host must answer it with exactly one ReadyForQuery.
type Command interface {
	// AppendTo appends the command's messages; timeLeftMs is how long the gateway waits for the answer.
	AppendTo(buf []byte, timeLeftMs float64) []byte
	// Forwards reports whether the client gets the messages of a type in the host's answer.
	Forwards(kind byte) bool
	// IsComplete reports whether the forwarded messages are one complete answer to this command.
	IsComplete(answer []byte) bool
}

// A StreamingCommand is a Command whose large rows may be forwarded before its answer is complete.
type StreamingCommand interface {
	Command
	// CanStream reports whether a row with a number of columns may follow the messages received since the last
	// streamed row.
	CanStream(answer []byte, columns int) bool
	// IsStreamComplete reports whether the messages after the last streamed row complete the answer.
	IsStreamComplete(answer []byte) bool
}
