// Command faultsim, the fault simulator, plays experiments on a fleet of gateways.
package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"merlinjunction/internal/faultsim"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "faultsim:", err)
		os.Exit(1)
	}
}

// errShort is the end of a run in which an expectation was not met.
var errShort = errors.New("an expectation was not met")

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use: "faultsim", Short: "Play experiments on a fleet of gateways", SilenceUsage: true, SilenceErrors: true,
	}
	cmd.AddCommand(runCommand(), checkCommand(), compareCommand(), demoCommand())
	return cmd
}

// options are the flags of run.
type options struct {
	engine, baseline, logFile, program string
	figures                            bool
	seed                               uint64
	seeds, gateways, files             int
	quiet                              bool
	report                             string
}

func runCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use: "run FILE...", Short: "Play experiments; ends with 1 where one falls short", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			short := false
			o.files = len(files)
			for _, file := range files {
				ok, err := o.play(cmd, file)
				if err != nil {
					return err
				}
				short = short || !ok
			}
			if short {
				return errShort
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.engine, "engine", "emulated", "emulated (virtual time, pure modules) or processes (the real program)")
	f.StringVar(&o.baseline, "baseline", "", "emulated: play a baseline instead: swim (membership); alone, random, blind (choices)")
	f.BoolVar(&o.figures, "figures", false, "print all that was measured")
	f.StringVar(&o.logFile, "log", "", "write every step and change of state to a file, as JSON")
	f.StringVar(&o.program, "program", "", "processes: the program (default: beside this one, else built from the sources here)")
	f.Uint64Var(&o.seed, "seed", 1, "seed of all that is drawn")
	f.IntVar(&o.seeds, "seeds", 1, "so many seeds, from --seed on")
	f.IntVar(&o.gateways, "gateways", 0, "another number of gateways than the file's")
	f.StringVar(&o.report, "report", "", "write a page with plots, and the data for compare, into this folder")
	f.BoolVar(&o.quiet, "quiet", false, "no progress line")
	return cmd
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Check experiments and print their plans", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			for _, file := range files {
				e, err := faultsim.LoadExperiment(file)
				if err != nil {
					return err
				}
				steps, err := e.Plan(e.Fleet.Gateways, 1)
				if err != nil {
					return fmt.Errorf("%s: %w", file, err)
				}
				printf(cmd.OutOrStdout(), "%s: %d gateways, %d steps in %.0f s: fine\n", file, e.Fleet.Gateways, len(steps), e.Seconds)
			}
			return nil
		},
	}
}

// play plays one file with all seeds; ok tells whether all was met.
func (o *options) play(cmd *cobra.Command, file string) (ok bool, err error) {
	e, err := faultsim.LoadExperiment(file)
	if err != nil {
		return false, err
	}
	if (o.engine == "emulated" || o.engine == "processes") && !slices.Contains(e.Engines, o.engine) {
		printf(cmd.OutOrStdout(), "%s: passed over, it is only for the engine %s\n", e.Name, strings.Join(e.Engines, ", "))
		return true, nil
	}
	log, err := o.logger()
	if err != nil {
		return false, err
	}
	if o.seeds < 1 || o.seeds > 1000 {
		return false, fmt.Errorf("--seeds: %d is out of range, 1 to 1000", o.seeds)
	}
	var results []*faultsim.Result
	switch o.engine {
	case "emulated":
		results, err = o.emulate(e, log)
	case "processes":
		results, err = o.processes(e, log)
	default:
		err = fmt.Errorf("--engine: unknown engine %q: emulated and processes are known", o.engine)
	}
	if err != nil {
		return false, err
	}
	if o.report != "" {
		title := e.Name + ", " + o.engine
		if o.baseline != "" {
			title += ", " + o.baseline
		}
		dir := o.report
		if o.files > 1 {
			dir = filepath.Join(dir, e.Name)
		}
		if err := (&faultsim.Report{Title: title, About: e.About, Results: results}).Write(dir); err != nil {
			return false, err
		}
	}
	out := cmd.OutOrStdout()
	ok = true
	for _, r := range results {
		printf(out, "%s, %s, seed %d, %d gateways, %.1f s", r.Experiment, r.Engine, r.Seed, r.Gateways, r.Took.Seconds())
		if r.Engine == "emulated" {
			printf(out, ", %d datagrams, trace %016x", r.Datagrams, r.Trace)
		}
		printf(out, "\n")
		ok = say(out, "  ", r.Verdicts, o.seeds == 1) && ok
		if o.figures {
			for _, name := range slices.Sorted(maps.Keys(r.Measurements)) {
				printf(out, "       %s: %.6g\n", name, r.Measurements[name])
			}
		}
	}
	return ok, nil
}

// say prints verdicts, all or those that fell short, and tells whether all were met.
func say(out io.Writer, indent string, list []faultsim.Verdict, all bool) bool {
	ok := true
	for _, v := range list {
		if !v.OK || all {
			printf(out, "%s%s\n", indent, v.Text)
		}
		ok = ok && v.OK
	}
	return ok
}

func (o *options) logger() (*zap.Logger, error) {
	if o.logFile == "" {
		return zap.NewNop(), nil
	}
	c := zap.NewProductionConfig()
	c.OutputPaths, c.Sampling, c.DisableCaller = []string{o.logFile}, nil, true
	log, err := c.Build()
	if err != nil {
		return nil, fmt.Errorf("--log: %w", err)
	}
	return log, nil
}

// progress is the live line, on standard error where that is a terminal.
func (o *options) progress(e *faultsim.Experiment) func(float64, int, float64, int) {
	info, err := os.Stderr.Stat()
	if o.quiet || err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	var last time.Time
	return func(seconds float64, up int, believed float64, bad int) {
		if time.Since(last) > 200*time.Millisecond || seconds >= e.Seconds {
			last = time.Now()
			fmt.Fprintf(os.Stderr, "\r%s %7.1f of %.0f s: %4d up, %7.1f believed alive, %6d beliefs wrong ", e.Name, seconds, e.Seconds, up, believed, bad)
			if seconds >= e.Seconds {
				fmt.Fprintln(os.Stderr)
			}
		}
	}
}

func (o *options) emulate(e *faultsim.Experiment, log *zap.Logger) ([]*faultsim.Result, error) {
	maker, choices := faultsim.Designed, (*faultsim.Choices)(nil)
	switch o.baseline {
	case "":
	case "swim":
		maker = faultsim.Baseline
	case "alone", "random", "blind":
		choices = &faultsim.Choices{By: o.baseline, Subset: e.Choices.Subset, Wrong: 1}
	default:
		return nil, fmt.Errorf("--baseline: unknown baseline %q: swim, alone, random and blind are known", o.baseline)
	}
	results, errs := make([]*faultsim.Result, o.seeds), make([]error, o.seeds)
	var wg sync.WaitGroup
	room := make(chan struct{}, runtime.NumCPU())
	for i := range o.seeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			room <- struct{}{}
			defer func() { <-room }()
			opt := faultsim.Options{Seed: o.seed + uint64(i), Gateways: o.gateways, Make: maker, Choices: choices, Log: log}
			if o.seeds == 1 {
				opt.Progress = o.progress(e)
			}
			results[i], errs[i] = faultsim.Emulate(e, opt)
		}()
	}
	wg.Wait()
	return results, errors.Join(errs...)
}

func (o *options) processes(e *faultsim.Experiment, log *zap.Logger) ([]*faultsim.Result, error) {
	program, clean, err := findProgram(o.program)
	if err != nil {
		return nil, err
	}
	defer clean()
	var results []*faultsim.Result
	for i := range o.seeds {
		r, err := faultsim.Processes(e, program, faultsim.Options{Seed: o.seed + uint64(i), Gateways: o.gateways, Log: log, Progress: o.progress(e)})
		if err != nil {
			return nil, err
		}
		results = append(results, r)
	}
	return results, nil
}
