package faultsim

import (
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// step carries out one step of the timeline. What takes time goes on by itself; ends counts it.
func (r *processRun) step(program string, s *Step, ends *sync.WaitGroup) error {
	r.options.Log.Info("step", zap.Float64("ms", r.now()), zap.String("operation", s.Do.String()), zap.Int("target", s.Who), zap.Bool("undo", s.Undo))
	switch s.Do {
	case HostDrain, HostKill, HostStart, HostCut:
		return r.stepHost(s)
	case Cut, ChangeConditions:
		r.relays.apply(s)
	}
	if s.Do == Start && r.isNew(s.Who) {
		if _, err := r.add(s.Who, false); err != nil {
			return err
		}
	}
	g := r.recordStep(s)
	return r.stepGateway(program, s, g, ends)
}

// stepHost does something to a database host, or to connections that lead to some.
func (r *processRun) stepHost(s *Step) error {
	switch s.Do {
	case HostDrain:
		r.databases.drain(s.Who)
	case HostKill:
		r.databases.kill(s.Who)
	case HostStart:
		return r.databases.start(s.Who)
	case HostCut:
		for _, host := range s.To {
			r.gateways[s.Who].hostRelays[host].setCut(!s.Undo)
		}
	}
	return nil
}

// isNew tells whether a gateway has not been there before.
func (r *processRun) isNew(index int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return index == len(r.gateways)
}

// recordStep tells the oracle of a step and returns the gateway that it is about; nil for the network's conditions.
func (r *processRun) recordStep(s *Step) *gateway {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.oracle.Apply(s, r.now())
	if s.Do == ChangeConditions {
		return nil
	}
	g := r.gateways[s.Who]
	if s.Do == Kill || s.Do == Pause || s.Do == Resume {
		g.disturbances = append(g.disturbances, time.Now())
	}
	return g
}

// stepGateway does something to a gateway's process.
func (r *processRun) stepGateway(program string, s *Step, g *gateway, ends *sync.WaitGroup) error {
	switch s.Do {
	case Start:
		ends.Add(1)
		go func() {
			defer ends.Done()
			if err := r.start(program, g, false); err != nil {
				r.fail(err)
			}
		}()
	case Kill:
		r.signal(g, syscall.SIGKILL)
		r.setDown(g)
	case Term:
		r.setDown(g)
		r.signal(g, syscall.SIGTERM)
	case Pause:
		r.setPaused(g, true)
		r.signal(g, syscall.SIGSTOP)
	case Resume:
		r.signal(g, syscall.SIGCONT)
		r.setPaused(g, false)
	case StartDuplicate:
		twin, err := r.add(s.Who, true)
		if err != nil {
			return err
		}
		return r.start(program, twin, false)
	}
	return nil
}

// setDown notes that a gateway's end is asked for: clients go to another one.
func (r *processRun) setDown(g *gateway) {
	r.mutex.Lock()
	g.up = false
	r.mutex.Unlock()
}

func (r *processRun) fail(err error) {
	r.mutex.Lock()
	if r.err == nil {
		r.err = err
	}
	r.mutex.Unlock()
}
