package simulator

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"merlinjunction/routing"
)

const (
	absentValue       = "-"
	requestIDLimit    = 1 << 52 // request IDs are below this limit
	numberLimit       = 1 << 62 // the absolute value of a number is below this limit
	maxMilliseconds   = 1e12    // largest absolute value of a time
	maxReportedNumber = 1e12    // largest absolute value in a load report
)

// outcomes maps the outcome codes of the protocol.
var outcomes = map[string]routing.Outcome{
	"200": routing.OutcomeOK,
	"204": routing.OutcomeMisdirected,
	"408": routing.OutcomeTimeout,
	"409": routing.OutcomeNotSent,
	"429": routing.OutcomeRejected,
	"444": routing.OutcomeCancelled,
	"502": routing.OutcomeError,
	"520": routing.OutcomeConnectionLost,
	"521": routing.OutcomeNoConnection,
}

// valueReader reads the space-separated values of a line in order. It keeps the first error, which end returns. The
// values of a line with an error must not be used.
type valueReader struct {
	unread  string
	hasMore bool // there is an unread value, which may be empty
	err     error
}

func newValueReader(line string) *valueReader { return &valueReader{unread: line, hasMore: true} }

func (r *valueReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// end ends the reading of a line and returns the first error. Unread values are an error.
func (r *valueReader) end() error {
	if r.err == nil && r.hasMore {
		r.err = fmt.Errorf("too many values: %q was not expected", r.unread)
	}
	return r.err
}

// value reads one value and returns its text unchanged.
func (r *valueReader) value() string {
	if !r.hasMore {
		r.fail(errTooFewValues)
		return ""
	}
	var value string
	value, r.unread, r.hasMore = strings.Cut(r.unread, " ")
	return value
}

// rest reads the rest of the line as one value, which may contain spaces.
func (r *valueReader) rest() string {
	if !r.hasMore {
		r.fail(errTooFewValues)
	}
	r.hasMore = false
	return r.unread
}

// optionalText reads a value and returns "" when it is absent.
func (r *valueReader) optionalText() string {
	if value := r.value(); value != absentValue {
		return value
	}
	return ""
}

// requiredText reads a value. An absent value is an error.
func (r *valueReader) requiredText() string {
	value := r.optionalText()
	if value == "" {
		r.fail(errValueAbsent)
	}
	return value
}

// number reads a finite number and returns 0 when it is absent.
func (r *valueReader) number() float64 {
	text := r.optionalText()
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.Abs(value) >= numberLimit {
		r.fail(fmt.Errorf("%q is not a number between -2^62 and 2^62", text))
		return 0
	}
	return value
}

// milliseconds reads a time in milliseconds and rounds it to the microsecond. It returns 0 when the time is absent.
func (r *valueReader) milliseconds() time.Duration {
	value := r.number()
	if math.Abs(value) > maxMilliseconds {
		r.fail(fmt.Errorf("%v ms is out of range, -%v to %[2]v", value, maxMilliseconds))
		return 0
	}
	return time.Duration(math.Round(value*1000)) * time.Microsecond
}

// integer reads a whole number from 0 to the limit, inclusive.
func (r *valueReader) integer(limit int) int {
	text := r.value()
	value, err := strconv.Atoi(text)
	if err != nil || value < 0 || value > limit {
		r.fail(fmt.Errorf("%q is not a whole number from 0 to %d", text, limit))
		return 0
	}
	return value
}

func (r *valueReader) unsigned() uint64 {
	text := r.value()
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		r.fail(fmt.Errorf("%q is not a whole number from 0 to 2^64-1", text))
	}
	return value
}

func (r *valueReader) requestID() uint64 {
	id := r.unsigned()
	if id >= requestIDLimit {
		r.fail(fmt.Errorf("request id %d is out of range, 0 to %d", id, uint64(requestIDLimit-1)))
	}
	return id
}

func (r *valueReader) flag() bool { return r.integer(1) == 1 }

func (r *valueReader) outcome() routing.Outcome {
	code := r.value()
	outcome, known := outcomes[code]
	if !known {
		r.fail(fmt.Errorf("unknown outcome %q", code))
	}
	return outcome
}

// loadReport reads name:value pairs separated by commas. It returns nil when they are absent.
func (r *valueReader) loadReport() map[string]float64 {
	text := r.optionalText()
	if text == "" {
		return nil
	}
	report := map[string]float64{}
	for pair := range strings.SplitSeq(text, ",") {
		name, number, found := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(number, 64)
		if !found || err != nil || math.IsNaN(value) || math.Abs(value) > maxReportedNumber {
			r.fail(fmt.Errorf("report value %q is not a pair name:number with a number in range", pair))
			return nil
		}
		report[name] = value
	}
	return report
}
