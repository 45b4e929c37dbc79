package server

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"go.uber.org/zap"
	"go4.org/netipx"

	"merlinjunction/fleet"
	"merlinjunction/internal/frontend/management"
	"merlinjunction/internal/transport"
	"merlinjunction/membership"
)

// fleetTable is the operator's [fleet]; docs/fleet-operators.md explains each key. Without it nothing of a fleet starts.
type fleetTable struct {
	Name      string   `toml:"name"`
	Listen    string   `toml:"listen"`
	Advertise string   `toml:"advertise"`
	Zone      string   `toml:"zone"`
	Seeds     []string `toml:"seeds"`
	Keys      []string `toml:"keys"`
	Networks  []string `toml:"networks"`
	Version   int      `toml:"message_version"`
}

// config checks a [fleet]; the error names the key.
func (f *fleetTable) config(gateway string, seed uint64) (*transport.Config, error) {
	if f == nil {
		return nil, nil
	}
	c := &transport.Config{Name: gateway, Fleet: f.Name, Listen: f.Listen, Zone: f.Zone, Seed: seed}
	if gateway == "" || len(gateway) > membership.MaxName {
		return nil, fmt.Errorf("name: a gateway of a fleet needs one of 1 to %d bytes", membership.MaxName)
	}
	if f.Name == "" {
		return nil, errors.New("fleet.name: is missing")
	}
	if len(f.Zone) > membership.MaxZone {
		return nil, fmt.Errorf("fleet.zone: %q is longer than %d bytes", f.Zone, membership.MaxZone)
	}
	if f.Version < 0 || f.Version > membership.Version {
		return nil, fmt.Errorf("fleet.message_version: %d is not spoken, 1 to %d are", f.Version, membership.Version)
	}
	c.Version = uint8(f.Version)
	if err := checkAddr("fleet.listen", f.Listen); err != nil {
		return nil, err
	}
	if f.Advertise != "" {
		var err error
		if c.Advertise, err = parseAddr("fleet.advertise", f.Advertise); err != nil {
			return nil, err
		}
	}
	for _, s := range f.Seeds {
		seed, err := parseAddr("fleet.seeds", s)
		if err != nil {
			return nil, err
		}
		c.Seeds = append(c.Seeds, seed)
	}
	for _, k := range f.Keys {
		c.Keys = append(c.Keys, []byte(k))
	}
	if _, err := transport.NewSealer(f.Name, c.Keys); err != nil {
		return nil, fmt.Errorf("fleet.keys: %w", err)
	}
	if len(f.Networks) == 0 {
		return c, nil
	}
	var set netipx.IPSetBuilder
	for _, n := range f.Networks {
		prefix, err := netip.ParsePrefix(n)
		if err != nil {
			return nil, fmt.Errorf("fleet.networks: %q is no network such as 10.0.0.0/8", n)
		}
		set.AddPrefix(prefix)
	}
	var err error
	if c.Networks, err = set.IPSet(); err != nil {
		return nil, fmt.Errorf("fleet.networks: %w", err)
	}
	return c, nil
}

// joinFleet opens the fleet's socket where an operator has set one up.
func (p *Server) joinFleet() (err error) {
	if p.cfg.Operator == nil || p.cfg.Operator.Fleet == nil {
		return nil
	}
	if p.peer, err = transport.New(p.loop, p.log, *p.cfg.Operator.Fleet); err == nil {
		p.loop.NextRound(func() {}) // it has something to do in the first round
	}
	return err
}

// fleetAddr is the address that the fleet's datagrams come to; "" without a fleet.
func (p *Server) fleetAddr() string {
	if p.peer == nil {
		return ""
	}
	return p.peer.Addr().String()
}

// step is what each round of the loop does when all has been gathered.
func (p *Server) step() {
	p.core.Step()
	if p.peer != nil {
		p.peer.Step()
		p.share()
	}
}

// sharing is what is kept to tell the core who shares the hosts with it.
type sharing struct {
	edition int     // of the view that the core knows
	at      float64 // it was told then
	taken   int     // requests by then
	teller  fleet.LoadAnnouncer
	load    float64 // that the others are told, requests a second
	roster  *fleet.Roster
}

const (
	lookMs   = 1000.0 // between two looks at the load
	changeMs = 200.0  // a view that changes is taken in so long after the last one: many change at a time
)

// share tells the others how much traffic comes here, and the core who shares the hosts, when that has changed.
func (p *Server) share() {
	s, now := &p.sharing, p.loop.Clock.Now()
	if s.roster == nil {
		s.at = now - lookMs
		p.loop.After(lookMs, p.shareLater)
	}
	changed := p.peer.ChangeCount() != s.edition
	if s.roster != nil && now < s.at+lookMs && !(changed && now >= s.at+changeMs) {
		return
	}
	if passed := now - s.at; passed >= lookMs {
		taken := p.core.AcceptedRequests()
		s.load = s.teller.Observe(now, float64(taken-s.taken)*1000/passed)
		s.taken, s.at = taken, now
		p.peer.Announce(transport.Payload{Load: s.load})
	}
	s.edition = p.peer.ChangeCount()
	members, _ := p.peer.Members()
	r := transport.NewRoster(fleet.Gateway{Name: p.cfg.Name, Zone: p.cfg.Operator.Fleet.Zone, Load: s.load}, members)
	if s.roster != nil && s.roster.Equivalent(r) {
		return
	}
	s.roster = r
	p.core.SetRoster(r)
	if p.watch != nil {
		p.watch.SetSchedule(r.Schedule())
	}
	p.loop.NextRound(func() {})
}

// shareLater sees to it that there is a round each second.
func (p *Server) shareLater() {
	if !p.stopping {
		p.loop.After(lookMs, p.shareLater)
	}
}

// reloadFleet takes in the keys of a configuration that was read again.
func (p *Server) reloadFleet(cfg *Config) {
	if p.peer == nil || cfg.Operator == nil || cfg.Operator.Fleet == nil {
		return
	}
	keys := cfg.Operator.Fleet.Keys
	if same(keys, p.cfg.Operator.Fleet.Keys) {
		return
	}
	if err := p.peer.SetKeys(keys); err != nil {
		p.log.Error("reload: the old keys stay", zap.Error(err))
		return
	}
	p.cfg.Operator.Fleet.Keys = keys
	p.log.Info("reload: the fleet's keys are changed", zap.Int("keys", len(keys)))
}

func same(a, b [][]byte) bool { return bytes.Equal(bytes.Join(a, []byte{0}), bytes.Join(b, []byte{0})) }

// Fleet is what is known of the other gateways; nil where no fleet is set up.
func (p *Server) Fleet() *management.Fleet {
	if p.peer == nil {
		return nil
	}
	members, s := p.peer.Members()
	now := p.loop.Clock.Now()
	f := &management.Fleet{
		Name: p.cfg.Operator.Fleet.Fleet, Self: p.cfg.Name, Status: s.Status.String(), Partial: s.Partial, Alive: s.Alive, Suspect: s.Suspect,
		Unreachable: s.Unreachable, Dead: s.Dead, Left: s.Left, Health: s.Health, Loss: s.Loss, RoundTripMs: s.RoundTripMs,
	}
	for _, m := range members {
		f.Members = append(f.Members, management.Member{Name: m.Name, Address: m.Addr.String(), Zone: m.Zone, State: m.State.String(),
			Incarnation: m.Incarnation, Version: int(m.Version), ForMs: max(0, now-m.Since)})
	}
	return f
}

// FleetMetrics are the fleet's figures in the text form of Prometheus; "" where no fleet is set up.
func (p *Server) FleetMetrics() string {
	if p.peer == nil {
		return ""
	}
	var text strings.Builder
	p.peer.Metrics().WritePrometheus(&text)
	return text.String()
}
