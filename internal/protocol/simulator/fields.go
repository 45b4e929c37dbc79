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
	absent            = "-"
	requestIDLimit    = 1 << 52
	maxNumber         = 1 << 62 // exclusive, in either direction
	maxMilliseconds   = 1e12
	maxReportedNumber = 1e12
)

// outcomes maps the protocol's codes.
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

// fields reads the values of a line in order. It keeps the first error, for end; after an error further values are
// zero values.
type fields struct {
	unread string
	more   bool // a value is left, which may be empty
	err    error
}

func newFields(line string) *fields { return &fields{unread: line, more: true} }

func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// end returns the first error of the line. Unread values are an error.
func (f *fields) end() error {
	if f.err == nil && f.more {
		f.err = fmt.Errorf("too many values: %q is left", f.unread)
	}
	return f.err
}

// value reads one value unchanged.
func (f *fields) value() string {
	if !f.more {
		f.fail(errTooFewValues)
		return ""
	}
	var value string
	value, f.unread, f.more = strings.Cut(f.unread, " ")
	return value
}

// rest reads the rest of the line.
func (f *fields) rest() string {
	if !f.more {
		f.fail(errTooFewValues)
	}
	f.more = false
	return f.unread
}

// optional reads a value, "" when it is absent.
func (f *fields) optional() string {
	if value := f.value(); value != absent {
		return value
	}
	return ""
}

// text reads a value that must be there.
func (f *fields) text() string {
	value := f.optional()
	if value == "" {
		f.fail(errValueAbsent)
	}
	return value
}

// number reads a finite number, 0 when it is absent.
func (f *fields) number() float64 {
	text := f.optional()
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.Abs(value) >= maxNumber {
		f.fail(fmt.Errorf("%q is not a number in range", text))
		return 0
	}
	return value
}

// milliseconds reads a time, rounded to the microsecond.
func (f *fields) milliseconds() time.Duration {
	value := f.number()
	if math.Abs(value) > maxMilliseconds {
		f.fail(fmt.Errorf("%v ms is out of range", value))
		return 0
	}
	return time.Duration(math.Round(value*1000)) * time.Microsecond
}

// integer reads a whole number from 0 to limit.
func (f *fields) integer(limit int) int {
	text := f.value()
	value, err := strconv.Atoi(text)
	if err != nil || value < 0 || value > limit {
		f.fail(fmt.Errorf("%q is not a whole number from 0 to %d", text, limit))
		return 0
	}
	return value
}

func (f *fields) unsigned() uint64 {
	text := f.value()
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%q is not a whole number", text))
	}
	return value
}

func (f *fields) requestID() uint64 {
	id := f.unsigned()
	if id >= requestIDLimit {
		f.fail(fmt.Errorf("request id %d is out of range", id))
	}
	return id
}

func (f *fields) flag() bool { return f.integer(1) == 1 }

func (f *fields) outcome() routing.Outcome {
	code := f.value()
	outcome, known := outcomes[code]
	if !known {
		f.fail(fmt.Errorf("unknown outcome %q", code))
	}
	return outcome
}

// loadReport reads name:value pairs separated by commas; nil when they are absent.
func (f *fields) loadReport() map[string]float64 {
	text := f.optional()
	if text == "" {
		return nil
	}
	report := map[string]float64{}
	for pair := range strings.SplitSeq(text, ",") {
		name, number, found := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(number, 64)
		if !found || err != nil || math.IsNaN(value) || math.Abs(value) > maxReportedNumber {
			f.fail(fmt.Errorf("report value %q can't be read", pair))
			return nil
		}
		report[name] = value
	}
	return report
}
