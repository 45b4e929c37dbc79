package main

import (
	_ "embed"
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"merlinjunction/internal/faultsim"
)

// demoExperiment is played by demo.
//
//go:embed demo.toml
var demoExperiment string

func demoCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use: "demo", Short: "Three gateways, five stub hosts and a load for ten seconds; one gateway is killed on the way", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			e, err := faultsim.ParseExperiment("demo.toml", demoExperiment)
			if err != nil {
				return err
			}
			results, err := o.processes(e, zap.NewNop())
			if err != nil {
				return err
			}
			r := results[0]
			if o.report != "" {
				if err := (&faultsim.Report{Title: "demo", About: e.About, Results: results}).Write(o.report); err != nil {
					return err
				}
			}
			out, f := cmd.OutOrStdout(), r.Measurements
			printf(out, "%s\n\n", e.About)
			w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
			printf(w, "requests\t%.0f: %.0f served, %.0f refused, %.0f failed, %.0f at the gateway that was killed\n",
				f["sent"], f["served"], f["refused"], f["failed"], f["excused"])
			printf(w, "latency from the intended time\t%.1f ms at the median, %.1f ms at 99 %%\n", f["p50_ms"], f["p99_ms"])
			printf(w, "the killed gateway\tdoubted after %.0f ms, known to all after %.0f ms\n", f["suspect_ms"], f["everyone_ms"])
			for h := range len(r.Hosts) {
				name := fmt.Sprintf("h%d", h)
				printf(w, "statements at %s\t%d\n", name, r.Hosts[name])
			}
			_ = w.Flush()
			printf(out, "\n")
			if !say(out, "", r.Verdicts, true) {
				return errShort
			}
			return nil
		},
	}
	o.seed, o.seeds = 1, 1
	cmd.Flags().StringVar(&o.program, "program", "", "the program (default: beside this one, else built from the sources here)")
	cmd.Flags().StringVar(&o.report, "report", "", "write a page with plots into this folder")
	return cmd
}

func compareCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use: "compare A B", Short: "Put two reports side by side", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			rows, err := faultsim.Compare(args[0], args[1], dir)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
			printf(w, "\t%s\t%s\n", args[0], args[1])
			for _, row := range rows {
				printf(w, "%s\t%s\t%s\n", row.Name, row.Values[0], row.Values[1])
			}
			return w.Flush()
		},
	}
	cmd.Flags().StringVar(&dir, "report", "", "write a page with both into this folder")
	return cmd
}
