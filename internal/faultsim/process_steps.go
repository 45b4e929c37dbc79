package faultsim

import (
	"sync"
	"syscall"
	"time"
)

// applyStep carries out one step of the plan. For the step Start, a background goroutine waits until the new process serves,
// and the wait group counts this goroutine.
func (r *processRun) applyStep(step *Step, starting *sync.WaitGroup) error {
	r.options.logStep(r.now(), step)
	switch step.Operation {
	case HostDrain, HostKill, HostStart, HostCut:
		return r.applyHostStep(step)
	case Cut, ChangeConditions:
		r.relays.apply(step)
	}
	if step.Operation == Start && r.isNew(step.Target) {
		if _, err := r.addGateway(step.Target, false); err != nil {
			return err
		}
	}
	gateway := r.recordStep(step)
	return r.applyGatewayStep(step, gateway, starting)
}

// applyHostStep carries out a step on a stub host, or on the relays from a gateway to hosts.
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

// recordStep reports a step to the oracle and returns the step's target gateway. It returns nil for a change of the network
// conditions, which has no target.
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
		gateway.interruptions = append(gateway.interruptions, time.Now())
	}
	return gateway
}

// applyGatewayStep carries out a step on a gateway's process and ignores all other steps.
func (r *processRun) applyGatewayStep(step *Step, gateway *gatewayProcess, starting *sync.WaitGroup) error {
	switch step.Operation {
	case Start:
		r.startInBackground(gateway, starting)
	case Kill:
		r.signal(gateway, syscall.SIGKILL)
		r.expectExit(gateway)
	case Terminate:
		r.expectExit(gateway)
		r.signal(gateway, syscall.SIGTERM)
	case Pause:
		r.setPaused(gateway, true)
		r.signal(gateway, syscall.SIGSTOP)
	case Resume:
		r.signal(gateway, syscall.SIGCONT)
		r.setPaused(gateway, false)
	case StartDuplicate:
		duplicate, err := r.addGateway(step.Target, true)
		if err != nil {
			return err
		}
		return r.startProcess(duplicate, false)
	}
	return nil
}

// startInBackground starts a gateway's process without waiting until it serves.
func (r *processRun) startInBackground(gateway *gatewayProcess, starting *sync.WaitGroup) {
	starting.Add(1)
	go func() {
		defer starting.Done()
		if err := r.startProcess(gateway, false); err != nil {
			r.recordError(err)
		}
	}()
}

// expectExit records that a step ends a gateway's process: the load generator then uses another gateway, and the exit of
// the process is not a crash.
func (r *processRun) expectExit(gateway *gatewayProcess) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	gateway.expectedUp = false
}

// recordError keeps the first error of the background goroutines.
func (r *processRun) recordError(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.err == nil {
		r.err = err
	}
}
