package faultsim

import (
	"fmt"

	"go.uber.org/zap"
)

// Options of a run.
type Options struct {
	Seed     uint64
	Gateways int                                                      // 0: as the file says
	Choices  *Choices                                                 // in place of the file's
	Make     Maker                                                    // emulated: nil is Designed
	Progress func(seconds float64, up int, believed float64, bad int) // called now and then with how it goes; may be nil
	Log      *zap.Logger                                              // every step and change of state; nil: none
}

// prepare fills in what is not given, and plans the run; usual is the file's number of gateways.
func (o *Options) prepare(e *Experiment, usual, hosts, stays int) ([]Step, error) {
	if o.Gateways == 0 {
		o.Gateways = usual
	}
	if o.Make == nil {
		o.Make = Designed
	}
	if o.Choices == nil {
		o.Choices = &e.Choices
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	steps, err := e.plan(o.Gateways, hosts, stays, o.Seed)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", e.Path, err)
	}
	return steps, nil
}
