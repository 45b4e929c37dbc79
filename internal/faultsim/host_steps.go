package faultsim

import (
	"fmt"
	"math"

	"merlinjunction/internal/faultsim/model"
)

// applyHostStep carries out a step on a host, or on links from a gateway to hosts, in the emulated engine.
func (s *requestSimulation) applyHostStep(step *Step) {
	switch step.Operation {
	case HostCut:
		s.cutHosts(step)
	case HostSlow:
		s.slowHost(step)
	case HostDrain:
		s.drainHost(step.Target)
	case HostKill:
		s.killHost(step.Target)
	case HostStart:
		s.startHost(step)
	}
}

// cutHosts cuts links from a gateway to hosts, or heals them.
func (s *requestSimulation) cutHosts(step *Step) {
	for _, host := range step.Destinations {
		cut := link{step.Target, s.hosts[host].Index}
		if !step.Undo {
			s.cuts[cut]++
		} else if s.cuts[cut]--; s.cuts[cut] == 0 {
			delete(s.cuts, cut)
		}
	}
}

func (s *requestSimulation) slowHost(step *Step) {
	host := s.hosts[step.Target]
	host.SlowFactor = step.SlowFactor
	if step.Undo {
		host.SlowFactor = 1
	}
}

// drainHost starts the drain of a host. If the host is a primary, another primary is elected at once.
func (s *requestSimulation) drainHost(number int) {
	host := s.hosts[number]
	host.DrainAt = s.Now()
	if host.Group.Primary == host {
		s.electPrimary(host.Group, host)
	}
	s.publishLater()
}

// killHost stops a host. If the host was a primary, another primary is elected after electionMs.
func (s *requestSimulation) killHost(number int) {
	host := s.hosts[number]
	wasPrimary := host.Group.Primary == host
	host.Kill()
	if wasPrimary {
		s.At(s.Now()+electionMs, func() { s.electPrimary(host.Group, host) })
	}
	s.publishLater()
}

// startHost starts a host in place of one that is down. It has a new ID if the step sets NewHost.
func (s *requestSimulation) startHost(step *Step) {
	previous := s.hosts[step.Target]
	if previous.Up {
		return
	}
	id := previous.ID
	if step.NewHost {
		id = fmt.Sprintf("h%d-%d", step.Target, len(s.world.Hosts))
	}
	host := s.world.AddHost(s.hostConfig, id, previous.Zone, previous.Group, s.Now())
	s.hosts[step.Target] = host
	if host.Group.Primary == nil && s.primaryCandidate(host.Group, host) == nil {
		host.Group.SetPrimary(host)
	}
	s.publishLater()
}

// primaryCandidate returns the host of a group that has been up longest and is neither draining nor the excluded host, or
// nil if there is none.
func (s *requestSimulation) primaryCandidate(group *model.Group, excluded *model.Host) *model.Host {
	var candidate *model.Host
	for _, host := range s.hosts {
		if host.Group != group || host == excluded || !host.Up || !math.IsNaN(host.DrainAt) {
			continue
		}
		if candidate == nil || startedBefore(host, candidate) {
			candidate = host
		}
	}
	return candidate
}

// startedBefore reports whether a host started before another one. The start time NaN means long ago, and is earlier than
// any other.
func startedBefore(host, other *model.Host) bool {
	return math.IsNaN(host.StartedAt) && !math.IsNaN(other.StartedAt) || host.StartedAt < other.StartedAt
}

// electPrimary makes another host of the group the primary if there is a candidate. It schedules the publication
// of a new endpoint list in any case.
func (s *requestSimulation) electPrimary(group *model.Group, excluded *model.Host) {
	if candidate := s.primaryCandidate(group, excluded); candidate != nil {
		group.SetPrimary(candidate)
	}
	s.publishLater()
}

// publishLater schedules the publication of a new endpoint list, unless a publication is already scheduled.
func (s *requestSimulation) publishLater() {
	if s.publishPending {
		return
	}
	s.publishPending = true
	s.At(s.Now()+publishDelayMs, func() {
		s.publishPending = false
		s.discovery.Publish()
	})
}
