package soak

import (
	"encoding/json"
	"strings"
	"text/template"
)

// platformConfig returns the gateway's configuration in the platform's format, with discovery at an address.
func (deployed *deployment) platformConfig(discovery string) string {
	type object = map[string]any
	var services []object
	var levels []consistency
	var ages []float64
	for _, c := range deployed.Classes {
		services = append(services, object{
			"Name": c.Name, "Effect": platformIdempotencies[c.Idempotency], "Group": "cell", "AimMs": c.ObjectiveMs,
			"HardLimitMs": c.DeadlineMs, "Worth": c.Weight, "LateWorth": c.LateWeight, "DedupWindowMs": c.DedupWindowMs,
		})
		levels = append(levels, c.Consistency)
		ages = append(ages, c.MaxAgeMs)
	}
	mode := "subscribe"
	if deployed.PushedLists {
		mode = "automatic"
	}
	config := object{
		"name": "soak", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "50a4",
		"limits": object{"memory_mb": deployed.MemoryMB, "sockets": deployed.Sockets},
		"settings": object{
			"Balancers": deployed.Gateways, "MembershipMode": mode, "TickMs": 2, "Services": services,
			"FamilyInfo": object{
				"ServerChecks": deployed.StalenessCheck, "Tokens": "remembered", "NeedsByClass": levels, "MaxAgeMs": ages,
			},
			"Permissions": object{
				"MaxAttempts": deployed.MaxAttempts, "Cancel": deployed.CancelAllowed, "Probing": deployed.HealthChecks,
				"RetryAfter": deployed.MaxRetryAfterMs > 0, "MaxRetryAfterMs": deployed.MaxRetryAfterMs,
				"ConnIdleMs": deployed.HostIdleMs, "ConnectTimeoutMs": deployed.ConnectTimeoutMs,
			},
			"Rules": object{
				"DrainGraceMs": deployed.DrainGraceMs, "ColdFrom": deployed.SlowStartShare, "ColdMs": deployed.SlowStartMs,
				"TipMultiple": deployed.OverloadMultiple, "FallMs": deployed.OverloadMs,
			},
		},
	}
	text, err := json.Marshal(config)
	if err != nil {
		panic(err) // cannot happen: config holds only strings, booleans and finite numbers
	}
	return string(text)
}

// operatorFile is the template of the operator's configuration file. Its data are set in operatorConfig.
var operatorFile = template.Must(template.New("operator file").Funcs(template.FuncMap{
	"idempotency": func(kind idempotency) string { return operatorIdempotencies[kind] },
}).Parse(`name = "soak"
listen = "127.0.0.1:0"
management = "127.0.0.1:0"
discovery = {{printf "%q" .Discovery}}
describe_class = "{{.DescribeClass}}"
memory_mb = {{.MemoryMB}}
sockets = {{.Sockets}}

[hosts]
role_parameter = "node_role"
primary_value = "leader"
replica_value = "follower"
position_parameter = "replay_position"

[rules]
gateways = {{.Gateways}}
max_attempts = {{.MaxAttempts}}
retry_hint_ms = {{.MaxRetryAfterMs}}
drain_grace_ms = {{.DrainGraceMs}}
cold_share = {{.SlowStartShare}}
cold_ms = {{.SlowStartMs}}
tip_multiple = {{.OverloadMultiple}}
tip_ms = {{.OverloadMs}}
connect_timeout_ms = {{.ConnectTimeoutMs}}
idle_ms = {{.HostIdleMs}}
probes = "{{if .HealthChecks}}load{{else}}greeting{{end}}"
{{range .GroupDatabases}}
[[database]]
name = "{{.Name}}"
group = {{.Group}}
{{end}}{{range .Classes}}
[[class]]
name = "{{.Name}}"
need = "{{.Consistency}}"
effect = "{{idempotency .Idempotency}}"
max_age_ms = {{.MaxAgeMs}}
repeat_window_ms = {{.DedupWindowMs}}
aim_ms = {{.ObjectiveMs}}
deadline_ms = {{.DeadlineMs}}
worth = {{.Weight}}
late_worth = {{.LateWeight}}

[[statement]]
class = "{{.Name}}"
session_param = 1
{{if .IsWrite}}pattern = '''^INSERT INTO {{.Name}} VALUES \('?(?P<session>[^',]*)'?, '?(?P<key>[^',]*)'''
key_param = 2
{{else}}pattern = '''^SELECT v FROM {{.Name}} WHERE k = '?(?P<session>[^' ]*)'''
{{end}}{{end}}`))

// groupDatabase is a [[database]] entry of the operator's configuration file. Clients reach a group of hosts by the
// database that they name in the startup message.
type groupDatabase struct {
	Name  string
	Group int
}

// operatorClass adds to a class the methods that the template calls.
type operatorClass struct{ class }

// IsWrite reports whether the requests of the class are writes.
func (c operatorClass) IsWrite() bool { return c.isWrite() }

// operatorConfig returns the operator's configuration file, with discovery at an address.
func (deployed *deployment) operatorConfig(discovery string) string {
	data := struct {
		*deployment
		Discovery      string
		DescribeClass  string
		GroupDatabases []groupDatabase
		Classes        []operatorClass
	}{deployment: deployed, Discovery: discovery}
	for group := range deployed.Groups {
		data.GroupDatabases = append(data.GroupDatabases, groupDatabase{databaseName(group), group})
	}
	for _, c := range deployed.Classes {
		data.Classes = append(data.Classes, operatorClass{c})
		if c.Consistency == consistencyAny {
			data.DescribeClass = c.Name
		}
	}
	var text strings.Builder
	if err := operatorFile.Execute(&text, data); err != nil {
		panic(err) // cannot happen: the template and the types of its data are fixed
	}
	return text.String()
}

// config returns the gateway's configuration file for the deployment's frontend, with discovery at an address.
func (deployed *deployment) config(discovery string) string {
	if deployed.Extended {
		return deployed.operatorConfig(discovery)
	}
	return deployed.platformConfig(discovery)
}

// databaseName returns the name of the database whose clients reach a group of hosts.
func databaseName(group int) string {
	if group == 0 {
		return "main"
	}
	return "second"
}
