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
	needs = map[string]routing.Need{
		"any": routing.NeedAny, "bounded": routing.NeedBounded, "session": routing.NeedSession,
		"fresh": routing.NeedFresh, "write": routing.NeedPrimary,
	}
	effects = map[string]routing.Effect{
		"read_like": routing.EffectSafe, "idempotency_key": routing.EffectKeyed, "non_idempotent": routing.EffectUnsafe,
	}
	checks = map[string]routing.Check{
		"silent": routing.CheckNone, "refuse": routing.CheckRefuse, "wait": routing.CheckWait,
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
	if s.Check, err = lookup(checks, f.ServerChecks, "FamilyInfo.ServerChecks"); err != nil {
		return s, err
	}
	if s.Carried, err = lookup(tokens, f.Tokens, "FamilyInfo.Tokens"); err != nil {
		return s, err
	}
	if s.Subscribe, err = lookup(modes, p.MembershipMode, "MembershipMode"); err != nil {
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
			Name: c.Name, MaxAge: duration(f.MaxAgeMs[i]), RepeatAnyHost: c.Group == "all",
			RepeatWindow: duration(c.DedupWindowMs), Aim: duration(c.AimMs), Deadline: duration(c.HardLimitMs),
			Worth: c.Worth, LateWorth: c.LateWorth,
		}
		if class.Need, err = lookup(needs, f.NeedsByClass[i], "FamilyInfo.NeedsByClass"); err != nil {
			return s, err
		}
		if class.Effect, err = lookup(effects, c.Effect, "Services[].Effect"); err != nil {
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
		s.Tenants = append(s.Tenants, routing.Tenant{Name: t.Name, Quota: t.QuotaRps})
	}
	s.OverShareWorth, s.Routers, s.Tick = p.OverShareWorth, *p.Balancers, duration(p.TickMs)
	s.Zone = p.Zone
	if p.Index != nil {
		s.Index = *p.Index + 1
	}
	s.Epoch = duration(f.CountedFromMs)
	a := p.Permissions
	s.MayCancel, s.MayProbe, s.MayHint = a.Cancel, a.Probing, a.RetryAfter
	s.MaxHint, s.MaxAttempts = duration(a.MaxRetryAfterMs), *a.MaxAttempts
	s.DrainGrace, s.ListedOnly = duration(*p.Rules.DrainGraceMs), p.Rules.RemovalNotBinding
	s.ColdShare, s.ColdTime = *p.Rules.ColdFrom, duration(*p.Rules.ColdMs)
	s.TipMultiple, s.FallTime = *p.Rules.TipMultiple, duration(p.Rules.FallMs)
	return s, nil
}

// duration turns milliseconds into a Duration, to the microsecond.
func duration(ms float64) time.Duration {
	return time.Duration(ms*1000+0.5) * time.Microsecond
}
