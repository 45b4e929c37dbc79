package routing

import "fmt"

// validate names the first setting that New cannot work with. It decides nothing.
func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("routing: Classes is empty")
	case s.MaxAttempts < 1 || s.Routers < 1:
		return fmt.Errorf("routing: MaxAttempts or Routers is below 1")
	case s.Index < 0 || s.Subset < 0:
		return fmt.Errorf("routing: Index or Subset is below 0")
	case min(s.ColdTime, s.DrainGrace, s.Tick, s.MaxHint) < 0 || min(s.ColdShare, s.TipMultiple) < 0:
		return fmt.Errorf("routing: a time, ColdShare or TipMultiple is out of range")
	}
	for _, c := range s.Classes {
		switch {
		case c.Deadline <= 0 || c.Aim <= 0:
			return fmt.Errorf("routing: class %q: Aim or Deadline is not above 0", c.Name)
		case c.Need == NeedBounded && c.MaxAge <= 0:
			return fmt.Errorf("routing: class %q: MaxAge is not above 0", c.Name)
		case c.Need < NeedAny || c.Need > NeedPrimary || c.Effect < EffectSafe || c.Effect > EffectUnsafe:
			return fmt.Errorf("routing: class %q: Need or Effect is unknown", c.Name)
		}
	}
	return nil
}
