package faultsim

import (
	"math"
	"path/filepath"
	"slices"
	"testing"
)

func experiment(t *testing.T, name string) *Experiment {
	t.Helper()
	files, err := filepath.Glob("../../experiments/*/" + name + ".toml")
	if err != nil || len(files) != 1 {
		t.Fatalf("experiment %s: %v, %v", name, files, err)
	}
	e, err := LoadExperiment(files[0])
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func emulate(t *testing.T, name string, seed uint64, n int) *Result {
	t.Helper()
	r, err := Emulate(experiment(t, name), Options{Seed: seed, Gateways: n})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// One seed gives one result, and another gives another.
func TestEmulationRepeats(t *testing.T) {
	a, b, c := emulate(t, "loss-30", 3, 30), emulate(t, "loss-30", 3, 30), emulate(t, "loss-30", 4, 30)
	if a.Trace != b.Trace || a.Datagrams != b.Datagrams {
		t.Errorf("seed 3 gave %x after %d datagrams, then %x after %d", a.Trace, a.Datagrams, b.Trace, b.Datagrams)
	}
	if a.Datagrams == c.Datagrams {
		t.Error("seeds 3 and 4 gave the same number of datagrams")
	}
}

// Nobody who is told of a crash in time means that the crash experiment fails: the check can fail.
func TestVerdictFails(t *testing.T) {
	e := experiment(t, "crash")
	*e.Expect.FirstMs = 1
	r, err := Emulate(e, Options{Seed: 1, Gateways: 40})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Verdicts {
		if v.OK == (v.Name == "first_ms") {
			t.Error(v.Text)
		}
	}
	if v := (&Expect{FirstMs: new(float64)}).Judge(Measurements{"first_ms": math.NaN()}); v[0].OK {
		t.Error("nothing measured counts as met")
	}
}

// emulatedIn are the experiments of a folder that the emulator plays; there are so many files at least.
func emulatedIn(t *testing.T, folder string, least int) (list []*Experiment) {
	t.Helper()
	files, err := filepath.Glob("../../experiments/" + folder + "/*.toml")
	if err != nil || len(files) < least {
		t.Fatalf("%d experiments, %v", len(files), err)
	}
	for _, file := range files {
		e, err := LoadExperiment(file)
		if err != nil {
			t.Fatal(err)
		}
		if slices.Contains(e.Engines, "emulated") {
			list = append(list, e)
		}
	}
	return list
}

// Every experiment holds in the emulator, at a size that CI has time for. The full sizes and the long runs are commands.
func TestExperimentsEmulated(t *testing.T) {
	for _, e := range emulatedIn(t, "membership", 20) {
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			n := min(e.Fleet.Gateways, 48)
			switch e.Name {
			case "grow":
				e.Fault[0].Who, e.Fault[1].Who = "117", "117"
			case "lossy-hour":
				e.Seconds = 300
			case "thousand":
				n = 120
			}
			r, err := Emulate(e, Options{Seed: 1, Gateways: n})
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range r.Verdicts {
				if !v.OK {
					t.Error(v.Text)
				}
			}
		})
	}
}

// At the size of the processes engine, where few can observe and few are left, each experiment holds for many seeds.
func TestExperimentsSmall(t *testing.T) {
	files, err := filepath.Glob("../../experiments/membership/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		e, err := LoadExperiment(file)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Contains(e.Engines, "processes") {
			continue
		}
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(25) {
				r, err := Emulate(e, Options{Seed: seed + 1, Gateways: e.Fleet.Processes})
				if err != nil {
					t.Fatal(err)
				}
				for _, v := range r.Verdicts {
					if !v.OK {
						t.Errorf("seed %d: %s", seed+1, v.Text)
					}
				}
			}
		})
	}
}

// The baseline, held to the same file, falls short: the experiments can tell designs apart.
func TestBaselineFallsShort(t *testing.T) {
	r, err := Emulate(experiment(t, "halves"), Options{Seed: 1, Gateways: 48, Make: Baseline})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Verdicts {
		if v.Name == "agree_ms" && v.OK {
			t.Errorf("plain SWIM merges two halves: %s", v.Text)
		}
	}
}
