package main

import (
	"text/tabwriter"

	"github.com/spf13/cobra"

	"merlinjunction/internal/faultsim"
)

// columnPadding is the number of spaces between the columns of tables.
const columnPadding = 2

func compareCommand() *cobra.Command {
	var reportDir string
	cmd := &cobra.Command{
		Use:   "compare A B",
		Short: "Compare the figures of two reports",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, reports []string) error {
			rows, err := faultsim.Compare(reports[0], reports[1], reportDir)
			if err != nil {
				return err
			}
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, columnPadding, ' ', 0)
			printf(table, "\t%s\t%s\n", reports[0], reports[1])
			for _, row := range rows {
				printf(table, "%s\t%s\t%s\n", row.Name, row.Values[0], row.Values[1])
			}
			return table.Flush()
		},
	}
	cmd.Flags().StringVar(&reportDir, "report", "", "write a page with both reports to this directory")
	return cmd
}
