package main

import (
	_ "embed"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"merlinjunction/internal/faultsim"
)

// demoExperiment is the experiment of the demo command.
//
//go:embed demo.toml
var demoExperiment string

func demoCommand() *cobra.Command {
	options := runOptions{seed: 1, seeds: 1}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Three gateways, five stub hosts and a load for ten seconds; one gateway is killed on the way",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return options.runDemo(cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.program, "program", "",
		"the program (default: beside this one, else built from the sources here)")
	flags.StringVar(&options.report, "report", "", "write a page with plots into this folder")
	return cmd
}

// runDemo runs the demo and prints what a newcomer wants to know of it.
func (o *runOptions) runDemo(out io.Writer) error {
	experiment, err := faultsim.ParseExperiment("demo.toml", demoExperiment)
	if err != nil {
		return err
	}
	results, err := o.runProcesses(experiment, zap.NewNop())
	if err != nil {
		return err
	}
	if o.report != "" {
		report := faultsim.Report{Title: "demo", About: experiment.About, Results: results}
		if err := report.Write(o.report); err != nil {
			return err
		}
	}
	result := results[0]
	printf(out, "%s\n\n", experiment.About)
	printDemoTable(out, result)
	printf(out, "\n")
	if !printVerdicts(out, "", result.Verdicts, true) {
		return errExpectationNotMet
	}
	return nil
}

func printDemoTable(out io.Writer, result *faultsim.Result) {
	figures := result.Measurements
	table := tabwriter.NewWriter(out, 0, 8, columnPadding, ' ', 0)
	printf(table, "requests\t%.0f: %.0f served, %.0f refused, %.0f failed, %.0f at the gateway that was killed\n",
		figures[faultsim.FigureSent],
		figures[faultsim.FigureServed],
		figures[faultsim.FigureRejected],
		figures[faultsim.FigureFailed],
		figures[faultsim.FigureExcused])
	printf(table, "latency from the intended time\t%.1f ms at the median, %.1f ms at 99 %%\n",
		figures[faultsim.FigureP50Ms], figures[faultsim.FigureP99Ms])
	printf(table, "the killed gateway\tdoubted after %.0f ms, known to all after %.0f ms\n",
		figures[faultsim.FigureSuspectMs], figures[faultsim.FigureAllDetectedMs])
	for i := range len(result.Hosts) {
		host := fmt.Sprintf("h%d", i)
		printf(table, "statements at %s\t%d\n", host, result.Hosts[host])
	}
	_ = table.Flush() // dropped as in printf
}
