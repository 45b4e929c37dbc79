// Command simadapter connects package routing to the simulator. It reads batches of events from standard input and writes
// a reply to each batch to standard output. Each instance, which is a simulated gateway, has its own routing.Router.
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

// run reads batches and writes their replies until the input ends. It returns an error when a line can't be decoded, an
// instance can't be created, or a reply can't be written.
func run(in io.Reader, out io.Writer) error {
	decoder := simulator.NewDecoder(in)
	encoder := simulator.NewEncoder(out)
	routers := adapter{encoder: encoder, routers: map[int]*routing.Router{}}
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := routers.process(batch); err != nil {
			return err
		}
		if err := encoder.EndReply(); err != nil {
			return err
		}
	}
}

// adapter holds the routers of all instances. The routers share no state.
type adapter struct {
	encoder *simulator.Encoder
	routers map[int]*routing.Router // by instance
}

// process passes the events of a batch to the routers. The instances are processed in the order in which they first
// appear in the batch.
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
		case message.Kill: // discards the earlier events of the instance in this batch
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

// step runs one step of a router and writes its actions. A panic of the router is written as an internal_error line.
func (a *adapter) step(instance int, router *routing.Router, now time.Duration, events []routing.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			a.encoder.WriteInternalError(instance, fmt.Sprint("panic: ", cause))
		}
	}()
	a.encoder.WriteActions(instance, router.Step(now, events))
}
