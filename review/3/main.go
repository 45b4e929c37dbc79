// Command 3 is a case of the review: replicas lag, and connections to database hosts come up late. It compares the age of the
// data behind each bounded read, at the time of its send, with the bound of its class.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"merlinjunction/review/standin"
)

const (
	memoryMB = 192
	groups   = 3
	members  = 4 // a primary and its replicas

	length    = 30 * time.Second
	lagFrom   = 5 * time.Second
	lagLength = 20 * time.Second // the account: 10 to 21 s
	lagFactor = 4                // the account: 3.3 to 20 times as slow
	lateEvery = 3                // STANDING: a third of the connections
	lateBy    = 235 * time.Millisecond

	readPeriod  = 45 * time.Millisecond  // mean, of each group
	writePeriod = 650 * time.Millisecond // mean, of each group
	shipTime    = 10 * time.Millisecond
	applyTime   = 100 * time.Millisecond // of one write: the thread of a replica is busy for 15% of the time
	workTime    = 50 * time.Millisecond

	bound = 200 * time.Millisecond // of the class yield-chart
	slack = 50 * time.Millisecond  // the protocol page: each time limit is 50 ms longer
)

func main() { standin.Main(play) }

// run holds the counts of a run.
type run struct {
	*standin.Case
	connections, late, reads, stale atomic.Int64

	mutex sync.Mutex
	ages  map[string]time.Duration // of the data when a read arrived, by its ID
}

// group is the log of a group: the times of its commits.
type group struct {
	mutex   sync.Mutex
	commits []time.Time
}

func (g *group) commit(at time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.commits = append(g.commits, at)
}

// replica applies the log of its group with one thread.
type replica struct {
	group   *group
	applied int // number of commits, guarded by group.mutex
}

// next returns the time of the first commit that the replica has not applied.
func (r *replica) next() (at time.Time, found bool) {
	r.group.mutex.Lock()
	defer r.group.mutex.Unlock()
	if r.applied < len(r.group.commits) {
		return r.group.commits[r.applied], true
	}
	return at, false
}

// apply applies the log until the program ends.
func (r *replica) apply(c *run) {
	for {
		at, found := r.next()
		if !found {
			time.Sleep(time.Millisecond)
			continue
		}
		time.Sleep(time.Until(at.Add(shipTime)))
		cost := applyTime
		if since := c.Since(); c.Trouble && since > lagFrom && since < lagFrom+lagLength {
			cost *= lagFactor
		}
		time.Sleep(cost)
		r.group.mutex.Lock()
		r.applied++
		r.group.mutex.Unlock()
	}
}

// position returns the time up to which the replica has applied all commits.
func (r *replica) position(now time.Time) time.Time {
	if at, found := r.next(); found && at.Before(now.Add(-shipTime)) {
		return at.Add(-time.Millisecond)
	}
	return now.Add(-shipTime)
}

func play(c *standin.Case) (bool, error) {
	r := &run{Case: c, ages: map[string]time.Duration{}}
	var hosts []*standin.Host
	var replicas []*replica
	for number := 1; number <= groups; number++ {
		g := &group{}
		for member := range members {
			host := &standin.Host{
				ID: fmt.Sprintf("s-%d%d", number, member), Zone: []string{"palermo-nord", "palermo-porto", "monreale"}[member%3],
				Group: number, Behaviour: r.behaviour(g),
			}
			if member > 0 {
				follower := &replica{group: g}
				host.Position = follower.position
				replicas = append(replicas, follower)
			}
			host.SetPrimary(member == 0)
			hosts = append(hosts, host)
		}
	}
	if err := c.Begin(hosts, memoryMB, standin.PalermoSettings()); err != nil {
		return false, err
	}
	for _, follower := range replicas {
		go follower.apply(r)
	}
	var asking sync.WaitGroup
	for number := 1; number <= groups; number++ {
		asking.Go(func() { r.ask(number, false, readPeriod) })
		asking.Go(func() { r.ask(number, true, writePeriod) })
	}
	asking.Wait()
	c.Summary("%d connections to hosts, %d of them late; %d bounded reads run, %d of them on data too old", r.connections.Load(),
		r.late.Load(), r.reads.Load(), r.stale.Load())
	return r.stale.Load() > 0, nil
}

// behaviour returns the behaviour of a primary. A read sees the data that its host has when it arrives.
func (r *run) behaviour(g *group) standin.Behaviour {
	behaviour := standin.Plain(r.Record, workTime)
	behaviour.CloseAfter = true // the protocol page: after anything else, a database host may close
	behaviour.GreetAfter = func() time.Duration {
		if n := r.connections.Add(1); r.Trouble && n%lateEvery == 0 {
			r.late.Add(1)
			return lateBy
		}
		return 5 * time.Millisecond
	}
	behaviour.Arrived = func(s standin.Statement, position time.Time) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.ages[s.ID] = time.Since(position)
	}
	behaviour.Ran = func(s standin.Statement) {
		if s.Write {
			g.commit(time.Now())
			r.Printf("committed %s on %s", s.ID, s.Host.ID)
			return
		}
		r.mutex.Lock()
		age := r.ages[s.ID]
		r.mutex.Unlock()
		r.reads.Add(1)
		verdict := "in time"
		if age > bound+slack {
			r.stale.Add(1)
			verdict = "TOO OLD"
		}
		r.Printf("ran %s on %s: data %d ms old when sent, %s", s.ID, s.Host.ID, age.Milliseconds(), verdict)
	}
	return behaviour
}

// ask sends requests of one group at random times, each on a connection that no other request uses.
func (r *run) ask(number int, write bool, period time.Duration) {
	rng := rand.New(rand.NewPCG(uint64(number), uint64(period)))
	free := make(chan *standin.Client, 1000)
	var asking sync.WaitGroup
	for n, at := 0, time.Duration(0); at < length; n++ {
		r.WaitUntil(at)
		at += time.Duration(rng.ExpFloat64() * float64(period))
		request := standin.Request{
			ID: fmt.Sprintf("%08x%08x", number, n), Key: fmt.Sprintf("%016x", n), Class: "yield-chart", Group: number,
			Limit: 750 * time.Millisecond,
		}
		if write {
			request.ID = "f" + request.ID[1:]
			request.Class, request.Write, request.Value, request.Limit = "reading-save", true, []byte{0}, 3*time.Second
		}
		asking.Go(func() { r.askOne(free, request) })
	}
	asking.Wait()
}

// askOne sends one request and returns its connection to the free ones.
func (r *run) askOne(free chan *standin.Client, request standin.Request) {
	var client *standin.Client
	select {
	case client = <-free:
	default:
		var err error
		if client, err = standin.Connect(r.Gateway.Address); err != nil {
			r.Printf("%s %s: connect: %v", request.Class, request.ID, err)
			return
		}
	}
	r.Printf("%s %s: sent", request.Class, request.ID)
	if err := client.Send(request.Message()); err != nil {
		r.Printf("%s %s: send: %v", request.Class, request.ID, err)
		client.Close()
		return
	}
	answer, err := client.Receive(time.Now().Add(request.Limit + time.Second))
	if err != nil {
		r.Printf("%s %s: %v", request.Class, request.ID, err)
		client.Close()
		return
	}
	r.Printf("%s %s: %s %s", request.Class, request.ID, answer.Outcome(), answer.SQLState)
	free <- client
}
