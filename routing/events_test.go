package routing

import "testing"

// Log lines carry the names: each outcome has one of its own.
func TestOutcomeNames(t *testing.T) {
	seen := map[string]bool{}
	for outcome := OutcomeOK; outcome <= OutcomeCancelled; outcome++ {
		name := outcome.String()
		if seen[name] || name == "" || name[:2] == "ou" {
			t.Errorf("outcome %d is called %q", int(outcome), name)
		}
		seen[name] = true
	}
}
