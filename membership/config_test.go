package membership

import (
	"errors"
	"math"
	"net/netip"
	"strings"
	"testing"
)

func TestConfigErrorNamesTheField(t *testing.T) {
	for field, change := range map[string]func(*Config){
		"name":    func(c *Config) { c.Name = strings.Repeat("x", MaxNameBytes+1) },
		"address": func(c *Config) { c.Addr = netip.AddrPort{} },
		"zone":    func(c *Config) { c.Zone = strings.Repeat("z", MaxZoneBytes+1) },
		"payload": func(c *Config) { c.Payload = make([]byte, MaxPayloadBytes+1) },
		"boot":    func(c *Config) { c.BootID = 0 },
		"version": func(c *Config) { c.Version = Version + 1 },
		"tuning":  func(c *Config) { c.ProbeIntervalMs = -1 },
	} {
		t.Run(field, func(t *testing.T) {
			cfg := Config{Name: "a", Addr: addrOf(1), BootID: 1}
			change(&cfg)
			_, err := New(cfg, 1)
			var configErr *ConfigError
			if !errors.As(err, &configErr) || configErr.Field != field || !strings.HasPrefix(err.Error(), field) {
				t.Errorf("got error %v, want a *ConfigError for the field %s", err, field)
			}
		})
	}
}

func TestTuningErrorNamesTheField(t *testing.T) {
	for field, tuning := range map[string]Tuning{
		"ProbeIntervalMs":      {ProbeIntervalMs: -1},
		"MinAttemptIntervalMs": {MinAttemptIntervalMs: 9},
		"GossipIntervalMs":     {GossipIntervalMs: 2e8},
		"SuspicionTimeoutMs":   {SuspicionTimeoutMs: math.NaN()},
		"DeadRetentionMs":      {DeadRetentionMs: -1},
		"LeftRetentionMs":      {LeftRetentionMs: -1},
		"DeathQuorum":          {DeathQuorum: maxAccusers + 1},
		"IndirectProbes":       {IndirectProbes: -1},
	} {
		t.Run(field, func(t *testing.T) {
			_, err := New(Config{Name: "a", Addr: addrOf(1), BootID: 1, Tuning: tuning}, 1)
			var configErr *ConfigError
			if !errors.As(err, &configErr) || configErr.Field != "tuning" || !strings.HasPrefix(configErr.Problem, field+" ") {
				t.Errorf("got error %v, want a *ConfigError for tuning that names %s", err, field)
			}
		})
	}
}
