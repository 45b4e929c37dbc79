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

// demoExperiment is the experiment file of the demo command.
//
//go:embed demo.toml
var demoExperiment string

func demoCommand() *cobra.Command {
	options := runOptions{seed: 1, seeds: 1}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run three gateways with five stub hosts under load for ten seconds and kill one gateway",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return options.runDemo(cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.program, "program", "",
		"path of the gateway's program (default: the one beside this program, else built from source)")
	flags.StringVar(&options.report, "report", "", "write a page with plots to this directory")
	return cmd
}

// runDemo runs the demo and prints a summary, instead of the figures that the run command prints.
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

// printDemoTable prints the counts of requests, their latency, the detection of the crash and the load of each host.
func printDemoTable(out io.Writer, result *faultsim.Result) {
	figures := result.Measurements
	table := tabwriter.NewWriter(out, 0, 8, columnPadding, ' ', 0)
	printf(table, "requests\t%.0f: %.0f served, %.0f rejected, %.0f failed, %.0f at the gateway that was killed\n",
		figures[faultsim.FigureSent],
		figures[faultsim.FigureServed],
		figures[faultsim.FigureRejected],
		figures[faultsim.FigureFailed],
		figures[faultsim.FigureExcused])
	printf(table, "latency from the intended send time\tmedian %.1f ms, 99th percentile %.1f ms\n",
		figures[faultsim.FigureP50Ms], figures[faultsim.FigureP99Ms])
	printf(table, "the killed gateway\tfirst suspected after %.0f ms, detected by all after %.0f ms\n",
		figures[faultsim.FigureSuspectMs], figures[faultsim.FigureAllDetectedMs])
	for i := range len(result.Hosts) {
		host := fmt.Sprintf("h%d", i)
		printf(table, "statements at %s\t%d\n", host, result.Hosts[host])
	}
	_ = table.Flush() // the error is ignored, as in printf
}
