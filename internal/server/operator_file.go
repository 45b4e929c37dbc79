package server

import (
	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/protocol/pg"
	"merlinjunction/routing"
)

// operatorFile is an operator's TOML file; README.md explains each key.
type operatorFile struct {
	Name          string           `toml:"name"`
	Listen        string           `toml:"listen"`
	Discovery     string           `toml:"discovery"`
	Management    string           `toml:"management"`
	MemoryMB      int              `toml:"memory_mb"`
	Sockets       int              `toml:"sockets"`
	DescribeClass string           `toml:"describe_class"`
	Health        healthTable      `toml:"health"`
	HostLogin     hostLogin        `toml:"hosts"`
	Fleet         *fleetTable      `toml:"fleet"`
	Rules         rulesTable       `toml:"rules"`
	Hosts         []hostTable      `toml:"host"`
	Databases     []databaseTable  `toml:"database"`
	Tenants       []tenantTable    `toml:"tenant"`
	Classes       []classTable     `toml:"class"`
	Statements    []statementTable `toml:"statement"`
}

// healthTable is [health]: the listen addresses for load balancers' health checks.
type healthTable struct {
	AgentCheck string `toml:"agent_check"`
	HTTP       string `toml:"http"`
}

// hostLogin is [hosts]: how the gateway logs in to hosts, and in which parameters they report their role and position.
type hostLogin struct {
	User         string `toml:"user"`
	Database     string `toml:"database"`
	Role         string `toml:"role_parameter"`
	Primary      string `toml:"primary_value"`
	Replica      string `toml:"replica_value"`
	Position     string `toml:"position_parameter"`
	RoleOnChange bool   `toml:"role_on_change"`
}

func (l *hostLogin) dialer(loop *eventloop.Loop) *pg.HostDialer {
	return &pg.HostDialer{
		Loop:              loop,
		User:              l.User,
		Database:          l.Database,
		RoleParameter:     l.Role,
		PrimaryValue:      l.Primary,
		ReplicaValue:      l.Replica,
		PositionParameter: l.Position,
		RoleOnChange:      l.RoleOnChange,
	}
}

// rulesTable is [rules]: limits and behavior that are the same for all classes.
type rulesTable struct {
	Gateways          int     `toml:"gateways"`
	GatewayNumber     int     `toml:"index"` // counted from 1; 0: unknown
	SubsetSize        int     `toml:"subset"`
	StalenessCheck    string  `toml:"checks"`
	HealthCheck       string  `toml:"probes"`
	MaxAttempts       int     `toml:"max_attempts"`
	MaxRetryAfterMs   float64 `toml:"retry_hint_ms"`
	DrainGraceMs      float64 `toml:"drain_grace_ms"`
	SlowStartMinShare float64 `toml:"cold_share"`
	SlowStartWindowMs float64 `toml:"cold_ms"`
	OverloadMultiple  float64 `toml:"tip_multiple"`
	OverloadWindowMs  float64 `toml:"tip_ms"`
	ConnectTimeoutMs  float64 `toml:"connect_timeout_ms"`
	HostIdleTimeoutMs float64 `toml:"idle_ms"`
}

// hostTable is a [[host]].
type hostTable struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
	Group   int    `toml:"group"`
	Primary bool   `toml:"primary"`
	State   string `toml:"state"`
}

// databaseTable is a [[database]]: its name and the group that serves it.
type databaseTable struct {
	Name  string `toml:"name"`
	Group int    `toml:"group"`
}

// tenantTable is a [[tenant]], identified by its user.
type tenantTable struct {
	User string `toml:"user"`
}

// classTable is a [[class]] of requests.
type classTable struct {
	Name               string  `toml:"name"`
	Consistency        string  `toml:"need"`
	MaxStalenessMs     float64 `toml:"max_age_ms"`
	Idempotency        string  `toml:"effect"`
	DedupWindowMs      float64 `toml:"repeat_window_ms"`
	DedupAcrossGroups  bool    `toml:"repeat_any_host"`
	LatencyObjectiveMs float64 `toml:"aim_ms"`
	DeadlineMs         float64 `toml:"deadline_ms"`
	PriorityWeight     float64 `toml:"worth"`
	LateWeightShare    float64 `toml:"late_worth"`
}

// statementTable is a [[statement]]: a pattern, and the class of the statements that match it.
type statementTable struct {
	Pattern      string `toml:"pattern"`
	Class        string `toml:"class"`
	SessionParam int    `toml:"session_param"`
	KeyParam     int    `toml:"key_param"`
}

// newOperatorFile returns a file that has the defaults of the optional keys.
func newOperatorFile() *operatorFile {
	return &operatorFile{
		HostLogin: hostLogin{
			User:         "svc",
			Database:     "main",
			Role:         "in_hot_standby",
			Primary:      "off",
			Replica:      "on",
			RoleOnChange: true,
		},
		Rules: rulesTable{
			Gateways:          1,
			MaxAttempts:       4,
			MaxRetryAfterMs:   1000,
			DrainGraceMs:      2000,
			SlowStartMinShare: 1,
			OverloadMultiple:  2.5,
		},
	}
}

// Words of the file, and the values that they stand for.
var (
	consistencies = map[string]routing.Consistency{
		"any":     routing.ConsistencyAny,
		"bounded": routing.ConsistencyBounded,
		"session": routing.ConsistencySession,
		"fresh":   routing.ConsistencyStrong,
		"write":   routing.ConsistencyWrite,
	}
	idempotencies = map[string]routing.Idempotency{
		"safe":   routing.Idempotent,
		"keyed":  routing.IdempotentWithKey,
		"unsafe": routing.NotIdempotent,
	}
	stalenessChecks = map[string]routing.StalenessCheck{
		"":       routing.StalenessCheckNone,
		"none":   routing.StalenessCheckNone,
		"refuse": routing.StalenessCheckReject,
		"wait":   routing.StalenessCheckWait,
	}
	// healthChecks are the queries that health checks send: a load report query, or an empty query, which is enough if
	// the login already reports the role.
	healthChecks = map[string]pg.Command{
		"":         pg.EmptyQuery{},
		"greeting": pg.EmptyQuery{},
		"load":     pg.LoadReportQuery{},
		"none":     nil,
	}
	hostStates = map[string]routing.EndpointState{
		"":         routing.StateReady,
		"ready":    routing.StateReady,
		"draining": routing.StateDraining,
	}
)
