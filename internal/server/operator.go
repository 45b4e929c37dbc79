package server

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"merlinjunction/internal/frontend/extended"
	"merlinjunction/internal/protocol/discovery"
	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
	"merlinjunction/internal/transport"
	"merlinjunction/routing"
)

// OperatorConfig is the part of a configuration that sets up the extended front.
type OperatorConfig struct {
	AgentCheck, HTTP      string
	Rules                 extended.Rules
	Login                 login
	HealthCheck           pg.Command // nil: none
	HealthCheckIntervalMs float64
	Fleet                 *transport.Config // nil: this gateway talks to no other
}

// login is how hosts are greeted, and what they tell of themselves.
type login struct {
	User         string `toml:"user"`
	Database     string `toml:"database"`
	Role         string `toml:"role_parameter"`
	Primary      string `toml:"primary_value"`
	Replica      string `toml:"replica_value"`
	Position     string `toml:"position_parameter"`
	RoleOnChange bool   `toml:"role_on_change"`
}

// operatorFile is an operator's TOML file; README.md explains each key.
type operatorFile struct {
	Name          string `toml:"name"`
	Listen        string `toml:"listen"`
	Discovery     string `toml:"discovery"`
	Management    string `toml:"management"`
	MemoryMB      int    `toml:"memory_mb"`
	Sockets       int    `toml:"sockets"`
	DescribeClass string `toml:"describe_class"`
	Health        struct {
		AgentCheck string `toml:"agent_check"`
		HTTP       string `toml:"http"`
	} `toml:"health"`
	Hosts login       `toml:"hosts"`
	Fleet *fleetTable `toml:"fleet"`
	Rules struct {
		Gateways     int     `toml:"gateways"`
		Index        int     `toml:"index"`
		Subset       int     `toml:"subset"`
		Checks       string  `toml:"checks"`
		Probes       string  `toml:"probes"`
		MaxAttempts  int     `toml:"max_attempts"`
		RetryHintMs  float64 `toml:"retry_hint_ms"`
		DrainGraceMs float64 `toml:"drain_grace_ms"`
		ColdShare    float64 `toml:"cold_share"`
		ColdMs       float64 `toml:"cold_ms"`
		TipMultiple  float64 `toml:"tip_multiple"`
		TipMs        float64 `toml:"tip_ms"`
		ConnectMs    float64 `toml:"connect_timeout_ms"`
		IdleMs       float64 `toml:"idle_ms"`
	} `toml:"rules"`
	Host []struct {
		ID      string `toml:"id"`
		Addr    string `toml:"address"`
		Group   int    `toml:"group"`
		Primary bool   `toml:"primary"`
		State   string `toml:"state"`
	} `toml:"host"`
	Database []struct {
		Name  string `toml:"name"`
		Group int    `toml:"group"`
	} `toml:"database"`
	Tenant []struct {
		User string `toml:"user"`
	} `toml:"tenant"`
	Class []struct {
		Name           string  `toml:"name"`
		Need           string  `toml:"need"`
		MaxAgeMs       float64 `toml:"max_age_ms"`
		Effect         string  `toml:"effect"`
		RepeatWindowMs float64 `toml:"repeat_window_ms"`
		RepeatAnyHost  bool    `toml:"repeat_any_host"`
		AimMs          float64 `toml:"aim_ms"`
		DeadlineMs     float64 `toml:"deadline_ms"`
		Worth          float64 `toml:"worth"`
		LateWorth      float64 `toml:"late_worth"`
	} `toml:"class"`
	Statement []struct {
		Pattern      string `toml:"pattern"`
		Class        string `toml:"class"`
		SessionParam int    `toml:"session_param"`
		KeyParam     int    `toml:"key_param"`
	} `toml:"statement"`
}

// greetMs is how often a host is asked for its role, where it makes no reports.
const greetMs = 1000.0

var (
	needs = map[string]routing.Consistency{"any": routing.ConsistencyAny, "bounded": routing.ConsistencyBounded,
		"session": routing.ConsistencySession, "fresh": routing.ConsistencyStrong, "write": routing.ConsistencyWrite}
	effects = map[string]routing.Idempotency{"safe": routing.Idempotent, "keyed": routing.IdempotentWithKey, "unsafe": routing.NotIdempotent}
	checks  = map[string]routing.StalenessCheck{"": routing.StalenessCheckNone, "none": routing.StalenessCheckNone, "refuse": routing.StalenessCheckReject,
		"wait": routing.StalenessCheckWait}
	// A probe asks for a report, or only for what the greeting tells; the default.
	probes = map[string]pg.Command{"": pg.EmptyQuery{}, "greeting": pg.EmptyQuery{}, "load": pg.LoadReportQuery{}, "none": nil}
	states = map[string]routing.EndpointState{"": routing.StateReady, "ready": routing.StateReady, "draining": routing.StateDraining}
)

// LoadOperator reads an operator's file. Each error is one line that names the key.
func LoadOperator(path string) (*Config, error) {
	var f operatorFile
	f.Rules.Gateways, f.Rules.MaxAttempts, f.Rules.DrainGraceMs = 1, 4, 2000
	f.Rules.ColdShare, f.Rules.TipMultiple, f.Rules.RetryHintMs = 1, 2.5, 1000
	f.Hosts = login{User: "svc", Database: "main", Role: "in_hot_standby", Primary: "off", Replica: "on", RoleOnChange: true}
	meta, err := toml.DecodeFile(path, &f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if keys := meta.Undecoded(); len(keys) > 0 {
		return nil, fmt.Errorf("%s: unknown key %s", path, keys[0])
	}
	c, err := f.config()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.Path = path
	return c, nil
}

func (f *operatorFile) config() (*Config, error) {
	r := f.Rules
	op := &OperatorConfig{AgentCheck: f.Health.AgentCheck, HTTP: f.Health.HTTP, Login: f.Hosts}
	c := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, FileDiscovery: f.Discovery, Seed: uint64(time.Now().UnixNano()),
		KnownRevision: discovery.NoRevision, Management: f.Management,
		MemoryMB: f.MemoryMB, Sockets: f.Sockets, ConnectTimeoutMs: r.ConnectMs, HostIdleTimeoutMs: r.IdleMs, Operator: op,
	}
	var err error
	if op.Fleet, err = f.Fleet.config(f.Name, c.Seed); err != nil {
		return nil, err
	}
	check, ok := checks[r.Checks]
	if !ok {
		return nil, fmt.Errorf("rules.checks: unknown word %q", r.Checks)
	}
	for key, v := range map[string]float64{
		"retry_hint_ms": r.RetryHintMs, "drain_grace_ms": r.DrainGraceMs, "cold_share": r.ColdShare, "cold_ms": r.ColdMs,
		"tip_multiple": r.TipMultiple, "tip_ms": r.TipMs, "connect_timeout_ms": r.ConnectMs, "idle_ms": r.IdleMs,
	} {
		if !sane(v) {
			return nil, fmt.Errorf("rules.%s is out of range", key)
		}
	}
	switch {
	case r.Index < 0 || r.Index > max(1, r.Gateways):
		return nil, fmt.Errorf("rules.index: 1 to rules.gateways (%d) are there", r.Gateways)
	case r.Subset < 0:
		return nil, errors.New("rules.subset: is below 0")
	case r.Subset > 0 && r.Index == 0 && f.Fleet == nil:
		return nil, errors.New("rules.subset: needs rules.index, or a [fleet]")
	}
	probe, ok := probes[r.Probes]
	if !ok {
		return nil, fmt.Errorf("rules.probes: unknown word %q", r.Probes)
	}
	op.HealthCheck = probe
	if r.Probes == "" || r.Probes == "greeting" {
		op.HealthCheckIntervalMs = greetMs
	}
	c.Settings = routing.Settings{
		GatewayCount: r.Gateways, GatewayNumber: r.Index, SubsetSize: r.Subset, TickInterval: time.Millisecond, StalenessCheck: check, CancelAllowed: true, HealthChecksAllowed: r.Probes == "load",
		RetryAfterAllowed: r.RetryHintMs > 0, MaxRetryAfter: millis(r.RetryHintMs), MaxAttempts: r.MaxAttempts,
		DrainGrace: millis(r.DrainGraceMs), SlowStartMinShare: r.ColdShare, SlowStartWindow: millis(r.ColdMs),
		OverloadMultiple: r.TipMultiple, OverloadWindow: millis(r.TipMs),
	}
	if f.Fleet != nil {
		c.Settings.Zone = f.Fleet.Zone
	}
	for _, err := range []error{f.classes(c, op), f.statements(op), f.hosts(c, op)} {
		if err != nil {
			return nil, err
		}
	}
	op.Rules.Classes = c.Settings.Classes
	if op.Rules.DescribeClass = op.class(f.DescribeClass); op.Rules.DescribeClass < 0 {
		return nil, fmt.Errorf("describe_class: no class %q", f.DescribeClass)
	}
	if err := op.Rules.Validate(); err != nil {
		return nil, err
	}
	for key, addr := range map[string]string{"health.agent_check": op.AgentCheck, "health.http": op.HTTP, "discovery": c.Discovery} {
		if addr != "" {
			if err := checkAddr(key, addr); err != nil {
				return nil, err
			}
		}
	}
	return c, c.complete()
}

// sane tells a time or share that can be worked with; not NaN, which no comparison finds.
func sane(v float64) bool { return v >= 0 && v <= 3.6e6 }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (op *OperatorConfig) class(name string) int {
	return slices.IndexFunc(op.Rules.Classes, func(c routing.Class) bool { return c.Name == name })
}

func (f *operatorFile) classes(c *Config, op *OperatorConfig) error {
	for i, l := range f.Class {
		for key, v := range map[string]float64{
			"max_age_ms": l.MaxAgeMs, "repeat_window_ms": l.RepeatWindowMs, "aim_ms": l.AimMs,
			"deadline_ms": l.DeadlineMs, "worth": l.Worth, "late_worth": l.LateWorth,
		} {
			if !sane(v) {
				return fmt.Errorf("class %d (%q): %s is out of range", i+1, l.Name, key)
			}
		}
		if l.Worth == 0 {
			l.Worth = 1
		}
		need, known := needs[l.Need]
		effect, also := effects[l.Effect]
		if l.Name == "" || !known || !also || l.AimMs <= 0 || l.DeadlineMs <= 0 {
			return fmt.Errorf("class %d (%q): name, need, effect, aim_ms or deadline_ms is missing or wrong", i+1, l.Name)
		}
		c.Settings.Classes = append(c.Settings.Classes, routing.Class{
			Name: l.Name, Consistency: need, MaxStaleness: millis(l.MaxAgeMs), Idempotency: effect, KeySharedByAllHosts: l.RepeatAnyHost,
			DedupWindow: millis(l.RepeatWindowMs), LatencyObjective: millis(l.AimMs), Deadline: millis(l.DeadlineMs),
			PriorityWeight: l.Worth, LateWeightShare: l.LateWorth,
		})
	}
	op.Rules.Classes = c.Settings.Classes
	return nil
}

func (f *operatorFile) statements(op *OperatorConfig) error {
	for i, l := range f.Statement {
		p, err := regexp.Compile(l.Pattern)
		if err != nil || l.Pattern == "" {
			return fmt.Errorf("statement %d: pattern: %q is no regular expression", i+1, l.Pattern)
		}
		class := op.class(l.Class)
		if class < 0 {
			return fmt.Errorf("statement %d: class: no class %q", i+1, l.Class)
		}
		op.Rules.Rules = append(op.Rules.Rules, extended.Rule{
			Pattern: p, Class: class, SessionParam: l.SessionParam, KeyParam: l.KeyParam,
		})
	}
	return nil
}

func (f *operatorFile) hosts(c *Config, op *OperatorConfig) error {
	op.Rules.Databases, op.Rules.Tenants = map[string]int{}, map[string]int{}
	for _, d := range f.Database {
		op.Rules.Databases[d.Name] = d.Group
	}
	for i, t := range f.Tenant {
		c.Settings.Tenants = append(c.Settings.Tenants, routing.Tenant{Name: t.User})
		op.Rules.Tenants[t.User] = i
	}
	seen := map[string]bool{}
	for i, h := range f.Host {
		st, ok := states[h.State]
		if h.ID == "" || seen[h.ID] || !ok {
			return fmt.Errorf("host %d (%q): id is missing or not the only one, or state is unknown", i+1, h.ID)
		}
		seen[h.ID] = true
		if err := checkAddr(fmt.Sprintf("host %d: address", i+1), h.Addr); err != nil {
			return err
		}
		c.KnownHosts = append(c.KnownHosts, proxy.Host{Address: h.Addr, Endpoint: routing.Endpoint{
			ID: h.ID, Group: h.Group, Primary: h.Primary, State: st,
		}})
	}
	if len(c.KnownHosts) == 0 && c.Discovery == "" {
		return fmt.Errorf("host: none is listed, and discovery is not set")
	}
	return nil
}
