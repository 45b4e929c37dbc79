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
	writer          *bufio.Writer
	currentInstance int // the instance that the next actions of the reply belong to
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{writer: bufio.NewWriterSize(w, outputBufferBytes), currentInstance: noInstance}
}

// WriteActions writes a line for each action of an instance. It leaves out WithdrawAttempt, since in the simulator each
// attempt is written when it is sent.
func (e *Encoder) WriteActions(instance int, actions []routing.Action) {
	for _, action := range actions {
		if _, ok := action.(routing.WithdrawAttempt); ok {
			continue
		}
		e.switchTo(instance)
		e.line(encodeAction(action)...)
	}
}

// WriteInternalError writes the line that reports a panic of an instance. The simulator then ends the simulated day.
func (e *Encoder) WriteInternalError(instance int, text string) {
	e.switchTo(instance)
	e.line("internal_error", singleLine(text))
}

// EndReply writes the line that ends a reply, and flushes the buffer. It returns the first write error of the reply.
func (e *Encoder) EndReply() error {
	e.currentInstance = noInstance
	e.line("yield")
	return e.writer.Flush()
}

func (e *Encoder) switchTo(instance int) {
	if e.currentInstance != instance {
		e.currentInstance = instance
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

// write ignores the write error: a bufio.Writer keeps its first error and returns it from Flush.
func (e *Encoder) write(text string) { _, _ = e.writer.WriteString(text) }

// encodeAction returns the values of the line that encodes an action.
func encodeAction(action routing.Action) []string {
	switch action := action.(type) {
	case routing.Attempt: // package routing sets GiveUpAt to 0, which lets the attempt last until the client gives up
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

// encodeMilliseconds encodes a duration as a decimal number of milliseconds, with a fraction for the microseconds.
func encodeMilliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', -1, 64)
}

// singleLine replaces each sequence of white space, line breaks included, by one space.
func singleLine(text string) string { return strings.Join(strings.Fields(text), " ") }
