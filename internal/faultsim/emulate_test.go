package faultsim

import (
	"math"
	"path/filepath"
	"slices"
	"testing"
)

// loadExperiment loads the experiment with a file name from any directory of experiments.
func loadExperiment(t *testing.T, name string) *Experiment {
	t.Helper()
	files, err := filepath.Glob("../../experiments/*/" + name + ".toml")
	if err != nil || len(files) != 1 {
		t.Fatalf("experiment %s: %v, %v", name, files, err)
	}
	experiment, err := LoadExperiment(files[0])
	if err != nil {
		t.Fatal(err)
	}
	return experiment
}

// emulate runs an experiment on the emulated engine.
func emulate(t *testing.T, name string, seed uint64, gateways int) *Result {
	t.Helper()
	result, err := Emulate(loadExperiment(t, name), Options{Seed: seed, Gateways: gateways})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// The same seed gives the same result, and another seed gives a different one.
func TestEmulationIsDeterministic(t *testing.T) {
	first, second := emulate(t, "loss-30", 3, 30), emulate(t, "loss-30", 3, 30)
	if first.Trace != second.Trace || first.Datagrams != second.Datagrams {
		t.Errorf("seed 3 gave %x after %d datagrams, then %x after %d",
			first.Trace, first.Datagrams, second.Trace, second.Datagrams)
	}
	if other := emulate(t, "loss-30", 4, 30); first.Datagrams == other.Datagrams {
		t.Error("seeds 3 and 4 gave the same number of datagrams, want different ones")
	}
}

// A bound that is too tight fails, and no other bound does. A bound on a figure that is NaN fails too.
func TestTooTightBoundFails(t *testing.T) {
	experiment := loadExperiment(t, "crash")
	*experiment.Expect.FirstDeathMs = 1
	result, err := Emulate(experiment, Options{Seed: 1, Gateways: 40})
	if err != nil {
		t.Fatal(err)
	}
	for _, verdict := range result.Verdicts {
		if verdict.OK == (verdict.Name == FigureFirstDeathMs) {
			t.Error(verdict.Text)
		}
	}
	expect := &Expect{FirstDeathMs: new(float64)}
	if verdicts := expect.Evaluate(Measurements{FigureFirstDeathMs: math.NaN()}); verdicts[0].OK {
		t.Error("bound on NaN: expected it to fail, but it holds")
	}
}

// loadEmulatedExperiments loads the experiments of a directory that are for the emulated engine. The test fails if the
// directory has fewer than minFiles files.
func loadEmulatedExperiments(t *testing.T, dir string, minFiles int) (experiments []*Experiment) {
	t.Helper()
	files, err := filepath.Glob("../../experiments/" + dir + "/*.toml")
	if err != nil || len(files) < minFiles {
		t.Fatalf("%d experiments, want at least %d: %v", len(files), minFiles, err)
	}
	for _, file := range files {
		experiment, err := LoadExperiment(file)
		if err != nil {
			t.Fatal(err)
		}
		if slices.Contains(experiment.Engines, EngineEmulated) {
			experiments = append(experiments, experiment)
		}
	}
	return experiments
}

// All bounds of each membership experiment hold in the emulated engine, at a size that CI has time for. The full sizes and
// durations are run by hand with `faultsim run`.
func TestExperimentsEmulated(t *testing.T) {
	for _, experiment := range loadEmulatedExperiments(t, "membership", 20) {
		t.Run(experiment.Name, func(t *testing.T) {
			t.Parallel()
			gateways := min(experiment.Fleet.Gateways, 48)
			switch experiment.Name {
			case "grow":
				experiment.Faults[0].Target, experiment.Faults[1].Target = "117", "117"
			case "lossy-hour":
				experiment.Seconds = 300
			case "thousand":
				gateways = 120
			}
			result, err := Emulate(experiment, Options{Seed: 1, Gateways: gateways})
			if err != nil {
				t.Fatal(err)
			}
			for _, verdict := range result.Verdicts {
				if !verdict.OK {
					t.Error(verdict.Text)
				}
			}
		})
	}
}

// All bounds of each membership experiment hold for 25 seeds in a fleet of the size of the processes engine. In such a
// small fleet few gateways can observe a fault, and few remain after it.
func TestExperimentsInSmallFleets(t *testing.T) {
	files, err := filepath.Glob("../../experiments/membership/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		experiment, err := LoadExperiment(file)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Contains(experiment.Engines, EngineProcesses) {
			continue
		}
		t.Run(experiment.Name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 25; seed++ {
				result, err := Emulate(experiment, Options{Seed: seed, Gateways: experiment.Fleet.Processes})
				if err != nil {
					t.Fatal(err)
				}
				for _, verdict := range result.Verdicts {
					if !verdict.OK {
						t.Errorf("seed %d: %s", seed, verdict.Text)
					}
				}
			}
		})
	}
}

// The experiments tell designs apart: the SWIM baseline fails a bound that membership.View meets.
func TestSWIMBaselineFailsAgreementBound(t *testing.T) {
	options := Options{Seed: 1, Gateways: 48, NewNode: NewSWIMBaseline}
	result, err := Emulate(loadExperiment(t, "halves"), options)
	if err != nil {
		t.Fatal(err)
	}
	for _, verdict := range result.Verdicts {
		if verdict.Name == FigureAgreementMs && verdict.OK {
			t.Errorf("SWIM baseline: expected the bound on agreement to fail: %s", verdict.Text)
		}
	}
}
