package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"merlinjunction/internal/faultsim"
)

// checkSeed is the seed with which the check command makes plans.
const checkSeed = 1

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check experiment files and print the size of their plans",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			for _, file := range files {
				if err := checkFile(cmd.OutOrStdout(), file); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// checkFile loads and plans one experiment and prints the size of its plan.
func checkFile(out io.Writer, file string) error {
	experiment, err := faultsim.LoadExperiment(file)
	if err != nil {
		return err
	}
	gateways := experiment.Fleet.Gateways
	steps, err := experiment.Plan(gateways, checkSeed)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	printf(out, "%s: %d gateways, %d steps in %.0f s: fine\n", file, gateways, len(steps), experiment.Seconds)
	return nil
}
