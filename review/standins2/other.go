package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The classes of the other cases, with the times of the deployment ragusa-serre.
var commonClasses = []class{
	{name: "sensor-view", need: "any", effect: "read_like", aimMs: 250, deadlineMs: 1000, worth: 1},
	{name: "control-write", need: "write", effect: "idempotency_key", aimMs: 600, deadlineMs: 2000, worth: 6, lateWorth: 0.3},
}

// deployment is what the cases have in common: a group of hosts, discovery and, once started, a gateway.
type deployment struct {
	*player
	hosts []*host
	lists *discovery
	stop  chan struct{}
	load  sync.WaitGroup
}

func (p *player) deploy() (*deployment, error) {
	hosts, err := startHosts(p.record, newCluster(3), 4)
	if err != nil {
		return nil, err
	}
	lists, err := startDiscovery(p.record, hosts)
	return &deployment{player: p, hosts: hosts, lists: lists, stop: make(chan struct{})}, err
}

// end stops the load and the gateways.
func (d *deployment) end() {
	close(d.stop)
	endGateways()
	d.load.Wait()
}

// at waits until some seconds after a time.
func at(startMs, s float64) {
	time.Sleep(time.Duration((startMs + s*1000 - nowMs()) * float64(time.Millisecond)))
}

// sentAfter returns a violation for each statement that reached a host later than a time.
func sentAfter(h *host, ms float64, what string) (violations []string) {
	for _, r := range h.runsSince(ms) {
		violations = append(violations, fmt.Sprintf("host %s got %s of key %s %.0f ms after %s", h.id, r.class, r.key, r.atMs-ms, what))
	}
	return violations
}

// operatorFile is an operator's file with hosts and discovery. Its statements carry no comment.
const operatorFile = `name = "serre-1"
listen = "LISTEN"
discovery = "DISCOVERY"
describe_class = "sensor-view"

[hosts]
role_parameter = "node_role"
primary_value = "leader"
replica_value = "follower"
role_on_change = false
position_parameter = "replay_position"

[rules]
gateways = 1
checks = "none"
max_attempts = 4
drain_grace_ms = 2000
retry_hint_ms = 1000

[[database]]
name = "main"
group = 3

[[class]]
name = "sensor-view"
need = "any"
effect = "safe"
aim_ms = 250
deadline_ms = 1000
worth = 1

[[statement]]
pattern = '''^SELECT v FROM records'''
class = "sensor-view"
`

// reloadDrain lets discovery tell that a host drains. Later the operator's file is written again, with the host list as it
// was and one host more, and the gateway gets SIGHUP. The host must not get new work after that either.
func reloadDrain(p *player) ([]string, error) {
	d, err := p.deploy()
	if err != nil {
		return nil, err
	}
	file := strings.ReplaceAll(operatorFile, "DISCOVERY", d.lists.address)
	for _, h := range d.hosts[:3] {
		file += fmt.Sprintf("\n[[host]]\nid = %q\naddress = %q\ngroup = 3\n", h.id, h.address)
	}
	g, err := p.startExtendedGateway(file)
	if err != nil {
		return nil, err
	}
	for i := range 4 {
		d.load.Go(func() {
			repeat(g, 40*time.Millisecond, d.stop, func(c *client) error {
				_, err := c.ask(fmt.Sprintf("SELECT v FROM records WHERE k = 'key%d'", i), 2*time.Second)
				return err
			})
		})
	}
	startMs := nowMs()
	at(startMs, 3)
	drained := d.hosts[1]
	d.lists.setPhase(drained.id, "leaving")
	toldMs := nowMs()
	at(startMs, 8)
	if p.trouble {
		last := d.hosts[3]
		file += fmt.Sprintf("\n[[host]]\nid = %q\naddress = %q\ngroup = 3\n", last.id, last.address)
		file = strings.ReplaceAll(file, "LISTEN", g.listen)
		if err := os.WriteFile(g.configPath, []byte(file), 0o600); err != nil {
			return nil, err
		}
		g.signal(syscall.SIGHUP)
		p.record.printf("the operator's file has one host more; SIGHUP")
	}
	hupMs := nowMs()
	at(startMs, 20)
	d.end()
	before := len(sentAfter(drained, toldMs+drainGraceMs+slackMs, "")) - len(sentAfter(drained, hupMs, ""))
	p.record.printf("%d statements reached host %s between the end of its grace and SIGHUP", before, drained.id)
	return sentAfter(drained, hupMs+4000+drainGraceMs+slackMs, "the end of the grace that began 4 s after SIGHUP"), nil
}

// slowDiscovery lets each call of discovery wait in turn for some time. A drain counts as told 6 s after discovery had it.
func slowDiscovery(p *player) ([]string, error) {
	d, err := p.deploy()
	if err != nil {
		return nil, err
	}
	g, err := p.startGateway(platformConfig(d.lists.address, settings(commonClasses, "subscribe")))
	if err != nil {
		return nil, err
	}
	for i := range 4 {
		d.load.Go(func() {
			repeat(g, 40*time.Millisecond, d.stop, func(c *client) error {
				_, text := query("sensor-view", fmt.Sprintf("key%d", i), "", 1000)
				_, err := c.ask(text, 2*time.Second)
				return err
			})
		})
	}
	startMs := nowMs()
	at(startMs, 4)
	if p.trouble {
		d.lists.setDelay(1500 * time.Millisecond)
	}
	at(startMs, 10)
	for _, h := range d.hosts[1:3] {
		d.lists.setPhase(h.id, "leaving")
	}
	hadMs := nowMs()
	at(startMs, 28)
	d.end()
	var violations []string
	for _, h := range d.hosts[1:3] {
		violations = append(violations, sentAfter(h, hadMs+6000+drainGraceMs+slackMs, "the end of the grace that began 6 s after discovery had the drain")...)
	}
	return violations, nil
}

// pipelined is a request of a client that sends several at once.
type pipelined struct {
	id, text string
	sentMs   float64
	answered bool
}

// brokenValue resets a connection to a host in the middle of a large value, while other requests of the same client wait
// behind it. The value has failed; the others have to get their answers.
func brokenValue(p *player) ([]string, error) {
	d, err := p.deploy()
	if err != nil {
		return nil, err
	}
	var resets atomic.Int64
	for _, h := range d.hosts {
		h.beforeBigAnswer = func(conn net.Conn, answer []byte) bool {
			if !p.trouble {
				return false
			}
			_, _ = conn.Write(answer[:len(answer)*2/3])
			time.Sleep(400 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			resets.Add(1)
			p.record.printf("host %s has reset the connection in the middle of the value", h.id)
			return true
		}
	}
	g, err := p.startGateway(platformConfig(d.lists.address, settings(commonClasses, "automatic")))
	if err != nil {
		return nil, err
	}
	var violations []string
	for round := range 6 {
		lost, err := d.pipelineBehindValue(g, round)
		if err != nil {
			return nil, err
		}
		violations = append(violations, lost...)
	}
	d.end()
	if p.trouble && resets.Load() == 0 {
		return nil, fmt.Errorf("%w: no connection was reset", errSetup)
	}
	return violations, nil
}

// pipelineBehindValue sends a read of a large value, a write and a small read at once. It returns a violation for each
// request other than the first that got no answer.
func (d *deployment) pipelineBehindValue(g *gateway, round int) (violations []string, err error) {
	c, err := dialClient(g.listen, 0)
	if err != nil {
		return nil, err
	}
	defer c.close()
	var requests []*pipelined
	var texts []string
	add := func(class, key, value string, timeLeftMs int) {
		id, text := query(class, key, value, timeLeftMs)
		requests = append(requests, &pipelined{id: id, text: text, sentMs: nowMs()})
		texts = append(texts, text)
	}
	add("sensor-view", fmt.Sprintf("big-%d", 600<<10), "", 1000)
	add("control-write", fmt.Sprintf("vent%d", round), "open", 2000)
	add("sensor-view", fmt.Sprintf("key%d", round), "", 1000)
	_ = c.conn.SetDeadline(time.Now().Add(4 * time.Second))
	if err := c.send(texts...); err != nil {
		return nil, err
	}
	for i, r := range requests {
		a, err := c.readAnswer()
		r.answered = err == nil
		d.record.printf("client request %s (number %d on its connection): %s, error %v", r.id, i, a.outcome(), err)
		if err != nil && i > 0 {
			violations = append(violations, fmt.Sprintf("request %s got no answer, its connection was ended: %v; at the hosts: %s",
				r.id, err, d.fate(r.id)))
		}
	}
	return violations, nil
}

// fate says what the hosts did for a request.
func (d *deployment) fate(id string) string {
	fate := "none got it"
	for _, h := range d.hosts {
		for _, r := range h.runsSince(0) {
			if r.id == id {
				fate = h.id + " " + r.outcome
			}
		}
	}
	return fate
}
