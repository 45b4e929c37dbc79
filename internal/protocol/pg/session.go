package pg

// A Session is the frontend's state of one client.
type Session interface {
	// HandleMessage handles one message, whose body is valid during the call. While an answer is outstanding Busy must
	// return true.
	HandleMessage(kind byte, body []byte)
	// Busy reports whether an answer is outstanding.
	Busy() bool
	// Accepts reports whether a message of a type can be handled now. Otherwise it waits until Client.Resume.
	Accepts(kind byte) bool
	// InPipeline reports whether the client is in the middle of a pipeline: its connection is not idle yet.
	InPipeline() bool
	// ClientGone is called when the connection has been closed; nothing can be sent any more.
	ClientGone()
}

// A Canceler is a Session whose statement in flight can be canceled by a CancelRequest on another connection.
type Canceler interface{ Cancel() }

// A Flusher is a Session that is notified when all output to its client has been sent.
type Flusher interface{ Flushed() }
