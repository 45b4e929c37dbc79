package faultsim

import (
	"strings"
	"testing"

	"merlinjunction/membership"
)

// newTestOracle returns an oracle for four gateways that are up and believe each other to be alive.
func newTestOracle(t *testing.T) *Oracle {
	t.Helper()
	oracle := NewOracle(4, NewNetwork(1, &NetworkConditions{DelayMs: []float64{1, 2}}))
	for i := range 4 {
		oracle.Apply(&Step{Operation: Start, Target: i}, -5000)
	}
	for viewer := range 4 {
		for member := range 4 {
			oracle.ObserveBelief(viewer, member, membership.Alive, "joined", -4000)
		}
	}
	if oracle.wrongBeliefs != 0 {
		t.Fatalf("%d wrong beliefs, want 0", oracle.wrongBeliefs)
	}
	return oracle
}

// The oracle counts wrong beliefs, false suspicions and false deaths, but not suspicions and deaths that a fault excuses.
func TestOracle(t *testing.T) {
	oracle := newTestOracle(t)
	oracle.Apply(&Step{Operation: Kill, Target: 3}, 1000)
	oracle.ObserveBelief(0, 3, membership.Suspect, "", 1400)
	oracle.ObserveBelief(0, 3, membership.Dead, "", 2000)
	oracle.ObserveBelief(1, 3, membership.Dead, "", 2100)
	if oracle.wrongBeliefs != 1 {
		t.Errorf("%d wrong beliefs, want 1", oracle.wrongBeliefs)
	}
	oracle.ObserveBelief(2, 3, membership.Unreachable, "", 2500)
	figures := oracle.Measurements()
	if figures[FigureSuspectMs] != 400 || figures[FigureFirstDeathMs] != 1000 || figures[FigureAllDetectedMs] != 1500 ||
		figures[FigureAgreementMs] != 1500 || figures[FigureFalseDeaths] != 0 {
		t.Errorf("figures of the crash: %v", figures)
	}
	oracle.ObserveBelief(0, 1, membership.Suspect, "no answer here", 6000)
	oracle.ObserveBelief(0, 1, membership.Dead, "", 6100)
	if oracle.FalseDeaths != 1 || oracle.FalseSuspicions != 1 {
		t.Errorf("%d false deaths, %d false suspicions, want 1 and 1", oracle.FalseDeaths, oracle.FalseSuspicions)
	}
	oracle.ObserveBelief(0, 1, membership.Alive, "", 6200)
	oracle.Apply(&Step{Operation: Pause, Target: 2}, 7000)
	oracle.ObserveBelief(0, 2, membership.Dead, "", 8500) // excused, because member 2 is paused
	oracle.Apply(&Step{Operation: Resume, Target: 2}, 9000)
	if oracle.wrongBeliefs != 1 {
		t.Errorf("after the return: %d wrong beliefs, want 1", oracle.wrongBeliefs)
	}
	oracle.ObserveBelief(2, 0, membership.Suspect, "no answer here", 9200)
	oracle.ObserveBelief(0, 2, membership.Alive, "", 9700)
	figures = oracle.Measurements()
	if figures[FigureFalseDeaths] != 1 || figures[FigureRecoveryMs] != 700 ||
		figures[FigureSuspicionsAfterReturn] != 1 || figures[FigureFlaps] != 1 {
		t.Errorf("figures of the return: %v", figures)
	}
	expect := &Expect{FalseDeaths: new(float64), Isolated: []int{0, 0}}
	if verdicts := expect.Evaluate(figures); verdicts[0].OK || !verdicts[1].OK {
		t.Errorf("want the bound on false deaths to fail and the one on isolated gateways to hold, got %+v", verdicts)
	}
}

// The verdict for a figure that the engine does not measure says so.
func TestVerdictNotMeasured(t *testing.T) {
	verdicts := (&Expect{Lost: new(float64)}).Evaluate(Measurements{})
	if verdicts[0].Measured || !strings.Contains(verdicts[0].Text, "not measured by this engine") {
		t.Errorf("want a verdict that is not measured, got %+v", verdicts)
	}
}
