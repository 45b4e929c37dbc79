package faultsim

import (
	"fmt"
	"math"

	"merlinjunction/internal/faultsim/model"
)

// step carries out what is done to a host.
func (s *requestSimulation) step(t *Step) {
	if t.Do == HostCut {
		for _, to := range t.To {
			link := [2]int{t.Who, s.hosts[to].Index}
			if !t.Undo {
				s.cuts[link]++
			} else if s.cuts[link]--; s.cuts[link] == 0 {
				delete(s.cuts, link)
			}
		}
		return
	}
	h := s.hosts[t.Who]
	switch t.Do {
	case HostDrain:
		h.DrainAt = s.Now()
		if h.Group.Primary == h {
			s.electPrimary(h.Group, h)
		}
	case HostKill:
		was := h.Group.Primary == h
		if h.Kill(); was {
			s.At(s.Now()+electionMs, func() { s.electPrimary(h.Group, h) })
		}
	case HostStart:
		if h.Up {
			return
		}
		id := h.ID
		if t.Fresh {
			id = fmt.Sprintf("h%d-%d", t.Who, len(s.world.Hosts))
		}
		n := s.world.AddHost(s.hostConfig, id, h.Zone, h.Group, s.Now())
		s.hosts[t.Who] = n
		if n.Group.Primary == nil && s.candidate(n.Group, n) == nil {
			n.Group.SetPrimary(n)
		}
	case HostSlow:
		if h.SlowFactor = t.StepMs; t.Undo {
			h.SlowFactor = 1
		}
		return
	}
	s.publishLater()
}

// candidate is the host of a group, beside one, that could be primary and has been up longest; nil: there is none.
func (s *requestSimulation) candidate(g *model.Group, not *model.Host) (best *model.Host) {
	for _, h := range s.hosts {
		if h.Group != g || h == not || !h.Up || !math.IsNaN(h.DrainAt) {
			continue
		}
		if best == nil || math.IsNaN(h.StartedAt) && !math.IsNaN(best.StartedAt) || h.StartedAt < best.StartedAt {
			best = h
		}
	}
	return best
}

// electPrimary makes another host of the group primary.
func (s *requestSimulation) electPrimary(g *model.Group, not *model.Host) {
	if best := s.candidate(g, not); best != nil {
		g.SetPrimary(best)
	}
	s.publishLater()
}

// publishLater has the list told a little later.
func (s *requestSimulation) publishLater() {
	if s.publishPending {
		return
	}
	s.publishPending = true
	s.At(s.Now()+listDelayMs, func() {
		s.publishPending = false
		s.discovery.Publish()
	})
}
