// The case plays controllers that send many commands at once while the primary hangs.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/review/standin"
)

const (
	memoryMB    = 64      // of 32 to 192
	valueBytes  = 1 << 16 // at most 64 KiB
	controllers = 60
	commands    = 32 // that a controller sends at once: a control-write, then reads
	round       = 2500 * time.Millisecond
	spread      = 1900 * time.Millisecond // the controllers send one after another, over this time of a round
	hostCount   = 5
	lasts       = 25 * time.Second

	hangAt     = 8 * time.Second
	givenUp    = 2300 * time.Millisecond // after 1.7 to 2.9 s the primary is given up
	takeover   = 2600 * time.Millisecond // 1.5 to 3.8 s later a replica takes over
	hangEnd    = 20 * time.Second
	mayBeOld   = 3 * time.Second        // a sensor-view's data may be 3 s old
	grace      = 500 * time.Millisecond // up to half a second after its time an answer only earns nothing
	allPatient = 2 * time.Second        // the longest time of a command in a pipeline
)

// group is the state of the hosts' group.
type group struct {
	hosts []*standin.Host
	still atomic.Pointer[time.Time] // while there is no primary, the time at which all positions stand still
}

// platform acts for the platform: it kills a gateway that needs more than its memory.
type platform struct {
	peakKB int
	killed atomic.Bool
}

// tally counts the outcomes of the commands.
type tally struct {
	mutex  sync.Mutex
	counts map[string]int
	lost   int
}

func main() { standin.Main(play) }

func play(c *standin.Case) (bool, error) {
	g := newGroup(c)
	if err := c.Begin(g.hosts, memoryMB, standin.RagusaSettings()); err != nil {
		return false, err
	}
	p, t := &platform{}, &tally{counts: map[string]int{}}
	go p.watch(c)
	if c.Trouble {
		go g.hang(c)
	}
	var open sync.WaitGroup
	for n := 0; c.Since() < lasts && c.Gateway.Running(); n++ {
		for k := range controllers {
			at := time.Duration(n)*round + time.Duration(k)*spread/controllers
			open.Go(func() {
				c.WaitUntil(at)
				if c.Gateway.Running() {
					t.pipeline(c, n, k)
				}
			})
		}
		c.WaitUntil(time.Duration(n+1) * round)
	}
	open.Wait()
	c.Summary("commands: %v; lost %d; private memory at most %d MB of %d MB", t.counts, t.lost, p.peakKB>>10, memoryMB)
	if p.killed.Load() {
		c.Summary("the gateway needed more than its memory and was killed")
	}
	return p.killed.Load() || !c.Gateway.Running() || t.lost > 0, nil
}

func newGroup(c *standin.Case) *group {
	g := &group{}
	value := make([]byte, valueBytes)
	position := func(at time.Time) time.Time {
		if still := g.still.Load(); still != nil {
			return *still
		}
		return at
	}
	for i := range hostCount {
		host := &standin.Host{ID: fmt.Sprintf("s-%d", i+1), Zone: "vittoria", Group: 11}
		host.Behaviour = standin.Behaviour{
			GreetAfter:     func() time.Duration { return 3 * time.Millisecond },
			Work:           func(standin.Statement) time.Duration { return 10 * time.Millisecond },
			Value:          func(standin.Statement) []byte { return value },
			Position:       position,
			StampedAnswers: true,
			TooFarBehind:   func(standin.Statement) bool { return time.Since(position(time.Now())) > mayBeOld },
			Arrived:        func(standin.Statement, time.Time) {},
			Ran:            func(s standin.Statement) { c.Printf("%s ran at %s", s.ID, s.Host.ID) },
		}
		host.SetPrimary(i == 0)
		g.hosts = append(g.hosts, host)
	}
	return g
}

// hang makes the primary hang, lets the first replica take over, and ends the hang of the old one, which is then a replica.
func (g *group) hang(c *standin.Case) {
	c.WaitUntil(hangAt)
	now := time.Now()
	g.still.Store(&now)
	g.hosts[0].Hang()
	c.Printf("the primary %s hangs", g.hosts[0].ID)
	c.WaitUntil(hangAt + givenUp)
	g.hosts[0].SetPrimary(false)
	c.WaitUntil(hangAt + givenUp + takeover)
	g.hosts[1].SetPrimary(true)
	g.still.Store(nil)
	c.Printf("%s takes over", g.hosts[1].ID)
	c.WaitUntil(hangEnd)
	g.hosts[0].Resume()
	c.Printf("%s is back as a replica", g.hosts[0].ID)
}

// watch measures the gateway's private memory, without the pages of its program file, and kills it above its limit.
func (p *platform) watch(c *standin.Case) {
	noted := 0
	for c.Gateway.Running() {
		usedKB := c.Gateway.MemoryKB("RssAnon")
		p.peakKB = max(p.peakKB, usedKB)
		if usedKB > noted+4<<10 {
			noted = usedKB
			c.Printf("private memory %d MB, all %d MB", usedKB>>10, c.Gateway.MemoryKB("VmRSS")>>10)
		}
		if usedKB > memoryMB<<10 {
			p.killed.Store(true)
			c.Printf("over %d MB: killed", memoryMB)
			_ = c.Gateway.Command.Process.Kill()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// pipeline sends the commands of a controller at once on a new connection and reads the answers as they come.
func (t *tally) pipeline(c *standin.Case, n, k int) {
	client, err := standin.Connect(c.Gateway.Address)
	if err != nil {
		c.Printf("controller %d could not connect: %v", k, err)
		return
	}
	defer client.Close()
	id := func(i int) string { return fmt.Sprintf("r%d-%d-%d", n, k, i) }
	out := pg.AppendStrings(nil, pg.MsgQuery, fmt.Sprintf(
		`INSERT INTO records (k, v) VALUES ('w%d', '\x9f03') RETURNING v /* id=%s,c=control-write,t=ipparina,d=2000,k=%s,cluster=11 */`,
		k, id(0), id(0)))
	for i := 1; i < commands; i++ {
		out = pg.AppendStrings(out, pg.MsgQuery, fmt.Sprintf(
			"SELECT v FROM records WHERE k = 'q%d-%d' /* id=%s,c=sensor-view,t=ipparina,d=1000,cluster=11 */", k, i, id(i)))
	}
	if err := client.Send(out); err != nil {
		c.Printf("controller %d could not send: %v", k, err)
		return
	}
	sent := time.Now()
	c.Printf("controller %d sent %s to %s", k, id(0), id(commands-1))
	for i := range commands {
		answer, err := client.Receive(sent.Add(allPatient + grace + time.Second))
		if err != nil {
			c.Printf("%s to %s LOST: %v", id(i), id(commands-1), err)
			t.count("lost", commands-i)
			return
		}
		c.Printf("%s %s %s after %d ms", id(i), answer.Outcome(), answer.SQLState, time.Since(sent).Milliseconds())
		t.count(answer.Outcome(), 1)
	}
}

func (t *tally) count(outcome string, commands int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts[outcome] += commands
	if outcome == "lost" {
		t.lost += commands
	}
}
