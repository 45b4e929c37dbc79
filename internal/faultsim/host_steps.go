package faultsim

import (
	"fmt"
	"math"

	"merlinjunction/internal/faultsim/model"
)

// applyHostStep carries out a step on a host, or on links from a gateway to hosts.
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

// drainHost begins to drain a host. A primary is succeeded at once.
func (s *requestSimulation) drainHost(number int) {
	host := s.hosts[number]
	host.DrainAt = s.Now()
	if host.Group.Primary == host {
		s.electPrimary(host.Group, host)
	}
	s.publishLater()
}

// killHost ends a host. A primary is succeeded after an election.
func (s *requestSimulation) killHost(number int) {
	host := s.hosts[number]
	wasPrimary := host.Group.Primary == host
	host.Kill()
	if wasPrimary {
		s.At(s.Now()+electionMs, func() { s.electPrimary(host.Group, host) })
	}
	s.publishLater()
}

// startHost starts a host in the place of one that has ended; it has a new ID if the step asks for that.
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

// primaryCandidate is the host of a group, apart from an excluded one, that has been up longest and is not draining;
// nil: there is none.
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

// startedBefore compares start times; NaN stands for long ago.
func startedBefore(host, other *model.Host) bool {
	return math.IsNaN(host.StartedAt) && !math.IsNaN(other.StartedAt) || host.StartedAt < other.StartedAt
}

// electPrimary makes another host of the group the primary, if there is a candidate.
func (s *requestSimulation) electPrimary(group *model.Group, excluded *model.Host) {
	if candidate := s.primaryCandidate(group, excluded); candidate != nil {
		group.SetPrimary(candidate)
	}
	s.publishLater()
}

// publishLater schedules the publication of a new endpoint list, unless one is scheduled.
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
