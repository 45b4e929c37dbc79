package faultsim

import "testing"

func TestParseTarget(t *testing.T) {
	unset := targetSelector{index: -1, count: -1, zone: -1}
	with := func(change func(*targetSelector)) targetSelector {
		selector := unset
		change(&selector)
		return selector
	}
	for _, test := range []struct {
		text string
		want targetSelector
	}{
		{"g3", with(func(s *targetSelector) { s.index = 3 })},
		{"h0", with(func(s *targetSelector) { s.index = 0 })},
		{"2", with(func(s *targetSelector) { s.count = 2 })},
		{"30%", with(func(s *targetSelector) { s.share = 0.3 })},
		{"zone 1", with(func(s *targetSelector) { s.zone = 1 })},
		{"all", with(func(s *targetSelector) { s.word = targetAll })},
		{"down", with(func(s *targetSelector) { s.word = targetDown })},
	} {
		t.Run(test.text, func(t *testing.T) {
			if got, err := parseTarget(test.text); err != nil || got != test.want {
				t.Errorf("got %+v and error %v, want %+v", got, err, test.want)
			}
		})
	}
	for _, text := range []string{"", "several", "-2", "g-2", "zone x", "0%", "101%", "NaN%", "far"} {
		t.Run("invalid "+text, func(t *testing.T) {
			if got, err := parseTarget(text); err == nil {
				t.Errorf("got %+v, want an error", got)
			}
		})
	}
}
