package extended

import (
	"strconv"

	"merlinjunction/internal/protocol/pg"
)

// stateNotInPrerequisiteState is SQLSTATE object_not_in_prerequisite_state.
const stateNotInPrerequisiteState = "55000"

var (
	memoryLimitExceeded = pg.ErrorResponse{State: pg.StateTooLarge, Text: "too much is prepared or bound at a time"}

	multipleStatements = pg.ErrorResponse{
		State: pg.StateNotSupported, Text: "several statements in one text are not taken here, as each commits singly",
	}
	transactionsNotSupported = pg.ErrorResponse{
		State: pg.StateNotSupported, Text: "explicit transactions are not supported: each statement commits singly",
	}
	settingNotSupported = pg.ErrorResponse{State: pg.StateNotSupported, Text: "this setting can't be changed here"}
	noMatchingRule      = pg.ErrorResponse{State: pg.StateNotSupported, Text: "no class is set up for this statement"}

	functionCallsNotSupported = pg.ErrorResponse{State: pg.StateNotSupported, Text: "function calls are not taken here"}

	noReachableHost = pg.ErrorResponse{State: pg.StateCannotConnectNow, Text: "no database host can be reached"}

	canceledByClient = pg.ErrorResponse{
		State: pg.StateCanceled, Text: "called off by the client; the statement may have run",
	}
)

func unknownDatabase(name string) pg.ErrorResponse {
	return pg.ErrorResponse{
		State: pg.StateNoDatabase, Text: "no database of the name " + strconv.Quote(name) + " is set up",
	}
}

func unknownStatement(name string) pg.ErrorResponse {
	return pg.ErrorResponse{State: pg.StateNoStatement, Text: "no prepared statement " + strconv.Quote(name)}
}

func duplicateStatement(name string) pg.ErrorResponse {
	return pg.ErrorResponse{
		State: pg.StateDuplicateStatement, Text: "prepared statement " + strconv.Quote(name) + " exists",
	}
}

func unknownPortal(name string) pg.ErrorResponse {
	return pg.ErrorResponse{State: pg.StateNoPortal, Text: "no portal " + strconv.Quote(name)}
}

func duplicatePortal(name string) pg.ErrorResponse {
	return pg.ErrorResponse{State: pg.StateDuplicatePortal, Text: "portal " + strconv.Quote(name) + " exists"}
}

func portalAlreadyExecuted(name string) pg.ErrorResponse {
	return pg.ErrorResponse{
		State: stateNotInPrerequisiteState, Text: "portal " + strconv.Quote(name) + " has been run",
	}
}

func dedicatedHostNeeded(command string) pg.ErrorResponse {
	return pg.ErrorResponse{
		State: pg.StateNotSupported, Text: command + " needs a host of its own, which nobody has here",
	}
}

func idempotencyKeyNeeded(class string) pg.ErrorResponse {
	return pg.ErrorResponse{
		State: pg.StateBadParameter, Text: "the class " + class + " needs an idempotency key",
	}
}
