package simulator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"merlinjunction/routing"
)

// profile is the settings object of a create line. Keys that are not named here are skipped.
type profile struct {
	Balancers *int
	Index     *int // from 0
	Services  []struct {
		Name, Effect, Group                                 string
		AimMs, HardLimitMs, DedupWindowMs, Worth, LateWorth float64
	}
	Tenants []struct {
		Name     string
		QuotaRps float64
	}
	OverShareWorth float64
	Zone           string
	TickMs         float64
	MembershipMode string
	FamilyInfo     *struct {
		ServerChecks, Tokens string
		CountedFromMs        float64
		NeedsByClass         []string
		MaxAgeMs             []float64
	}
	Permissions *struct {
		Cancel, Probing, RetryAfter bool
		MaxAttempts                 *int
		MaxRetryAfterMs             float64
	}
	Rules *struct {
		DrainGraceMs      *float64
		ColdFrom          *float64
		ColdMs            *float64
		TipMultiple       *float64
		FallMs            float64
		RemovalNotBinding bool
	}
}

var (
	needs = map[string]routing.Consistency{
		"any": routing.ConsistencyAny, "bounded": routing.ConsistencyBounded, "session": routing.ConsistencySession,
		"fresh": routing.ConsistencyStrong, "write": routing.ConsistencyWrite,
	}
	effects = map[string]routing.Idempotency{
		"read_like": routing.Idempotent, "idempotency_key": routing.IdempotentWithKey, "non_idempotent": routing.NotIdempotent,
	}
	checks = map[string]routing.StalenessCheck{
		"silent": routing.StalenessCheckNone, "refuse": routing.StalenessCheckReject, "wait": routing.StalenessCheckWait,
	}
	modes  = map[string]bool{"automatic": false, "subscribe": true}
	tokens = map[string]bool{"remembered": false, "carried": true}
)

// lookup finds a word in a table, or says which setting holds an unknown one.
func lookup[V any](table map[string]V, word, setting string) (V, error) {
	v, ok := table[word]
	if !ok {
		return v, fmt.Errorf("setting %s: unknown word %q", setting, word)
	}
	return v, nil
}

func (p *profile) missing() string {
	var names []string
	need := func(have bool, name string) {
		if !have {
			names = append(names, name)
		}
	}
	need(p.Balancers != nil, "Balancers")
	need(len(p.Services) > 0, "Services")
	need(p.MembershipMode != "", "MembershipMode")
	need(p.FamilyInfo != nil, "FamilyInfo")
	need(p.Permissions != nil && p.Permissions.MaxAttempts != nil, "Permissions.MaxAttempts")
	need(p.Rules != nil && p.Rules.DrainGraceMs != nil, "Rules.DrainGraceMs")
	need(p.Rules != nil && p.Rules.ColdFrom != nil, "Rules.ColdFrom")
	need(p.Rules != nil && p.Rules.ColdMs != nil, "Rules.ColdMs")
	need(p.Rules != nil && p.Rules.TipMultiple != nil, "Rules.TipMultiple")
	return strings.Join(names, ", ")
}

// DecodeSettings reads the settings object of a create line, which a real gateway has in its configuration.
func DecodeSettings(text string) (routing.Settings, error) {
	var p profile
	var s routing.Settings
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	if lack := p.missing(); lack != "" {
		return s, fmt.Errorf("settings lack %s", lack)
	}
	f := p.FamilyInfo
	if len(f.NeedsByClass) != len(p.Services) || len(f.MaxAgeMs) != len(p.Services) {
		return s, fmt.Errorf("settings: FamilyInfo.NeedsByClass or FamilyInfo.MaxAgeMs doesn't name each class")
	}
	var err error
	if s.StalenessCheck, err = lookup(checks, f.ServerChecks, "FamilyInfo.ServerChecks"); err != nil {
		return s, err
	}
	if s.SessionTokensCarried, err = lookup(tokens, f.Tokens, "FamilyInfo.Tokens"); err != nil {
		return s, err
	}
	if s.SubscribeToEndpoints, err = lookup(modes, p.MembershipMode, "MembershipMode"); err != nil {
		return s, err
	}
	names := map[string]bool{}
	for i, c := range p.Services {
		switch {
		case c.Name == "" || names[c.Name]:
			return s, fmt.Errorf("setting Services[].Name: %q is empty or stands there twice", c.Name)
		case !(c.HardLimitMs > 0) || !(c.AimMs > 0):
			return s, fmt.Errorf("setting Services[] %q: HardLimitMs or AimMs is not above 0", c.Name)
		}
		names[c.Name] = true
		class := routing.Class{
			Name: c.Name, MaxStaleness: duration(f.MaxAgeMs[i]), KeySharedByAllHosts: c.Group == "all",
			DedupWindow: duration(c.DedupWindowMs), LatencyObjective: duration(c.AimMs), Deadline: duration(c.HardLimitMs),
			PriorityWeight: c.Worth, LateWeightShare: c.LateWorth,
		}
		if class.Consistency, err = lookup(needs, f.NeedsByClass[i], "FamilyInfo.NeedsByClass"); err != nil {
			return s, err
		}
		if class.Idempotency, err = lookup(effects, c.Effect, "Services[].Effect"); err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	clear(names)
	for _, t := range p.Tenants {
		if t.Name == "" || names[t.Name] {
			return s, fmt.Errorf("setting Tenants[].Name: %q is empty or stands there twice", t.Name)
		}
		names[t.Name] = true
		s.Tenants = append(s.Tenants, routing.Tenant{Name: t.Name, QuotaPerSecond: t.QuotaRps})
	}
	s.OverQuotaWeightShare, s.GatewayCount, s.TickInterval = p.OverShareWorth, *p.Balancers, duration(p.TickMs)
	s.Zone = p.Zone
	if p.Index != nil {
		s.GatewayNumber = *p.Index + 1
	}
	s.PositionEpoch = duration(f.CountedFromMs)
	a := p.Permissions
	s.CancelAllowed, s.HealthChecksAllowed, s.RetryAfterAllowed = a.Cancel, a.Probing, a.RetryAfter
	s.MaxRetryAfter, s.MaxAttempts = duration(a.MaxRetryAfterMs), *a.MaxAttempts
	s.DrainGrace, s.RemovalNotBinding = duration(*p.Rules.DrainGraceMs), p.Rules.RemovalNotBinding
	s.SlowStartMinShare, s.SlowStartWindow = *p.Rules.ColdFrom, duration(*p.Rules.ColdMs)
	s.OverloadMultiple, s.OverloadWindow = *p.Rules.TipMultiple, duration(p.Rules.FallMs)
	return s, nil
}

// duration turns milliseconds into a Duration, to the microsecond.
func duration(ms float64) time.Duration {
	return time.Duration(ms*1000+0.5) * time.Microsecond
}
