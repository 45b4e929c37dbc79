package extended

import (
	"regexp"
	"testing"

	"merlinjunction/routing"
)

func TestRulesValidate(t *testing.T) {
	const (
		describe = iota
		write
	)
	valid := func() *Rules {
		return &Rules{
			Classes: []routing.Class{
				describe: {Name: "describe", Idempotency: routing.Idempotent, Consistency: routing.ConsistencyAny},
				write:    {Name: "write", Idempotency: routing.IdempotentWithKey, Consistency: routing.ConsistencyWrite},
			},
			Rules: []Rule{
				{Pattern: regexp.MustCompile("^select"), Class: describe},
				{Pattern: regexp.MustCompile("^insert"), Class: write, KeyParam: 1},
			},
			DescribeClass: describe,
			Databases:     map[string]int{"main": 0},
		}
	}
	for name, test := range map[string]struct {
		change func(*Rules)
		want   string // "" for no error
	}{
		"valid":          {func(*Rules) {}, ""},
		"key in a group": {func(r *Rules) { r.Rules[1] = Rule{Pattern: regexp.MustCompile("(?P<key>x)"), Class: write} }, ""},
		"no database":    {func(r *Rules) { r.Databases = nil }, "database: at least one is required"},
		"describe class": {
			func(r *Rules) { r.DescribeClass = write },
			`describe_class: class "write" must have effect "safe" and need "any"`,
		},
		"no key": {
			func(r *Rules) { r.Rules[1].KeyParam = 0 },
			`statement 2: class "write" needs key_param, or a group named key in the pattern`,
		},
		"parameter below 1": {
			func(r *Rules) { r.Rules[0].SessionParam = -1 },
			"statement 1: key_param and session_param must be 1 or more",
		},
	} {
		t.Run(name, func(t *testing.T) {
			rules := valid()
			test.change(rules)
			got := ""
			if err := rules.Validate(); err != nil {
				got = err.Error()
			}
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
