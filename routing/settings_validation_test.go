package routing

import (
	"errors"
	"strings"
	"testing"
)

// The error of New must name the invalid setting.
func TestNewNamesTheInvalidSetting(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes":     func(s *Settings) { s.Classes = nil },
		"MaxAttempts": func(s *Settings) { s.MaxAttempts = 0 },
		"MaxAge":      func(s *Settings) { s.Classes[classBounded].MaxStaleness = 0 },
		"Aim":         func(s *Settings) { s.Classes[classAny].LatencyObjective = 0 },
		"Need":        func(s *Settings) { s.Classes[classAny].Consistency = 99 },
		"ColdShare":   func(s *Settings) { s.SlowStartMinShare = -1 },
	} {
		t.Run(want, func(t *testing.T) {
			settings := testSettings()
			change(&settings)
			_, err := New(settings, 1)
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Fatalf("got error %v, want one that names %s", err, want)
			}
			var settingErr *SettingError
			if !errors.As(err, &settingErr) || !strings.Contains(settingErr.Setting, want) {
				t.Errorf("got error %#v, want a *SettingError with the setting %s", err, want)
			}
		})
	}
}
