package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinjunction/internal/faultsim"
)

const (
	baselineSWIM     = "swim"
	progressInterval = 200 * time.Millisecond
)

// emulate runs an experiment with all seeds on the emulated engine. It runs as many seeds at a time as there are
// processors.
func (o *runOptions) emulate(experiment *faultsim.Experiment, log *zap.Logger) ([]*faultsim.Result, error) {
	options := faultsim.Options{Gateways: o.gateways, Log: log}
	if err := o.applyBaseline(&options, experiment); err != nil {
		return nil, err
	}
	if o.seeds == 1 {
		options.Progress = o.progress(experiment)
	}
	results, errs := make([]*faultsim.Result, o.seeds), make([]error, o.seeds)
	var running sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for i := range o.seeds {
		seedOptions := options
		seedOptions.Seed = o.seed + uint64(i)
		running.Add(1)
		go func() {
			defer running.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i], errs[i] = faultsim.Emulate(experiment, seedOptions)
		}()
	}
	running.Wait()
	return results, errors.Join(errs...)
}

// applyBaseline applies the baseline of --baseline, if one is given. It replaces either the membership protocol or the
// host selection.
func (o *runOptions) applyBaseline(options *faultsim.Options, experiment *faultsim.Experiment) error {
	switch mode := faultsim.SelectionMode(o.baseline); {
	case o.baseline == "":
	case o.baseline == baselineSWIM:
		options.NewNode = faultsim.NewSWIMBaseline
	case mode == faultsim.SelectAllHosts, mode == faultsim.SelectRandom, mode == faultsim.SelectIgnoringStartTimes:
		options.Selection = &faultsim.HostSelection{
			Mode:        mode,
			SubsetSize:  experiment.Selection.SubsetSize,
			CountFactor: 1,
		}
	default:
		return fmt.Errorf("--baseline: expected swim, alone, random or blind, got %q", o.baseline)
	}
	return nil
}

// runProcesses runs an experiment with all seeds on the processes engine, one seed after another.
func (o *runOptions) runProcesses(experiment *faultsim.Experiment, log *zap.Logger) ([]*faultsim.Result, error) {
	program, cleanUp, err := findProgram(o.program)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	var results []*faultsim.Result
	for i := range o.seeds {
		result, err := faultsim.RunProcesses(experiment, program, faultsim.Options{
			Seed:     o.seed + uint64(i),
			Gateways: o.gateways,
			Log:      log,
			Progress: o.progress(experiment),
		})
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// progress returns the function that writes the progress line to standard error. It returns nil if --quiet is set or
// standard error is not a terminal.
func (o *runOptions) progress(experiment *faultsim.Experiment) func(faultsim.Progress) {
	info, err := os.Stderr.Stat()
	if o.quiet || err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	var lastWritten time.Time
	return func(progress faultsim.Progress) {
		ended := progress.Seconds >= experiment.Seconds
		if time.Since(lastWritten) <= progressInterval && !ended {
			return
		}
		lastWritten = time.Now()
		fmt.Fprintf(os.Stderr, "\r%s %7.1f of %.0f s: %4d up, %7.1f believed up, %6d wrong beliefs ",
			experiment.Name, progress.Seconds, experiment.Seconds,
			progress.Up, progress.Believed, progress.WrongBeliefs)
		if ended {
			fmt.Fprintln(os.Stderr)
		}
	}
}
