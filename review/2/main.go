// Command 2 is a case of the review: bad clients send hundreds of commands at once. It plays the platform's part, which ends a
// gateway that holds more memory than its limit.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"merlinjunction/review/standin"
)

const (
	memoryMB      = 192 // the pages: at most 192 on scored days
	watchInterval = 20 * time.Millisecond

	badClients  = 40
	badCommands = 200 // of each, sent at once
	badFrom     = 3 * time.Second
	badPatience = 6 * time.Second

	usualClients = 20
	usualPeriod  = 250 * time.Millisecond // of each client: 80 requests a second
	length       = 12 * time.Second
	valueSize    = 64 << 10 // the pages: values of at most 64 KiB
	readLimit    = time.Second
	writeLimit   = 2 * time.Second
	grace        = 550 * time.Millisecond // half a second, and the slack of each time limit
)

func main() { standin.Main(play) }

// run holds the counts of a run.
type run struct {
	*standin.Case
	badAnswers, asked, unanswered atomic.Int64

	peakKB int  // of the gateway's anonymous memory
	killed bool // the gateway was over its limit
}

func play(c *standin.Case) (bool, error) {
	r := &run{Case: c}
	var hosts []*standin.Host
	for i := range 4 {
		host := &standin.Host{ID: fmt.Sprintf("s-%d", i), Zone: "vittoria", Group: 1}
		host.Behaviour = standin.Plain(c.Record, 45*time.Millisecond)
		host.SetPrimary(i == 0)
		hosts = append(hosts, host)
	}
	if err := c.Begin(hosts, memoryMB, standin.RagusaSettings()); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var watching, asking sync.WaitGroup
	watching.Go(func() { r.watchMemory(done) })
	for i := range usualClients {
		asking.Go(func() { r.usual(i) })
	}
	if c.Trouble {
		for i := range badClients {
			asking.Go(func() { r.bad(i) })
		}
	}
	asking.Wait()
	close(done)
	watching.Wait()
	c.Summary("memory: at most %d KB, the limit is %d KB; over it: %v; %d commands of bad clients answered; %d of %d requests of "+
		"usual clients unanswered", r.peakKB, memoryMB<<10, r.killed, r.badAnswers.Load(), r.unanswered.Load(), r.asked.Load())
	return r.killed, nil
}

// watchMemory does what the platform does: over memory_mb the gateway is killed. It counts the gateway's anonymous memory only,
// without its program file and its socket buffers.
func (r *run) watchMemory(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(watchInterval):
		}
		usedKB := r.Gateway.MemoryKB("RssAnon")
		if usedKB > r.peakKB {
			r.peakKB = usedKB
			r.Printf("the gateway holds %d KB", usedKB)
		}
		if usedKB > memoryMB<<10 {
			r.killed = true
			r.Printf("over the limit of %d MB: the platform kills the gateway", memoryMB)
			r.Gateway.Kill()
			return
		}
	}
}

// bad sends many writes at once, reads all answers, and leaves.
func (r *run) bad(i int) {
	r.WaitUntil(badFrom)
	client, err := standin.Connect(r.Gateway.Address)
	if err != nil {
		r.Printf("bad %d: connect: %v", i, err)
		return
	}
	defer client.Close()
	r.Printf("bad %d: sends %d writes at once", i, badCommands)
	go func() {
		for n := range badCommands {
			write := standin.Request{
				ID: fmt.Sprintf("b%07x%08x", i, n), Key: fmt.Sprintf("%016x", i), Class: "control-write", Tenant: "ipparina", Group: 1,
				Limit: writeLimit, Write: true, Value: make([]byte, valueSize),
			}
			if client.Send(write.Message()) != nil {
				return
			}
		}
	}()
	for n := range badCommands {
		answer, err := client.Receive(time.Now().Add(badPatience))
		if err != nil {
			r.Printf("bad %d: after %d answers: %v", i, n, err)
			return
		}
		r.badAnswers.Add(1)
		r.Printf("bad %d: answer %d: %s %s", i, n+1, answer.Outcome(), answer.SQLState)
	}
}

// usual sends reads at regular times, each on a new connection.
func (r *run) usual(i int) {
	for n := range int(length / usualPeriod) {
		r.WaitUntil(usualPeriod*time.Duration(n) + usualPeriod*time.Duration(i)/usualClients)
		request := standin.Request{
			ID: fmt.Sprintf("%08x%08x", i, n), Key: fmt.Sprintf("%016x", i), Class: "sensor-view", Tenant: "ipparina", Group: 1,
			Limit: readLimit,
		}
		r.asked.Add(1)
		r.Printf("usual %s: sent", request.ID)
		answer, err := r.ask(request)
		if err != nil {
			r.unanswered.Add(1)
			r.Printf("usual %s: %v", request.ID, err)
			continue
		}
		r.Printf("usual %s: %s %s", request.ID, answer.Outcome(), answer.SQLState)
	}
}

// ask sends one request on a new connection.
func (r *run) ask(request standin.Request) (answer standin.Answer, err error) {
	client, err := standin.Connect(r.Gateway.Address)
	if err != nil {
		return answer, err
	}
	defer client.Close()
	sent := time.Now()
	if err := client.Send(request.Message()); err != nil {
		return answer, err
	}
	return client.Receive(sent.Add(request.Limit + grace))
}
