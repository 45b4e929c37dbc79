package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The classes of the late-role case, with the times of the deployment palermo-readings.
var lateRoleClasses = []class{
	{name: "area-summary", need: "any", effect: "read_like", aimMs: 300, deadlineMs: 1000, worth: 2},
	{name: "fault-status", need: "fresh", effect: "read_like", aimMs: 400, deadlineMs: 1000, worth: 2},
	{name: "reading-save", need: "write", effect: "idempotency_key", aimMs: 750, deadlineMs: 3000, worth: 6, lateWorth: 0.3},
}

// Times of the late-role case, in seconds after the gateway is ready.
const (
	lagFrom, lagUntil   = 6.0, 26.0 // the replicas apply the log slowly
	bigReadsAt          = 8.0       // clients that read slowly ask for a big value
	hangFrom, hangUntil = 8.6, 11.4 // the primary hangs
	givenUpAfter        = 1.1       // the group gives the primary up
	electedAfter        = 1.5       // and a replica takes over so long after that
	lateRoleEnd         = 38.0
	slowReaders         = 16
)

// slackMs is how much longer each time limit is on sockets.
const slackMs = 50.0

// ledger holds the last version of each key whose write was answered as served.
type ledger struct {
	mutex sync.Mutex
	acked map[string][]ackedWrite
	reads []freshRead
}

type ackedWrite struct {
	version int
	atMs    float64
}

// freshRead is a read that had to see all that was committed before it.
type freshRead struct {
	id, key          string
	version, atLeast int
	sentMs           float64
}

// acknowledge notes a write that was answered as served.
func (l *ledger) acknowledge(key string, version int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.acked[key] = append(l.acked[key], ackedWrite{version, nowMs()})
}

// mustSee returns the version of a key that a read sent now must see, or 0.
func (l *ledger) mustSee(key string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	version, now := 0, nowMs()
	for _, w := range l.acked[key] {
		if w.atMs <= now-slackMs {
			version = max(version, w.version)
		}
	}
	return version
}

// lateRole lets the primary hang after it has written large answers that clients read slowly. It is replaced, and comes
// back as a replica. When the rest of such an answer is read, the gateway must not take the host for the primary again.
func lateRole(p *player) ([]string, error) {
	group := newCluster(3)
	hosts, err := startHosts(p.record, group, 4)
	if err != nil {
		return nil, err
	}
	for i := range slowReaders {
		group.log = append(group.log, commit{key: bigKey(i), value: "x"})
	}
	for i, h := range hosts {
		h.quiet = i > 0
	}
	lists, err := startDiscovery(p.record, hosts)
	if err != nil {
		return nil, err
	}
	g, err := p.startGateway(platformConfig(lists.address, settings(lateRoleClasses, "automatic")))
	if err != nil {
		return nil, err
	}
	l := &ledger{acked: map[string][]ackedWrite{}}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i := range 2 {
		load.Go(func() { l.writes(p, g, i, stop) })
	}
	for i := range 3 {
		load.Go(func() { l.freshReads(p, g, i, stop) })
	}
	for range 2 {
		load.Go(func() { anyReads(g, stop) })
	}
	for i := range slowReaders {
		load.Go(func() { slowRead(p, g, i, stop) })
	}
	p.scheduleHang(group, hosts)
	time.Sleep(seconds(hangFrom - 0.1))
	written := hosts[0].bigAnswerCount()
	time.Sleep(seconds(lateRoleEnd - hangFrom + 0.1))
	close(stop)
	endGateways()
	load.Wait()
	if written < slowReaders/2 || len(l.reads) < 100 {
		return nil, fmt.Errorf("%w: %d large answers were written before the hang, %d reads were served",
			errSetup, written, len(l.reads))
	}
	return l.stale(p, hosts), nil
}

// startHosts starts the hosts of a group; the first one is the primary.
func startHosts(rec *record, group *cluster, count int) ([]*host, error) {
	var hosts []*host
	for i := range count {
		prefix := "s"
		if group.cell != 3 {
			prefix = "t"
		}
		h, err := startHost(rec, fmt.Sprintf("%s-%c", prefix, 'a'+i), group)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	group.leader = hosts[0]
	return hosts, nil
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// scheduleHang plays the disruption: the primary hangs while the replicas apply the log slowly. Without it only the
// replicas are slow.
func (p *player) scheduleHang(group *cluster, hosts []*host) {
	at := func(s float64, what string, act func()) {
		time.AfterFunc(seconds(s), func() {
			p.record.printf("%s", what)
			act()
		})
	}
	var goOn func()
	at(lagFrom, "replicas apply the log slowly from now on", func() { group.setApplyRate(0.5) })
	at(lagUntil, "replicas apply the log as usual from now on", func() { group.setApplyRate(2) })
	if !p.trouble {
		return
	}
	at(hangFrom, "the primary hangs; the group takes no writes", func() {
		goOn = hosts[0].hang()
		group.setLeader(nil)
	})
	at(hangFrom+givenUpAfter+electedAfter, "the first replica takes over", func() { group.setLeader(hosts[1]) })
	at(hangUntil, "the former primary goes on, as a replica", func() { goOn() })
}

// repeat calls act on a connection at an interval until stop is closed, and connects again after an error.
func repeat(g *gateway, interval time.Duration, stop <-chan struct{}, act func(c *client) error) {
	var c *client
	for {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(interval):
		}
		if c == nil {
			var err error
			if c, err = dialClient(g.listen, 0); err != nil {
				continue
			}
		}
		if err := act(c); err != nil {
			c.close()
			c = nil
		}
	}
}

// writes writes new versions of one key.
func (l *ledger) writes(p *player, g *gateway, writer int, stop <-chan struct{}) {
	key, version := fmt.Sprintf("key%d", writer), 0
	repeat(g, 600*time.Millisecond, stop, func(c *client) error {
		version++
		id, text := query("reading-save", key, "v"+strconv.Itoa(version), 3000)
		a, err := c.ask(text, 4*time.Second)
		if err != nil {
			return err
		}
		if a.code == "" {
			l.acknowledge(key, version)
		}
		p.record.printf("client write %s of %s version %d: %s", id, key, version, a.outcome())
		return nil
	})
}

// freshReads reads the keys that are written.
func (l *ledger) freshReads(p *player, g *gateway, reader int, stop <-chan struct{}) {
	key := fmt.Sprintf("key%d", reader%2)
	repeat(g, 130*time.Millisecond, stop, func(c *client) error {
		id, text := query("fault-status", key, "", 1000)
		read := freshRead{id: id, key: key, atLeast: l.mustSee(key), sentMs: nowMs()}
		a, err := c.ask(text, 2*time.Second)
		if err != nil {
			return err
		}
		if a.code != "" {
			return nil
		}
		read.version, _ = strconv.Atoi(strings.TrimPrefix(a.value, "v"))
		p.record.printf("client read %s of %s: version %d, at least %d was committed before it", id, key, read.version, read.atLeast)
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.reads = append(l.reads, read)
		return nil
	})
}

// anyReads reads what any host may answer.
func anyReads(g *gateway, stop <-chan struct{}) {
	repeat(g, 90*time.Millisecond, stop, func(c *client) error {
		_, text := query("area-summary", "key0", "", 1000)
		_, err := c.ask(text, 2*time.Second)
		return err
	})
}

// bigKey returns the key of the big value that a slow client reads. It says how large the value is.
func bigKey(reader int) string { return fmt.Sprintf("big-%d", (680+28*reader)<<10) }

// slowRead reads a big value slowly, some 40 KiB a second.
func slowRead(p *player, g *gateway, reader int, stop <-chan struct{}) {
	select {
	case <-stop:
		return
	case <-time.After(seconds(bigReadsAt)):
	}
	c, err := dialClient(g.listen, 8<<10)
	if err != nil {
		p.record.printf("slow client %d can't connect: %v", reader, err)
		return
	}
	defer c.close()
	c.pause = func(int) { time.Sleep(time.Duration(88+2*reader) * time.Millisecond) }
	id, text := query("fault-status", bigKey(reader), "", 1000)
	a, err := c.ask(text, 80*time.Second)
	p.record.printf("slow client %d has read %s: %d bytes, %s, error %v", reader, id, len(a.value), a.outcome(), err)
}

// stale returns the reads that were answered with older data than their class allows, by a host that had told before that
// it is a replica.
func (l *ledger) stale(p *player, hosts []*host) (violations []string) {
	served := map[string]string{}
	told := map[string]float64{}
	for _, h := range hosts {
		for _, r := range h.runsSince(0) {
			if r.outcome == "served" {
				served[r.id], told[r.id] = h.id, r.toldBeforeMs
			}
		}
	}
	excused := 0
	for _, read := range l.reads {
		if read.version >= read.atLeast {
			continue
		}
		if told[read.id] < 100 {
			excused++
			continue
		}
		violations = append(violations, fmt.Sprintf(
			"read %s sent at %.3f got version %d of %s from host %s, though version %d was answered to its writer before; "+
				"the host had told %.0f ms before that it is a replica", read.id,
			(read.sentMs-float64(started.UnixMicro())/1000)/1000, read.version, read.key, served[read.id], read.atLeast, told[read.id]))
	}
	p.record.printf("%d fresh reads were served, %d stale ones are excused", len(l.reads), excused)
	return violations
}
