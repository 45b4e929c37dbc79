package main

import (
	"errors"
	"testing"

	"merlinjunction/internal/frontend/management"
)

// Scripts read these lines, so their keys and words must not change.
func TestWatchEvents(t *testing.T) {
	w := &membersWatcher{}
	member := func(name, state string) management.Member {
		return management.Member{Name: name, State: state, Zone: "z1", Address: "127.0.0.1:1"}
	}
	for _, step := range []struct {
		name  string
		fleet *management.Fleet
		err   error
		text  []string
		json  []string
	}{
		{
			name:  "first view",
			fleet: &management.Fleet{Self: "a", Status: "fine", Members: []management.Member{member("b", "alive")}},
			text: []string{
				"T standing member=a state=fine part=false",
				"T member member=b state=alive zone=z1 address=127.0.0.1:1",
			},
			json: []string{
				`{"event":"standing","member":"a","state":"fine part=false","time":"T"}`,
				`{"address":"127.0.0.1:1","event":"member","member":"b","state":"alive","time":"T","was":"","zone":"z1"}`,
			},
		},
		{
			name:  "nothing new",
			fleet: &management.Fleet{Self: "a", Status: "fine", Members: []management.Member{member("b", "alive")}},
		},
		{
			name: "unreachable",
			err:  errors.New("refused"),
			text: []string{"T away cause=refused"},
			json: []string{`{"cause":"refused","event":"away","time":"T"}`},
		},
		{name: "still unreachable", err: errors.New("refused")},
		{
			name: "changed and removed",
			fleet: &management.Fleet{
				Self: "a", Status: "fine", Partial: true, Members: []management.Member{member("c", "suspect")},
			},
			text: []string{
				"T standing member=a state=fine part=true",
				"T member member=c state=suspect zone=z1 address=127.0.0.1:1",
				"T member member=b was=alive state=forgotten",
			},
			json: []string{
				`{"event":"standing","member":"a","state":"fine part=true","time":"T"}`,
				`{"address":"127.0.0.1:1","event":"member","member":"c","state":"suspect","time":"T","was":"","zone":"z1"}`,
				`{"event":"member","member":"b","state":"forgotten","time":"T","was":"alive"}`,
			},
		},
	} {
		events := w.update(step.fleet, step.err)
		if len(events) != len(step.text) {
			t.Fatalf("%s: got %d events, want %d", step.name, len(events), len(step.text))
		}
		for i, event := range events {
			if text := event.text("T"); text != step.text[i] {
				t.Errorf("%s: got %q, want %q", step.name, text, step.text[i])
			}
			if text := string(event.encodeJSON("T")); text != step.json[i] {
				t.Errorf("%s: got %s, want %s", step.name, text, step.json[i])
			}
		}
	}
}
