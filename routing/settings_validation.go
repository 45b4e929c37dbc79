package routing

import "fmt"

// SettingError says that New can't work with a setting.
type SettingError struct {
	Class   *Class // class at fault; nil where the setting belongs to no class
	Setting string // name of the setting, or of several that are checked together; see nameClasses
	Problem string // what is wrong with it
}

// Error names the class, where there is one, and the setting.
func (e *SettingError) Error() string {
	if e.Class != nil {
		return fmt.Sprintf("routing: class %q: %s %s", e.Class.Name, e.Setting, e.Problem)
	}
	return fmt.Sprintf("routing: %s %s", e.Setting, e.Problem)
}

// The names of the settings in the texts of SettingErrors. Several (Routers, Subset, ColdShare, Aim, Need,
// MaxAge) are spelled neither like the fields, which the comments give, nor like the keys of a file.
const (
	nameClasses             = "Classes"
	nameAttemptsAndGateways = "MaxAttempts or Routers"           // MaxAttempts, GatewayCount
	nameNumberAndSubset     = "Index or Subset"                  // GatewayNumber, SubsetSize
	nameTimesAndSlowStart   = "a time, ColdShare or TipMultiple" // SlowStartMinShare, OverloadMultiple
	nameObjectiveDeadline   = "Aim or Deadline"                  // LatencyObjective, Deadline
	nameMaxStaleness        = "MaxAge"                           // MaxStaleness
	nameConsistencyAndKind  = "Need or Effect"                   // Consistency, Idempotency
)

// validate returns a *SettingError for the first setting that New can't work with.
func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return &SettingError{Setting: nameClasses, Problem: "is empty"}
	case s.MaxAttempts < 1 || s.GatewayCount < 1:
		return &SettingError{Setting: nameAttemptsAndGateways, Problem: "is below 1"}
	case s.GatewayNumber < 0 || s.SubsetSize < 0:
		return &SettingError{Setting: nameNumberAndSubset, Problem: "is below 0"}
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

// validate returns a *SettingError for the first field of the class that New can't work with.
func (c *Class) validate() error {
	switch {
	case c.Deadline <= 0 || c.LatencyObjective <= 0:
		return &SettingError{Class: c, Setting: nameObjectiveDeadline, Problem: "is not above 0"}
	case c.Consistency == ConsistencyBounded && c.MaxStaleness <= 0:
		return &SettingError{Class: c, Setting: nameMaxStaleness, Problem: "is not above 0"}
	case c.Consistency < ConsistencyAny || c.Consistency > ConsistencyWrite,
		c.Idempotency < Idempotent || c.Idempotency > NotIdempotent:
		return &SettingError{Class: c, Setting: nameConsistencyAndKind, Problem: "is unknown"}
	}
	return nil
}
