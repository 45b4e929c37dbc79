package extended

import (
	"fmt"
	"regexp"
	"strconv"

	"merlinjunction/routing"
)

// Names of the capturing groups of a pattern that match the session name and the idempotency key.
const (
	sessionGroup = "session"
	keyGroup     = "key"
)

// Prefixes of session names. They prevent a client from naming the session that belongs to a connection.
const (
	namedSessionPrefix      = "s:"
	connectionSessionPrefix = "c:"
)

// Rule maps statements to a class. The first rule whose pattern matches a statement applies.
type Rule struct {
	// Pattern is matched against the statement without comments. Its groups "session" and "key" match the session name and
	// the idempotency key of a statement that doesn't have them in parameters.
	Pattern *regexp.Regexp
	Class   int
	// SessionParam is the number of the parameter that has the session name, counted from 1, or 0 for none. A statement that
	// names no session belongs to the session of its connection.
	SessionParam int
	// KeyParam is the number of the parameter that has the idempotency key, counted from 1, or 0 for none.
	KeyParam int
}

// Rules is the operator's configuration of the frontend.
type Rules struct {
	Classes       []routing.Class
	Rules         []Rule
	DescribeClass int            // the class of Describe requests; it must be idempotent, and any host may serve it
	Databases     map[string]int // number of the host group, by database name
	Tenants       map[string]int // index of the tenant, by user name
}

// match returns the first rule whose pattern matches a statement without comments, or nil.
func (r *Rules) match(strippedText string) *Rule {
	for i := range r.Rules {
		if r.Rules[i].Pattern.MatchString(strippedText) {
			return &r.Rules[i]
		}
	}
	return nil
}

// Validate returns an error for the first invalid key of the operator's file. The error names the key.
func (r *Rules) Validate() error {
	if len(r.Databases) == 0 {
		return fmt.Errorf("database: at least one is required")
	}
	describe := r.Classes[r.DescribeClass]
	if describe.Idempotency != routing.Idempotent || describe.Consistency != routing.ConsistencyAny {
		return fmt.Errorf("describe_class: class %q must have effect \"safe\" and need \"any\"", describe.Name)
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
		return fmt.Errorf("class %q needs key_param, or a group named key in the pattern", class.Name)
	}
	if r.KeyParam < 0 || r.SessionParam < 0 {
		return fmt.Errorf("key_param and session_param must be 1 or more")
	}
	return nil
}

// sessionName returns the name of the session of a statement. It returns false if the statement names a session that can't
// be identified, because the session's parameter is in the binary format of a type that is not known here.
func (r *Rule) sessionName(strippedText string, bound boundFields, sessionType typeOID, connectionID uint64) (name string, ok bool) {
	value, isBinary, isBound := bound.parameter(r.SessionParam)
	name, ok = string(value), true
	switch {
	case !isBound:
		name = r.groupText(sessionGroup, strippedText)
	case isBinary:
		name, ok = textOf(value, sessionType)
	}
	if ok && name == "" { // also for NULL
		return connectionSessionPrefix + strconv.FormatUint(connectionID, 10), true
	}
	return namedSessionPrefix + canonicalName(name), ok
}

// hasKey reports whether a statement has an idempotency key.
func (r *Rule) hasKey(strippedText string, bound boundFields) bool {
	if key, _, isBound := bound.parameter(r.KeyParam); isBound {
		return len(key) > 0
	}
	return r.groupText(keyGroup, strippedText) != ""
}

// groupText returns what a group of the pattern matches in the text, or "".
func (r *Rule) groupText(group, strippedText string) string {
	index := r.Pattern.SubexpIndex(group)
	if index < 0 {
		return ""
	}
	if match := r.Pattern.FindStringSubmatch(strippedText); match != nil {
		return match[index]
	}
	return ""
}
