package routing

import (
	"strings"
	"testing"
)

func TestNewNamesTheSettingAtFault(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes":     func(s *Settings) { s.Classes = nil },
		"MaxAttempts": func(s *Settings) { s.MaxAttempts = 0 },
		"MaxAge":      func(s *Settings) { s.Classes[classBounded].MaxStaleness = 0 },
		"Aim":         func(s *Settings) { s.Classes[classAny].LatencyObjective = 0 },
		"Need":        func(s *Settings) { s.Classes[classAny].Consistency = 99 },
		"ColdShare":   func(s *Settings) { s.SlowStartMinShare = -1 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v", want, err)
		}
	}
}
