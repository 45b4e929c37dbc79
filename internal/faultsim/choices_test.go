package faultsim

import (
	"testing"

	"merlinjunction/internal/faultsim/model"
)

// smaller is an experiment on the choices at a size that CI has time for: fewer gateways, and as much less traffic. What
// depends on the size is not asked.
func smaller(t *testing.T, e *Experiment) int {
	t.Helper()
	n := min(e.Fleet.Gateways, 16)
	e.Load.Emulated = min(e.Load.Emulated, 300)
	for e.Hosts.Emulated > 4*e.Hosts.Groups && e.Hosts.Emulated > 24 {
		e.Hosts.Emulated -= e.Hosts.Groups
	}
	if e.Hosts.Groups > 6 {
		e.Hosts.Emulated, e.Hosts.Groups = 24, 4
	}
	x := &e.Expect
	x.ConnsHostSpread, x.ConnsGateway, x.ProbesS, x.HandshakesS, x.CallsS, x.HandshakesPeak, x.WorstSecond = nil, nil, nil, nil, nil, nil, nil
	return n
}

// Every experiment on the choices holds in the emulator: no rule breaks, and as much is served as the file asks for.
func TestChoicesEmulated(t *testing.T) {
	for _, e := range emulatedIn(t, "choices", 15) {
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			r, err := Emulate(e, Options{Seed: 1, Gateways: smaller(t, e)})
			if err != nil {
				t.Fatal(err)
			}
			if r.Measurements["served_share"] == 0 || len(r.Verdicts) < 5 {
				t.Fatalf("nothing was asked: %v", r.Verdicts)
			}
			for _, v := range r.Verdicts {
				if !v.OK || !v.Asked {
					t.Error(v.Text)
				}
			}
		})
	}
}

func playChoices(t *testing.T, name, by string) *Result {
	t.Helper()
	e, err := LoadExperiment("../../experiments/choices/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	c := e.Choices
	if by != "" {
		c.By = by
	}
	r, err := Emulate(e, Options{Seed: 2, Gateways: smaller(t, e), Choices: &c})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// One seed gives one result, requests and all.
func TestChoicesRepeat(t *testing.T) {
	a, b := playChoices(t, "small", ""), playChoices(t, "small", "")
	if a.Trace != b.Trace || a.Measurements["handshakes"] != b.Measurements["handshakes"] || a.Measurements["handshakes"] == 0 {
		t.Errorf("traces %x and %x", a.Trace, b.Trace)
	}
}

// The rig can tell: gateways that are not told of starts push cold hosts over; each for itself connects to far more hosts,
// asks more and shakes more hands than those that share.
func TestBaselinesOfTheChoicesFallShort(t *testing.T) {
	if blind := playChoices(t, "replaced", "blind"); blind.Measurements["cold"] == 0 {
		t.Error("gateways that know of no start push nobody over")
	}
	ours, alone := playChoices(t, "replaced", ""), playChoices(t, "replaced", "alone")
	for _, name := range []string{"conns_gateway", "handshakes", "handshakes_peak", "probes_peak"} {
		if !(ours.Measurements[name] < alone.Measurements[name]) {
			t.Errorf("%s: %.0f, alone %.0f", name, ours.Measurements[name], alone.Measurements[name])
		}
	}
	if ours.Measurements["cold"] > 0 || ours.Measurements["refused_share"] > alone.Measurements["refused_share"] {
		t.Errorf("%v falls, %.4f refused, alone %.4f", ours.Measurements["cold"], ours.Measurements["refused_share"], alone.Measurements["refused_share"])
	}
}

// How warm a host is: a part at its start, all of it after its time, and all of it where it started long ago.
func TestWarmth(t *testing.T) {
	w := &model.SlowStart{MinShare: 0.2, WindowMs: 10_000}
	for _, c := range []struct{ started, now, want float64 }{{0, 0, 0.2}, {0, 5000, 0.2 + 0.8*0.5}, {0, 10_000, 1}, {5000, 0, 0.2}} {
		if got := w.CapacityShare(c.started, c.now); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("started at %.0f, at %.0f: %v, want %v", c.started, c.now, got, c.want)
		}
	}
}
