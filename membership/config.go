package membership

import (
	"fmt"
	"net/netip"
)

// Limits of a member's fields in bytes. They ensure that a record always fits into a datagram.
const (
	MaxNameBytes    = 64
	MaxZoneBytes    = 32
	MaxPayloadBytes = 64
)

// Config is the configuration of a View.
type Config struct {
	Name    string         // 1 to MaxNameBytes bytes, unique in the fleet
	Addr    netip.AddrPort // at which the other members reach this member
	Zone    string         // up to MaxZoneBytes bytes
	Payload []byte         // up to MaxPayloadBytes bytes, opaque to this package
	BootID  uint64         // random and not 0, distinguishes processes of one name
	Seeds   []netip.AddrPort
	Version uint8 // newest message version to use; 0 means Version
	Tuning
}

// Tuning holds the protocol's durations in milliseconds and its counts. 0 means the default. docs/membership.md derives
// the defaults.
type Tuning struct {
	ProbeIntervalMs      float64 // interval at which this member starts regular probes
	MinAttemptIntervalMs float64 // minimum time between two attempts of a probe
	GossipIntervalMs     float64 // interval of gossip rounds while rumors are queued
	SuspicionTimeoutMs   float64 // minimum time from a quorum of accusers to Dead, see suspicionDueAt
	DeadRetentionMs      float64 // time for which a dead member is remembered and probed
	LeftRetentionMs      float64 // time for which a member that left is remembered
	DeathQuorum          int     // accusers needed to declare a member dead; fewer if fewer members are Alive, see quorum
	IndirectProbes       int     // members usually asked to probe a target that doesn't answer, see requestIndirectProbes
}

// Defaults of the fields of Tuning.
const (
	defaultProbeIntervalMs      = 350
	defaultMinAttemptIntervalMs = 100
	defaultGossipIntervalMs     = 100
	defaultSuspicionTimeoutMs   = 500
	defaultDeadRetentionMs      = 600_000
	defaultLeftRetentionMs      = 30_000
	defaultDeathQuorum          = 4
	defaultIndirectProbes       = 4
)

// Bounds of the fields of Tuning.
const (
	minDurationMs     = 10
	maxDurationMs     = 1e8
	maxIndirectProbes = maxAccusers
)

// ConfigError reports a field of Config with an invalid value.
type ConfigError struct {
	Field   string // "name", "address", "zone", "payload", "boot", "version", or "tuning" for any field of Tuning
	Problem string
}

func (e *ConfigError) Error() string { return e.Field + ": " + e.Problem }

func configError(field, format string, args ...any) error {
	return &ConfigError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// validate checks the configuration and fills in the defaults. Its errors are of type *ConfigError.
func (c *Config) validate() error {
	switch {
	case c.Name == "" || len(c.Name) > MaxNameBytes:
		return configError("name", "must have 1 to %d bytes, %q has %d", MaxNameBytes, c.Name, len(c.Name))
	case !c.Addr.IsValid() || c.Addr.Port() == 0:
		return configError("address", "must be a valid IP address and a port other than 0, got %v", c.Addr)
	case len(c.Zone) > MaxZoneBytes:
		return configError("zone", "%q has %d bytes, at most %d are allowed", c.Zone, len(c.Zone), MaxZoneBytes)
	case len(c.Payload) > MaxPayloadBytes:
		return configError("payload", "has %d bytes, at most %d are allowed", len(c.Payload), MaxPayloadBytes)
	case c.BootID == 0:
		return configError("boot", "BootID must not be 0")
	case c.Version > Version:
		return configError("version", "%d is not supported, the newest is %d", c.Version, Version)
	}
	if err := c.Tuning.validate(); err != nil {
		return err
	}
	if c.Version == 0 {
		c.Version = Version
	}
	return nil
}

// validate checks the tuning and fills in the defaults.
func (t *Tuning) validate() error {
	for _, duration := range []struct {
		field     string
		ms        *float64
		defaultMs float64
	}{
		{"ProbeIntervalMs", &t.ProbeIntervalMs, defaultProbeIntervalMs},
		{"MinAttemptIntervalMs", &t.MinAttemptIntervalMs, defaultMinAttemptIntervalMs},
		{"GossipIntervalMs", &t.GossipIntervalMs, defaultGossipIntervalMs},
		{"SuspicionTimeoutMs", &t.SuspicionTimeoutMs, defaultSuspicionTimeoutMs},
		{"DeadRetentionMs", &t.DeadRetentionMs, defaultDeadRetentionMs},
		{"LeftRetentionMs", &t.LeftRetentionMs, defaultLeftRetentionMs},
	} {
		if *duration.ms == 0 {
			*duration.ms = duration.defaultMs
		}
		if !(*duration.ms >= minDurationMs && *duration.ms <= maxDurationMs) {
			return configError("tuning", "%s is %v ms, must be %v to %.0f",
				duration.field, *duration.ms, minDurationMs, maxDurationMs)
		}
	}
	if t.DeathQuorum == 0 {
		t.DeathQuorum = defaultDeathQuorum
	}
	if t.IndirectProbes == 0 {
		t.IndirectProbes = defaultIndirectProbes
	}
	if t.DeathQuorum < 1 || t.DeathQuorum > maxAccusers {
		return configError("tuning", "DeathQuorum is %d, must be 1 to %d", t.DeathQuorum, maxAccusers)
	}
	if t.IndirectProbes < 1 || t.IndirectProbes > maxIndirectProbes {
		return configError("tuning", "IndirectProbes is %d, must be 1 to %d", t.IndirectProbes, maxIndirectProbes)
	}
	return nil
}
