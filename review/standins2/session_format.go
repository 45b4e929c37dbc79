package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sessionFile is the operator's file of the example in deploy/, with the hosts' positions, and addresses and ids to fill in.
const sessionFile = `name = "serre-1"
listen = "LISTEN"
describe_class = "describe"

[hosts]
role_parameter = "node_role"
primary_value = "leader"
replica_value = "follower"
role_on_change = false
position_parameter = "replay_position"

[rules]
gateways = 1
checks = "none"
probes = "load"
max_attempts = 4
drain_grace_ms = 2000
retry_hint_ms = 1000

[[database]]
name = "main"
group = 3

[[class]]
name = "describe"
need = "any"
effect = "safe"
aim_ms = 200
deadline_ms = 1000
worth = 1

[[class]]
name = "own-settings"
need = "session"
effect = "safe"
aim_ms = 200
deadline_ms = 600
worth = 3

[[class]]
name = "control-write"
need = "write"
effect = "keyed"
repeat_window_ms = 2000
aim_ms = 600
deadline_ms = 2000
worth = 6
late_worth = 0.3

[[statement]]
pattern = '''(?is)^insert\s+into\s+setpoints\b.*\bvalues\s*\(\s*(\$|'(?P<session>[^']*)'\s*,\s*'(?P<key>[^']*)')'''
class = "control-write"
session_param = 1
key_param = 2

[[statement]]
pattern = '''(?is)^select\b.*\bwhere\s+greenhouse\s*=\s*(\$|'(?P<session>[^']*)')'''
class = "own-settings"
session_param = 1
`

// Times of the session-format case, in seconds after the gateway is ready, and its sessions.
const (
	sessionLagFrom  = 4.0
	sessionLagUntil = 20.0
	sessionEnd      = 22.0
	sessionCount    = 8
	sessionGap      = 150 * time.Millisecond // from a write's answer to the read that follows it
)

// sessionFormat lets the replicas apply the log slowly while controllers write a setpoint and read it again. The number of
// the greenhouse, which is the session, is bound as text for the writes and, by half of the controllers, in binary for the
// reads.
func sessionFormat(p *player) ([]string, error) {
	group := newCluster(3)
	hosts, err := startHosts(p.record, group, 4)
	if err != nil {
		return nil, err
	}
	file := sessionFile
	for _, h := range hosts {
		h.quiet = true
		file += fmt.Sprintf("\n[[host]]\nid = %q\naddress = %q\ngroup = 3\n", h.id, h.address)
	}
	g, err := p.startExtendedGateway(file)
	if err != nil {
		return nil, err
	}
	startMs := nowMs()
	stop := make(chan struct{})
	var stale staleReads
	var load sync.WaitGroup
	for i := range sessionCount {
		load.Go(func() { stale.writeAndRead(p, g, 40+i, i%2 == 0, stop) })
	}
	at(startMs, sessionLagFrom)
	if p.trouble {
		p.record.printf("replicas apply the log slowly from now on")
		group.setApplyRate(0.5)
	}
	at(startMs, sessionLagUntil)
	group.setApplyRate(2)
	at(startMs, sessionEnd)
	close(stop)
	endGateways()
	load.Wait()
	p.record.printf("%d reads followed a write", stale.reads)
	if stale.reads < 100 {
		return nil, fmt.Errorf("%w: only %d reads followed a write", errSetup, stale.reads)
	}
	return stale.violations, nil
}

// staleReads collects the reads that did not see their session's writes.
type staleReads struct {
	mutex      sync.Mutex
	reads      int
	violations []string
}

// writeAndRead writes the setpoint of a greenhouse and, after a gap, reads it.
func (s *staleReads) writeAndRead(p *player, g *gateway, greenhouse int, inBinary bool, stop <-chan struct{}) {
	version := 0
	repeat(g, 100*time.Millisecond, stop, func(c *client) error {
		version++
		a, err := c.execute("INSERT INTO setpoints (greenhouse, key, value) VALUES ($1, $2, $3) RETURNING value", 3*time.Second,
			numberParameter(greenhouse, false), textParameter(fmt.Sprintf("k%d-%d", greenhouse, version)),
			textParameter("v"+strconv.Itoa(version)))
		p.record.printf("greenhouse %d wrote version %d: %s, error %v", greenhouse, version, a.outcome(), err)
		if err != nil || a.code != "" {
			return err
		}
		time.Sleep(sessionGap)
		a, err = c.execute("SELECT value FROM setpoints WHERE greenhouse = $1", 2*time.Second, numberParameter(greenhouse, inBinary))
		p.record.printf("greenhouse %d read %q: %s, parameter in binary: %v, error %v", greenhouse, a.value, a.outcome(), inBinary, err)
		if err != nil || a.code != "" {
			return err
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.reads++
		if seen, _ := strconv.Atoi(strings.TrimPrefix(a.value, "v")); seen < version {
			s.violations = append(s.violations, fmt.Sprintf(
				"greenhouse %d read version %d after its version %d had been answered as written; parameter in binary: %v",
				greenhouse, seen, version, inBinary))
		}
		return nil
	})
}
