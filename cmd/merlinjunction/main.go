// Command merlinjunction is a gateway for the PostgreSQL wire protocol between old clients and new servers.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"merlinjunction/internal/server"
)

// version is set at build time for a release.
var version = "development"

const configUsage = "operator's TOML file, which enables the extended frontend" +
	" (default: the platform's file that " + server.ConfigVariable + " names)"

func main() {
	if err := rootCommand().Execute(); err != nil {
		printf(os.Stderr, "merlinjunction: %v\n", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "merlinjunction", Short: "A gateway for the PostgreSQL wire protocol",
		SilenceUsage: true, SilenceErrors: true,
	}
	cmd.AddCommand(serveCommand(), checkCommand(), membersCommand(), versionCommand())
	return cmd
}

// loadConfig loads the operator's file if its path is given, otherwise the platform's configuration.
func loadConfig(operatorPath string) (*server.Config, error) {
	var config *server.Config
	var err error
	if operatorPath != "" {
		config, err = server.LoadOperator(operatorPath)
	} else {
		config, err = server.LoadPlatform(os.Getenv(server.ConfigVariable), os.Getenv)
	}
	if err != nil {
		return nil, err
	}
	return config, config.ApplyInheritedListener(os.Getenv)
}

func checkCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "check", Short: "Check the configuration and exit", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config, err := loadConfig(path)
			if err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "%d classes, %d hosts, listening on %s: fine\n",
				len(config.Settings.Classes), len(config.KnownHosts), config.Listen)
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
			goVersion := "go"
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = info.GoVersion
			}
			printf(cmd.OutOrStdout(), "merlinjunction %s (%s)\n", version, goVersion)
		},
	}
}

// printf prints for the user. It ignores errors, because there is no other output to report them on.
func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }
