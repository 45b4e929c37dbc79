package server

import (
	"net/netip"

	"go4.org/netipx"

	"merlinjunction/internal/transport"
	"merlinjunction/membership"
)

// fleetTable is the table [fleet] of an operator's file; docs/fleet-operators.md explains each key. Without this table
// the gateway joins no fleet.
type fleetTable struct {
	Name           string   `toml:"name"`
	Listen         string   `toml:"listen"`
	Advertise      string   `toml:"advertise"`
	Zone           string   `toml:"zone"`
	Seeds          []string `toml:"seeds"`
	Keys           []string `toml:"keys"`
	Networks       []string `toml:"networks"`
	MessageVersion int      `toml:"message_version"`
}

// config validates and converts the table for the gateway with the given name. The error is a *ConfigError.
func (f *fleetTable) config(gateway string, seed uint64) (*transport.Config, error) {
	if err := f.validate(gateway); err != nil {
		return nil, err
	}
	config := &transport.Config{
		Name:       gateway,
		FleetName:  f.Name,
		Listen:     f.Listen,
		Zone:       f.Zone,
		Version:    uint8(f.MessageVersion),
		RandomSeed: seed,
	}
	var err error
	if f.Advertise != "" {
		if config.Advertise, err = parseAddress("fleet.advertise", f.Advertise); err != nil {
			return nil, err
		}
	}
	for _, text := range f.Seeds {
		address, err := parseAddress("fleet.seeds", text)
		if err != nil {
			return nil, err
		}
		config.Seeds = append(config.Seeds, address)
	}
	for _, key := range f.Keys {
		config.Keys = append(config.Keys, []byte(key))
	}
	if _, err := transport.NewSealer(f.Name, config.Keys); err != nil {
		return nil, &ConfigError{Key: "fleet.keys", Err: err}
	}
	if config.Networks, err = parseNetworks(f.Networks); err != nil {
		return nil, err
	}
	return config, nil
}

// validate checks the gateway's name and the table's keys name, listen, zone and message_version.
func (f *fleetTable) validate(gateway string) error {
	switch {
	case gateway == "" || len(gateway) > membership.MaxNameBytes:
		return invalidKey("name", "%q has %d bytes, expected 1 to %d for a gateway with [fleet]",
			gateway, len(gateway), membership.MaxNameBytes)
	case f.Name == "":
		return invalidKey("fleet.name", "is missing")
	case len(f.Zone) > membership.MaxZoneBytes:
		return invalidKey("fleet.zone", "%q has %d bytes, expected at most %d", f.Zone, len(f.Zone), membership.MaxZoneBytes)
	case f.MessageVersion < 0 || f.MessageVersion > membership.Version:
		return invalidKey("fleet.message_version", "%d is not supported, expected 1 to %d", f.MessageVersion, membership.Version)
	}
	return checkAddress("fleet.listen", f.Listen)
}

// parseNetworks parses the networks from which datagrams are accepted. For an empty list it returns nil, which allows
// all networks.
func parseNetworks(networks []string) (*netipx.IPSet, error) {
	if len(networks) == 0 {
		return nil, nil
	}
	var builder netipx.IPSetBuilder
	for _, network := range networks {
		prefix, err := netip.ParsePrefix(network)
		if err != nil {
			return nil, invalidKey("fleet.networks", "%q is not a network in CIDR notation such as 10.0.0.0/8", network)
		}
		builder.AddPrefix(prefix)
	}
	set, err := builder.IPSet()
	if err != nil {
		return nil, &ConfigError{Key: "fleet.networks", Err: err}
	}
	return set, nil
}
