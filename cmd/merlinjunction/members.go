package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"merlinjunction/internal/frontend/management"
	"merlinjunction/internal/server"
)

const (
	membersTimeout       = 3 * time.Second
	maxMembersBytes      = 4 << 20
	defaultWatchInterval = time.Second
	minWatchInterval     = 100 * time.Millisecond
	// shownTimeResolution rounds the time that a member has been in its state.
	shownTimeResolution = 100 * time.Millisecond
)

// membersOptions are the flags of the members command.
type membersOptions struct {
	address  string
	config   string
	json     bool
	watch    bool
	interval time.Duration
}

func membersCommand() *cobra.Command {
	var options membersOptions
	cmd := &cobra.Command{
		Use: "members", Short: "Show what a running gateway knows of its fleet", Args: cobra.NoArgs,
		Long: "Show what a running gateway knows of its fleet. Asks its management address: " +
			"--address, the one in --config,\nor LB_MANAGEMENT. Ends with 1 where the gateway can't be asked or has no fleet.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runMembers(cmd.Context(), cmd.OutOrStdout(), options)
		},
	}
	flags := cmd.Flags()
	flags.StringVarP(&options.address, "address", "a", "", "the gateway's management address")
	flags.StringVarP(&options.config, "config", "c", "", "an operator's file that names it")
	flags.BoolVar(&options.json, "json", false, "print the answer as it is")
	flags.BoolVarP(&options.watch, "watch", "w", false, "go on and print each change of state")
	flags.DurationVar(&options.interval, "every", defaultWatchInterval, "with --watch: how often to ask")
	return cmd
}

func runMembers(ctx context.Context, out io.Writer, options membersOptions) error {
	address, err := managementAddress(options)
	if err != nil {
		return err
	}
	if options.interval < minWatchInterval {
		return fmt.Errorf("--every: %v is too often, 100ms at least", options.interval)
	}
	if options.watch {
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		watcher := &membersWatcher{address: address, out: out, json: options.json}
		watcher.run(ctx, options.interval)
		return nil
	}
	text, fleet, err := fetchMembers(ctx, address)
	if err != nil {
		return err
	}
	if options.json {
		_, err := out.Write(text)
		return err
	}
	return showMembers(out, fleet)
}

// managementAddress finds the address to ask: the flag, the operator's file or the environment, in this order.
func managementAddress(options membersOptions) (string, error) {
	address := options.address
	if address == "" && options.config != "" {
		config, err := server.LoadOperator(options.config)
		if err != nil {
			return "", err
		}
		address = config.Management
	}
	if address == "" {
		address = os.Getenv("LB_MANAGEMENT")
	}
	if address == "" {
		return "", errors.New("no management address: give --address, or --config with a file that has `management`")
	}
	return address, nil
}

// fetchMembers asks a gateway for its view of the fleet, and returns the response as it is and decoded.
func fetchMembers(ctx context.Context, address string) ([]byte, *management.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/members", nil)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, fmt.Errorf("the gateway can't be asked: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	text, err := io.ReadAll(io.LimitReader(response.Body, maxMembersBytes))
	if err != nil {
		return nil, nil, fmt.Errorf("the gateway can't be asked: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, nil, fmt.Errorf("%s: %s", address, strings.TrimSpace(string(text)))
	}
	fleet := &management.Fleet{}
	if err := json.Unmarshal(text, fleet); err != nil {
		return nil, nil, fmt.Errorf("%s: its answer is not understood: %w", address, err)
	}
	return text, fleet, nil
}

// showMembers prints a summary and a table of the members.
func showMembers(out io.Writer, fleet *management.Fleet) error {
	partial := ""
	if fleet.Partial {
		partial = ", sees only a part"
	}
	printf(out, "fleet %s, seen by %s (%s%s): %d alive, %d suspect, %d unreachable, %d dead, %d left\n",
		fleet.Name, fleet.Self, fleet.Status, partial, fleet.Alive, fleet.Suspect, fleet.Unreachable, fleet.Dead, fleet.Left)
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	printf(table, "NAME\tSTATE\tFOR\tZONE\tADDRESS\tINCARNATION\tVERSION\n")
	for _, member := range fleet.Members {
		name := member.Name
		if name == fleet.Self {
			name += " *"
		}
		inState := time.Duration(member.StateAgeMs * 1e6).Round(shownTimeResolution)
		printf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n",
			name, member.State, inState, member.Zone, member.Address, member.Incarnation, member.Version)
	}
	return table.Flush()
}
