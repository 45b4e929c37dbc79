package faultsim

import (
	"math"
	"path/filepath"
	"slices"
	"testing"
)

// loadExperiment loads the experiment with a name, whichever folder it is in.
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

func emulate(t *testing.T, name string, seed uint64, gateways int) *Result {
	t.Helper()
	result, err := Emulate(loadExperiment(t, name), Options{Seed: seed, Gateways: gateways})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// One seed gives one result, and another gives another.
func TestEmulationRepeats(t *testing.T) {
	first, second := emulate(t, "loss-30", 3, 30), emulate(t, "loss-30", 3, 30)
	if first.Trace != second.Trace || first.Datagrams != second.Datagrams {
		t.Errorf("seed 3 gave %x after %d datagrams, then %x after %d",
			first.Trace, first.Datagrams, second.Trace, second.Datagrams)
	}
	if other := emulate(t, "loss-30", 4, 30); first.Datagrams == other.Datagrams {
		t.Error("seeds 3 and 4 gave the same number of datagrams")
	}
}

// The crash experiment fails exactly the bound that is too tight: the check can fail.
func TestVerdictFails(t *testing.T) {
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
		t.Error("nothing measured counts as met")
	}
}

// emulatedIn loads the experiments of a folder that the emulator runs. The folder has so many files at least.
func emulatedIn(t *testing.T, folder string, leastFiles int) (experiments []*Experiment) {
	t.Helper()
	files, err := filepath.Glob("../../experiments/" + folder + "/*.toml")
	if err != nil || len(files) < leastFiles {
		t.Fatalf("%d experiments, %v", len(files), err)
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

// Every experiment holds in the emulator, at a size that CI has time for. The full sizes and the long runs are
// commands.
func TestExperimentsEmulated(t *testing.T) {
	for _, experiment := range emulatedIn(t, "membership", 20) {
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

// At the size of the processes engine, where few gateways can observe a fault and few are left, each experiment holds
// for many seeds.
func TestExperimentsSmall(t *testing.T) {
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

// The SWIM baseline fails a bound of the same file: the experiments distinguish designs.
func TestBaselineFallsShort(t *testing.T) {
	options := Options{Seed: 1, Gateways: 48, NewNode: NewSWIMBaseline}
	result, err := Emulate(loadExperiment(t, "halves"), options)
	if err != nil {
		t.Fatal(err)
	}
	for _, verdict := range result.Verdicts {
		if verdict.Name == FigureAgreementMs && verdict.OK {
			t.Errorf("plain SWIM merges two halves: %s", verdict.Text)
		}
	}
}
