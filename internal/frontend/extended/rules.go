package extended

import (
	"fmt"
	"regexp"
	"strconv"

	"merlinjunction/routing"
)

// Rule maps statements to a class. The first rule whose pattern matches counts.
type Rule struct {
	Pattern      *regexp.Regexp // its groups named session and key hold these for simple queries
	Class        int
	SessionParam int // the parameter that names the session, from 1; 0: the pattern's group, else the connection
	KeyParam     int // the parameter that holds the idempotency key, from 1
}

// Rules are what an operator sets up for the front.
type Rules struct {
	Classes       []routing.Class
	Rules         []Rule
	DescribeClass int            // the class of a Describe: safe, and served by any host
	Databases     map[string]int // name: group of hosts
	Tenants       map[string]int // user: tenant
}

// find is the rule for a statement, by its text without comments.
func (r *Rules) find(bare string) *Rule {
	for i := range r.Rules {
		if r.Rules[i].Pattern.MatchString(bare) {
			return &r.Rules[i]
		}
	}
	return nil
}

// Validate names the first thing that is wrong with the rules.
func (r *Rules) Validate() error {
	if len(r.Databases) == 0 {
		return fmt.Errorf("database: none is named")
	}
	if d := r.Classes[r.DescribeClass]; d.Idempotency != routing.Idempotent || d.Consistency != routing.ConsistencyAny {
		return fmt.Errorf("describe_class: %q is not a safe class that any host may answer", d.Name)
	}
	for i, rule := range r.Rules {
		c := r.Classes[rule.Class]
		if c.Idempotency == routing.IdempotentWithKey && rule.KeyParam == 0 && rule.Pattern.SubexpIndex("key") < 0 {
			return fmt.Errorf("statement %d: class %q needs key_param, or a group named key", i+1, c.Name)
		}
		if rule.KeyParam < 0 || rule.SessionParam < 0 {
			return fmt.Errorf("statement %d: key_param and session_param count from 1", i+1)
		}
	}
	return nil
}

// names finds the session and the key of a statement in its parameters, else in its text.
func (r *Rule) names(bare string, params [][]byte, connection uint64) (session, key string) {
	get := func(param int, group string) string {
		if param > 0 && param <= len(params) {
			return string(params[param-1])
		}
		if i := r.Pattern.SubexpIndex(group); i >= 0 {
			if m := r.Pattern.FindStringSubmatch(bare); m != nil {
				return m[i]
			}
		}
		return ""
	}
	session, key = get(r.SessionParam, "session"), get(r.KeyParam, "key")
	if session != "" {
		return "s:" + session, key
	}
	return "c:" + strconv.FormatUint(connection, 10), key
}
