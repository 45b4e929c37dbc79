package pg

import (
	"testing"

	"merlinjunction/routing"
)

func TestOutcomeOfSQLState(t *testing.T) {
	for state, want := range map[string]routing.Outcome{
		"":      routing.OutcomeOK,
		"25006": routing.OutcomeMisdirected,
		"72000": routing.OutcomeMisdirected,
		"53300": routing.OutcomeRejected,
		"57P03": routing.OutcomeRejected,
		"XX000": routing.OutcomeError,
		"57P01": routing.OutcomeError,
		"42601": routing.OutcomeError,
	} {
		if got := outcomeOf(state); got != want {
			t.Errorf("SQLSTATE %q: got outcome %v, want %v", state, got, want)
		}
	}
	for state, want := range map[string]bool{
		"42601": true, "22012": true, "23505": true, "XX000": false, "53300": false, "25006": false, "": false,
	} {
		if isStatementError(state) != want {
			t.Errorf("SQLSTATE %q: isStatementError = %v, want %v", state, !want, want)
		}
	}
}
