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
	// shownTimeResolution is the unit to which the time that a member has been in its state is rounded.
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
		Use: "members", Short: "Show a running gateway's view of its fleet", Args: cobra.NoArgs,
		Long: "Show a running gateway's view of its fleet. The gateway is queried at its management address: --address,\n" +
			"the one in --config, or LB_MANAGEMENT. Exits with status 1 if the query fails or the gateway has no fleet.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runMembers(cmd.Context(), cmd.OutOrStdout(), options)
		},
	}
	flags := cmd.Flags()
	flags.StringVarP(&options.address, "address", "a", "", "gateway's management address")
	flags.StringVarP(&options.config, "config", "c", "", "operator's file that contains the management address")
	flags.BoolVar(&options.json, "json", false, "print the gateway's JSON response; with --watch: print each change as JSON")
	flags.BoolVarP(&options.watch, "watch", "w", false, "keep running and print each change of state")
	flags.DurationVar(&options.interval, "every", defaultWatchInterval, "with --watch: interval between queries")
	return cmd
}

func runMembers(ctx context.Context, out io.Writer, options membersOptions) error {
	address, err := managementAddress(options)
	if err != nil {
		return err
	}
	if options.interval < minWatchInterval {
		return fmt.Errorf("--every: %v is too short, expected at least %v", options.interval, minWatchInterval)
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

// managementAddress returns the address to query, from the flag, the operator's file or the environment, in this order.
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
		return "", errors.New("no management address: expected --address, LB_MANAGEMENT, or --config with a file that sets `management`")
	}
	return address, nil
}

// fetchMembers queries a gateway for its view of the fleet, and returns the response both unchanged and decoded.
func fetchMembers(ctx context.Context, address string) ([]byte, *management.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/members", nil)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, fmt.Errorf("querying the gateway failed: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // an error has no consequence after reading
	text, err := io.ReadAll(io.LimitReader(response.Body, maxMembersBytes))
	if err != nil {
		return nil, nil, fmt.Errorf("%s: reading the response failed: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, nil, fmt.Errorf("%s: %s", address, strings.TrimSpace(string(text)))
	}
	fleet := &management.Fleet{}
	if err := json.Unmarshal(text, fleet); err != nil {
		return nil, nil, fmt.Errorf("%s: expected a fleet view in JSON: %w", address, err)
	}
	return text, fleet, nil
}

// showMembers prints a summary of the fleet and a table of its members.
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
		inState := time.Duration(member.ForMs * 1e6).Round(shownTimeResolution)
		printf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n",
			name, member.State, inState, member.Zone, member.Address, member.Incarnation, member.Version)
	}
	return table.Flush()
}
