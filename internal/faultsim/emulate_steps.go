package faultsim

import (
	"slices"

	"merlinjunction/membership"
)

// applyStep carries out one step of the plan.
func (em *Emulation) applyStep(step *Step) {
	switch {
	case step.Operation.concernsHosts():
		em.applyHostStep(step)
	case step.Operation == ChangeConditions:
		em.recordStep(step)
	default:
		em.applyGatewayStep(step)
	}
}

// applyHostStep carries out a step on emulated hosts. It does nothing if the experiment has none.
func (em *Emulation) applyHostStep(step *Step) {
	if em.requests != nil {
		em.options.logStep(em.now, step)
		em.requests.applyHostStep(step)
	}
}

// recordStep logs a step and passes it to the network and the oracle.
func (em *Emulation) recordStep(step *Step) {
	em.options.logStep(em.now, step)
	em.network.Apply(step)
	em.oracle.Apply(step, em.now)
}

// applyGatewayStep carries out a step on a gateway. Start adds the gateway if it is new.
func (em *Emulation) applyGatewayStep(step *Step) {
	if step.Target == len(em.gateways) {
		em.addGateway(step.Target, false)
	}
	gateway := em.gateways[step.Target]
	if step.Operation == Terminate && gateway.node != nil {
		em.stepNode(gateway, []membership.Event{membership.Leave{}})
	}
	em.recordStep(step)
	switch step.Operation {
	case Start:
		em.startGateway(gateway)
	case Kill, Terminate:
		gateway.node = nil
		if em.requests != nil {
			em.requests.endGateway(step.Target, step.Operation == Terminate)
		}
	case Pause, Resume:
		em.setPaused(gateway, step.Operation == Pause)
	case StepClock:
		gateway.clockOffsetMs += step.ClockStepMs
		em.stepNode(gateway, nil)
	case StartDuplicate:
		em.startGateway(em.addGateway(step.Target, true))
	}
}

// setPaused pauses or resumes a gateway's process. A resumed process receives the datagrams that arrived during the pause.
func (em *Emulation) setPaused(gateway *emulatedGateway, paused bool) {
	gateway.paused = paused
	if !paused && gateway.node != nil {
		em.stepNode(gateway, slices.Clone(gateway.inbox))
	}
	if em.requests != nil {
		em.requests.gateways[gateway.index].Pause(paused)
	}
}
