package simulator

// profile is the platform's settings object, which is part of a create line and of a gateway's configuration. Its tags
// have the platform's names. Other keys are ignored. A pointer is nil when a required key is absent.
type profile struct {
	GatewayCount *int `json:"Balancers"`
	GatewayIndex *int `json:"Index"` // from 0
	Classes      []struct {
		Name               string
		Idempotency        string  `json:"Effect"` // see idempotencies
		IdempotencyScope   string  `json:"Group"`  // the hosts that share idempotency keys: "all", or fewer
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
	EndpointListMode     string  `json:"MembershipMode"` // see endpointListModes
	Consistency          *struct {
		StalenessCheck  string    `json:"ServerChecks"` // see stalenessChecks
		SessionTokens   string    `json:"Tokens"`       // see sessionTokens
		PositionEpochMs float64   `json:"CountedFromMs"`
		Levels          []string  `json:"NeedsByClass"` // by class; see consistencies
		MaxStalenessMs  []float64 `json:"MaxAgeMs"`     // by class
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
