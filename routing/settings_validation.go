package routing

import "fmt"

// SettingError reports an invalid setting.
type SettingError struct {
	Class   *Class // the invalid class; nil if the setting belongs to no class
	Setting string // name of the setting, or of several that are validated together; see nameClasses
	Problem string // what is wrong with the setting
}

// Error names the class, if there is one, and the setting.
func (e *SettingError) Error() string {
	if e.Class != nil {
		return fmt.Sprintf("routing: class %q: %s %s", e.Class.Name, e.Setting, e.Problem)
	}
	return fmt.Sprintf("routing: %s %s", e.Setting, e.Problem)
}

// Names of the settings in the texts of SettingErrors. Several of them (Routers, Subset, ColdShare, Aim,
// Need, MaxAge) match neither the field names, which are given in the comments, nor the keys of a
// configuration file.
const (
	nameClasses                   = "Classes"
	nameAttemptsAndGateways       = "MaxAttempts or Routers"           // MaxAttempts, GatewayCount
	nameGatewayNumberAndSubset    = "Index or Subset"                  // GatewayNumber, SubsetSize
	nameTimesAndSlowStart         = "a time, ColdShare or TipMultiple" // SlowStartMinShare, OverloadMultiple
	nameObjectiveDeadline         = "Aim or Deadline"                  // LatencyObjective, Deadline
	nameMaxStaleness              = "MaxAge"                           // MaxStaleness
	nameConsistencyAndIdempotency = "Need or Effect"                   // Consistency, Idempotency
)

// validate returns a *SettingError for the first invalid setting, or nil.
func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return &SettingError{Setting: nameClasses, Problem: "is empty"}
	case s.MaxAttempts < 1 || s.GatewayCount < 1:
		return &SettingError{Setting: nameAttemptsAndGateways, Problem: "is below 1"}
	case s.GatewayNumber < 0 || s.SubsetSize < 0:
		return &SettingError{Setting: nameGatewayNumberAndSubset, Problem: "is below 0"}
	case min(s.SlowStartWindow, s.DrainGrace, s.TickInterval, s.MaxRetryAfter) < 0,
		min(s.SlowStartMinShare, s.OverloadMultiple) < 0:
		return &SettingError{Setting: nameTimesAndSlowStart, Problem: "is out of range"}
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

// validate returns a *SettingError for the first invalid field of the class, or nil.
func (c *Class) validate() error {
	switch {
	case c.Deadline <= 0 || c.LatencyObjective <= 0:
		return &SettingError{Class: c, Setting: nameObjectiveDeadline, Problem: "is not above 0"}
	case c.Consistency == ConsistencyBounded && c.MaxStaleness <= 0:
		return &SettingError{Class: c, Setting: nameMaxStaleness, Problem: "is not above 0"}
	case c.Consistency < ConsistencyAny || c.Consistency > ConsistencyWrite,
		c.Idempotency < Idempotent || c.Idempotency > NotIdempotent:
		return &SettingError{Class: c, Setting: nameConsistencyAndIdempotency, Problem: "is unknown"}
	}
	return nil
}
