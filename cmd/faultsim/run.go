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

// maxSeeds is the largest number of seeds that one command runs.
const maxSeeds = 1000

// runOptions are the flags of the run command. The demo command uses some of them.
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
		Short: "Run experiments; the exit code is 1 if a bound does not hold",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			return options.runFiles(cmd.OutOrStdout(), files)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.engine, "engine", faultsim.EngineEmulated,
		"emulated (gateways without I/O on virtual time) or processes (real processes)")
	flags.StringVar(&options.baseline, "baseline", "",
		"emulated: run a baseline instead: swim (membership); alone, random or blind (host selection)")
	flags.BoolVar(&options.figures, "figures", false, "print all figures")
	flags.StringVar(&options.logFile, "log", "", "write every step and change of state to this file, as JSON")
	flags.StringVar(&options.program, "program", "",
		"processes: path of the gateway's program (default: the one beside this program, else built from source)")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of all random choices")
	flags.IntVar(&options.seeds, "seeds", 1, "number of seeds to run, starting with --seed")
	flags.IntVar(&options.gateways, "gateways", 0, "number of gateways (default: as the file says)")
	flags.StringVar(&options.report, "report", "",
		"write a page with plots, and the data for the compare command, to this directory")
	flags.BoolVar(&options.quiet, "quiet", false, "do not print a progress line")
	return cmd
}

// runFiles runs all files. It returns errExpectationNotMet if any bound did not hold.
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

// runFile runs one file with all seeds and reports whether all bounds held. It skips a file that is not for the engine. If
// there are several files, the report of each is written to its own subdirectory.
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

// runExperiment runs an experiment with all seeds on the engine of --engine.
func (o *runOptions) runExperiment(experiment *faultsim.Experiment) ([]*faultsim.Result, error) {
	log, err := o.logger()
	if err != nil {
		return nil, err
	}
	if o.seeds < 1 || o.seeds > maxSeeds {
		return nil, fmt.Errorf("--seeds: expected 1 to %d, got %d", maxSeeds, o.seeds)
	}
	switch o.engine {
	case faultsim.EngineEmulated:
		return o.emulate(experiment, log)
	case faultsim.EngineProcesses:
		return o.runProcesses(experiment, log)
	}
	return nil, fmt.Errorf("--engine: expected emulated or processes, got %q", o.engine)
}

func (o *runOptions) reportTitle(experiment *faultsim.Experiment) string {
	title := experiment.Name + ", " + o.engine
	if o.baseline != "" {
		title += ", " + o.baseline
	}
	return title
}

// printResult prints the result of one seed and reports whether all bounds held. If there are several seeds, only the
// verdicts that failed are printed.
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

// printVerdicts prints all verdicts, or only those that failed, and reports whether all bounds held.
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

// logger returns a logger that writes to the file of --log. Without the flag the logger discards all entries.
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
