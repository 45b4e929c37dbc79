package faultsim

import (
	"sync"
	"syscall"
	"time"
)

// applyStep carries out one step of the plan. Processes that a step starts become ready in the background, which the
// wait group counts.
func (r *processRun) applyStep(step *Step, starting *sync.WaitGroup) error {
	r.options.logStep(r.now(), step)
	switch step.Operation {
	case HostDrain, HostKill, HostStart, HostCut:
		return r.applyHostStep(step)
	case Cut, ChangeConditions:
		r.relays.apply(step)
	}
	if step.Operation == Start && r.isNew(step.Target) {
		if _, err := r.add(step.Target, false); err != nil {
			return err
		}
	}
	gateway := r.recordStep(step)
	return r.applyGatewayStep(step, gateway, starting)
}

// applyHostStep carries out a step on a stub host, or on the connections of a gateway to hosts.
func (r *processRun) applyHostStep(step *Step) error {
	switch step.Operation {
	case HostDrain:
		r.hosts.drain(step.Target)
	case HostKill:
		r.hosts.kill(step.Target)
	case HostStart:
		return r.hosts.start(step.Target)
	case HostCut:
		for _, host := range step.Destinations {
			r.gateways[step.Target].hostRelays[host].setCut(!step.Undo)
		}
	}
	return nil
}

// isNew reports whether a gateway has not been added yet.
func (r *processRun) isNew(index int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return index == len(r.gateways)
}

// recordStep notifies the oracle of a step and returns the gateway that it is on; nil for the network's conditions.
func (r *processRun) recordStep(step *Step) *gatewayProcess {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.oracle.Apply(step, r.now())
	if step.Operation == ChangeConditions {
		return nil
	}
	gateway := r.gateways[step.Target]
	switch step.Operation {
	case Kill, Pause, Resume:
		gateway.disturbances = append(gateway.disturbances, time.Now())
	}
	return gateway
}

// applyGatewayStep carries out a step on a gateway's process; others are ignored.
func (r *processRun) applyGatewayStep(step *Step, gateway *gatewayProcess, starting *sync.WaitGroup) error {
	switch step.Operation {
	case Start:
		r.startInBackground(gateway, starting)
	case Kill:
		r.signal(gateway, syscall.SIGKILL)
		r.setDown(gateway)
	case Terminate:
		r.setDown(gateway)
		r.signal(gateway, syscall.SIGTERM)
	case Pause:
		r.setPaused(gateway, true)
		r.signal(gateway, syscall.SIGSTOP)
	case Resume:
		r.signal(gateway, syscall.SIGCONT)
		r.setPaused(gateway, false)
	case StartDuplicate:
		duplicate, err := r.add(step.Target, true)
		if err != nil {
			return err
		}
		return r.start(duplicate, false)
	}
	return nil
}

// startInBackground starts a gateway's process without waiting until it serves.
func (r *processRun) startInBackground(gateway *gatewayProcess, starting *sync.WaitGroup) {
	starting.Add(1)
	go func() {
		defer starting.Done()
		if err := r.start(gateway, false); err != nil {
			r.fail(err)
		}
	}()
}

// setDown records that a step ends a gateway's process: clients use another one, and its end is no crash.
func (r *processRun) setDown(gateway *gatewayProcess) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	gateway.up = false
}

// fail records the first error of work in the background.
func (r *processRun) fail(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.err == nil {
		r.err = err
	}
}
