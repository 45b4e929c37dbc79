// Package faultsim is a fault simulator: it runs experiments. An experiment is a file that describes a fleet of gateways,
// a load, a timeline of faults and the bounds that must hold. The processes engine starts real gateway processes. The
// emulated engine runs the gateways' protocol code, which does no I/O, on virtual time. Both engines read the same files.
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

// Experiment is the content of an experiment file, such as those below experiments/. Times are in seconds unless a name
// says ms. Second 0 is the end of the fleet's settle period.
type Experiment struct {
	Path      string            `toml:"-"`
	Name      string            `toml:"name"`
	About     string            `toml:"about"`
	Engines   []string          `toml:"engines"` // EngineEmulated and EngineProcesses; both by default
	Seconds   float64           `toml:"seconds"` // duration, counted from second 0
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
	Gateways        int     `toml:"gateways"`  // number of gateways in the emulated engine
	Processes       int     `toml:"processes"` // number of gateways in the processes engine; 5 by default
	Zones           int     `toml:"zones"`     // number of zones; 1 by default
	Seeds           int     `toml:"seeds"`     // number of seeds: the first gateways; 3 by default
	Spread          float64 `toml:"spread"`    // time over which the starts of the gateways are spread evenly
	Settle          float64 `toml:"settle"`    // settle period from the end of Spread to second 0; 5 by default
	OldVersionShare float64 `toml:"old"`       // share of the gateways that send messages of version 1
	Discovery       bool    `toml:"discovery"` // processes engine: gateways get the hosts from a stub discovery service
}

// zone returns the name of a gateway's zone: a, b, c and so on.
func (f *Fleet) zone(gateway int) string { return string(rune('a' + gateway%f.Zones)) }

// messageVersion returns the version of the membership messages that a gateway sends. The gateways of OldVersionShare
// are the first ones of the fleet.
func (f *Fleet) messageVersion(gateway, gateways int) uint8 {
	if float64(gateway) < f.OldVersionShare*float64(gateways) {
		return 1
	}
	return membership.Version
}

// NetworkConditions describes how the network treats datagrams.
type NetworkConditions struct {
	DelayMs          []float64 `toml:"delay_ms"`  // [least, most] one-way delay; [0.2, 1] by default
	CrossZoneDelayMs float64   `toml:"far_ms"`    // additional one-way delay between zones
	LossShare        float64   `toml:"loss"`      // share of the datagrams that are lost
	DuplicateShare   float64   `toml:"duplicate"` // share of the datagrams that are delivered twice
}

// Hosts describes the database hosts: stubs in the processes engine, models in the emulated engine.
type Hosts struct {
	// Count is the number of hosts in the processes engine; 3 by default. They form one group, and the first one is its
	// primary.
	Count int `toml:"count"`
	// EmulatedCount is the number of hosts in the emulated engine. If it is 0, which is the default, the emulated engine
	// simulates membership only, without requests.
	EmulatedCount int     `toml:"emulated"`
	LagMs         float64 `toml:"lag_ms"` // replication lag

	// The fields below are for the emulated engine. Host i is in group i modulo Groups. The first host of each group is
	// its primary.
	Groups                int     `toml:"groups"`  // number of groups; 1 by default
	Cores                 int     `toml:"cores"`   // processor cores of each host; 2 by default
	ReadMs                float64 `toml:"read_ms"` // mean processor time of a read; 4 by default
	MaxConns              int     `toml:"conns"`   // connections that each host accepts; 1000 by default
	SlowStartMs           float64 `toml:"cold_ms"` // time from a host's start to its full capacity; 10,000 by default
	MaxFullListsPerSecond float64 `toml:"lists"`   // full endpoint lists that discovery sends per second; no limit by default
}

// Load describes the clients' load. It is open-loop: arrivals don't depend on answers.
type Load struct {
	Rate               float64 `toml:"rate"`     // processes engine: requests per second over the fleet; 0 by default
	EmulatedRate       float64 `toml:"emulated"` // emulated engine: requests per second over the fleet; 0 by default
	WriteShare         float64 `toml:"writes"`   // share of the requests that write
	Clients            int     `toml:"clients"`  // 1 to 64, 2 by default; no engine reads it
	HeavyGatewayFactor float64 `toml:"heavy"`    // emulated engine: traffic of g0 as a multiple of the mean; 1 by default
	IdleGatewayShare   float64 `toml:"idle"`     // emulated engine: share of the gateways with a fiftieth of the mean traffic
}

// HostSelection describes which hosts each gateway uses.
type HostSelection struct {
	Mode       SelectionMode `toml:"by"`     // SelectAllHosts by default
	SubsetSize int           `toml:"subset"` // hosts of a group that a gateway uses; 2 by default
	// CountFactor is for SelectByNumber: the number of gateways that is configured as a multiple of the actual number; 1
	// by default.
	CountFactor float64 `toml:"wrong"`
}

// SelectionMode says what a gateway's subset of the hosts depends on.
type SelectionMode string

// The selection modes. SelectRandom and SelectIgnoringStartTimes are baselines, which only the command line accepts.
const (
	SelectAllHosts           SelectionMode = "alone"   // no subsets: each gateway uses all hosts
	SelectByNumber           SelectionMode = "number"  // the configured number of the gateway and of all gateways
	SelectByMembers          SelectionMode = "members" // the members that are alive in the gateway's view
	SelectRandom             SelectionMode = "random"  // a random subset, drawn without regard to other gateways
	SelectIgnoringStartTimes SelectionMode = "blind"   // no subsets, and the start times of hosts are hidden
)

// LoadExperiment reads and checks an experiment file. An error names the path and, where known, the line and the key.
func LoadExperiment(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseExperiment(path, string(text))
}

// ParseExperiment parses and checks the text of an experiment file. An error is one line that names the path and, where
// known, the line and the key.
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

// typeError matches the TOML library's message for a value of the wrong type.
var typeError = regexp.MustCompile(`^toml: line (\d+) \(last key "(.*?)"\): (.*)$`)

// decodingError converts an error of the TOML library to one line with the path, the line and the key.
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

// lineOf returns the number of the first line that defines a key: a header of the table that the key names, or an
// assignment to the key's last part within its table. It returns 0 if there is no such line.
func lineOf(text string, key toml.Key) int {
	table, lastPart := key[:len(key)-1].String(), key[len(key)-1]
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
		if inTable && found && strings.Trim(strings.TrimSpace(name), `"`) == lastPart {
			return i + 1
		}
	}
	return 0
}
