// Command merlinjunction lets old clients of the PostgreSQL wire protocol reach new servers.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"merlinjunction/internal/server"
)

// version is set at build time for a release.
var version = "development"

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "merlinjunction:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use: "merlinjunction", Short: "A gateway for the PostgreSQL wire protocol",
		SilenceUsage: true, SilenceErrors: true,
	}
	cmd.AddCommand(serveCommand(), checkCommand(), membersCommand(), versionCommand())
	return cmd
}

// load reads the operator's file where one is named, else the platform's configuration.
func load(path string) (*server.Config, error) {
	var cfg *server.Config
	var err error
	if path != "" {
		cfg, err = server.LoadOperator(path)
	} else {
		cfg, err = server.LoadPlatform(os.Getenv("LB_CONFIG"), os.Getenv)
	}
	if err != nil {
		return nil, err
	}
	return cfg, cfg.ApplyInheritedListener(os.Getenv)
}

const configUsage = "an operator's TOML file, which turns on the extended-query front" +
	" (default: the file that LB_CONFIG names)"

func serveCommand() *cobra.Command {
	var verbose bool
	var path string
	var subset int
	cmd := &cobra.Command{
		Use: "serve", Short: "Serve until SIGTERM", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := load(path)
			if err != nil {
				return err
			}
			switch {
			case subset < 0:
				return fmt.Errorf("--subset: %d is below 0", subset)
			case subset > 0 && path != "":
				return errors.New("--subset: an operator's file has rules.subset instead")
			case subset > 0:
				cfg.Settings.SubsetSize = subset
			}
			log, err := logger(verbose)
			if err != nil {
				return err
			}
			return server.Serve(cfg, log)
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", configUsage)
	cmd.Flags().IntVar(&subset, "subset", 0, "platform front: keep to so many hosts of a group, by the gateway's number (0: all)")
	cmd.Flags().BoolVarP(&verbose, "verbose", "v", false, "log failed connections too")
	return cmd
}

func logger(verbose bool) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.EncoderConfig.EncodeTime = zapcore.EpochMillisTimeEncoder
	if verbose {
		c.Level.SetLevel(zap.DebugLevel)
	}
	return c.Build()
}

func checkCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "check", Short: "Check the configuration and exit", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d classes, %d hosts, listening on %s: fine\n",
				len(cfg.Settings.Classes), len(cfg.KnownHosts), cfg.Listen)
			return nil
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", configUsage)
	return cmd
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			built := "go"
			if info, ok := debug.ReadBuildInfo(); ok {
				built = info.GoVersion
			}
			fmt.Fprintf(cmd.OutOrStdout(), "merlinjunction %s (%s)\n", version, built)
		},
	}
}
