package routing

import "fmt"

// validate names the first setting that New cannot work with. It decides nothing.
func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("routing: Classes is empty")
	case s.MaxAttempts < 1 || s.GatewayCount < 1:
		return fmt.Errorf("routing: MaxAttempts or Routers is below 1")
	case s.GatewayNumber < 0 || s.SubsetSize < 0:
		return fmt.Errorf("routing: Index or Subset is below 0")
	case min(s.SlowStartWindow, s.DrainGrace, s.TickInterval, s.MaxRetryAfter) < 0,
		min(s.SlowStartMinShare, s.OverloadMultiple) < 0:
		return fmt.Errorf("routing: a time, ColdShare or TipMultiple is out of range")
	}
	for _, c := range s.Classes {
		switch {
		case c.Deadline <= 0 || c.LatencyObjective <= 0:
			return fmt.Errorf("routing: class %q: Aim or Deadline is not above 0", c.Name)
		case c.Consistency == ConsistencyBounded && c.MaxStaleness <= 0:
			return fmt.Errorf("routing: class %q: MaxAge is not above 0", c.Name)
		case c.Consistency < ConsistencyAny || c.Consistency > ConsistencyWrite,
			c.Idempotency < Idempotent || c.Idempotency > NotIdempotent:
			return fmt.Errorf("routing: class %q: Need or Effect is unknown", c.Name)
		}
	}
	return nil
}
