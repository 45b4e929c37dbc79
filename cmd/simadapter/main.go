// Command simadapter lets the bench drive the decision module: batches on standard input, a reply to each on
// standard output, one routing.Router for each instance.
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"merlinjunction/internal/protocol/simulator"
	"merlinjunction/routing"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	d, e := simulator.NewDecoder(in), simulator.NewEncoder(out)
	l := link{enc: e, routers: map[int]*routing.Router{}}
	for {
		b, err := d.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := l.batch(b); err != nil {
			return err
		}
		if err := e.Flush(); err != nil {
			return err
		}
	}
}

// link holds the Routers of this process; they share nothing.
type link struct {
	enc     *simulator.Encoder
	routers map[int]*routing.Router
}

// batch gives each instance its events, in the order in which the instances first appear.
func (l *link) batch(b *simulator.Batch) error {
	var order []int
	events := map[int][]routing.Event{}
	for _, m := range b.Messages {
		if _, seen := events[m.Instance]; !seen {
			order = append(order, m.Instance)
			events[m.Instance] = nil
		}
		switch {
		case m.Kill: // what it was told in this batch dies with it
			delete(l.routers, m.Instance)
			events[m.Instance] = nil
		case m.Create != nil:
			r, err := routing.New(m.Create.Settings, m.Create.Seed)
			if err != nil {
				return fmt.Errorf("instance %d: %w", m.Instance, err)
			}
			l.routers[m.Instance] = r
			events[m.Instance] = nil
		default:
			events[m.Instance] = append(events[m.Instance], m.Event)
		}
	}
	for _, i := range order {
		if r := l.routers[i]; r != nil {
			l.step(i, r, b.Clock, events[i])
		}
	}
	return nil
}

// step turns a panic of the module into its text on the wire.
func (l *link) step(instance int, r *routing.Router, now time.Duration, events []routing.Event) {
	defer func() {
		if p := recover(); p != nil {
			l.enc.InternalError(instance, fmt.Sprint("panic: ", p))
		}
	}()
	l.enc.Actions(instance, r.Step(now, events))
}
