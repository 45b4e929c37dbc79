package faultsim

import (
	"reflect"
	"strings"
	"testing"
)

// A fault that finds no target is an error that names it.
func TestPlanWithoutTarget(t *testing.T) {
	experiment, err := ParseExperiment("x.toml", minimalExperiment+"[[fault]]\nat = 1\ndo = \"kill\"\nwho = \"11\"\n")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := experiment.Plan(10, 1); err == nil || !strings.Contains(err.Error(), "fault 1") {
		t.Errorf("eleven of ten: %v", err)
	}
}

// One seed gives one plan, another seed another. Steps are in order, and faults choose among the gateways that are up
// or down at their time.
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
		t.Error("one seed gives one plan, another another")
	}
	killed, started := map[int]bool{}, map[int]bool{}
	for i, step := range steps {
		if i > 0 && step.At < steps[i-1].At {
			t.Errorf("step %d comes too early", i)
		}
		switch step.Operation {
		case Kill:
			killed[step.Target] = true
		case Start:
			started[step.Target] = true
		case Cut:
			if step.Target%2 != 1 || killed[step.Target] || !reflect.DeepEqual(step.Destinations, []int{0}) {
				t.Errorf("a cut from %d to %v", step.Target, step.Destinations)
			}
		}
	}
	if len(killed) != 3 || !reflect.DeepEqual(killed, started) {
		t.Errorf("killed %v, started %v", killed, started)
	}
}
