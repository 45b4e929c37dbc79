package faultsim

import (
	"reflect"
	"strings"
	"testing"
)

// A fault with more targets than eligible gateways is an error that names the fault.
func TestPlanTooManyTargets(t *testing.T) {
	experiment, err := ParseExperiment("x.toml", minimalExperiment+"[[fault]]\nat = 1\ndo = \"kill\"\nwho = \"11\"\n")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := experiment.Plan(10, 1); err == nil || !strings.Contains(err.Error(), "fault 1") {
		t.Errorf("11 targets of 10 gateways: got %v, want an error of fault 1", err)
	}
}

// The same seed gives the same plan, and another seed a different one. Steps are in order of time. Faults select among the
// gateways that are up or down at the time of the fault.
func TestPlan(t *testing.T) {
	twoZones := strings.Replace(minimalExperiment, "gateways = 10", "gateways = 10\nzones = 2", 1)
	experiment, err := ParseExperiment("x.toml", twoZones+`
[[fault]]
at = 5
do = "start"
who = "down"
[[fault]]
at = 1
do = "kill"
who = "30%"
[[fault]]
at = 2
do = "cut"
who = "zone 1"
to = "g0"
oneway = true
for = 1
`)
	if err != nil {
		t.Fatal(err)
	}
	steps, err := experiment.Plan(10, 7)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := experiment.Plan(10, 7)
	other, _ := experiment.Plan(10, 8)
	if !reflect.DeepEqual(steps, again) || reflect.DeepEqual(steps, other) {
		t.Error("expected equal plans for the same seed and different plans for different seeds")
	}
	killed, started := map[int]bool{}, map[int]bool{}
	for i, step := range steps {
		if i > 0 && step.At < steps[i-1].At {
			t.Errorf("step %d is earlier than the step before it", i)
		}
		switch step.Operation {
		case Kill:
			killed[step.Target] = true
		case Start:
			started[step.Target] = true
		case Cut:
			if step.Target%2 != 1 || killed[step.Target] || !reflect.DeepEqual(step.Destinations, []int{0}) {
				t.Errorf("cut from gateway %d to %v, want a cut from an up gateway of zone 1 to [0]", step.Target, step.Destinations)
			}
		}
	}
	if len(killed) != 3 || !reflect.DeepEqual(killed, started) {
		t.Errorf("killed %v, started %v, want the same 3 gateways", killed, started)
	}
}
