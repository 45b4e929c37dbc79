package routing

import "testing"

// Outcomes appear in logs by name, so each one needs a unique name.
func TestOutcomeNames(t *testing.T) {
	seen := map[string]bool{}
	for outcome := OutcomeOK; outcome <= OutcomeCancelled; outcome++ {
		name := outcome.String()
		if seen[name] || name == "" || name[:2] == "ou" {
			t.Errorf("outcome %d has the name %q, want a unique one", int(outcome), name)
		}
		seen[name] = true
	}
}
