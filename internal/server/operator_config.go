package server

import (
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

const (
	// roleCheckIntervalMs is the interval of health checks of hosts that send no load reports.
	roleCheckIntervalMs = 1000.0
	// maxFileNumber is the upper bound of all numbers in an operator's file. For times in milliseconds it is one hour. For
	// shares, weights and multiples it is far above any useful value, and only excludes infinity and NaN.
	maxFileNumber = 3.6e6
	// noClass is the index that classIndex returns if no class has the name.
	noClass = -1
)

// OperatorConfig is the part of a configuration that sets up the extended frontend.
type OperatorConfig struct {
	AgentCheck            string // listen address for load balancers' agent checks; "": none
	HTTPCheck             string // listen address for load balancers' HTTP checks; "": none
	Rules                 extended.Rules
	Login                 hostLogin
	HealthCheck           pg.Command // nil: none
	HealthCheckIntervalMs float64    // 0: only the health checks that the router requests
	Fleet                 *transport.Config
}

// LoadOperator loads an operator's file. The error is one line that names the file and, if the TOML can be decoded, the
// key. It wraps a *ConfigError if a key is unknown or this package rejects its value, but not if extended.Rules.Validate
// rejects the value.
func LoadOperator(path string) (*Config, error) {
	file := newOperatorFile()
	metadata, err := toml.DecodeFile(path, file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if keys := metadata.Undecoded(); len(keys) > 0 {
		return nil, fmt.Errorf("%s: %w", path, &ConfigError{Key: keys[0].String(), Err: errUnknownKey})
	}
	config, err := file.config()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	config.ConfigPath = path
	return config, nil
}

// config validates and converts the file.
func (f *operatorFile) config() (*Config, error) {
	operator := &OperatorConfig{AgentCheck: f.Health.AgentCheck, HTTPCheck: f.Health.HTTP, Login: f.HostLogin}
	config := &Config{
		Name:              f.Name,
		Listen:            f.Listen,
		Discovery:         f.Discovery,
		FileDiscovery:     f.Discovery,
		Management:        f.Management,
		Seed:              uint64(time.Now().UnixNano()),
		KnownRevision:     discovery.NoRevision,
		MemoryMB:          f.MemoryMB,
		Sockets:           f.Sockets,
		ConnectTimeoutMs:  f.Rules.ConnectTimeoutMs,
		HostIdleTimeoutMs: f.Rules.HostIdleTimeoutMs,
		Operator:          operator,
	}
	for _, apply := range []func(*Config) error{
		f.applyFleet, f.applyRules, f.applyClasses, f.applyStatements, f.applyHosts, f.applyDescribeClass, f.checkAddresses,
	} {
		if err := apply(config); err != nil {
			return nil, err
		}
	}
	config.applyDefaults()
	return config, config.validate()
}

// applyFleet converts [fleet].
func (f *operatorFile) applyFleet(config *Config) (err error) {
	if f.Fleet == nil {
		return nil
	}
	config.Operator.Fleet, err = f.Fleet.config(f.Name, config.Seed)
	return err
}

// applyRules converts [rules].
func (f *operatorFile) applyRules(config *Config) error {
	rules := &f.Rules
	stalenessCheck, ok := stalenessChecks[rules.StalenessCheck]
	if !ok {
		return invalidKey("rules.checks", "%q is unknown, expected none, refuse or wait", rules.StalenessCheck)
	}
	if err := rules.checkRanges(f.Fleet != nil); err != nil {
		return err
	}
	healthCheck, ok := healthChecks[rules.HealthCheck]
	if !ok {
		return invalidKey("rules.probes", "%q is unknown, expected greeting, load or none", rules.HealthCheck)
	}
	config.Operator.HealthCheck = healthCheck
	if rules.HealthCheck == "" || rules.HealthCheck == "greeting" {
		config.Operator.HealthCheckIntervalMs = roleCheckIntervalMs
	}
	config.Settings = routing.Settings{
		GatewayCount:        rules.Gateways,
		GatewayNumber:       rules.GatewayNumber,
		SubsetSize:          rules.SubsetSize,
		TickInterval:        time.Millisecond,
		StalenessCheck:      stalenessCheck,
		CancelAllowed:       true,
		HealthChecksAllowed: rules.HealthCheck == "load",
		RetryAfterAllowed:   rules.MaxRetryAfterMs > 0,
		MaxRetryAfter:       milliseconds(rules.MaxRetryAfterMs),
		MaxAttempts:         rules.MaxAttempts,
		DrainGrace:          milliseconds(rules.DrainGraceMs),
		SlowStartMinShare:   rules.SlowStartMinShare,
		SlowStartWindow:     milliseconds(rules.SlowStartWindowMs),
		OverloadMultiple:    rules.OverloadMultiple,
		OverloadWindow:      milliseconds(rules.OverloadWindowMs),
	}
	if f.Fleet != nil {
		config.Settings.Zone = f.Fleet.Zone
	}
	return nil
}

// checkRanges checks the ranges of the numbers in [rules].
func (r *rulesTable) checkRanges(hasFleet bool) error {
	err := checkNumbers("rules.", []numericSetting{
		{"retry_hint_ms", r.MaxRetryAfterMs},
		{"drain_grace_ms", r.DrainGraceMs},
		{"cold_share", r.SlowStartMinShare},
		{"cold_ms", r.SlowStartWindowMs},
		{"tip_multiple", r.OverloadMultiple},
		{"tip_ms", r.OverloadWindowMs},
		{"connect_timeout_ms", r.ConnectTimeoutMs},
		{"idle_ms", r.HostIdleTimeoutMs},
	})
	switch {
	case err != nil:
		return err
	case r.GatewayNumber < 0 || r.GatewayNumber > max(1, r.Gateways):
		return invalidKey("rules.index", "%d is out of range, expected 1 to rules.gateways (%d), or 0 if unknown",
			r.GatewayNumber, r.Gateways)
	case r.SubsetSize < 0:
		return invalidKey("rules.subset", "%d is out of range, expected 0 or more", r.SubsetSize)
	case r.SubsetSize > 0 && r.GatewayNumber == 0 && !hasFleet:
		return invalidKey("rules.subset", "%d needs rules.index or a [fleet], and neither is set", r.SubsetSize)
	}
	return nil
}

// numericSetting is a key with its numeric value.
type numericSetting struct {
	key   string
	value float64
}

// checkNumbers checks that all values are from 0 to maxFileNumber; NaN is rejected too. The error names the prefix and
// the key.
func checkNumbers(prefix string, settings []numericSetting) error {
	for _, setting := range settings {
		if !(setting.value >= 0 && setting.value <= maxFileNumber) {
			return invalidKey(prefix+setting.key, "%v is out of range, expected 0 to %.0f", setting.value, maxFileNumber)
		}
	}
	return nil
}

// milliseconds converts a time of the file, which is in milliseconds.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// applyClasses converts the [[class]] tables.
func (f *operatorFile) applyClasses(config *Config) error {
	for i, table := range f.Classes {
		class, err := table.class(fmt.Sprintf("class %d (%q)", i+1, table.Name))
		if err != nil {
			return err
		}
		config.Settings.Classes = append(config.Settings.Classes, class)
	}
	config.Operator.Rules.Classes = config.Settings.Classes
	return nil
}

// class validates and converts the table. Errors name the table by the given key.
func (t *classTable) class(key string) (routing.Class, error) {
	err := checkNumbers(key+": ", []numericSetting{
		{"max_age_ms", t.MaxStalenessMs},
		{"repeat_window_ms", t.DedupWindowMs},
		{"aim_ms", t.LatencyObjectiveMs},
		{"deadline_ms", t.DeadlineMs},
		{"worth", t.PriorityWeight},
		{"late_worth", t.LateWeightShare},
	})
	if err != nil {
		return routing.Class{}, err
	}
	consistency, consistencyKnown := consistencies[t.Consistency]
	idempotency, idempotencyKnown := idempotencies[t.Idempotency]
	if t.Name == "" || !consistencyKnown || !idempotencyKnown || t.LatencyObjectiveMs <= 0 || t.DeadlineMs <= 0 {
		return routing.Class{}, invalidKey(key, "expected a name, a need of any, bounded, session, fresh or write, "+
			"an effect of safe, keyed or unsafe, and aim_ms and deadline_ms above 0; "+
			"got need %q, effect %q, aim_ms %v, deadline_ms %v",
			t.Consistency, t.Idempotency, t.LatencyObjectiveMs, t.DeadlineMs)
	}
	weight := t.PriorityWeight
	if weight == 0 {
		weight = 1
	}
	return routing.Class{
		Name:              t.Name,
		Consistency:       consistency,
		MaxStaleness:      milliseconds(t.MaxStalenessMs),
		Idempotency:       idempotency,
		DedupAcrossGroups: t.DedupAcrossGroups,
		DedupWindow:       milliseconds(t.DedupWindowMs),
		LatencyObjective:  milliseconds(t.LatencyObjectiveMs),
		Deadline:          milliseconds(t.DeadlineMs),
		PriorityWeight:    weight,
		LateWeightShare:   t.LateWeightShare,
	}, nil
}

// applyStatements converts the [[statement]] tables.
func (f *operatorFile) applyStatements(config *Config) error {
	rules := &config.Operator.Rules
	for i, table := range f.Statements {
		key := fmt.Sprintf("statement %d", i+1)
		pattern, err := regexp.Compile(table.Pattern)
		if err != nil || table.Pattern == "" {
			return invalidKey(key+": pattern", "%q is not a regular expression", table.Pattern)
		}
		class := classIndex(rules.Classes, table.Class)
		if class == noClass {
			return invalidKey(key+": class", "no class has the name %q", table.Class)
		}
		rules.Rules = append(rules.Rules, extended.Rule{
			Pattern: pattern, Class: class, SessionParam: table.SessionParam, KeyParam: table.KeyParam,
		})
	}
	return nil
}

// classIndex returns the index of the class with a name, or noClass if there is none.
func classIndex(classes []routing.Class, name string) int {
	return slices.IndexFunc(classes, func(class routing.Class) bool { return class.Name == name })
}

// applyHosts converts the [[database]], [[tenant]] and [[host]] tables.
func (f *operatorFile) applyHosts(config *Config) error {
	rules := &config.Operator.Rules
	rules.Databases, rules.Tenants = map[string]int{}, map[string]int{}
	for _, database := range f.Databases {
		rules.Databases[database.Name] = database.Group
	}
	for i, tenant := range f.Tenants {
		config.Settings.Tenants = append(config.Settings.Tenants, routing.Tenant{Name: tenant.User})
		rules.Tenants[tenant.User] = i
	}
	seen := map[string]bool{}
	for i, table := range f.Hosts {
		state, known := hostStates[table.State]
		if table.ID == "" || seen[table.ID] || !known {
			key := fmt.Sprintf("host %d (%q)", i+1, table.ID)
			return invalidKey(key, "expected a unique id, and state ready or draining, got state %q", table.State)
		}
		seen[table.ID] = true
		if err := checkAddress(fmt.Sprintf("host %d: address", i+1), table.Address); err != nil {
			return err
		}
		endpoint := routing.Endpoint{ID: table.ID, Group: table.Group, Primary: table.Primary, State: state}
		config.KnownHosts = append(config.KnownHosts, proxy.Host{Address: table.Address, Endpoint: endpoint})
	}
	if len(config.KnownHosts) == 0 && config.Discovery == "" {
		return invalidKey("host", "expected a [[host]] or a discovery address, got neither")
	}
	return nil
}

// applyDescribeClass sets the class of statements that are only described, and validates all rules of the frontend.
func (f *operatorFile) applyDescribeClass(config *Config) error {
	rules := &config.Operator.Rules
	rules.DescribeClass = classIndex(rules.Classes, f.DescribeClass)
	if rules.DescribeClass == noClass {
		return invalidKey("describe_class", "no class has the name %q", f.DescribeClass)
	}
	return rules.Validate()
}

// checkAddresses checks the optional addresses.
func (f *operatorFile) checkAddresses(*Config) error {
	for _, entry := range []struct{ key, address string }{
		{"health.agent_check", f.Health.AgentCheck},
		{"health.http", f.Health.HTTP},
		{"discovery", f.Discovery},
	} {
		if entry.address == "" {
			continue
		}
		if err := checkAddress(entry.key, entry.address); err != nil {
			return err
		}
	}
	return nil
}
