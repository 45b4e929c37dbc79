package main

import (
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"merlinjunction/internal/faultsim"
)

// maxSeeds bounds how many seeds one call runs.
const maxSeeds = 1000

// runOptions are the flags of run.
type runOptions struct {
	engine   string
	baseline string
	logFile  string
	program  string
	report   string
	figures  bool
	quiet    bool
	seed     uint64
	seeds    int
	gateways int
}

func runCommand() *cobra.Command {
	var options runOptions
	cmd := &cobra.Command{
		Use:   "run FILE...",
		Short: "Play experiments; ends with 1 where one falls short",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			return options.runFiles(cmd.OutOrStdout(), files)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.engine, "engine", faultsim.EngineEmulated,
		"emulated (virtual time, pure modules) or processes (the real program)")
	flags.StringVar(&options.baseline, "baseline", "",
		"emulated: play a baseline instead: swim (membership); alone, random, blind (choices)")
	flags.BoolVar(&options.figures, "figures", false, "print all that was measured")
	flags.StringVar(&options.logFile, "log", "", "write every step and change of state to a file, as JSON")
	flags.StringVar(&options.program, "program", "",
		"processes: the program (default: beside this one, else built from the sources here)")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of all that is drawn")
	flags.IntVar(&options.seeds, "seeds", 1, "so many seeds, from --seed on")
	flags.IntVar(&options.gateways, "gateways", 0, "another number of gateways than the file's")
	flags.StringVar(&options.report, "report", "",
		"write a page with plots, and the data for compare, into this folder")
	flags.BoolVar(&options.quiet, "quiet", false, "no progress line")
	return cmd
}

// runFiles runs all files. It returns errExpectationNotMet if a bound of any did not hold.
func (o *runOptions) runFiles(out io.Writer, files []string) error {
	allMet := true
	for _, file := range files {
		met, err := o.runFile(out, file, len(files) > 1)
		if err != nil {
			return err
		}
		allMet = allMet && met
	}
	if !allMet {
		return errExpectationNotMet
	}
	return nil
}

// runFile runs one file with all seeds, and reports whether all bounds held. A file that is not for the engine is
// passed over. If there are several files, each has its own folder in the report's.
func (o *runOptions) runFile(out io.Writer, file string, severalFiles bool) (met bool, err error) {
	experiment, err := faultsim.LoadExperiment(file)
	if err != nil {
		return false, err
	}
	knownEngine := o.engine == faultsim.EngineEmulated || o.engine == faultsim.EngineProcesses
	if knownEngine && !slices.Contains(experiment.Engines, o.engine) {
		engines := strings.Join(experiment.Engines, ", ")
		printf(out, "%s: passed over, it is only for the engine %s\n", experiment.Name, engines)
		return true, nil
	}
	results, err := o.runExperiment(experiment)
	if err != nil {
		return false, err
	}
	if o.report != "" {
		dir := o.report
		if severalFiles {
			dir = filepath.Join(dir, experiment.Name)
		}
		report := faultsim.Report{Title: o.reportTitle(experiment), About: experiment.About, Results: results}
		if err := report.Write(dir); err != nil {
			return false, err
		}
	}
	met = true
	for _, result := range results {
		met = o.printResult(out, result) && met
	}
	return met, nil
}

// runExperiment runs an experiment with all seeds on the engine that was asked for.
func (o *runOptions) runExperiment(experiment *faultsim.Experiment) ([]*faultsim.Result, error) {
	log, err := o.logger()
	if err != nil {
		return nil, err
	}
	if o.seeds < 1 || o.seeds > maxSeeds {
		return nil, fmt.Errorf("--seeds: %d is out of range, 1 to %d", o.seeds, maxSeeds)
	}
	switch o.engine {
	case faultsim.EngineEmulated:
		return o.emulate(experiment, log)
	case faultsim.EngineProcesses:
		return o.runProcesses(experiment, log)
	}
	return nil, fmt.Errorf("--engine: unknown engine %q: emulated and processes are known", o.engine)
}

func (o *runOptions) reportTitle(experiment *faultsim.Experiment) string {
	title := experiment.Name + ", " + o.engine
	if o.baseline != "" {
		title += ", " + o.baseline
	}
	return title
}

// printResult prints the result of one seed, and reports whether all bounds held. With several seeds only the verdicts
// that failed are printed.
func (o *runOptions) printResult(out io.Writer, result *faultsim.Result) bool {
	printf(out, "%s, %s, seed %d, %d gateways, %.1f s",
		result.Experiment, result.Engine, result.Seed, result.Gateways, result.Duration.Seconds())
	if result.Engine == faultsim.EngineEmulated {
		printf(out, ", %d datagrams, trace %016x", result.Datagrams, result.Trace)
	}
	printf(out, "\n")
	met := printVerdicts(out, "  ", result.Verdicts, o.seeds == 1)
	if o.figures {
		for _, name := range slices.Sorted(maps.Keys(result.Measurements)) {
			printf(out, "       %s: %.6g\n", name, result.Measurements[name])
		}
	}
	return met
}

// printVerdicts prints all verdicts, or those that failed, and reports whether all bounds held.
func printVerdicts(out io.Writer, indent string, verdicts []faultsim.Verdict, all bool) bool {
	met := true
	for _, verdict := range verdicts {
		if !verdict.OK || all {
			printf(out, "%s%s\n", indent, verdict.Text)
		}
		met = met && verdict.OK
	}
	return met
}

// logger returns the logger of --log; without the flag it drops everything.
func (o *runOptions) logger() (*zap.Logger, error) {
	if o.logFile == "" {
		return zap.NewNop(), nil
	}
	config := zap.NewProductionConfig()
	config.OutputPaths = []string{o.logFile}
	config.Sampling = nil
	config.DisableCaller = true
	log, err := config.Build()
	if err != nil {
		return nil, fmt.Errorf("--log: %w", err)
	}
	return log, nil
}
