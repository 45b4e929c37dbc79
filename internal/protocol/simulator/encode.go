package simulator

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"merlinjunction/routing"
)

// Encoder writes replies.
type Encoder struct {
	w       *bufio.Writer
	current int
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{w: bufio.NewWriterSize(w, 1<<16), current: -1}
}

// Actions writes one instance's actions.
func (e *Encoder) Actions(instance int, actions []routing.Action) {
	for _, a := range actions {
		e.from(instance)
		e.line(words(a)...)
	}
}

// InternalError declares that the module broke.
func (e *Encoder) InternalError(instance int, text string) {
	e.from(instance)
	e.line("internal_error", oneLine(text))
}

// Flush ends the reply and sends it.
func (e *Encoder) Flush() error {
	e.current = -1
	e.line("yield")
	return e.w.Flush()
}

func (e *Encoder) from(instance int) {
	if e.current != instance {
		e.current = instance
		e.line("from", strconv.Itoa(instance))
	}
}

// line keeps its words' fault, if any, for Flush: a bufio.Writer's errors stick.
func (e *Encoder) line(words ...string) {
	for i, w := range words {
		if i > 0 {
			e.w.WriteByte(' ')
		}
		e.w.WriteString(w)
	}
	e.w.WriteByte('\n')
}

func words(a routing.Action) []string {
	switch a := a.(type) {
	case routing.Attempt:
		return []string{"attempt", id(a.Request), a.Host, millis(a.GiveUpAt)}
	case routing.CancelAttempt:
		return []string{"drop_attempt", id(a.Request), strconv.Itoa(a.Attempt)}
	case routing.Reject:
		return []string{"refuse", id(a.Request), millis(a.RetryAfter)}
	case routing.Fail:
		return []string{"lose", id(a.Request)}
	case routing.HealthCheck:
		return []string{"touch", a.Host}
	case routing.SubscribeEndpoints:
		return []string{"listen", "1"}
	case routing.SetTimer:
		return []string{"sleep", millis(a.After), "0"}
	case routing.Log:
		return []string{"log", oneLine(a.Text)}
	}
	panic("wire: unknown action")
}

func id(n uint64) string { return strconv.FormatUint(n, 10) }

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', -1, 64)
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
