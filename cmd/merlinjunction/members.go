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
	askPatience = 3 * time.Second
	mostAnswer  = 4 << 20
)

func membersCommand() *cobra.Command {
	var address, config string
	var raw, watch bool
	var every time.Duration
	cmd := &cobra.Command{
		Use: "members", Short: "Show what a running gateway knows of its fleet", Args: cobra.NoArgs,
		Long: "Show what a running gateway knows of its fleet. Asks its management address: --address, the one in --config,\n" +
			"or LB_MANAGEMENT. Ends with 1 where the gateway can't be asked or has no fleet.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			address, err := managementOf(address, config)
			if err != nil {
				return err
			}
			if every < 100*time.Millisecond {
				return fmt.Errorf("--every: %v is too often, 100ms at least", every)
			}
			out := cmd.OutOrStdout()
			if !watch {
				f, text, err := askMembers(cmd.Context(), address)
				if err != nil {
					return err
				}
				return showMembers(out, f, text, raw)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return watchMembers(ctx, out, address, raw, every)
		},
	}
	cmd.Flags().StringVarP(&address, "address", "a", "", "the gateway's management address")
	cmd.Flags().StringVarP(&config, "config", "c", "", "an operator's file that names it")
	cmd.Flags().BoolVar(&raw, "json", false, "print the answer as it is")
	cmd.Flags().BoolVarP(&watch, "watch", "w", false, "go on and print each change of state")
	cmd.Flags().DurationVar(&every, "every", time.Second, "with --watch: how often to ask")
	return cmd
}

// managementOf finds the management address.
func managementOf(address, config string) (string, error) {
	if address == "" && config != "" {
		cfg, err := server.LoadOperator(config)
		if err != nil {
			return "", err
		}
		address = cfg.Management
	}
	if address == "" {
		address = os.Getenv("LB_MANAGEMENT")
	}
	if address == "" {
		return "", errors.New("no management address: give --address, or --config with a file that has `management`")
	}
	return address, nil
}

func askMembers(ctx context.Context, address string) (*management.Fleet, string, error) {
	ctx, cancel := context.WithTimeout(ctx, askPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/members", nil)
	if err != nil {
		return nil, "", fmt.Errorf("%s: %w", address, err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", fmt.Errorf("the gateway can't be asked: %w", err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, mostAnswer))
	if err != nil {
		return nil, "", fmt.Errorf("the gateway can't be asked: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return nil, "", fmt.Errorf("%s: %s", address, strings.TrimSpace(string(text)))
	}
	f := &management.Fleet{}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, "", fmt.Errorf("%s: its answer is not understood: %w", address, err)
	}
	return f, string(text), nil
}

func showMembers(out io.Writer, f *management.Fleet, text string, raw bool) error {
	if raw {
		_, err := io.WriteString(out, text)
		return err
	}
	part := ""
	if f.Partial {
		part = ", sees only a part"
	}
	fmt.Fprintf(out, "fleet %s, seen by %s (%s%s): %d alive, %d suspect, %d unreachable, %d dead, %d left\n",
		f.Name, f.Self, f.Status, part, f.Alive, f.Suspect, f.Unreachable, f.Dead, f.Left)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tSTATE\tFOR\tZONE\tADDRESS\tINCARNATION\tVERSION")
	for _, m := range f.Members {
		name := m.Name
		if name == f.Self {
			name += " *"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", name, m.State, time.Duration(m.ForMs*1e6).Round(100*time.Millisecond), m.Zone,
			m.Address, m.Incarnation, m.Version)
	}
	return w.Flush()
}

// watchMembers prints a line for each change until it is told to stop. A gateway that can't be asked for a while is said
// once and asked again.
func watchMembers(ctx context.Context, out io.Writer, address string, raw bool, every time.Duration) error {
	before := map[string]string{}
	var away bool
	var stands string
	tick := time.NewTicker(every)
	defer tick.Stop()
	say := func(what string, values map[string]string) {
		stamp := time.Now().Format("15:04:05.000")
		if raw {
			values["time"], values["event"] = stamp, what
			text, _ := json.Marshal(values) // strings only
			fmt.Fprintln(out, string(text))
			return
		}
		fmt.Fprintf(out, "%s %s", stamp, what)
		for _, key := range []string{"member", "was", "state", "zone", "address", "cause"} {
			if v := values[key]; v != "" {
				fmt.Fprintf(out, " %s=%s", key, v)
			}
		}
		fmt.Fprintln(out)
	}
	for {
		f, _, err := askMembers(ctx, address)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil && !away:
			away = true
			say("away", map[string]string{"cause": err.Error()})
		case err == nil:
			away = false
			if now := fmt.Sprintf("%s part=%v", f.Status, f.Partial); now != stands {
				stands = now
				say("standing", map[string]string{"member": f.Self, "state": now})
			}
			now := map[string]string{}
			for _, m := range f.Members {
				now[m.Name] = m.State
				if was, known := before[m.Name]; !known || was != m.State {
					say("member", map[string]string{"member": m.Name, "was": was, "state": m.State, "zone": m.Zone, "address": m.Address})
				}
			}
			for name, was := range before {
				if _, known := now[name]; !known {
					say("member", map[string]string{"member": name, "was": was, "state": "forgotten"})
				}
			}
			before = now
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
