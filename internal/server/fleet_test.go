package server

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/testkit"
)

const fleetFile = `name = "a"
listen = "127.0.0.1:0"
describe_class = "read"
FLEET
` + testkit.OneHost

const goodFleet = `[fleet]
name = "f"
listen = "127.0.0.1:0"
seeds = ["127.0.0.1:7946"]
keys = ["sixteen bytes of key"]
networks = ["127.0.0.0/8"]
`

func loadFleet(t *testing.T, fleet string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "a.toml")
	if err := os.WriteFile(path, []byte(strings.Replace(fleetFile, "FLEET\n", fleet, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadOperator(path)
}

// A wrong [fleet] is one line that names the key.
func TestFleetKeys(t *testing.T) {
	if c, err := loadFleet(t, goodFleet); err != nil || c.Operator.Fleet == nil || len(c.Operator.Fleet.Seeds) != 1 {
		t.Fatalf("%+v, %v", c, err)
	}
	if c, err := loadFleet(t, ""); err != nil || c.Operator.Fleet != nil {
		t.Fatalf("without [fleet]: %+v, %v", c, err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`name = "f"`, ``, "fleet.name"},
		{`"127.0.0.1:0"`, `"here"`, "fleet.listen"},
		{`"127.0.0.1:7946"`, `"seed"`, "fleet.seeds"},
		{`"sixteen bytes of key"`, `"sixteen bytes of key", "short"`, "fleet.keys: key 2"},
		{`"sixteen bytes of key"`, ``, "fleet.keys"},
		{`"127.0.0.0/8"`, `"127.0.0.1"`, "fleet.networks"},
		{`keys =`, `zone = "` + strings.Repeat("z", 33) + "\"\nkeys =", "fleet.zone"},
		{`keys =`, "advertise = \"x\"\nkeys =", "fleet.advertise"},
		{`keys =`, "message_version = 9\nkeys =", "fleet.message_version"},
		{`keys =`, "colour = \"x\"\nkeys =", "unknown key fleet.colour"},
	} {
		_, err := loadFleet(t, strings.Replace(goodFleet, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c.want, err)
		}
	}
}

// An address in use is a start with one line; without [fleet] there is no socket and no fleet.
func TestFleetAddress(t *testing.T) {
	open := func(fleet string) (*Server, error) {
		c, err := loadFleet(t, fleet)
		if err != nil {
			t.Fatal(err)
		}
		return New(c, zap.NewNop(), eventloop.SystemClock())
	}
	p, err := open(goodFleet)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	_, err = open(strings.Replace(goodFleet, "127.0.0.1:0", p.fleetAddr(), 1))
	if err == nil || !strings.HasPrefix(err.Error(), "fleet.listen: ") || !strings.Contains(err.Error(), "in use") {
		t.Errorf("an address in use: %v", err)
	}
	alone, err := open("")
	if err != nil {
		t.Fatal(err)
	}
	defer alone.Close()
	if alone.Fleet() != nil || alone.FleetMetrics() != "" || alone.fleetAddr() != "" || alone.Telemetry().Fleet != nil {
		t.Error("without [fleet] there is something of a fleet")
	}
	if f := p.Telemetry().Fleet; f == nil || f.Alive != 1 || f.Members != nil {
		t.Errorf("the telemetry says %+v", f)
	}
}
