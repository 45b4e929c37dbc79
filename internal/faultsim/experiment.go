// Package faultsim plays experiments: files that describe a fleet of gateways, a load, a timeline of faults and what must
// hold. One engine starts real processes, the other plays the pure modules on virtual time. Both take the same file.
package faultsim

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"

	"merlinjunction/membership"
)

// Experiment is a file under experiments/. Times are seconds unless a key says ms.
type Experiment struct {
	Path    string            `toml:"-"`
	Name    string            `toml:"name"`
	About   string            `toml:"about"`
	Engines []string          `toml:"engines"` // "emulated", "processes"; both unless given
	Seconds float64           `toml:"seconds"` // after the fleet is up
	Fleet   Fleet             `toml:"fleet"`
	Network NetworkConditions `toml:"network"`
	Hosts   Hosts             `toml:"hosts"`
	Load    Load              `toml:"load"`
	Choices Choices           `toml:"choices"`
	Fault   []Fault           `toml:"fault"`
	Expect  Expect            `toml:"expect"`
}

// Fleet says how many gateways there are.
type Fleet struct {
	Gateways  int     `toml:"gateways"`  // emulated
	Processes int     `toml:"processes"` // in the engine of that name
	Zones     int     `toml:"zones"`     // 1 unless given
	Seeds     int     `toml:"seeds"`     // the first so many are seeds: 3 unless given
	Spread    float64 `toml:"spread"`    // over which they start
	Settle    float64 `toml:"settle"`    // from the last start to second 0: 5 unless given
	Old       float64 `toml:"old"`       // share that speaks version 1 of the messages
	Discovery bool    `toml:"discovery"` // processes: hosts come from a stand-in for discovery
}

// zone is the zone of gateway i.
func (f *Fleet) zone(i int) string { return string(rune('a' + i%f.Zones)) }

// version is the version of the messages that gateway i of n speaks.
func (f *Fleet) version(i, n int) uint8 {
	if float64(i) < f.Old*float64(n) {
		return 1
	}
	return membership.Version
}

// NetworkConditions is what the network does to datagrams.
type NetworkConditions struct {
	DelayMs   []float64 `toml:"delay_ms"` // least and most, one way; 0.2 to 1 unless given
	FarMs     float64   `toml:"far_ms"`   // added between zones
	Loss      float64   `toml:"loss"`     // share
	Duplicate float64   `toml:"duplicate"`
}

// Hosts are the database hosts: stubs in the processes engine, models in the emulator.
type Hosts struct {
	Count    int     `toml:"count"`    // processes: 3 unless given, of one group; the first is the primary
	Emulated int     `toml:"emulated"` // emulator: none unless given, and then no request is played
	Groups   int     `toml:"groups"`   // emulator: host i is in group i modulo groups, the first of each is the primary; 1 unless given
	LagMs    float64 `toml:"lag_ms"`
	Cores    int     `toml:"cores"`   // emulator, like all below: 2 unless given
	ReadMs   float64 `toml:"read_ms"` // work of a read: 4 unless given; a write has half as much more
	Conns    int     `toml:"conns"`   // connections that one holds: 1,000 unless given
	ColdMs   float64 `toml:"cold_ms"` // until a host is warm: 10,000 unless given
	Lists    float64 `toml:"lists"`   // that discovery writes a second: any number unless given
}

// Load is the clients' load, an open one.
type Load struct {
	Rate     float64 `toml:"rate"`     // processes: requests a second over the fleet; none unless given
	Emulated float64 `toml:"emulated"` // emulator: the same
	Writes   float64 `toml:"writes"`   // share of them
	Clients  int     `toml:"clients"`
	Heavy    float64 `toml:"heavy"` // emulator: g0 gets so many times the mean
	Idle     float64 `toml:"idle"`  // emulator: share of the gateways that get a fiftieth of it
}

// Choices say how the gateways choose among hosts.
type Choices struct {
	By     string  `toml:"by"`     // "alone": none knows of the others; "number" and count; "members": who lives. alone unless given
	Subset int     `toml:"subset"` // of a group's hosts: 2 unless given
	Wrong  float64 `toml:"wrong"`  // number: the count that they are told is so many times the true one; 1 unless given
}

// Fault is one entry of the timeline.
type Fault struct {
	At     float64 `toml:"at"`
	For    float64 `toml:"for"`    // until it is taken back; 0: it isn't
	Do     string  `toml:"do"`     // see faults
	Who    string  `toml:"who"`    // "g3", "2" (so many, at random), "30%", "zone 1", "all", "down"
	To     string  `toml:"to"`     // of a cut: the others unless given
	OneWay bool    `toml:"oneway"` // of a cut: only from who to to
	From   bool    `toml:"from"`   // of a cut with oneway: only from to to who
	Spread float64 `toml:"spread"` // over which it comes to one after another
	After  float64 `toml:"after"`  // of restart and roll: between end and start
	StopMs float64 `toml:"stop_ms"`
	RunMs  float64 `toml:"run_ms"`
	StepMs float64 `toml:"step_ms"` // of host-slow: so many times as long as usual all takes
	NetworkConditions
}

// faults are the words of Fault.Do.
var faults = map[string]string{
	"kill": "SIGKILL", "stop": "SIGTERM", "start": "start what is down anew, with nothing kept",
	"restart": "kill, and start after `after`", "roll": "SIGTERM, and start after `after`, one part after another",
	"pause": "SIGSTOP for `for`", "starve": "stopped for stop_ms, running for run_ms, in turns", "cut": "cut links",
	"weather": "what the network does meanwhile", "join": "start so many more", "clock": "step the clock by step_ms",
	"twin": "start another process under the same name", "drain": "hosts: leave the list", "host-kill": "hosts: reset and refuse",
	"host-start": "hosts: come back", "replace": "hosts: drain, and after `after` another stands in their place",
	"host-slow": "hosts: all takes step_ms times as long (emulated)", "host-cut": "cut connections from gateways to the host `to`, silently",
}

// LoadExperiment reads an experiment. The error names file, line and key.
func LoadExperiment(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseExperiment(path, string(text))
}

// ParseExperiment reads an experiment's text.
func ParseExperiment(path, text string) (*Experiment, error) {
	e := &Experiment{Path: path}
	meta, err := toml.Decode(text, e)
	if err != nil {
		var at toml.ParseError
		if errors.As(err, &at) {
			return nil, fmt.Errorf("%s:%d: %s: %s", path, at.Position.Line, at.LastKey, at.Message)
		}
		if m := typeError.FindStringSubmatch(err.Error()); m != nil {
			return nil, fmt.Errorf("%s:%s: %s: %s", path, m[1], m[2], m[3])
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if keys := meta.Undecoded(); len(keys) > 0 {
		return nil, fmt.Errorf("%s:%d: unknown key %s", path, lineOf(text, keys[0]), keys[0])
	}
	if err := e.complete(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// typeError is how the TOML library words a value of a wrong type.
var typeError = regexp.MustCompile(`^toml: line (\d+) \(last key "(.*?)"\): (.*)$`)

// lineOf finds a key's line: the first one behind its table's that has its last part.
func lineOf(text string, key toml.Key) int {
	table, last := key[:len(key)-1].String(), key[len(key)-1]
	in := table == ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			name := strings.TrimSpace(strings.Trim(line, "[] "))
			in = name == table
			if name == key.String() {
				return i + 1
			}
		} else if word, _, ok := strings.Cut(line, "="); in && ok && strings.Trim(strings.TrimSpace(word), `"`) == last {
			return i + 1
		}
	}
	return 0
}

// complete fills in defaults and checks all keys; the error names the first one that is wrong.
func (e *Experiment) complete() error {
	e.setDefaults()
	for _, check := range []func() error{e.checkEngines, e.checkFleet, e.checkHosts, e.checkChoices, e.checkLoad} {
		if err := check(); err != nil {
			return err
		}
	}
	if err := e.Network.check(); err != nil {
		return fmt.Errorf("network.%w", err)
	}
	for i := range e.Fault {
		if err := e.Fault[i].check(); err != nil {
			return fmt.Errorf("fault %d: %w", i+1, err)
		}
	}
	return nil
}

// setDefault sets a value that is not given.
func setDefault[T comparable](value *T, otherwise T) {
	var zero T
	if *value == zero {
		*value = otherwise
	}
}

func (e *Experiment) setDefaults() {
	if len(e.Engines) == 0 {
		e.Engines = []string{"emulated", "processes"}
	}
	if len(e.Network.DelayMs) == 0 {
		e.Network.DelayMs = []float64{0.2, 1}
	}
	setDefault(&e.Fleet.Zones, 1)
	setDefault(&e.Fleet.Seeds, 3)
	setDefault(&e.Fleet.Processes, 5)
	setDefault(&e.Fleet.Settle, 5)
	setDefault(&e.Hosts.Count, 3)
	setDefault(&e.Hosts.Groups, 1)
	setDefault(&e.Hosts.Cores, 2)
	setDefault(&e.Hosts.Conns, 1000)
	setDefault(&e.Hosts.ReadMs, 4)
	setDefault(&e.Hosts.ColdMs, 10_000)
	setDefault(&e.Load.Clients, 2)
	setDefault(&e.Choices.By, "alone")
	setDefault(&e.Choices.Subset, 2)
	setDefault(&e.Choices.Wrong, 1)
}

func (e *Experiment) checkEngines() error {
	for _, name := range e.Engines {
		if name != "emulated" && name != "processes" {
			return fmt.Errorf("engines: unknown engine %q", name)
		}
	}
	return nil
}

func (e *Experiment) checkFleet() error {
	f := &e.Fleet
	switch {
	case e.Name == "":
		return errors.New("name: is missing")
	case !(e.Seconds > 0 && e.Seconds <= 100_000):
		return errors.New("seconds: 0 to 100,000 are needed")
	case f.Gateways < 1 || f.Gateways > 2000:
		return errors.New("fleet.gateways: 1 to 2,000 are needed")
	case f.Processes < 1 || f.Processes > 32:
		return errors.New("fleet.processes: 1 to 32 are needed")
	case f.Seeds < 1 || f.Seeds > 16 || f.Zones < 1 || f.Zones > 26:
		return errors.New("fleet.seeds, fleet.zones: out of range")
	case !isShare(f.Old):
		return errors.New("fleet.old: is a share")
	}
	return nil
}

func (e *Experiment) checkHosts() error {
	h := &e.Hosts
	switch {
	case h.Count < 1 || h.Count > 20:
		return errors.New("hosts.count: 1 to 20 are needed")
	case h.Emulated < 0 || h.Emulated > 2000 || h.Groups < 1 || h.Cores < 1 || h.Conns < 1:
		return errors.New("hosts.emulated, hosts.groups, hosts.cores or hosts.conns: out of range")
	case h.Emulated > 0 && h.Emulated < h.Groups:
		return errors.New("hosts.groups: each needs a host")
	case !(h.ReadMs > 0) || !(h.ColdMs > 0) || !(h.Lists >= 0) || !(h.LagMs >= 0):
		return errors.New("hosts.read_ms, hosts.cold_ms, hosts.lists or hosts.lag_ms: out of range")
	}
	return nil
}

func (e *Experiment) checkChoices() error {
	c := &e.Choices
	switch {
	case c.By != "alone" && c.By != "number" && c.By != "members":
		return fmt.Errorf("choices.by: unknown word %q", c.By)
	case c.Subset < 1 || !(c.Wrong > 0 && c.Wrong <= 10):
		return errors.New("choices.subset or choices.wrong: out of range")
	}
	return nil
}

func (e *Experiment) checkLoad() error {
	l := &e.Load
	switch {
	case !(l.Emulated >= 0 && l.Emulated <= 100_000) || !(l.Heavy >= 0) || !(l.Idle >= 0 && l.Idle < 1):
		return errors.New("load.emulated, load.heavy or load.idle: out of range")
	case !(l.Rate >= 0 && l.Rate <= 2000) || !isShare(l.Writes) || l.Clients < 1 || l.Clients > 64:
		return errors.New("load.rate, load.writes or load.clients: out of range")
	}
	return nil
}

// isShare is false for NaN, too.
func isShare(value float64) bool { return value >= 0 && value <= 1 }

func (w *NetworkConditions) check() error {
	switch {
	case len(w.DelayMs) != 0 && (len(w.DelayMs) != 2 || !(w.DelayMs[0] >= 0 && w.DelayMs[1] >= w.DelayMs[0] && w.DelayMs[1] <= 10_000)):
		return errors.New("delay_ms: is [least, most]")
	case !isShare(w.Loss):
		return errors.New("loss: is a share")
	case !isShare(w.Duplicate):
		return errors.New("duplicate: is a share")
	case !(w.FarMs >= 0 && w.FarMs <= 10_000):
		return errors.New("far_ms: out of range")
	}
	return nil
}

func (f *Fault) check() error {
	if _, ok := faults[f.Do]; !ok {
		return fmt.Errorf("do: unknown word %q", f.Do)
	}
	needFor := f.Do == "pause" || f.Do == "starve" || f.Do == "cut" || f.Do == "weather" || f.Do == "host-cut"
	switch {
	case !(f.At >= 0) || !(f.For >= 0) || !(f.Spread >= 0) || !(f.After >= 0):
		return errors.New("at, for, spread or after: is negative")
	case needFor && f.For == 0:
		return fmt.Errorf("for: a %s needs it", f.Do)
	case f.Do == "starve" && !(f.StopMs >= 1 && f.RunMs >= 1):
		return errors.New("stop_ms, run_ms: starve needs them")
	case f.Do == "clock" && f.StepMs == 0:
		return errors.New("step_ms: clock needs it")
	case f.Do == "host-slow" && !(f.StepMs >= 1):
		return errors.New("step_ms: host-slow needs it, 1 or more")
	case f.Do == "host-cut" && f.To == "":
		return errors.New("to: host-cut needs it")
	case f.Who == "" && f.Do != "weather":
		return fmt.Errorf("who: a %s needs it", f.Do)
	case f.From && !f.OneWay:
		return errors.New("from: goes with oneway")
	}
	if f.Who != "" {
		if _, err := parseWho(f.Who); err != nil {
			return fmt.Errorf("who: %w", err)
		}
	}
	if f.To != "" && f.To != "far" {
		if _, err := parseWho(f.To); err != nil {
			return fmt.Errorf("to: %w", err)
		}
	}
	return f.NetworkConditions.check()
}
