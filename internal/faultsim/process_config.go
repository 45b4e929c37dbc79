package faultsim

import (
	"math"
	"strings"
	"text/template"
)

// operatorFile is the operator's file of one gateway process.
var operatorFile = template.Must(template.New("operator file").Parse(`name = {{printf "%q" .Name}}
listen = "127.0.0.1:0"
management = "127.0.0.1:0"
describe_class = "read"
{{with .Discovery}}discovery = {{printf "%q" .}}
{{end}}
[fleet]
name = "laboratory"
listen = {{printf "%q" .FleetListen}}
advertise = {{printf "%q" .FleetAdvertise}}
zone = {{printf "%q" .Zone}}
message_version = {{.MessageVersion}}
seeds = [{{range $i, $seed := .Seeds}}{{if $i}}, {{end}}{{printf "%q" $seed}}{{end}}]
keys = ["the laboratory's key, not a secret"]
networks = ["127.0.0.0/8"]

[hosts]
position_parameter = "replay_position"

[rules]
gateways = {{.GatewayCount}}
{{with .Subset}}subset = {{.}}
{{end}}{{with .GatewayNumber}}index = {{.}}
{{end}}drain_grace_ms = {{.DrainGraceMs}}
cold_share = {{.SlowStartShare}}
cold_ms = {{.SlowStartMs}}
tip_multiple = {{.OverloadMultiple}}
tip_ms = {{.OverloadMs}}

[[database]]
name = "main"
group = 0

[[class]]
name = "read"
need = "any"
effect = "safe"
aim_ms = 200
deadline_ms = {{.ReadDeadlineMs}}

[[class]]
name = "own"
need = "session"
effect = "safe"
aim_ms = 200
deadline_ms = {{.ReadDeadlineMs}}

[[class]]
name = "write"
need = "write"
effect = "keyed"
repeat_window_ms = {{.DedupWindowMs}}
aim_ms = 600
deadline_ms = {{.WriteDeadlineMs}}

[[statement]]
pattern = '''(?i)^insert into setpoints values \('(?P<session>[^']*)', '(?P<key>[^']*)\x27'''
class = "write"

[[statement]]
pattern = '''(?i)^select v from setpoints where greenhouse = '(?P<session>[^']*)\x27'''
class = "own"
{{range .Hosts}}
[[host]]
id = {{printf "%q" .ID}}
address = {{printf "%q" .Address}}
group = 0
primary = {{.Primary}}
{{end}}`))

// operatorSettings are the values in which the operator's files of one run differ.
type operatorSettings struct {
	Name             string
	Discovery        string // address; empty: hosts are listed in the file
	FleetListen      string
	FleetAdvertise   string
	Zone             string
	MessageVersion   uint8
	Seeds            []string
	GatewayCount     int
	Subset           int // 0: left out
	GatewayNumber    int // from 1; 0: left out
	DrainGraceMs     int64
	SlowStartShare   float64
	SlowStartMs      int64
	OverloadMultiple float64
	OverloadMs       int64
	ReadDeadlineMs   int64
	WriteDeadlineMs  int64
	DedupWindowMs    int64
	Hosts            []operatorHost
}

// operatorHost is a [[host]] of an operator's file.
type operatorHost struct {
	ID      string
	Address string
	Primary bool
}

// config returns the operator's file of a gateway. The caller holds the lock.
func (r *processRun) config(gateway *gatewayProcess) (string, error) {
	fleet := &r.experiment.Fleet
	settings := operatorSettings{
		Name:             gateway.name,
		FleetListen:      gateway.udpAddress.String(),
		FleetAdvertise:   gateway.relay.address.String(),
		Zone:             fleet.zone(gateway.index),
		MessageVersion:   fleet.messageVersion(gateway.index, r.result.Gateways),
		GatewayCount:     r.configuredCount(),
		DrainGraceMs:     drainGrace.Milliseconds(),
		SlowStartShare:   slowStartShare,
		SlowStartMs:      slowStartWindow.Milliseconds(),
		OverloadMultiple: overloadMultiple,
		OverloadMs:       overloadWindow.Milliseconds(),
		ReadDeadlineMs:   readDeadline.Milliseconds(),
		WriteDeadlineMs:  writeDeadline.Milliseconds(),
		DedupWindowMs:    dedupWindow.Milliseconds(),
	}
	switch selection := r.options.Selection; selection.Mode {
	case SelectByMembers:
		settings.Subset = selection.SubsetSize
	case SelectByNumber:
		settings.Subset, settings.GatewayNumber = selection.SubsetSize, gateway.index+1
	}
	for i := range min(fleet.Seeds, len(r.gateways)) {
		settings.Seeds = append(settings.Seeds, r.gateways[i].relay.address.String())
	}
	if gateway.discovery != nil {
		settings.Discovery = gateway.discovery.Addr
	} else {
		settings.Hosts = r.operatorHosts(gateway)
	}
	var text strings.Builder
	err := operatorFile.Execute(&text, settings)
	return text.String(), err
}

// operatorHosts lists the hosts as a gateway reaches them.
func (r *processRun) operatorHosts(gateway *gatewayProcess) []operatorHost {
	var hosts []operatorHost
	for i, relay := range gateway.hostRelays {
		hosts = append(hosts, operatorHost{
			ID:      r.hosts.hosts[i].id,
			Address: relay.address(),
			Primary: i == 0,
		})
	}
	return hosts
}

// configuredCount is the number of gateways in the gateways' configuration. It may be wrong on purpose, but it is never
// too low: the program rejects a gateway number above it.
func (r *processRun) configuredCount() int {
	count := len(r.gateways)
	if factor := r.options.Selection.CountFactor; factor > 1 {
		return int(math.Round(factor * float64(count)))
	}
	return count
}
