// Package simulator reads and writes the simulator's text protocol and turns it into the events and actions of
// package routing. It decides nothing.
package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"merlinjunction/routing"
)

const (
	sheetSlots = 16
	maxLine    = 64 << 20
)

// Batch is what came in at one clock time.
type Batch struct {
	Clock    time.Duration
	Messages []Message
}

// Message is one event for one instance: exactly one of Create, Kill and Event is set.
type Message struct {
	Instance int
	Create   *Create
	Kill     bool
	Event    routing.Event
}

// Create starts an instance.
type Create struct {
	Seed     uint64
	Settings routing.Settings
}

// instance is what the decoder must know of one to read its lines.
type instance struct {
	classes, tenants map[string]int
	epoch            time.Duration
}

// Decoder reads batches. Its sheets belong to the process, not to an instance.
type Decoder struct {
	scan      *bufio.Scanner
	line      int
	sheets    [sheetSlots][]routing.Endpoint
	filled    [sheetSlots]bool
	instances map[int]*instance
	current   int
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 1<<16), maxLine)
	return &Decoder{scan: s, instances: map[int]*instance{}, current: -1}
}

// Next returns the next batch, or io.EOF where the input ends between batches. Any other error names the
// line that could not be read.
func (d *Decoder) Next() (*Batch, error) {
	line, err := d.read()
	if err != nil {
		return nil, err
	}
	f := newFields(line)
	if f.word() != "begin_batch" {
		return nil, d.wrong(errors.New("expected begin_batch"))
	}
	b := &Batch{Clock: f.millis()}
	if err := f.close(); err != nil {
		return nil, d.wrong(err)
	}
	d.current = -1
	for {
		line, err := d.read()
		if err == io.EOF {
			return nil, fmt.Errorf("line %d: the input ends inside a batch", d.line+1)
		}
		if err != nil {
			return nil, err
		}
		if line == "your_turn" {
			return b, nil
		}
		m, err := d.message(newFields(line))
		if err != nil {
			return nil, d.wrong(err)
		}
		if m != nil {
			m.Instance = d.current
			b.Messages = append(b.Messages, *m)
		}
	}
}

func (d *Decoder) read() (string, error) {
	if !d.scan.Scan() {
		if err := d.scan.Err(); err != nil {
			return "", fmt.Errorf("line %d: %w", d.line+1, err)
		}
		return "", io.EOF
	}
	d.line++
	return d.scan.Text(), nil
}

func (d *Decoder) wrong(err error) error { return fmt.Errorf("line %d: %w", d.line, err) }

// message reads one line of a batch; nil where the line is no event.
func (d *Decoder) message(f *fields) (*Message, error) {
	name := f.word()
	switch name {
	case "switch_to":
		d.current = f.integer(0, math.MaxInt32)
		return nil, f.close()
	case "sheet":
		return nil, d.sheet(f)
	case "create":
		return d.create(f)
	}
	read, known := readers[name]
	if !known && name != "kill" {
		return nil, fmt.Errorf("unknown message %q", name)
	}
	in := d.instances[d.current]
	if in == nil {
		return nil, fmt.Errorf("%s: instance %d was not created", name, d.current)
	}
	if name == "kill" {
		delete(d.instances, d.current)
		return &Message{Kill: true}, f.close()
	}
	e := read(d, in, f)
	if err := f.close(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if e == nil {
		return nil, nil
	}
	return &Message{Event: e}, nil
}

func (d *Decoder) create(f *fields) (*Message, error) {
	c := &Create{Seed: f.unsigned()}
	text := f.rest()
	if err := f.close(); err != nil {
		return nil, fmt.Errorf("create: %w", err)
	}
	if d.current < 0 {
		return nil, errors.New("create: no switch_to came before it")
	}
	var err error
	if c.Settings, err = DecodeSettings(text); err != nil {
		return nil, fmt.Errorf("create: %w", err)
	}
	in := &instance{classes: map[string]int{}, tenants: map[string]int{}, epoch: c.Settings.PositionEpoch}
	for i, class := range c.Settings.Classes {
		in.classes[class.Name] = i
	}
	for i, t := range c.Settings.Tenants {
		in.tenants[t.Name] = i
	}
	d.instances[d.current] = in
	return &Message{Create: c}, nil
}

func (d *Decoder) sheet(f *fields) error {
	slot, n := f.integer(0, sheetSlots-1), f.integer(0, math.MaxInt32)
	if err := f.close(); err != nil {
		return fmt.Errorf("sheet: %w", err)
	}
	var members []routing.Endpoint
	for range n {
		line, err := d.read()
		if err == io.EOF {
			return errors.New("sheet: the input ends inside it")
		}
		if err != nil {
			return err
		}
		f := newFields(line)
		if w := f.word(); w != "member" {
			return fmt.Errorf("sheet: expected member, not %q", w)
		}
		m := routing.Endpoint{ID: f.text()}
		m.Zone = f.word()
		f.word() // kind
		m.Primary = f.optional() == "1"
		m.Group = f.integer(0, math.MaxInt32)
		m.State = map[int]routing.EndpointState{0: routing.StateGone, 1: routing.StateReady, 2: routing.StateDraining}[f.integer(0, 2)]
		f.word() // weight
		m.StartedAt = f.millis()
		if err := f.close(); err != nil {
			return fmt.Errorf("member: %w", err)
		}
		members = append(members, m)
	}
	d.sheets[slot], d.filled[slot] = members, true
	return nil
}

// readers has the events that need an instance.
var readers = map[string]func(*Decoder, *instance, *fields) routing.Event{
	"view":                readView,
	"demand":              readDemand,
	"result":              readResult,
	"sampled":             readSampled,
	"first_byte":          readFirstByte,
	"cancelled_by_client": func(_ *Decoder, _ *instance, f *fields) routing.Event { return routing.ClientGone{Request: f.id()} },
	"wake":                readWake,
	"datagram":            readDatagram,
}

func readView(d *Decoder, _ *instance, f *fields) routing.Event {
	f.unsigned()
	slot, scope := f.optional(), f.integer(0, 3)
	if scope == 3 {
		return routing.EndpointUpdate{Failed: true}
	}
	n, err := strconv.Atoi(slot)
	if err != nil || n < 0 || n >= sheetSlots || !d.filled[n] {
		f.fail(fmt.Errorf("sheet %s was never filled", slot))
		return nil
	}
	return routing.EndpointUpdate{Full: scope != 0, Endpoints: d.sheets[n]}
}

func readDemand(_ *Decoder, in *instance, f *fields) routing.Event {
	e := routing.Request{ID: f.id(), Tenant: -1}
	if tenant := f.optional(); tenant != "" && tenant != "0" {
		i, ok := in.tenants[tenant]
		if !ok {
			f.fail(fmt.Errorf("unknown tenant %q", tenant))
		}
		e.Tenant = i
	}
	class := f.text()
	i, ok := in.classes[class]
	if !ok {
		f.fail(fmt.Errorf("unknown class %q", class))
	}
	e.Class = i
	e.Group = f.integer(0, math.MaxInt32)
	f.millis() // the cost hint: decisions take what is observed
	e.SinceLastWrite = f.millis()
	e.Session = f.optional()
	e.TimeLeft = f.millis()
	e.ClientRetry = f.integer(0, math.MaxInt32)&2 != 0
	return e
}

func readResult(_ *Decoder, _ *instance, f *fields) routing.Event {
	e := routing.AttemptResult{Request: f.id(), Attempt: f.integer(0, math.MaxInt32), Host: f.text(), Outcome: f.outcome()}
	f.millis()
	e.RequestDone = f.flag()
	mark := f.number()
	if mark < 0 {
		f.fail(errors.New("a mark below 0"))
		return nil
	}
	n := int64(mark)
	e.Role, e.Position = role(n%4), time.Duration(n/4)*time.Millisecond
	f.report()
	return e
}

func readSampled(_ *Decoder, _ *instance, f *fields) routing.Event {
	f.millis()
	e := routing.HealthCheckResult{Host: f.text(), Outcome: f.outcome()}
	report := f.report()
	if x, ok := report["x0"]; ok {
		e.Position = max(0, time.Duration(math.Floor(x*1e6))*time.Microsecond)
	}
	if x, ok := report["x1"]; ok {
		e.Role = routing.RoleReplica
		if x == 1 {
			e.Role = routing.RolePrimary
		}
	}
	return e
}

func readFirstByte(_ *Decoder, _ *instance, f *fields) routing.Event {
	e := routing.StreamStarted{Request: f.id()}
	f.millis()
	f.text()
	f.integer(0, math.MaxInt32)
	return e
}

func readWake(_ *Decoder, _ *instance, f *fields) routing.Event {
	f.unsigned()
	return routing.TimerFired{}
}

// readDatagram skips a peer's message: the module sends none and listens to none.
func readDatagram(_ *Decoder, _ *instance, f *fields) routing.Event {
	f.unsigned()
	f.optional()
	return nil
}

func role(n int64) routing.Role {
	switch n {
	case 1:
		return routing.RolePrimary
	case 2:
		return routing.RoleReplica
	}
	return routing.RoleUnknown
}

var outcomes = map[string]routing.Outcome{
	"200": routing.OutcomeOK, "204": routing.OutcomeMisdirected, "429": routing.OutcomeRejected, "521": routing.OutcomeNoConnection, "409": routing.OutcomeNotSent,
	"502": routing.OutcomeError, "408": routing.OutcomeTimeout, "520": routing.OutcomeConnectionLost, "444": routing.OutcomeCancelled,
}

// fields takes a line apart, value by value, and keeps the first thing that was wrong with it.
type fields struct {
	left string
	more bool
	err  error
}

func newFields(line string) *fields { return &fields{left: line, more: true} }

func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// close reports the first fault of the line, or that something is left of it.
func (f *fields) close() error {
	if f.err == nil && f.more {
		f.err = fmt.Errorf("too many values: %q is left", f.left)
	}
	return f.err
}

func (f *fields) word() string {
	if !f.more {
		f.fail(errors.New("too few values"))
		return ""
	}
	var w string
	w, f.left, f.more = strings.Cut(f.left, " ")
	return w
}

func (f *fields) rest() string {
	if !f.more {
		f.fail(errors.New("too few values"))
	}
	f.more = false
	return f.left
}

// optional returns a value, "" where it is absent.
func (f *fields) optional() string {
	if w := f.word(); w != "-" {
		return w
	}
	return ""
}

func (f *fields) text() string {
	w := f.optional()
	if w == "" {
		f.fail(errors.New("a value is absent"))
	}
	return w
}

// number reads a finite number, 0 where it is absent.
func (f *fields) number() float64 {
	w := f.optional()
	if w == "" {
		return 0
	}
	x, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) >= 1<<62 {
		f.fail(fmt.Errorf("%q is not a number in range", w))
		return 0
	}
	return x
}

func (f *fields) millis() time.Duration {
	x := f.number()
	if math.Abs(x) > 1e12 {
		f.fail(fmt.Errorf("%v ms is out of range", x))
		return 0
	}
	return time.Duration(math.Round(x*1000)) * time.Microsecond
}

func (f *fields) integer(least, most int) int {
	w := f.word()
	n, err := strconv.Atoi(w)
	if err != nil || n < least || n > most {
		f.fail(fmt.Errorf("%q is not a whole number from %d to %d", w, least, most))
		return least
	}
	return n
}

func (f *fields) unsigned() uint64 {
	w := f.word()
	n, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%q is not a whole number", w))
	}
	return n
}

func (f *fields) id() uint64 {
	n := f.unsigned()
	if n >= 1<<52 {
		f.fail(fmt.Errorf("request id %d is out of range", n))
	}
	return n
}

func (f *fields) flag() bool { return f.integer(0, 1) == 1 }

func (f *fields) outcome() routing.Outcome {
	w := f.word()
	o, ok := outcomes[w]
	if !ok {
		f.fail(fmt.Errorf("unknown outcome %q", w))
	}
	return o
}

// report reads name:value pairs set apart by commas.
func (f *fields) report() map[string]float64 {
	w := f.optional()
	if w == "" {
		return nil
	}
	values := map[string]float64{}
	for pair := range strings.SplitSeq(w, ",") {
		name, text, ok := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || math.IsNaN(x) || math.Abs(x) > 1e12 {
			f.fail(fmt.Errorf("report value %q can't be read", pair))
			return nil
		}
		values[name] = x
	}
	return values
}
