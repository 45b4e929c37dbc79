package platform

import (
	"math"
	"strconv"
	"strings"
)

// Names of the values in an annotation. The gateway ignores other names, which hosts may read, and forwards them unchanged.
const (
	annotationRequestID      = "id"
	annotationIdempotencyKey = "k"
	annotationClass          = "c"
	annotationTenant         = "t"
	annotationClientRetry    = "r" // "1" if the request is a retry by the client
	annotationGroup          = "cluster"
	annotationTimeLeft       = "d" // milliseconds until the client gives up
)

const (
	// maxAnnotationValues bounds the work for one annotation. The platform's requests have eight values at most.
	maxAnnotationValues = 64
	maxTokenLen         = 64 // the maximum length of a request ID or an idempotency key, in bytes
	noGroup             = -1 // the annotation has no group
)

// annotation is the metadata of a request, parsed from the trailing comment of the query.
type annotation struct {
	id             string
	class, tenant  string
	idempotencyKey string
	timeLeftMs     float64 // the time until the client gives up
	group          int
	clientRetry    bool
}

// hasRequiredValues reports whether the ID, class, group and time left are set.
func (a *annotation) hasRequiredValues() bool {
	return a.id != "" && a.class != "" && a.group >= 0 && a.timeLeftMs != 0
}

// setValue stores the value of a name. It returns false if the value is invalid. Unknown names are ignored.
func (a *annotation) setValue(name, value string) bool {
	switch name {
	case annotationRequestID:
		a.id = value
		return isToken(value)
	case annotationIdempotencyKey:
		a.idempotencyKey = value
		return isToken(value)
	case annotationClass:
		a.class = value
	case annotationTenant:
		a.tenant = value
	case annotationClientRetry:
		a.clientRetry = value == "1"
	case annotationGroup:
		group, err := strconv.ParseUint(value, 10, 31)
		a.group = int(group)
		return err == nil
	case annotationTimeLeft:
		return a.setTimeLeft(value)
	}
	return true
}

// setTimeLeft stores the time left. It returns false unless the value is a positive decimal number without sign or exponent.
func (a *annotation) setTimeLeft(value string) bool {
	timeLeftMs, err := strconv.ParseFloat(value, 64)
	a.timeLeftMs = timeLeftMs
	decimal := strings.Trim(value, "0123456789.") == ""
	return err == nil && decimal && timeLeftMs > 0 && timeLeftMs <= math.MaxInt32
}

// isToken reports whether a text is a valid request ID or idempotency key. Valid are 1 to maxTokenLen ASCII letters, digits,
// "-" and "_".
func isToken(text string) bool {
	return text != "" && len(text) <= maxTokenLen && strings.IndexFunc(text, isNonTokenRune) < 0
}

func isNonTokenRune(r rune) bool {
	switch {
	case r >= '0' && r <= '9', r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r == '-', r == '_':
		return false
	}
	return true
}
