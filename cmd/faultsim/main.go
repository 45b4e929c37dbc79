// Command faultsim is the fault simulator. It runs experiments on a fleet of gateways.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// errExpectationNotMet is the result of a run in which a bound of an experiment did not hold.
var errExpectationNotMet = errors.New("an expectation was not met")

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "faultsim:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "faultsim",
		Short:         "Run experiments on a fleet of gateways",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(runCommand(), checkCommand(), compareCommand(), demoCommand(), soakCommand())
	return cmd
}
