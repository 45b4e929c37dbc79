package faultsim

import (
	"math"
	"strings"
	"text/template"
)

// gatewayConfigTemplate renders the configuration file of one gateway process.
var gatewayConfigTemplate = template.Must(template.New("gateway configuration").Parse(`name = {{printf "%q" .Name}}
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

// gatewayConfig holds the values of gatewayConfigTemplate.
type gatewayConfig struct {
	Name             string
	Discovery        string // address of the discovery service; empty: Hosts is used
	FleetListen      string
	FleetAdvertise   string
	Zone             string
	MessageVersion   uint8
	Seeds            []string
	GatewayCount     int
	Subset           int // 0: omitted from the file
	GatewayNumber    int // counted from 1; 0: omitted from the file
	DrainGraceMs     int64
	SlowStartShare   float64
	SlowStartMs      int64
	OverloadMultiple float64
	OverloadMs       int64
	ReadDeadlineMs   int64
	WriteDeadlineMs  int64
	DedupWindowMs    int64
	Hosts            []gatewayConfigHost
}

// gatewayConfigHost is a [[host]] entry of the configuration file.
type gatewayConfigHost struct {
	ID      string
	Address string
	Primary bool
}

// renderConfig returns the text of a gateway's configuration file. The caller holds the lock.
func (r *processRun) renderConfig(gateway *gatewayProcess) (string, error) {
	fleet := &r.experiment.Fleet
	settings := gatewayConfig{
		Name:             gateway.name,
		FleetListen:      gateway.udpAddress.String(),
		FleetAdvertise:   gateway.relay.address.String(),
		Zone:             fleet.zone(gateway.index),
		MessageVersion:   fleet.messageVersion(gateway.index, r.result.Gateways),
		GatewayCount:     r.configuredGatewayCount(),
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
		settings.Hosts = r.configuredHosts(gateway)
	}
	var text strings.Builder
	err := gatewayConfigTemplate.Execute(&text, settings)
	return text.String(), err
}

// configuredHosts returns the hosts at the addresses of the gateway's own relays.
func (r *processRun) configuredHosts(gateway *gatewayProcess) []gatewayConfigHost {
	var hosts []gatewayConfigHost
	for i, relay := range gateway.hostRelays {
		hosts = append(hosts, gatewayConfigHost{
			ID:      r.hosts.hosts[i].id,
			Address: relay.address(),
			Primary: i == 0,
		})
	}
	return hosts
}

// configuredGatewayCount returns the number of gateways that is written into the configuration files. An experiment can
// make it too high with Selection.CountFactor, but not too low: the program rejects a gateway number above the count.
func (r *processRun) configuredGatewayCount() int {
	count := len(r.gateways)
	if factor := r.options.Selection.CountFactor; factor > 1 {
		return int(math.Round(factor * float64(count)))
	}
	return count
}
