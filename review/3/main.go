// Command 3 is a case of the review: clients send two reads at once on one connection, both values are large, and the database
// hosts write in small pieces. It counts the requests whose connection the gateway ends while the hosts still give the values.
package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"merlinjunction/review/standin"
)

const (
	memoryMB  = 192
	clients   = 4
	firstSize = 4 << 20   // the page: values run up to 4 MiB
	nextSize  = 100 << 10 // above 64 KiB
	pieceSize = 16 << 10
	pause     = 35 * time.Millisecond // after each piece: the first value takes about 9 s, the second 0.2 s
	limit     = time.Second           // the give-up time of the class; an answer that has begun has none
	patience  = 30 * time.Second
)

func main() { standin.Main(play) }

// run holds the counts of a run.
type run struct {
	*standin.Case
	asked, lost atomic.Int64
	sizes       map[string]int // of the values, by request ID
}

func play(c *standin.Case) (bool, error) {
	r := &run{Case: c, sizes: map[string]int{}}
	for i := range clients {
		r.sizes[requestID(i, 0)], r.sizes[requestID(i, 1)] = firstSize, nextSize
	}
	var hosts []*standin.Host
	for i := range 4 {
		host := &standin.Host{ID: fmt.Sprintf("s-%d", i), Zone: "vittoria", Group: 1}
		host.Behaviour = standin.Plain(c.Record, 45*time.Millisecond)
		host.Value = r.value
		if c.Trouble {
			host.Pieces = func(standin.Statement) (int, time.Duration) { return pieceSize, pause }
		}
		host.SetPrimary(i == 0)
		hosts = append(hosts, host)
	}
	if err := c.Begin(hosts, memoryMB, standin.RagusaSettings()); err != nil {
		return false, err
	}
	var asking sync.WaitGroup
	for i := range clients {
		asking.Go(func() { r.pipeline(i) })
	}
	asking.Wait()
	c.Summary("%d requests, %d lost", r.asked.Load(), r.lost.Load())
	return r.lost.Load() > 0, nil
}

func requestID(client, n int) string { return fmt.Sprintf("%08x%08x", client, n) }

// value returns the value of a request, which consists of its ID.
func (r *run) value(s standin.Statement) []byte {
	return bytes.Repeat([]byte(s.ID), r.sizes[s.ID]/len(s.ID))
}

// pipeline sends two reads at once and reads the answers as they come.
func (r *run) pipeline(i int) {
	r.WaitUntil(time.Duration(i) * time.Second)
	client, err := standin.Connect(r.Gateway.Address)
	if err != nil {
		r.Printf("client %d: connect: %v", i, err)
		return
	}
	defer client.Close()
	var messages []byte
	for n := range 2 {
		request := standin.Request{
			ID: requestID(i, n), Key: fmt.Sprintf("%016x", 2*i+n), Class: "sensor-view", Tenant: "ipparina", Group: 1, Limit: limit,
		}
		messages = append(messages, request.Message()...)
	}
	sent := time.Now()
	if err := client.Send(messages); err != nil {
		r.Printf("client %d: send: %v", i, err)
		return
	}
	for n := range 2 {
		r.asked.Add(1)
		id := requestID(i, n)
		answer, err := client.Receive(sent.Add(patience))
		took := time.Since(sent).Milliseconds()
		if err != nil {
			r.lost.Add(1)
			r.Printf("%s: no whole answer, %v after %d ms", id, err, took)
			continue
		}
		right := bytes.Equal(answer.Value, r.value(standin.Statement{ID: id}))
		r.Printf("%s: %s %s, the right value: %v, after %d ms", id, answer.Outcome(), answer.SQLState, right, took)
	}
}
