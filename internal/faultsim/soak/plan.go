package soak

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// step is an action of a run that starts at a set time.
type step struct {
	at          time.Duration    // start time, counted from when the gateway began to serve
	description string           // for the report
	action      func(*run) error // runs in a goroutine of its own
}

// plan holds what is drawn from a run's seed besides the deployment.
type plan struct {
	steps           []step
	stopAt          time.Duration // when the first signal of the shutdown is sent
	leakCheck       bool          // all clients disconnect before stopAt, and the gateway must then close their descriptors
	connectionFlood bool          // a step opens idle connections up to the gateway's descriptor limit
	hostsHangAtStop bool          // a step makes hosts hang during the shutdown
	delaysLists     bool          // a step can make the gateway learn of an endpoint update later than it is published
}

// drawPlan draws the faults, the signals, and in some runs a flood or a surge of connections.
func drawPlan(d draw, deployed *deployment) *plan {
	p := &plan{stopAt: time.Duration(d.between(1.2, 3.2) * float64(time.Second)), leakCheck: d.chance(0.15)}
	if d.chance(0.05) {
		p.stopAt, p.leakCheck = 0, false
	}
	for range 1 + d.IntN(4) {
		p.addHostFault(d, deployed)
	}
	if d.chance(0.6) {
		p.addDrain(d, deployed)
	}
	if d.chance(0.35) {
		p.addRestart(d, deployed)
	}
	if d.chance(0.35) {
		p.addPrimaryChange(d, deployed)
	}
	if d.chance(0.4) {
		p.addDiscoveryFault(d)
	}
	if d.chance(0.25) && !p.leakCheck {
		p.addConnectionFlood(d, deployed)
	}
	if d.chance(0.4) {
		p.addHangAtStop(d, deployed)
	}
	if d.chance(0.5) && !p.connectionFlood && deployed.Sockets > maxSocketsWithoutSurge {
		p.addSurge(d)
	}
	p.addReloads(d)
	p.addStop(d)
	slices.SortStableFunc(p.steps, func(a, b step) int { return int(a.at - b.at) })
	return p
}

func (p *plan) add(at time.Duration, description string, action func(*run) error) {
	p.steps = append(p.steps, step{at, description, action})
}

// drawTime draws a time between the start of the run and 1.2 times stopAt.
func (p *plan) drawTime(d draw) time.Duration {
	return time.Duration(d.between(0, 1.2) * float64(p.stopAt))
}

func drawHost(d draw, deployed *deployment) int {
	return d.IntN(deployed.Groups * deployed.HostsPerGroup)
}

// drawDuration draws a duration between two numbers of seconds.
func drawDuration(d draw, minSeconds, maxSeconds float64) time.Duration {
	return time.Duration(d.between(minSeconds, maxSeconds) * float64(time.Second))
}

func (p *plan) addHostFault(d draw, deployed *deployment) {
	index, fault, duration := drawHost(d, deployed), oneOf(d, hostFaults...), drawDuration(d, 0.1, 1.5)
	p.add(p.drawTime(d), fmt.Sprintf("h%d %s %v", index, fault, duration.Round(time.Millisecond)), func(r *run) error {
		if err := r.hosts[index].setFault(fault); err != nil {
			return err
		}
		time.Sleep(duration)
		return r.hosts[index].setFault(hostHealthy)
	})
}

func (p *plan) addDrain(d draw, deployed *deployment) {
	index := drawHost(d, deployed)
	p.add(p.drawTime(d)/2, fmt.Sprintf("h%d drains", index), func(r *run) error {
		r.hosts[index].drain()
		r.discovery.publish()
		return nil
	})
}

func (p *plan) addRestart(d draw, deployed *deployment) {
	index, downtime := drawHost(d, deployed), drawDuration(d, 0.05, 0.6)
	p.add(p.drawTime(d), fmt.Sprintf("h%d restarts", index), func(r *run) error {
		if err := r.hosts[index].restart(downtime); err != nil {
			return err
		}
		r.discovery.publish()
		return nil
	})
}

func (p *plan) addPrimaryChange(d draw, deployed *deployment) {
	group, electionTime := d.IntN(deployed.Groups), drawDuration(d, 0.05, 0.5)
	newPrimary := 1 + d.IntN(deployed.HostsPerGroup-1)
	p.add(p.drawTime(d), fmt.Sprintf("group %d gets the primary h%d", group, group*deployed.HostsPerGroup+newPrimary),
		func(r *run) error {
			hosts := r.hosts[group*deployed.HostsPerGroup:]
			hosts[0].setPrimary(false)
			time.Sleep(electionTime)
			hosts[newPrimary].setPrimary(true)
			return nil
		})
}

func (p *plan) addDiscoveryFault(d draw) {
	fault, duration := oneOf(d, discoveryFaults...), drawDuration(d, 0.2, 1.5)
	p.delaysLists = true
	p.add(p.drawTime(d), fmt.Sprintf("discovery %s %v", fault, duration.Round(time.Millisecond)), func(r *run) error {
		r.discovery.setFault(fault)
		time.Sleep(duration)
		r.discovery.setFault(discoveryHealthy)
		return nil
	})
}

func (p *plan) addConnectionFlood(d draw, deployed *deployment) {
	p.connectionFlood = true
	count := deployed.Sockets
	at := p.drawTime(d)
	if d.chance(0.5) {
		at = p.stopAt + time.Duration(d.IntN(400))*time.Millisecond
	}
	p.add(at, fmt.Sprintf("%d idle connections", count), func(r *run) error {
		r.floodConnections(count)
		return nil
	})
}

// addHangAtStop makes each host, or about half of the hosts, hang from shortly before the shutdown until its end.
func (p *plan) addHangAtStop(d draw, deployed *deployment) {
	p.hostsHangAtStop = true
	share := oneOf(d, 0.5, 1)
	var hung []int
	for index := range deployed.Groups * deployed.HostsPerGroup {
		if d.chance(share) {
			hung = append(hung, index)
		}
	}
	p.add(max(0, p.stopAt-100*time.Millisecond), fmt.Sprintf("hosts %v hang through the stop", hung), func(r *run) error {
		for _, index := range hung {
			if err := r.hosts[index].setFault(hostHangs); err != nil {
				return err
			}
		}
		return nil
	})
}

// maxSocketsWithoutSurge is the largest descriptor limit at which a run has no surge: with so few descriptors the gateway
// could not accept all connections of the surge.
const maxSocketsWithoutSurge = 200

// listenerCloseDelay is the time between SIGTERM and the moment when the gateway closes its listener.
const listenerCloseDelay = 500 * time.Millisecond

// addSurge adds clients that connect around the moment when the gateway closes its listener.
func (p *plan) addSurge(d draw) {
	lead := time.Duration(d.IntN(1000)) * time.Microsecond
	p.add(p.stopAt+listenerCloseDelay/2, "clients connect while the listener closes", func(r *run) error {
		time.Sleep(time.Until(r.gateway.sigtermTime().Add(listenerCloseDelay - lead)))
		r.surge()
		return nil
	})
}

// addReloads adds up to 3 reloads with SIGHUP, each of the same configuration or of one with the other discovery address.
// A reload may send a SIGHUP while the file is half written, and another once it is complete.
func (p *plan) addReloads(d draw) {
	for range d.IntN(4) {
		description, movesDiscovery, halfWritten := "SIGHUP", d.chance(0.3), d.chance(0.3)
		p.delaysLists = p.delaysLists || movesDiscovery
		if movesDiscovery {
			description += ", discovery moves"
		}
		if halfWritten {
			description += ", the file is half written"
		}
		p.add(p.drawTime(d), description, func(r *run) error { return r.reload(movesDiscovery, halfWritten) })
	}
}

// addStop adds the SIGTERM that starts the shutdown. Further SIGTERMs and SIGHUPs may follow it, and a SIGHUP may
// precede it.
func (p *plan) addStop(d draw) {
	signals := []syscall.Signal{syscall.SIGTERM}
	for range d.IntN(4) {
		signals = append(signals, oneOf(d, syscall.SIGTERM, syscall.SIGHUP))
	}
	if d.chance(0.3) {
		signals = append([]syscall.Signal{syscall.SIGHUP}, signals...)
	}
	gap := time.Duration(d.IntN(30)) * time.Millisecond
	p.add(p.stopAt, fmt.Sprintf("signals %v", signals), func(r *run) error {
		r.sendStopSignals(signals, gap)
		return nil
	})
}

// summary lists the steps for the report.
func (p *plan) summary() string {
	var parts []string
	for _, s := range p.steps {
		parts = append(parts, fmt.Sprintf("%.2f %s", s.at.Seconds(), s.description))
	}
	if p.leakCheck {
		parts = append(parts, "clients leave before the stop")
	}
	return strings.Join(parts, "; ")
}
