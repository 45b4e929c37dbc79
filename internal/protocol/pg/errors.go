package pg

// ProtocolError is a violation of the protocol by a client or a host. It ends the connection.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return e.Reason }

var (
	// ErrMalformed is returned for a message whose body doesn't match its type and length.
	ErrMalformed = &ProtocolError{"malformed message"}
	// ErrTooLarge is returned for a message that exceeds the accepted length.
	ErrTooLarge = &ProtocolError{"message too large"}
	// errTooManyParameters is returned for a startup message with too many parameters.
	errTooManyParameters = &ProtocolError{"too many parameters in the startup message"}

	// errInvalidAnswer is returned for a message from a host that the protocol doesn't allow at this point. The command
	// in flight may have run. Its answer is discarded, together with the role and position that the host reported.
	errInvalidAnswer = &ProtocolError{"invalid answer from the host"}
	// errUnsolicitedMessage is returned for a message that a host sends as an answer while no command is in flight.
	errUnsolicitedMessage = &ProtocolError{"unsolicited message from the host"}
	// errAuthenticationRequested is returned for a host that requests authentication, which the gateway doesn't support.
	errAuthenticationRequested = &ProtocolError{"the host requests authentication, which is not supported"}
)

// ConnectionRejectedError reports the ErrorResponse with which a host rejected a connection or closed an idle one.
type ConnectionRejectedError struct{ SQLState string }

func (e *ConnectionRejectedError) Error() string {
	return "SQLSTATE " + e.SQLState + ": the host rejected or closed the connection"
}
