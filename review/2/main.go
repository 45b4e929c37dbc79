// Command 2 is a case of the review: bad clients stop in the middle of a request and stay. It counts the requests of the usual
// clients that the gateway reads and never answers meanwhile.
package main

import (
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/review/standin"
)

const (
	memoryMB = 64 // the pages: 32 to 192

	badClients = 150
	badFrom    = 3 * time.Second

	usualClients = 20
	usualPeriod  = 250 * time.Millisecond // of each client: 80 requests a second
	writeEvery   = 7                      // the account: about 15% of the requests are writes
	valueSize    = 30 << 10               // the pages: values of at most 64 KiB
	length       = 12 * time.Second
	readLimit    = time.Second // the give-up times of the account
	writeLimit   = 2 * time.Second
	grace        = 500*time.Millisecond + 50*time.Millisecond // STANDING, and the slack of each time limit
)

func main() { standin.Main(play) }

// run holds the counts of a run.
type run struct {
	*standin.Case
	asked, lost atomic.Int64
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
	var group sync.WaitGroup
	for i := range usualClients {
		group.Go(func() { r.usual(i) })
	}
	if c.Trouble {
		for i := range badClients {
			group.Go(func() { r.bad(i) })
		}
	}
	group.Wait()
	c.Summary("%d requests of usual clients, %d lost; the gateway runs: %v", r.asked.Load(), r.lost.Load(), c.Gateway.Running())
	return r.lost.Load() > 0, nil
}

// bad sends the first nine tenths of a write, then nothing, and reads until the gateway ends the connection.
func (r *run) bad(i int) {
	r.WaitUntil(badFrom)
	client, err := standin.Connect(r.Gateway.Address)
	if err != nil {
		r.Printf("bad %d: connect: %v", i, err)
		return
	}
	defer client.Close()
	write := standin.Request{
		ID: fmt.Sprintf("b%015x", i), Key: fmt.Sprintf("%016x", i), Class: "control-write", Tenant: "ipparina", Group: 1,
		Limit: writeLimit, Write: true, Value: make([]byte, 64<<10),
	}
	message := write.Message()
	if binary.BigEndian.Uint32(message[1:])+1 != uint32(len(message)) || message[0] != pg.MsgQuery {
		panic("not a query message")
	}
	if err := client.Send(message[:len(message)*9/10]); err != nil {
		r.Printf("bad %d: send: %v", i, err)
		return
	}
	began := time.Now()
	answer, err := client.Receive(began.Add(10 * time.Second))
	r.Printf("bad %d: error %q, %v after %d ms", i, answer.SQLState, err, time.Since(began).Milliseconds())
}

// usual sends requests at regular times, one after the other, and keeps its connection.
func (r *run) usual(i int) {
	var client *standin.Client
	for n := range int(length / usualPeriod) {
		r.WaitUntil(usualPeriod*time.Duration(n) + usualPeriod*time.Duration(i)/usualClients)
		request := standin.Request{
			ID: fmt.Sprintf("%08x%08x", i, n), Key: fmt.Sprintf("%016x", i), Class: "sensor-view", Tenant: "ipparina", Group: 1,
			Limit: readLimit,
		}
		if (n+i)%writeEvery == 0 {
			request.Class, request.Write, request.Value, request.Limit = "control-write", true, make([]byte, valueSize), writeLimit
		}
		r.asked.Add(1)
		client = r.ask(client, request)
	}
}

// ask sends a request on a client's connection, or on a new one if there is none, and returns the connection if it is still
// open. If the connection ends without an answer, that may have crossed the request, so the client sends it once more on a
// new connection. The request is lost if that one is closed too, although it was open when the last byte had been written.
func (r *run) ask(client *standin.Client, request standin.Request) *standin.Client {
	for try := 1; try <= 2; try++ {
		fresh := client == nil
		if fresh {
			var err error
			if client, err = standin.Connect(r.Gateway.Address); err != nil {
				r.Printf("usual %s %s: try %d, connect: %v", request.Class, request.ID, try, err)
				return nil
			}
		}
		sent := time.Now()
		err := client.Send(request.Message())
		written := err == nil && client.Open()
		var answer standin.Answer
		if err == nil {
			answer, err = client.Receive(sent.Add(request.Limit + grace))
		}
		took := time.Since(sent).Milliseconds()
		if err == nil {
			r.Printf("usual %s %s: try %d, %s %s after %d ms", request.Class, request.ID, try, answer.Outcome(), answer.SQLState, took)
			return client
		}
		r.Printf("usual %s %s: try %d, new connection: %v, open when all was written: %v, then %v after %d ms", request.Class,
			request.ID, try, fresh, written, err, took)
		client.Close()
		client = nil
		if fresh && written {
			r.lost.Add(1)
			return nil
		}
	}
	return nil
}
