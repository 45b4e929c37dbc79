package simulator

// profile is the platform's settings object, which is part of a create line and of a gateway's configuration. The JSON
// keys are the platform's names of the settings. Unknown keys are ignored. A pointer is nil when its key is absent.
type profile struct {
	GatewayCount *int `json:"Balancers"`
	GatewayIndex *int `json:"Index"` // counted from 0
	Classes      []struct {
		Name               string
		Idempotency        string  `json:"Effect"` // a key of idempotencies
		IdempotencyScope   string  `json:"Group"`  // "all" if all hosts share idempotency keys; any other word if fewer do
		LatencyObjectiveMs float64 `json:"AimMs"`
		DeadlineMs         float64 `json:"HardLimitMs"`
		DedupWindowMs      float64
		PriorityWeight     float64 `json:"Worth"`
		LateWeightShare    float64 `json:"LateWorth"`
	} `json:"Services"`
	Tenants []struct {
		Name           string
		QuotaPerSecond float64 `json:"QuotaRps"`
	}
	OverQuotaWeightShare float64 `json:"OverShareWorth"`
	Zone                 string
	TickIntervalMs       float64 `json:"TickMs"`
	EndpointListMode     string  `json:"MembershipMode"` // a key of endpointListModes
	Consistency          *struct {
		StalenessCheck  string    `json:"ServerChecks"` // a key of stalenessChecks
		SessionTokens   string    `json:"Tokens"`       // a key of sessionTokens
		PositionEpochMs float64   `json:"CountedFromMs"`
		Levels          []string  `json:"NeedsByClass"` // one for each entry of Classes, a key of consistencies
		MaxStalenessMs  []float64 `json:"MaxAgeMs"`     // one for each entry of Classes
	} `json:"FamilyInfo"`
	Permissions *struct {
		Cancel          bool
		HealthChecks    bool `json:"Probing"`
		RetryAfter      bool
		MaxAttempts     *int
		MaxRetryAfterMs float64
	}
	Rules *struct {
		DrainGraceMs      *float64
		SlowStartMinShare *float64 `json:"ColdFrom"`
		SlowStartWindowMs *float64 `json:"ColdMs"`
		OverloadMultiple  *float64 `json:"TipMultiple"`
		OverloadWindowMs  float64  `json:"FallMs"`
		RemovalNotBinding bool
	}
}

// missingKeys returns the required keys that are absent.
func (p *profile) missingKeys() []string {
	var missing []string
	for _, required := range []struct {
		present bool
		key     string
	}{
		{p.GatewayCount != nil, "Balancers"},
		{len(p.Classes) > 0, "Services"},
		{p.EndpointListMode != "", "MembershipMode"},
		{p.Consistency != nil, "FamilyInfo"},
		{p.Permissions != nil && p.Permissions.MaxAttempts != nil, "Permissions.MaxAttempts"},
		{p.Rules != nil && p.Rules.DrainGraceMs != nil, "Rules.DrainGraceMs"},
		{p.Rules != nil && p.Rules.SlowStartMinShare != nil, "Rules.ColdFrom"},
		{p.Rules != nil && p.Rules.SlowStartWindowMs != nil, "Rules.ColdMs"},
		{p.Rules != nil && p.Rules.OverloadMultiple != nil, "Rules.TipMultiple"},
	} {
		if !required.present {
			missing = append(missing, required.key)
		}
	}
	return missing
}
