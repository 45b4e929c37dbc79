package extended

import (
	"strconv"

	"merlinjunction/internal/protocol/pg"
)

// stateNotInPrerequisiteState is SQLSTATE object_not_in_prerequisite_state.
const stateNotInPrerequisiteState = "55000"

var (
	memoryLimitExceeded = pg.ErrorResponse{SQLState: pg.StateTooLarge, Message: "too much is prepared or bound at a time"}

	multipleStatements = pg.ErrorResponse{
		SQLState: pg.StateNotSupported, Message: "several statements in one text are not taken here, as each commits singly",
	}
	transactionsNotSupported = pg.ErrorResponse{
		SQLState: pg.StateNotSupported, Message: "explicit transactions are not supported: each statement commits singly",
	}
	settingNotSupported = pg.ErrorResponse{
		SQLState: pg.StateNotSupported, Message: "this setting can't be changed here",
	}
	deallocateWithoutName = pg.ErrorResponse{
		SQLState: pg.StateSyntax, Message: "DEALLOCATE takes the name of one statement, or ALL",
	}
	noMatchingRule = pg.ErrorResponse{
		SQLState: pg.StateNotSupported, Message: "no class is set up for this statement",
	}
	functionCallsNotSupported = pg.ErrorResponse{
		SQLState: pg.StateNotSupported, Message: "function calls are not taken here",
	}

	noReachableHost = pg.ErrorResponse{SQLState: pg.StateCannotConnectNow, Message: "no database host can be reached"}

	canceledByClient = pg.ErrorResponse{
		SQLState: pg.StateCanceled, Message: "called off by the client; the statement may have run",
	}
)

func unknownDatabase(name string) pg.ErrorResponse {
	return pg.ErrorResponse{
		SQLState: pg.StateNoDatabase, Message: "no database of the name " + quoted(name) + " is set up",
	}
}

func unknownStatement(name string) pg.ErrorResponse {
	return pg.ErrorResponse{SQLState: pg.StateNoStatement, Message: "no prepared statement " + quoted(name)}
}

func duplicateStatement(name string) pg.ErrorResponse {
	return pg.ErrorResponse{
		SQLState: pg.StateDuplicateStatement, Message: "prepared statement " + quoted(name) + " exists",
	}
}

func unknownPortal(name string) pg.ErrorResponse {
	return pg.ErrorResponse{SQLState: pg.StateNoPortal, Message: "no portal " + quoted(name)}
}

func duplicatePortal(name string) pg.ErrorResponse {
	return pg.ErrorResponse{SQLState: pg.StateDuplicatePortal, Message: "portal " + quoted(name) + " exists"}
}

func portalAlreadyExecuted(name string) pg.ErrorResponse {
	return pg.ErrorResponse{
		SQLState: stateNotInPrerequisiteState, Message: "portal " + quoted(name) + " has been run",
	}
}

func dedicatedHostNeeded(command string) pg.ErrorResponse {
	return pg.ErrorResponse{
		SQLState: pg.StateNotSupported, Message: command + " needs a host of its own, which nobody has here",
	}
}

func idempotencyKeyNeeded(class string) pg.ErrorResponse {
	return pg.ErrorResponse{
		SQLState: pg.StateBadParameter, Message: "the class " + class + " needs an idempotency key",
	}
}

// quoted returns a name that a client chose in quotes. A long name is truncated.
func quoted(name string) string { return strconv.Quote(pg.TruncateText(name)) }
