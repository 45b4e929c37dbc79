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
		"platform front: keep to so many hosts of a group, by the gateway's number (0: all)")
	cmd.Flags().BoolVarP(&verbose, "verbose", "v", false, "log failed connections too")
	return cmd
}

// applySubsetFlag sets how many hosts of a group the gateway prefers; 0 leaves the configuration as it is.
func applySubsetFlag(config *server.Config, subsetSize int) error {
	switch {
	case subsetSize < 0:
		return fmt.Errorf("--subset: %d is below 0", subsetSize)
	case subsetSize > 0 && config.Operator != nil:
		return errors.New("--subset: an operator's file has rules.subset instead")
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
