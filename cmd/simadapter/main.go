// Command simadapter lets the simulator drive package routing: it reads batches of events from standard input and
// writes a reply to each to standard output, with one routing.Router for each instance.
package main

import (
	"errors"
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

// run answers batches until the input ends. It returns an error when a line can't be decoded, an instance can't be
// created, or a reply can't be written.
func run(in io.Reader, out io.Writer) error {
	decoder := simulator.NewDecoder(in)
	encoder := simulator.NewEncoder(out)
	instances := adapter{encoder: encoder, routers: map[int]*routing.Router{}}
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := instances.process(batch); err != nil {
			return err
		}
		if err := encoder.EndReply(); err != nil {
			return err
		}
	}
}

// adapter holds the routers of this process. They share nothing.
type adapter struct {
	encoder *simulator.Encoder
	routers map[int]*routing.Router // by instance
}

// process gives each instance its events, in the order in which the instances first appear in the batch.
func (a *adapter) process(batch *simulator.Batch) error {
	var order []int
	events := map[int][]routing.Event{}
	for _, message := range batch.Messages {
		instance := message.Instance
		if _, seen := events[instance]; !seen {
			order = append(order, instance)
			events[instance] = nil
		}
		switch {
		case message.Kill: // its earlier events of this batch are void
			delete(a.routers, instance)
			events[instance] = nil
		case message.Create != nil:
			router, err := routing.New(message.Create.Settings, message.Create.Seed)
			if err != nil {
				return fmt.Errorf("instance %d: %w", instance, err)
			}
			a.routers[instance] = router
			events[instance] = nil
		default:
			events[instance] = append(events[instance], message.Event)
		}
	}
	for _, instance := range order {
		if router := a.routers[instance]; router != nil {
			a.step(instance, router, batch.Clock, events[instance])
		}
	}
	return nil
}

// step runs one step of a router and writes its actions. A panic becomes an internal error on the wire.
func (a *adapter) step(instance int, router *routing.Router, now time.Duration, events []routing.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			a.encoder.WriteInternalError(instance, fmt.Sprint("panic: ", cause))
		}
	}()
	a.encoder.WriteActions(instance, router.Step(now, events))
}
