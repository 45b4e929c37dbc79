// Package simulator implements the simulator's text protocol: it decodes batches of events for package routing and
// encodes the actions that answer them. It makes no decisions.
package simulator

import (
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"merlinjunction/routing"
)

// noInstance is the current instance before the first switch_to line of a batch or the first from line of a reply.
const noInstance = -1

var (
	errNoBatch            = errors.New("expected begin_batch")
	errInputEndsInBatch   = errors.New("the input ends inside a batch")
	errNoCurrentInstance  = errors.New("create: no switch_to before it in the batch")
	errInputEndsInSheet   = errors.New("sheet: the input ends before its last member")
	errTooFewValues       = errors.New("too few values")
	errValueAbsent        = errors.New("a required value is absent")
	errNegativeResultMark = errors.New("the mark is negative")
)

// LineError is an error in a line of the input. Lines are counted from 1.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

func (e *LineError) Unwrap() error { return e.Err }

// Batch is the input for one time of the simulator's clock.
type Batch struct {
	Clock    time.Duration
	Messages []Message
}

// Message is a message for one instance. Exactly one of Create, Kill and Event is set.
type Message struct {
	Instance int
	Create   *Create
	Kill     bool
	Event    routing.Event
}

// Create is the message that starts an instance.
type Create struct {
	Seed     uint64
	Settings routing.Settings
}

// instance holds the class and tenant names of a simulated gateway, which its events refer to.
type instance struct {
	classIndexes, tenantIndexes map[string]int // indexes in the settings, by name
}

// Decoder decodes batches.
type Decoder struct {
	lines           lineReader
	sheets          endpointSheets // shared by all instances
	instances       map[int]*instance
	currentInstance int // the instance that the next lines of the batch are for
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{lines: newLineReader(r), instances: map[int]*instance{}, currentInstance: noInstance}
}

// Next returns the next batch, or io.EOF when the input ends between two batches. Any other error is a *LineError.
func (d *Decoder) Next() (*Batch, error) {
	batch, err := d.beginBatch()
	if err != nil {
		return nil, err
	}
	for {
		line, err := d.lines.next()
		if errors.Is(err, io.EOF) {
			return nil, &LineError{Line: d.lines.number + 1, Err: errInputEndsInBatch}
		}
		if err != nil {
			return nil, err
		}
		if line == "your_turn" {
			return batch, nil
		}
		message, err := d.decodeMessage(newValueReader(line))
		if err != nil {
			return nil, d.lines.wrapError(err)
		}
		if message != nil {
			message.Instance = d.currentInstance
			batch.Messages = append(batch.Messages, *message)
		}
	}
}

func (d *Decoder) beginBatch() (*Batch, error) {
	line, err := d.lines.next()
	if err != nil {
		return nil, err
	}
	values := newValueReader(line)
	if values.value() != "begin_batch" {
		return nil, d.lines.wrapError(errNoBatch)
	}
	batch := &Batch{Clock: values.milliseconds()}
	if err := values.end(); err != nil {
		return nil, d.lines.wrapError(err)
	}
	d.currentInstance = noInstance
	return batch, nil
}

// decodeMessage decodes one line of a batch, and for a sheet line its member lines too. It returns nil for a line that
// is not a message to an instance.
func (d *Decoder) decodeMessage(values *valueReader) (*Message, error) {
	name := values.value()
	switch name {
	case "switch_to":
		d.currentInstance = values.integer(math.MaxInt32)
		return nil, values.end()
	case "sheet":
		return nil, d.decodeSheet(values)
	case "create":
		return d.decodeCreate(values)
	}
	decodeEvent, known := eventDecoders[name]
	if !known && name != "kill" {
		return nil, fmt.Errorf("unknown message %q", name)
	}
	target := d.instances[d.currentInstance]
	if target == nil {
		return nil, fmt.Errorf("%s: instance %d doesn't exist", name, d.currentInstance)
	}
	if name == "kill" {
		delete(d.instances, d.currentInstance)
		return &Message{Kill: true}, values.end()
	}
	event := decodeEvent(d, target, values)
	if err := values.end(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if event == nil {
		return nil, nil
	}
	return &Message{Event: event}, nil
}

func (d *Decoder) decodeCreate(values *valueReader) (*Message, error) {
	create := &Create{Seed: values.unsigned()}
	text := values.rest()
	if err := values.end(); err != nil {
		return nil, fmt.Errorf("create: %w", err)
	}
	if d.currentInstance == noInstance {
		return nil, errNoCurrentInstance
	}
	var err error
	if create.Settings, err = DecodeSettings(text); err != nil {
		return nil, fmt.Errorf("create: %w", err)
	}
	d.instances[d.currentInstance] = newInstance(create.Settings)
	return &Message{Create: create}, nil
}

func newInstance(settings routing.Settings) *instance {
	created := &instance{classIndexes: map[string]int{}, tenantIndexes: map[string]int{}}
	for i, class := range settings.Classes {
		created.classIndexes[class.Name] = i
	}
	for i, tenant := range settings.Tenants {
		created.tenantIndexes[tenant.Name] = i
	}
	return created
}
