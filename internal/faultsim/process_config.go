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

// operatorSettings are what differs between the operator's files of one run.
type operatorSettings struct {
	Name, Discovery                     string // discovery: "" where hosts are listed in the file
	FleetListen, FleetAdvertise, Zone   string
	MessageVersion                      uint8
	Seeds                               []string
	GatewayCount, Subset, GatewayNumber int // 0: left out
	DrainGraceMs, SlowStartMs           int64
	SlowStartShare, OverloadMultiple    float64
	OverloadMs                          int64
	ReadDeadlineMs, WriteDeadlineMs     int64
	DedupWindowMs                       int64
	Hosts                               []operatorHost
}

// operatorHost is a [[host]] of an operator's file.
type operatorHost struct {
	ID, Address string
	Primary     bool
}

// config is a gateway's operator's file. The caller holds the lock.
func (r *processRun) config(g *gateway) (string, error) {
	settings := operatorSettings{
		Name: g.name, FleetListen: g.udpAddress.String(), FleetAdvertise: g.relay.addr.String(), Zone: r.experiment.Fleet.zone(g.index),
		MessageVersion: r.experiment.Fleet.version(g.index, r.result.Gateways), GatewayCount: r.knownCount(),
		DrainGraceMs:   drainGrace.Milliseconds(),
		SlowStartShare: slowStartShare, SlowStartMs: slowStartWindow.Milliseconds(),
		OverloadMultiple: overloadMultiple, OverloadMs: overloadWindow.Milliseconds(),
		ReadDeadlineMs: readDeadline.Milliseconds(), WriteDeadlineMs: writeDeadline.Milliseconds(),
		DedupWindowMs: dedupWindow.Milliseconds(),
	}
	switch choices := r.options.Choices; choices.By {
	case "members":
		settings.Subset = choices.Subset
	case "number":
		settings.Subset, settings.GatewayNumber = choices.Subset, g.index+1
	}
	for i := range min(r.experiment.Fleet.Seeds, len(r.gateways)) {
		settings.Seeds = append(settings.Seeds, r.gateways[i].relay.addr.String())
	}
	if g.discovery != nil {
		settings.Discovery = g.discovery.Addr
	} else {
		for i, l := range g.hostRelays {
			host := operatorHost{ID: r.databases.hosts[i].id, Address: l.addr(), Primary: i == 0}
			settings.Hosts = append(settings.Hosts, host)
		}
	}
	var text strings.Builder
	err := operatorFile.Execute(&text, settings)
	return text.String(), err
}

// knownCount is the number of gateways that they are told. It may be wrong, but the program refuses a gateway number
// past it.
func (r *processRun) knownCount() int {
	count := len(r.gateways)
	if wrong := r.options.Choices.Wrong; wrong > 1 {
		return int(math.Round(wrong * float64(count)))
	}
	return count
}
