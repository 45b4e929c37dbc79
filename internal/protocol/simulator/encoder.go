package simulator

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"merlinjunction/routing"
)

const outputBufferBytes = 1 << 16

// Encoder encodes replies to batches.
type Encoder struct {
	writer  *bufio.Writer
	current int // the instance of the actions that follow
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{writer: bufio.NewWriterSize(w, outputBufferBytes), current: noInstance}
}

// WriteActions writes the actions of one instance.
func (e *Encoder) WriteActions(instance int, actions []routing.Action) {
	for _, action := range actions {
		e.switchTo(instance)
		e.line(encodeAction(action)...)
	}
}

// WriteInternalError reports that an instance has panicked. The simulator ends its day.
func (e *Encoder) WriteInternalError(instance int, text string) {
	e.switchTo(instance)
	e.line("internal_error", singleLine(text))
}

// EndReply ends the reply and sends it. It returns the first error of the reply's writes.
func (e *Encoder) EndReply() error {
	e.current = noInstance
	e.line("yield")
	return e.writer.Flush()
}

func (e *Encoder) switchTo(instance int) {
	if e.current != instance {
		e.current = instance
		e.line("from", strconv.Itoa(instance))
	}
}

func (e *Encoder) line(values ...string) {
	for i, value := range values {
		if i > 0 {
			e.write(" ")
		}
		e.write(value)
	}
	e.write("\n")
}

// write drops the error, because a bufio.Writer returns its first error from Flush too.
func (e *Encoder) write(text string) { _, _ = e.writer.WriteString(text) }

// encodeAction returns the values of an action's line.
func encodeAction(action routing.Action) []string {
	switch action := action.(type) {
	case routing.Attempt: // package routing leaves GiveUpAt at 0: the attempt ends when the client gives up
		return []string{"attempt", encodeID(action.Request), action.Host, encodeMilliseconds(action.GiveUpAt)}
	case routing.CancelAttempt:
		return []string{"drop_attempt", encodeID(action.Request), strconv.Itoa(action.Attempt)}
	case routing.Reject:
		return []string{"refuse", encodeID(action.Request), encodeMilliseconds(action.RetryAfter)}
	case routing.Fail:
		return []string{"lose", encodeID(action.Request)}
	case routing.HealthCheck:
		return []string{"touch", action.Host}
	case routing.SubscribeEndpoints:
		return []string{"listen", "1"}
	case routing.SetTimer:
		return []string{"sleep", encodeMilliseconds(action.After), "0"}
	case routing.Log:
		return []string{"log", singleLine(action.Text)}
	}
	panic(fmt.Sprintf("simulator: unknown action %T", action))
}

func encodeID(id uint64) string { return strconv.FormatUint(id, 10) }

// encodeMilliseconds has microseconds as fractions.
func encodeMilliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', -1, 64)
}

// singleLine replaces all white space by single spaces.
func singleLine(text string) string { return strings.Join(strings.Fields(text), " ") }
