package pg

// A Command is a request to a host. The host must answer its messages with exactly one ReadyForQuery, which ends the
// answer.
type Command interface {
	// AppendTo appends the command's messages. timeLeftMs is how long the gateway waits for the answer.
	AppendTo(buf []byte, timeLeftMs float64) []byte
	// Forwards reports whether messages of this type in the host's answer are passed on to the sender of the command.
	Forwards(messageType byte) bool
	// IsComplete reports whether the forwarded messages are one complete answer to this command.
	IsComplete(answer []byte) bool
}

// A StreamingCommand is a Command whose answer may contain large rows that are forwarded before the answer is complete.
type StreamingCommand interface {
	Command
	// CanStream reports whether a row with this number of columns may follow answer, which holds the messages received
	// since the last streamed row.
	CanStream(answer []byte, columns int) bool
	// IsStreamComplete reports whether answer, which holds the messages after the last streamed row, completes the answer
	// to this command.
	IsStreamComplete(answer []byte) bool
}

// A LargeCommand is a Command that holds data which only AppendTo needs. A connection may wait long for the answer.
type LargeCommand interface {
	Command
	// Sent returns the command without that data.
	Sent() Command
}
