package server

import (
	"errors"
	"strings"
	"testing"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/testkit"
)

// operatorFileTemplate is an operator's file in which FLEET stands for the table [fleet].
const operatorFileTemplate = `name = "a"
listen = "127.0.0.1:0"
describe_class = "read"
FLEET
` + testkit.UnreachableHostConfig

const validFleet = `[fleet]
name = "f"
listen = "127.0.0.1:0"
seeds = ["127.0.0.1:7946"]
keys = ["sixteen bytes of key"]
networks = ["127.0.0.0/8"]
`

func loadFleetTable(t *testing.T, fleet string) (*Config, error) {
	t.Helper()
	return loadOperatorText(t, strings.Replace(operatorFileTemplate, "FLEET\n", fleet, 1))
}

// An invalid [fleet] must be reported in one line that names the key.
func TestInvalidFleetTableNamesKey(t *testing.T) {
	if c, err := loadFleetTable(t, validFleet); err != nil || c.Operator.Fleet == nil || len(c.Operator.Fleet.Seeds) != 1 {
		t.Fatalf("valid [fleet]: got %+v, error %v, want a fleet with one seed", c, err)
	}
	if c, err := loadFleetTable(t, ""); err != nil || c.Operator.Fleet != nil {
		t.Fatalf("without [fleet]: got %+v, error %v, want no fleet", c, err)
	}
	for _, c := range []struct{ old, new, want, key string }{
		{`name = "f"`, ``, "fleet.name", "fleet.name"},
		{`"127.0.0.1:0"`, `"here"`, "fleet.listen", "fleet.listen"},
		{`"127.0.0.1:7946"`, `"seed"`, "fleet.seeds", "fleet.seeds"},
		{`"sixteen bytes of key"`, `"sixteen bytes of key", "short"`, "fleet.keys: key 2", "fleet.keys"},
		{`"sixteen bytes of key"`, ``, "fleet.keys", "fleet.keys"},
		{`"127.0.0.0/8"`, `"127.0.0.1"`, "fleet.networks", "fleet.networks"},
		{`keys =`, `zone = "` + strings.Repeat("z", 33) + "\"\nkeys =", "fleet.zone", "fleet.zone"},
		{`keys =`, "advertise = \"x\"\nkeys =", "fleet.advertise", "fleet.advertise"},
		{`keys =`, "message_version = 9\nkeys =", "fleet.message_version", "fleet.message_version"},
		{`keys =`, "colour = \"x\"\nkeys =", "unknown key fleet.colour", "fleet.colour"},
	} {
		t.Run(c.want, func(t *testing.T) {
			_, err := loadFleetTable(t, strings.Replace(validFleet, c.old, c.new, 1))
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line that contains %q", err, c.want)
			}
			var configError *ConfigError
			if !errors.As(err, &configError) || configError.Key != c.key {
				t.Errorf("error %v does not have the key %q", err, c.key)
			}
		})
	}
}

// A start must fail if the address of [fleet] is in use. Without [fleet] the gateway must have no socket and no fleet.
func TestFleetAddress(t *testing.T) {
	open := func(fleet string) (*Server, error) {
		t.Helper()
		c, err := loadFleetTable(t, fleet)
		if err != nil {
			t.Fatal(err)
		}
		return New(c, zap.NewNop(), eventloop.SystemClock())
	}
	inFleet, err := open(validFleet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(inFleet.Close)
	_, err = open(strings.Replace(validFleet, "127.0.0.1:0", inFleet.fleetAddress(), 1))
	if err == nil || !strings.HasPrefix(err.Error(), "fleet.listen: ") || !strings.Contains(err.Error(), "in use") {
		t.Errorf("start with an address in use: got error %v, want one that begins with fleet.listen and contains \"in use\"", err)
	}
	alone, err := open("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(alone.Close)
	if alone.Fleet() != nil || alone.FleetMetrics() != "" || alone.fleetAddress() != "" || alone.Telemetry().Fleet != nil {
		t.Error("a gateway without [fleet] reports a fleet")
	}
	if f := inFleet.Telemetry().Fleet; f == nil || f.Alive != 1 || f.Members != nil {
		t.Errorf("got fleet telemetry %+v, want 1 member alive and no list of members", f)
	}
}
