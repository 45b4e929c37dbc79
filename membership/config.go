package membership

import (
	"fmt"
	"net/netip"
)

// Limits of a member's fields in bytes, so that one record always fits into a datagram.
const (
	MaxNameBytes    = 64
	MaxZoneBytes    = 32
	MaxPayloadBytes = 64
)

// Config is the configuration of a View.
type Config struct {
	Name    string         // 1 to MaxNameBytes, unique in the fleet
	Addr    netip.AddrPort // where the others reach this member
	Zone    string         // up to MaxZoneBytes
	Payload []byte         // up to MaxPayloadBytes; opaque to this package
	BootID  uint64         // random, not 0
	Seeds   []netip.AddrPort
	Version uint8 // of messages; 0: the newest
	Tuning
}

// Tuning holds the protocol's durations in milliseconds and counts. 0 stands for the default, which docs/membership.md
// derives.
type Tuning struct {
	ProbeIntervalMs      float64 // between two regular probes of a member
	MinAttemptIntervalMs float64 // least time between two attempts of a probe
	GossipIntervalMs     float64 // between two rounds of gossip while there are rumors
	SuspicionTimeoutMs   float64 // least time from a quorum of accusers to dead, see suspicionDueAt
	DeadRetentionMs      float64 // for which dead members are remembered and probed
	LeftRetentionMs      float64 // for which members that left are remembered
	DeathQuorum          int     // accusers that make a member dead; fewer if fewer members are Alive, see quorum
	IndirectProbes       int     // members that usually probe a silent target too, see requestIndirectProbes
}

// The defaults of Tuning.
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

// The bounds of Tuning.
const (
	minDurationMs     = 10
	maxDurationMs     = 1e8
	maxIndirectProbes = maxAccusers
)

// ConfigError is the error of New for a field of Config with an invalid value.
type ConfigError struct {
	Field   string // in lower case, or "tuning" for a field of Tuning
	Problem string
}

func (e *ConfigError) Error() string { return e.Field + ": " + e.Problem }

func configError(field, format string, args ...any) error {
	return &ConfigError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// check validates the configuration and fills in the defaults. Its errors are of type *ConfigError.
func (c *Config) check() error {
	switch {
	case c.Name == "" || len(c.Name) > MaxNameBytes:
		return configError("name", "1 to %d bytes are needed, %q has %d", MaxNameBytes, c.Name, len(c.Name))
	case !c.Addr.IsValid() || c.Addr.Port() == 0:
		return configError("address", "the others need an address and a port")
	case len(c.Zone) > MaxZoneBytes:
		return configError("zone", "%q is longer than %d bytes", c.Zone, MaxZoneBytes)
	case len(c.Payload) > MaxPayloadBytes:
		return configError("payload", "%d bytes, %d at most", len(c.Payload), MaxPayloadBytes)
	case c.BootID == 0:
		return configError("boot", "BootID must not be 0")
	case c.Version > Version:
		return configError("version", "%d is not spoken, %d at most", c.Version, Version)
	}
	if err := c.Tuning.check(); err != nil {
		return err
	}
	if c.Version == 0 {
		c.Version = Version
	}
	return nil
}

// check validates the tuning and fills in the defaults.
func (t *Tuning) check() error {
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
			return configError("tuning", "%s is %v ms, which is out of range", duration.field, *duration.ms)
		}
	}
	if t.DeathQuorum == 0 {
		t.DeathQuorum = defaultDeathQuorum
	}
	if t.IndirectProbes == 0 {
		t.IndirectProbes = defaultIndirectProbes
	}
	if t.DeathQuorum < 1 || t.DeathQuorum > maxAccusers {
		return configError("tuning", "DeathQuorum is %d, it has to be 1 to %d", t.DeathQuorum, maxAccusers)
	}
	if t.IndirectProbes < 1 || t.IndirectProbes > maxIndirectProbes {
		return configError("tuning", "IndirectProbes is %d, it has to be 1 to %d", t.IndirectProbes, maxIndirectProbes)
	}
	return nil
}
