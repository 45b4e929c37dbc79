package faultsim

import (
	"testing"

	"merlinjunction/internal/faultsim/model"
)

// shrink reduces an experiment on host selection to a size that CI has time for, and returns its number of gateways:
// fewer gateways, and proportionally less traffic. Bounds that depend on the size are not checked.
func shrink(t *testing.T, experiment *Experiment) int {
	t.Helper()
	const maxGateways = 16
	gateways := min(experiment.Fleet.Gateways, maxGateways)
	experiment.Load.EmulatedRate = min(experiment.Load.EmulatedRate, 300)
	hosts := &experiment.Hosts
	for hosts.EmulatedCount > 4*hosts.Groups && hosts.EmulatedCount > 24 {
		hosts.EmulatedCount -= hosts.Groups
	}
	if hosts.Groups > 6 {
		hosts.EmulatedCount, hosts.Groups = 24, 4
	}
	expect := &experiment.Expect
	expect.HostConnsSpread = nil
	expect.GatewayConns = nil
	expect.ProbesPerSecond = nil
	expect.HandshakesPerSecond = nil
	expect.PollsPerSecond = nil
	expect.HandshakesPeak = nil
	expect.WorstSecond = nil
	return gateways
}

// Every experiment on host selection holds in the emulator: no rule is violated, as much is served as the file
// requires, and each core accounts for its connections and requests after each step.
func TestSelectionExperimentsEmulated(t *testing.T) {
	for _, experiment := range emulatedIn(t, "choices", 15) {
		t.Run(experiment.Name, func(t *testing.T) {
			t.Parallel()
			options := Options{Seed: 1, Gateways: shrink(t, experiment), CheckAccounting: true}
			result, err := Emulate(experiment, options)
			if err != nil {
				t.Fatal(err)
			}
			if result.Measurements[FigureServedShare] == 0 || len(result.Verdicts) < 5 {
				t.Fatalf("nothing was checked: %v", result.Verdicts)
			}
			for _, verdict := range result.Verdicts {
				if !verdict.OK || !verdict.Measured {
					t.Error(verdict.Text)
				}
			}
		})
	}
}

// emulateSelection emulates an experiment on host selection; an empty mode is the experiment's own.
func emulateSelection(t *testing.T, name string, mode SelectionMode) *Result {
	t.Helper()
	experiment, err := LoadExperiment("../../experiments/choices/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	selection := experiment.Selection
	if mode != "" {
		selection.Mode = mode
	}
	options := Options{Seed: 2, Gateways: shrink(t, experiment), Selection: &selection, CheckAccounting: true}
	result, err := Emulate(experiment, options)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// One seed gives one result, requests and all.
func TestRequestSimulationRepeats(t *testing.T) {
	first, second := emulateSelection(t, "small", ""), emulateSelection(t, "small", "")
	handshakes := first.Measurements[FigureHandshakes]
	if first.Trace != second.Trace || handshakes != second.Measurements[FigureHandshakes] || handshakes == 0 {
		t.Errorf("traces %x and %x", first.Trace, second.Trace)
	}
}

// The experiments distinguish designs: gateways that don't know start times overload hosts in slow start, and gateways
// without subsets hold more connections and make more handshakes and health checks than those with subsets.
func TestSelectionBaselinesFallShort(t *testing.T) {
	if blind := emulateSelection(t, "replaced", SelectIgnoringStartTimes); blind.Measurements[FigureOverloads] == 0 {
		t.Error("gateways that don't know start times overload no host")
	}
	subsets, alone := emulateSelection(t, "replaced", ""), emulateSelection(t, "replaced", SelectAllHosts)
	for _, name := range []string{
		FigureGatewayConns, FigureHandshakes, FigureHandshakesPeak, FigureProbesPeak,
	} {
		if !(subsets.Measurements[name] < alone.Measurements[name]) {
			t.Errorf("%s: %.0f, alone %.0f", name, subsets.Measurements[name], alone.Measurements[name])
		}
	}
	overloads := subsets.Measurements[FigureOverloads]
	rejected, rejectedAlone := subsets.Measurements[FigureRejectedShare], alone.Measurements[FigureRejectedShare]
	if overloads > 0 || rejected > rejectedAlone {
		t.Errorf("%v overloads, %.4f rejected, alone %.4f", overloads, rejected, rejectedAlone)
	}
}

// A host has a part of its capacity at its start, all of it after the slow-start window, and all of it if it started
// long ago.
func TestSlowStartCapacity(t *testing.T) {
	slowStart := &model.SlowStart{MinShare: 0.2, WindowMs: 10_000}
	for _, test := range []struct{ started, now, want float64 }{
		{0, 0, 0.2},
		{0, 5000, 0.2 + 0.8*0.5},
		{0, 10_000, 1},
		{5000, 0, 0.2},
	} {
		got := slowStart.CapacityShare(test.started, test.now)
		if got < test.want-1e-9 || got > test.want+1e-9 {
			t.Errorf("started at %.0f, at %.0f: %v, want %v", test.started, test.now, got, test.want)
		}
	}
}
