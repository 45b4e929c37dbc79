package faultsim

import (
	"strings"
	"testing"
)

const minimalExperiment = "name = \"x\"\nseconds = 10\n[fleet]\ngateways = 10\n"

// An error in an experiment file is one line with the path, the key and, where the TOML library reports it, the line.
func TestInvalidExperimentErrors(t *testing.T) {
	const minimal = minimalExperiment
	for _, test := range []struct{ name, text, want string }{
		{"unknown key", minimal + "colour = 1\n", "x.toml:5: unknown key fleet.colour"},
		{"unknown key of a table", minimal + "[network]\nlos = 0.1\n", "x.toml:6: unknown key network.los"},
		{
			"unknown key of a fault",
			minimal + "[[fault]]\nat = 1\ndo = \"kill\"\nwho = \"1\"\n[[fault]]\nwhom = \"2\"\n",
			"unknown key fault.whom",
		},
		{"unknown figure", minimal + "[expect]\nfirst_m = 1\n", "x.toml:6: unknown key expect.first_m"},
		{"wrong type", "name = 3\n", "x.toml:1: name"},
		{"no TOML", "name = \"x\nseconds = 1", "x.toml:1"},
		{"negative seconds", strings.Replace(minimal, "10\n[", "-1\n[", 1), "seconds"},
		{"loss above 1", minimal + "[network]\nloss = 2.0\n", "network.loss"},
		{"delays out of order", minimal + "[network]\ndelay_ms = [3, 1]\n", "network.delay_ms"},
		{
			"unknown fault",
			minimal + "[[fault]]\nat = 1\ndo = \"explode\"\nwho = \"1\"\n",
			"fault 1: do: unknown fault kind \"explode\"",
		},
		{"pause without duration", minimal + "[[fault]]\nat = 1\ndo = \"pause\"\nwho = \"1\"\n", "fault 1: for"},
		{"unknown target", minimal + "[[fault]]\nat = 1\ndo = \"kill\"\nwho = \"several\"\n", "fault 1: who"},
		{
			"reverse without one way",
			minimal + "[[fault]]\nat = 1\ndo = \"cut\"\nfor = 1\nfrom = true\nwho = \"1\"\n",
			"fault 1: from",
		},
		{"unknown engine", strings.Replace(minimal, "name", "engines = [\"real\"]\nname", 1), "engines"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseExperiment("x.toml", test.text)
			if err == nil {
				t.Fatal("expected an error, got none")
			}
			message := err.Error()
			if !strings.Contains(message, test.want) || !strings.HasPrefix(message, "x.toml") ||
				strings.Contains(message, "\n") {
				t.Errorf("got error %q, want one line that begins with x.toml and contains %q", message, test.want)
			}
		})
	}
}
