// Package faultsim runs experiments: files that describe a fleet of gateways, a load, a timeline of faults and the
// bounds that must hold. One engine starts real processes, the other runs the pure packages on virtual time. Both read
// the same files.
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

// Experiment is a file below experiments/. Times are seconds unless a name says ms.
type Experiment struct {
	Path      string            `toml:"-"`
	Name      string            `toml:"name"`
	About     string            `toml:"about"`
	Engines   []string          `toml:"engines"` // EngineEmulated, EngineProcesses; both by default
	Seconds   float64           `toml:"seconds"` // duration, from when the fleet has settled
	Fleet     Fleet             `toml:"fleet"`
	Network   NetworkConditions `toml:"network"`
	Hosts     Hosts             `toml:"hosts"`
	Load      Load              `toml:"load"`
	Selection HostSelection     `toml:"choices"`
	Faults    []Fault           `toml:"fault"`
	Expect    Expect            `toml:"expect"`
}

// Fleet describes the gateways.
type Fleet struct {
	Gateways        int     `toml:"gateways"`  // in the emulated engine
	Processes       int     `toml:"processes"` // in the processes engine; 5 by default
	Zones           int     `toml:"zones"`     // 1 by default
	Seeds           int     `toml:"seeds"`     // how many gateways, the first ones, are seeds; 3 by default
	Spread          float64 `toml:"spread"`    // time over which the gateways start
	Settle          float64 `toml:"settle"`    // from the last start to second 0; 5 by default
	OldVersionShare float64 `toml:"old"`       // share of the gateways that send version 1 of the messages
	Discovery       bool    `toml:"discovery"` // processes: hosts come from a stub discovery
}

// zone is the zone of a gateway.
func (f *Fleet) zone(gateway int) string { return string(rune('a' + gateway%f.Zones)) }

// messageVersion is the version of the membership messages that a gateway sends.
func (f *Fleet) messageVersion(gateway, gateways int) uint8 {
	if float64(gateway) < f.OldVersionShare*float64(gateways) {
		return 1
	}
	return membership.Version
}

// NetworkConditions describes how the network treats datagrams.
type NetworkConditions struct {
	DelayMs          []float64 `toml:"delay_ms"` // least and most, one way; 0.2 to 1 by default
	CrossZoneDelayMs float64   `toml:"far_ms"`   // additional delay between zones
	LossShare        float64   `toml:"loss"`
	DuplicateShare   float64   `toml:"duplicate"`
}

// Hosts describes the database hosts: stubs in the processes engine, models in the emulated engine.
type Hosts struct {
	// Count is for the processes engine: hosts of one group, whose first one is the primary; 3 by default.
	Count int `toml:"count"`
	// EmulatedCount is for the emulated engine; without it no requests are played.
	EmulatedCount int     `toml:"emulated"`
	LagMs         float64 `toml:"lag_ms"` // replication lag

	// The following is for the emulated engine. Host i is in group i modulo Groups; the first one of each is the primary.
	Groups                int     `toml:"groups"`  // 1 by default
	Cores                 int     `toml:"cores"`   // 2 by default
	ReadMs                float64 `toml:"read_ms"` // mean work of a read; 4 by default
	MaxConns              int     `toml:"conns"`   // connections of one host; 1000 by default
	SlowStartMs           float64 `toml:"cold_ms"` // until a host has its full capacity; 10,000 by default
	MaxFullListsPerSecond float64 `toml:"lists"`   // that discovery answers with; no limit by default
}

// Load describes the clients' load. It is open: arrivals don't depend on answers.
type Load struct {
	Rate               float64 `toml:"rate"`     // processes: requests per second over the fleet; none by default
	EmulatedRate       float64 `toml:"emulated"` // emulated: the same
	WriteShare         float64 `toml:"writes"`
	Clients            int     `toml:"clients"`
	HeavyGatewayFactor float64 `toml:"heavy"` // emulated: g0 has this multiple of the mean traffic
	IdleGatewayShare   float64 `toml:"idle"`  // emulated: share of the gateways that have a fiftieth of it
}

// HostSelection describes how the gateways divide the hosts among themselves.
type HostSelection struct {
	Mode       SelectionMode `toml:"by"`     // SelectAllHosts by default
	SubsetSize int           `toml:"subset"` // hosts of a group that a gateway uses; 2 by default
	// CountFactor is for SelectByNumber: the configured number of gateways as a multiple of the true one; 1 by default.
	CountFactor float64 `toml:"wrong"`
}

// SelectionMode is what a gateway's subset of the hosts depends on.
type SelectionMode string

// The modes. The last two are baselines, which only the command line can ask for.
const (
	SelectAllHosts           SelectionMode = "alone"   // no subset: a gateway knows nothing of the others
	SelectByNumber           SelectionMode = "number"  // the gateway's configured number, and how many there are
	SelectByMembers          SelectionMode = "members" // the members that are alive
	SelectRandom             SelectionMode = "random"  // a subset of its own, whatever the others use
	SelectIgnoringStartTimes SelectionMode = "blind"   // no subset, and no start times of hosts
)

// LoadExperiment reads an experiment's file. An error names the file, the line and the key.
func LoadExperiment(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseExperiment(path, string(text))
}

// ParseExperiment reads an experiment's text. An error is one line that names the path, the line and the key.
func ParseExperiment(path, text string) (*Experiment, error) {
	experiment := &Experiment{Path: path}
	metadata, err := toml.Decode(text, experiment)
	if err != nil {
		return nil, decodingError(path, err)
	}
	if keys := metadata.Undecoded(); len(keys) > 0 {
		return nil, fmt.Errorf("%s:%d: unknown key %s", path, lineOf(text, keys[0]), keys[0])
	}
	if err := experiment.complete(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return experiment, nil
}

// typeError matches the TOML library's text for a value of a wrong type.
var typeError = regexp.MustCompile(`^toml: line (\d+) \(last key "(.*?)"\): (.*)$`)

// decodingError words an error of the TOML library in one line.
func decodingError(path string, err error) error {
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return fmt.Errorf("%s:%d: %s: %s", path, parseError.Position.Line, parseError.LastKey, parseError.Message)
	}
	if match := typeError.FindStringSubmatch(err.Error()); match != nil {
		line, key, message := match[1], match[2], match[3]
		return fmt.Errorf("%s:%s: %s: %s", path, line, key, message)
	}
	return fmt.Errorf("%s: %w", path, err)
}

// lineOf finds a key's line: the first one within its table that sets its last part; 0 if there is none.
func lineOf(text string, key toml.Key) int {
	table, last := key[:len(key)-1].String(), key[len(key)-1]
	inTable := table == ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			name := strings.TrimSpace(strings.Trim(line, "[] "))
			inTable = name == table
			if name == key.String() {
				return i + 1
			}
			continue
		}
		name, _, found := strings.Cut(line, "=")
		if inTable && found && strings.Trim(strings.TrimSpace(name), `"`) == last {
			return i + 1
		}
	}
	return 0
}
