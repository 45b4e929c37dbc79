// Command merlinlab is the laboratory: it plays experiments on a fleet of gateways.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"sync"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"merlinjunction/internal/lab"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "merlinlab:", err)
		os.Exit(1)
	}
}

// errShort is the end of a run in which an expectation was not met.
var errShort = errors.New("an expectation was not met")

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use: "merlinlab", Short: "Play experiments on a fleet of gateways", SilenceUsage: true, SilenceErrors: true,
	}
	cmd.AddCommand(runCommand())
	return cmd
}

func runCommand() *cobra.Command {
	var engine, baseline, logFile string
	var seed uint64
	var seeds, gateways int
	cmd := &cobra.Command{
		Use: "run FILE...", Short: "Play experiments; ends with 1 where one falls short", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			short, maker := false, lab.Designed
			switch baseline {
			case "":
			case "swim":
				maker = lab.Baseline
			default:
				return fmt.Errorf("--baseline: unknown baseline %q, swim is known", baseline)
			}
			log := zap.NewNop()
			if logFile != "" {
				c := zap.NewProductionConfig()
				c.OutputPaths, c.Sampling, c.DisableCaller = []string{logFile}, nil, true
				var err error
				if log, err = c.Build(); err != nil {
					return fmt.Errorf("--log: %w", err)
				}
			}
			for _, file := range files {
				e, err := lab.LoadExperiment(file)
				if err != nil {
					return err
				}
				results := make([]*lab.Result, seeds)
				errs := make([]error, seeds)
				var wg sync.WaitGroup
				room := make(chan struct{}, runtime.NumCPU())
				for i := range seeds {
					wg.Add(1)
					go func() {
						defer wg.Done()
						room <- struct{}{}
						results[i], errs[i] = lab.Emulate(e, lab.Options{Seed: seed + uint64(i), Gateways: gateways, Make: maker, Log: log})
						<-room
					}()
				}
				wg.Wait()
				for i, r := range results {
					if errs[i] != nil {
						return errs[i]
					}
					fmt.Printf("%s seed %d, %d gateways, %d datagrams, %.1f s, trace %x\n", e.Name, r.Seed, r.Gateways, r.Datagrams, r.Took.Seconds(), r.Trace)
					for _, v := range r.Verdicts {
						if !v.OK || seeds == 1 {
							fmt.Println("  " + v.Text)
						}
						short = short || !v.OK
					}
				}
			}
			if short {
				return errShort
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&engine, "engine", "emulated", "emulated or processes")
	cmd.Flags().StringVar(&baseline, "baseline", "", "play a baseline instead: swim")
	cmd.Flags().StringVar(&logFile, "log", "", "write every step and change of state to a file, as JSON")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the emulated engine")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "so many seeds, from --seed on")
	cmd.Flags().IntVar(&gateways, "gateways", 0, "another number of gateways")
	return cmd
}
