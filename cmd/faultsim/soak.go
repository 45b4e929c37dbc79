package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"merlinjunction/internal/faultsim/soak"
)

// errRuleViolated is the result of a soak in which a run violated a rule of the service.
var errRuleViolated = errors.New("a soak run violated a rule")

// soakOptions are the flags of the soak command.
type soakOptions struct {
	program string
	out     string
	seed    uint64
	runs    int
}

func soakCommand() *cobra.Command {
	var options soakOptions
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run the real program with random faults and signals; the exit code is 1 if a run violates a rule",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.run(cmd.OutOrStdout()) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.program, "program", "",
		"path of the gateway's program (default: the one beside this program, else built from source)")
	flags.StringVar(&options.out, "out", "", "write the plan, figures and violations of each run to this directory, as JSON")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the first run")
	flags.IntVar(&options.runs, "runs", 10, "number of runs, each with the next seed")
	return cmd
}

// run executes all runs, one after another, and prints their results.
func (o *soakOptions) run(out io.Writer) error {
	if o.runs < 1 || o.runs > maxSeeds {
		return fmt.Errorf("--runs: expected 1 to %d, got %d", maxSeeds, o.runs)
	}
	program, cleanUp, err := findProgram(o.program)
	if err != nil {
		return err
	}
	defer cleanUp()
	violatingRuns := 0
	for i := range o.runs {
		result, err := soak.Run(program, o.seed+uint64(i))
		if err != nil {
			return fmt.Errorf("seed %d: %w", o.seed+uint64(i), err)
		}
		if err := o.write(result); err != nil {
			return err
		}
		printSoakResult(out, result)
		if len(result.Violations) > 0 {
			violatingRuns++
		}
	}
	printf(out, "%d runs, %d broke a rule\n", o.runs, violatingRuns)
	if violatingRuns > 0 {
		return errRuleViolated
	}
	return nil
}

// write writes a result to the directory of --out, if the flag is set.
func (o *soakOptions) write(result *soak.Result) error {
	if o.out == "" {
		return nil
	}
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	text, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(o.out, fmt.Sprintf("soak-%d.json", result.Seed)), text, 0o644)
}

// printSoakResult prints one line for a run and one for each violation of a rule.
func printSoakResult(out io.Writer, result *soak.Result) {
	verdict := "ok"
	if len(result.Violations) > 0 {
		verdict = fmt.Sprintf("BROKEN, again with: faultsim soak --seed %d --runs 1", result.Seed)
	}
	printf(out, "seed %d: %s | %s | %s | %s\n", result.Seed, result.Deployment, result.Faults, result.Figures, verdict)
	for _, violation := range result.Violations {
		printf(out, "    %s\n", violation)
	}
}
