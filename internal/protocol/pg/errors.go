package pg

// ProtocolError is a violation of the protocol by a client or a host. It ends the connection.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return e.Reason }

var (
	// ErrMalformed is returned for a message whose body doesn't match its type and length.
	ErrMalformed = &ProtocolError{"malformed message"}
	// ErrTooLarge is returned for a message that is longer than is accepted.
	ErrTooLarge = &ProtocolError{"message too large"}

	// errInvalidAnswer is returned for an answer of a host that the protocol doesn't allow at this point. The command
	// may have run; its answer, role and position are discarded.
	errInvalidAnswer = &ProtocolError{"invalid answer from the host"}
	// errUnsolicitedMessage is returned for an answer of a host without a command.
	errUnsolicitedMessage = &ProtocolError{"unsolicited message from the host"}
	// errPasswordRequested is returned for a host that asks for authentication, which the gateway doesn't support.
	errPasswordRequested = &ProtocolError{"the host requests a password"}
)

// ConnectionRejectedError is the error of a host that rejects a connection, or closes an idle one.
type ConnectionRejectedError struct{ SQLState string }

func (e *ConnectionRejectedError) Error() string {
	return e.SQLState + ": the host rejects the connection"
}
