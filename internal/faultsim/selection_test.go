package faultsim

import (
	"testing"

	"merlinjunction/internal/faultsim/model"
)

// shrinkForCI reduces an experiment on host selection to a size that CI has time for: fewer gateways and hosts and less
// traffic. Bounds that depend on the size are not checked. It returns the number of gateways.
func shrinkForCI(t *testing.T, experiment *Experiment) int {
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

// All bounds of each experiment on host selection hold in the emulated engine, at a reduced size. After each step of a
// core, each of its connections and requests is in exactly one state.
func TestSelectionExperimentsEmulated(t *testing.T) {
	for _, experiment := range loadEmulatedExperiments(t, "choices", 15) {
		t.Run(experiment.Name, func(t *testing.T) {
			t.Parallel()
			options := Options{Seed: 1, Gateways: shrinkForCI(t, experiment), CheckAccounting: true}
			result, err := Emulate(experiment, options)
			if err != nil {
				t.Fatal(err)
			}
			if result.Measurements[FigureServedShare] == 0 || len(result.Verdicts) < 5 {
				t.Fatalf("expected served requests and at least 5 verdicts, got %v", result.Verdicts)
			}
			for _, verdict := range result.Verdicts {
				if !verdict.OK || !verdict.Measured {
					t.Error(verdict.Text)
				}
			}
		})
	}
}

// emulateSelection runs an experiment on host selection in the emulated engine. An empty mode keeps the experiment's mode.
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
	options := Options{Seed: 2, Gateways: shrinkForCI(t, experiment), Selection: &selection, CheckAccounting: true}
	result, err := Emulate(experiment, options)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// The same seed gives the same result in an experiment with requests.
func TestRequestSimulationIsDeterministic(t *testing.T) {
	first, second := emulateSelection(t, "small", ""), emulateSelection(t, "small", "")
	handshakes := first.Measurements[FigureHandshakes]
	if first.Trace != second.Trace || handshakes != second.Measurements[FigureHandshakes] || handshakes == 0 {
		t.Errorf("traces %x and %x, %v handshakes: want equal runs with handshakes", first.Trace, second.Trace, handshakes)
	}
}

// The experiments tell designs apart: gateways that don't know the hosts' start times overload hosts in slow start.
// Gateways without subsets hold more connections and make more handshakes and health checks than those with subsets.
func TestSelectionBaselinesMeasureWorse(t *testing.T) {
	if result := emulateSelection(t, "replaced", SelectIgnoringStartTimes); result.Measurements[FigureOverloads] == 0 {
		t.Error("gateways that don't know start times: expected overloads of hosts, got none")
	}
	subsets, allHosts := emulateSelection(t, "replaced", ""), emulateSelection(t, "replaced", SelectAllHosts)
	for _, name := range []string{
		FigureGatewayConns, FigureHandshakes, FigureHandshakesPeak, FigureProbesPeak,
	} {
		if !(subsets.Measurements[name] < allHosts.Measurements[name]) {
			t.Errorf("%s: got %.0f, want less than %.0f", name, subsets.Measurements[name], allHosts.Measurements[name])
		}
	}
	overloads := subsets.Measurements[FigureOverloads]
	rejected, rejectedAllHosts := subsets.Measurements[FigureRejectedShare], allHosts.Measurements[FigureRejectedShare]
	if overloads > 0 || rejected > rejectedAllHosts {
		t.Errorf("%v overloads with subsets, want 0; %.4f rejected, want at most %.4f", overloads, rejected, rejectedAllHosts)
	}
}

// A host has SlowStart.MinShare of its capacity up to its start, and from then on a share that grows linearly to 1 at the
// end of the slow-start window.
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
