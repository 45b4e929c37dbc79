package extended

import (
	"fmt"
	"regexp"
	"strconv"

	"merlinjunction/routing"
)

// Names of the pattern groups that hold the session and the idempotency key.
const (
	sessionGroup = "session"
	keyGroup     = "key"
)

// Prefixes that keep the names of sessions apart: a client can't name the session of a connection.
const (
	namedSessionPrefix      = "s:"
	connectionSessionPrefix = "c:"
)

// Rule maps statements to a class. The first rule whose pattern matches applies.
type Rule struct {
	// Pattern matches the statement without comments. Its groups "session" and "key" hold the session's name and the
	// idempotency key where no parameter does.
	Pattern *regexp.Regexp
	Class   int
	// SessionParam is the number, from 1, of the parameter with the session's name; 0 for none. A statement that
	// names no session belongs to its connection's.
	SessionParam int
	// KeyParam is the number, from 1, of the parameter with the idempotency key; 0 for none.
	KeyParam int
}

// Rules is the operator's configuration of the frontend.
type Rules struct {
	Classes       []routing.Class
	Rules         []Rule
	DescribeClass int            // the class of Describe: idempotent, and served by any host
	Databases     map[string]int // group of hosts by database name
	Tenants       map[string]int // tenant by user name
}

// match returns the rule for a statement without comments, or nil.
func (r *Rules) match(bare string) *Rule {
	for i := range r.Rules {
		if r.Rules[i].Pattern.MatchString(bare) {
			return &r.Rules[i]
		}
	}
	return nil
}

// Validate returns an error that names the first key of the operator's file that is wrong.
func (r *Rules) Validate() error {
	if len(r.Databases) == 0 {
		return fmt.Errorf("database: none is named")
	}
	describe := r.Classes[r.DescribeClass]
	if describe.Idempotency != routing.Idempotent || describe.Consistency != routing.ConsistencyAny {
		return fmt.Errorf("describe_class: %q is not a safe class that any host may answer", describe.Name)
	}
	for i := range r.Rules {
		if err := r.Rules[i].validate(r.Classes); err != nil {
			return fmt.Errorf("statement %d: %w", i+1, err)
		}
	}
	return nil
}

func (r *Rule) validate(classes []routing.Class) error {
	class := classes[r.Class]
	hasKey := r.KeyParam != 0 || r.Pattern.SubexpIndex(keyGroup) >= 0
	if class.Idempotency == routing.IdempotentWithKey && !hasKey {
		return fmt.Errorf("class %q needs key_param, or a group named key", class.Name)
	}
	if r.KeyParam < 0 || r.SessionParam < 0 {
		return fmt.Errorf("key_param and session_param count from 1")
	}
	return nil
}

// sessionAndKey returns the name of a statement's session, and its idempotency key or "".
func (r *Rule) sessionAndKey(bare string, parameters [][]byte, connection uint64) (session, key string) {
	session = r.value(r.SessionParam, sessionGroup, bare, parameters)
	key = r.value(r.KeyParam, keyGroup, bare, parameters)
	if session != "" {
		return namedSessionPrefix + session, key
	}
	return connectionSessionPrefix + strconv.FormatUint(connection, 10), key
}

// value returns a parameter by its number from 1, else what the pattern's group matches in the text, else "".
func (r *Rule) value(parameter int, group, bare string, parameters [][]byte) string {
	if parameter > 0 && parameter <= len(parameters) {
		return string(parameters[parameter-1])
	}
	index := r.Pattern.SubexpIndex(group)
	if index < 0 {
		return ""
	}
	if match := r.Pattern.FindStringSubmatch(bare); match != nil {
		return match[index]
	}
	return ""
}
