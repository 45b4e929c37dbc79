package pg

// A Session handles the messages of one client after its startup message. Each frontend has its own implementation.
type Session interface {
	// HandleMessage handles one message. body is valid only during the call. Busy must return true while an answer is
	// outstanding.
	HandleMessage(messageType byte, body []byte)
	// Busy reports whether an answer is outstanding.
	Busy() bool
	// Accepts reports whether a message of this type can be handled now. Otherwise the message stays in the input until
	// the session calls Client.Resume.
	Accepts(messageType byte) bool
	// InPipeline reports whether the client is in the middle of a pipeline, so that its connection doesn't count as idle.
	InPipeline() bool
	// ClientGone is called when the connection has been closed. Nothing can be sent to the client after that.
	ClientGone()
}

// A Canceler is a Session whose statement in flight can be canceled by a CancelRequest on another connection.
type Canceler interface{ Cancel() }

// A Flusher is a Session that is notified when all output to its client has been sent.
type Flusher interface{ Flushed() }
