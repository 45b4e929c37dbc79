package faultsim

import (
	"fmt"

	"go.uber.org/zap"
)

// Progress is the state of a run at one sample.
type Progress struct {
	Seconds      float64 // time of the sample, since second 0
	Up           int     // number of gateways that are up
	Believed     float64 // mean number of gateways that a gateway believes to be up
	WrongBeliefs int     // number of beliefs of one gateway about another that contradict the facts
}

// Options are the options of a run.
type Options struct {
	Seed      uint64
	Gateways  int            // number of gateways; 0: as the experiment says
	Selection *HostSelection // nil: as the experiment says
	NewNode   NodeFactory    // emulated engine: makes the gateways' protocol nodes; nil: NewViewNode
	Progress  func(Progress) // called at each sample; nil: not called
	Log       *zap.Logger    // gets every step and change of state; nil: nothing is logged
	// CheckAccounting makes the emulated engine check, after each step of a gateway's core, that each of its connections
	// and requests is in exactly one state. A violation makes the run fail.
	CheckAccounting bool
}

// hostSet describes the hosts that faults can affect in an engine.
type hostSet struct {
	count int
	// protected is the number of hosts, the first ones, that are never drawn at random. In the processes engine the first
	// host is the primary of the only group, and no other host can succeed it.
	protected int
}

// prepare sets defaults for the options that are not set and plans the run. defaultGateways is the experiment's number of
// gateways for the engine.
func (o *Options) prepare(experiment *Experiment, defaultGateways int, hosts hostSet) ([]Step, error) {
	setDefault(&o.Gateways, defaultGateways)
	setDefault(&o.Selection, &experiment.Selection)
	if o.NewNode == nil {
		o.NewNode = NewViewNode
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	steps, err := experiment.plan(o.Gateways, hosts, o.Seed)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", experiment.Path, err)
	}
	return steps, nil
}

// logStep logs that a step of the plan is carried out.
func (o *Options) logStep(nowMs float64, step *Step) {
	o.Log.Info("step",
		zap.Float64("ms", nowMs),
		zap.String("operation", step.Operation.String()),
		zap.Int("target", step.Target),
		zap.Bool("undo", step.Undo))
}

// logBelief logs that a gateway changed its belief about a member.
func (o *Options) logBelief(nowMs float64, gateway, member, state, reason string, details ...zap.Field) {
	fields := []zap.Field{
		zap.Float64("ms", nowMs),
		zap.String("gateway", gateway),
		zap.String("member", member),
		zap.String("state", state),
		zap.String("reason", reason),
	}
	o.Log.Info("belief changed", append(fields, details...)...)
}

// logStatus logs that a gateway changed the status that it reports about itself.
func (o *Options) logStatus(nowMs float64, gateway, status, reason string) {
	o.Log.Info("status changed",
		zap.Float64("ms", nowMs),
		zap.String("gateway", gateway),
		zap.String("status", status),
		zap.String("reason", reason))
}
