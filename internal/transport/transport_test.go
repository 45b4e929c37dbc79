package transport

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"go4.org/netipx"

	"merlinjunction/internal/eventloop"
	"merlinjunction/membership"
)

func newLoop(t *testing.T) *eventloop.Loop {
	t.Helper()
	loop, err := eventloop.New(eventloop.SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loop.Close)
	return loop
}

// newTransport returns a Transport that runs on a loop, and its log.
func newTransport(t *testing.T, loop *eventloop.Loop, config Config) (*Transport, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	transport, err := New(loop, zap.New(core), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(transport.Close)
	return transport, logs
}

func testConfig(name string) Config {
	return Config{Name: name, FleetName: "fleet", Listen: "127.0.0.1:0", Keys: [][]byte{[]byte(testKey)}, RandomSeed: 1}
}

// runUntil runs a loop and steps a transport until a condition holds, for maxRounds rounds of the loop at most.
func runUntil(t *testing.T, loop *eventloop.Loop, transport *Transport, holds func() bool) {
	t.Helper()
	const maxRounds = 500
	rounds := 0
	loop.Wake()
	err := loop.Run(func() {
		transport.Step()
		rounds++
		if holds() || rounds > maxRounds {
			loop.Stop()
		}
	})
	if err != nil || !holds() {
		t.Fatalf("the condition does not hold after %d rounds of the loop, error %v", rounds, err)
	}
}

// stateOf returns the state of a member in a transport's view, or 0 if the view doesn't know the member.
func stateOf(transport *Transport, name string) membership.State {
	members, _ := transport.Members()
	for _, m := range members {
		if m.Name == name {
			return m.State
		}
	}
	return 0
}

// sendFrom sends a datagram from an IP address to a transport.
func sendFrom(t *testing.T, loop *eventloop.Loop, ip string, to *Transport, data []byte) {
	t.Helper()
	socket, err := loop.ListenPacket(ip+":0", func(netip.AddrPort, []byte) {})
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	if !socket.SendTo(to.Addr(), data) {
		t.Fatal("the datagram was not sent")
	}
}

// Invalid datagrams are dropped and counted by reason. Only one of them is logged in a second.
func TestDroppedDatagrams(t *testing.T) {
	var networks netipx.IPSetBuilder
	networks.AddPrefix(netip.MustParsePrefix("127.0.0.0/30"))
	config := testConfig("a")
	var err error
	if config.Networks, err = networks.IPSet(); err != nil {
		t.Fatal(err)
	}
	loop := newLoop(t)
	transport, logs := newTransport(t, loop, config)
	senderLoop := newLoop(t)
	m := &membership.Message{Kind: membership.Gossip, Version: 2, From: 1, BootID: 2, Incarnation: 3}
	good := seal(t, newSealer(t, "fleet", testKey), m)
	for _, datagram := range []struct {
		ip   string
		data []byte
	}{
		{"127.0.0.1", good},
		{"127.0.0.1", good},
		{"127.0.0.9", good},
		{"127.0.0.1", []byte("noise")},
		{"127.0.0.1", seal(t, newSealer(t, "elsewhere", testKey), m)},
		{"127.0.0.1", seal(t, newSealer(t, "fleet", otherKey), m)},
		{"127.0.0.1", flipBit(good, len(good)-1)},
	} {
		sendFrom(t, senderLoop, datagram.ip, transport, datagram.data)
	}
	runUntil(t, loop, transport, func() bool { return transport.counters.received.Get() >= 7 })
	var text strings.Builder
	transport.Metrics().WritePrometheus(&text)
	for _, reason := range []string{"replay", "network", "malformed", "fleet", "key", "mac"} {
		if !strings.Contains(text.String(), fmt.Sprintf(`dropped_total{reason=%q} 1`, reason)) {
			t.Errorf("reason %s is not counted once:\n%s", reason, text.String())
		}
	}
	if lines := logs.FilterMessage("fleet: datagram dropped").Len(); lines != 1 {
		t.Errorf("%d log messages about dropped datagrams, want 1", lines)
	}
}

// The errors of New start with the configuration key that is wrong, and fit on one line.
func TestNewErrorsNameConfigKey(t *testing.T) {
	loop := newLoop(t)
	transport, _ := newTransport(t, loop, testConfig("a"))
	for want, change := range map[string]func(*Config){
		"fleet.keys":      func(c *Config) { c.Keys = [][]byte{[]byte("short")} },
		"fleet.listen":    func(c *Config) { c.Listen = transport.Addr().String() },
		"fleet.advertise": func(c *Config) { c.Listen = "0.0.0.0:0" },
		"fleet: name":     func(c *Config) { c.Name = "" },
	} {
		t.Run(want, func(t *testing.T) {
			config := testConfig("b")
			change(&config)
			_, err := New(loop, zap.NewNop(), config)
			if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line that starts with the key", err)
			}
		})
	}
}

// Two members on one loop discover each other. After one of them has left, its view schedules no step soon.
func TestTwoMembersJoin(t *testing.T) {
	loop := newLoop(t)
	first, _ := newTransport(t, loop, testConfig("a"))
	config := testConfig("b")
	config.Seeds = []netip.AddrPort{first.Addr()}
	second, logs := newTransport(t, loop, config)
	runUntil(t, loop, first, func() bool {
		second.Step()
		return stateOf(first, "b") == membership.Alive && stateOf(second, "a") == membership.Alive
	})
	second.Leave()
	if changes := logs.FilterMessage("fleet: member state changed").Len(); changes != 1 {
		t.Errorf("b logged %d changes of members' states, want 1", changes)
	}
	if second.view.Wake() < loop.Clock.Now()+1000 {
		t.Error("the view of the member that left still schedules a step within a second")
	}
}
