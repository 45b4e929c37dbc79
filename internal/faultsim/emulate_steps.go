package faultsim

import (
	"math"
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"merlinjunction/membership"
)

func (em *Emulation) start(n *emulatedGateway) {
	n.generation++
	n.paused, n.inbox, n.wakeAt = false, nil, math.Inf(1)
	boot := rand.New(rand.NewPCG(em.options.Seed, uint64(n.index)<<20|uint64(n.generation)<<1|uint64(len(n.name)&1))).Uint64() | 1
	if n.duplicate {
		boot = em.rng.Uint64() | 1
	}
	cfg := membership.Config{Name: n.name, Addr: n.addr, Zone: em.experiment.Fleet.zone(n.index), BootID: boot,
		Seeds: em.seeds, Version: n.version}
	if n.node, em.err = em.options.Make(cfg, em.rng.Uint64()); em.err == nil {
		em.run(n, nil)
	}
	if em.requests != nil && !n.duplicate && em.err == nil {
		em.err = em.requests.startGateway(n.index)
	}
}

func (em *Emulation) step(s *Step) {
	var n *emulatedGateway
	if s.Do >= HostDrain {
		if em.requests != nil {
			em.options.Log.Info("step", zap.Float64("ms", em.now), zap.String("operation", s.Do.String()), zap.Int("target", s.Who), zap.Bool("undo", s.Undo))
			em.requests.step(s)
		}
		return
	}
	if s.Do != ChangeConditions {
		if s.Who == len(em.nodes) {
			em.add(s.Who, false)
		}
		n = em.nodes[s.Who]
	}
	if s.Do == Term && n.node != nil {
		em.run(n, []membership.Event{membership.Leave{}})
	}
	em.options.Log.Info("step", zap.Float64("ms", em.now), zap.String("operation", s.Do.String()), zap.Int("target", s.Who), zap.Bool("undo", s.Undo))
	em.network.Apply(s)
	em.oracle.Apply(s, em.now)
	switch s.Do {
	case Start:
		em.start(n)
	case Kill, Term:
		n.node = nil
		if em.requests != nil {
			em.requests.endGateway(s.Who, s.Do == Term)
		}
	case Pause, Resume:
		if n.paused = s.Do == Pause; !n.paused && n.node != nil {
			em.run(n, slices.Clone(n.inbox))
		}
		if em.requests != nil {
			em.requests.gateways[s.Who].Pause(n.paused)
		}
	case Clock:
		n.clockOffsetMs += s.StepMs
		em.run(n, nil)
	case StartDuplicate:
		em.start(em.add(s.Who, true))
	}
}
