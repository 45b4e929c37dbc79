package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"merlinjunction/internal/server"
)

func serveCommand() *cobra.Command {
	var verbose bool
	var path string
	var subsetSize int
	cmd := &cobra.Command{
		Use: "serve", Short: "Serve until SIGTERM", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			config, err := loadConfig(path)
			if err != nil {
				return err
			}
			if err := applySubsetFlag(config, subsetSize); err != nil {
				return err
			}
			log, err := newLogger(verbose)
			if err != nil {
				return err
			}
			return server.Serve(config, log)
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", configUsage)
	cmd.Flags().IntVar(&subsetSize, "subset", 0,
		"platform frontend: number of hosts of each group to prefer, chosen by the gateway's number (0: all)")
	cmd.Flags().BoolVarP(&verbose, "verbose", "v", false, "log failed connections too")
	return cmd
}

// applySubsetFlag sets how many hosts of each group the gateway prefers. 0 leaves the configuration unchanged.
func applySubsetFlag(config *server.Config, subsetSize int) error {
	switch {
	case subsetSize < 0:
		return fmt.Errorf("--subset: %d is out of range, expected 0 or more", subsetSize)
	case subsetSize > 0 && config.Operator != nil:
		return errors.New("--subset: not allowed with an operator's file, set rules.subset in the file instead")
	case subsetSize > 0:
		config.Settings.SubsetSize = subsetSize
	}
	return nil
}

// newLogger writes JSON lines to standard error, with the time in Unix milliseconds.
func newLogger(verbose bool) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.EncoderConfig.EncodeTime = zapcore.EpochMillisTimeEncoder
	if verbose {
		config.Level.SetLevel(zap.DebugLevel)
	}
	return config.Build()
}
