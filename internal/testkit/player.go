package testkit

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"merlinjunction/internal/stubserver"
)

// stepTimeout limits each wait of a scenario. It is long so that a slow machine does not change a verdict.
const stepTimeout = 10 * time.Second

// readyPollInterval is the time between attempts to query a gateway that is starting.
const readyPollInterval = 10 * time.Millisecond

// Gateway is the program under test.
type Gateway interface {
	// Addrs returns the addresses for clients, for the agent check and for the HTTP health check.
	Addrs() (clients, agent, http string)
	// Stop begins a graceful shutdown.
	Stop()
	// Wait waits until the program has ended and returns its error.
	Wait() error
}

// Player plays the steps of scenarios against a gateway.
type Player struct {
	Cluster *Cluster
	Gateway Gateway

	clients    map[string]*net.TCPConn
	variables  map[string]string // by name: the value that replaces $NAME in a step
	cancelKeys map[string]string // by client: its BackendKeyData in hex, which replaces $CLIENT in messages
}

// NewPlayer starts the hosts and the gateway and waits until the gateway serves queries. At the end of the test it stops the
// gateway, and the test fails if the gateway ends with an error.
func NewPlayer(tb testing.TB, start StartGateway, hosts ...string) *Player {
	tb.Helper()
	cluster, err := NewCluster(hosts...)
	if err != nil {
		tb.Fatal(err)
	}
	p := &Player{Cluster: cluster, Gateway: start(tb, cluster)}
	p.Init()
	tb.Cleanup(func() {
		for _, conn := range p.clients {
			stubserver.CloseQuietly(conn)
		}
		p.Gateway.Stop()
		if err := p.Gateway.Wait(); err != nil {
			tb.Error(err)
		}
	})
	deadline := time.Now().Add(stepTimeout)
	for ; time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		if p.Step("send ready startup | query") == nil && p.Step("expect ready R K Z I Z") == nil {
			return p
		}
		_ = p.Step("close ready") // an error means that the connection was not opened
	}
	tb.Fatal("the gateway did not become ready within the step timeout")
	return nil
}

// Init initializes a Player that NewPlayer did not create. The caller sets the exported fields that its steps need.
func (p *Player) Init() {
	p.clients = map[string]*net.TCPConn{}
	p.cancelKeys = map[string]string{}
}

// Step plays one line of a scenario. It returns an error if the outcome differs from the expectation or the line is invalid.
func (p *Player) Step(line string) error {
	for name, value := range p.variables {
		line = strings.ReplaceAll(line, "$"+name, value)
	}
	verb, rest, _ := strings.Cut(line, " ")
	name, rest, _ := strings.Cut(rest, " ")
	switch verb {
	case "send", "expect", "close", "half", "reset":
		return p.clientStep(verb, name, rest)
	case "host", "all", "ran", "count":
		return p.hostStep(verb, name, rest)
	case "agent":
		return p.checkAgent(strings.TrimSpace(name + " " + rest))
	case "http":
		return p.checkHTTP(name, rest)
	case "manage":
		return p.manage(name, strings.SplitN(rest, " ", 3))
	case "wait":
		duration, err := parseMilliseconds(name)
		time.Sleep(duration)
		return err
	case "idle":
		return p.awaitIdle(name)
	case "stop":
		p.Gateway.Stop()
		return nil
	case "exit":
		return p.Gateway.Wait()
	}
	return fmt.Errorf("unknown verb %q", verb)
}

// hostStep plays a step that changes hosts or checks what ran at them.
func (p *Player) hostStep(verb, name, rest string) error {
	switch verb {
	case "host":
		return p.Cluster.Change(name, HostChange(rest))
	case "all":
		for _, host := range p.Cluster.hostNames {
			if err := p.Cluster.Change(host, HostChange(name)); err != nil {
				return err
			}
		}
	case "ran":
		if runs := p.Cluster.Runs(name); !slices.Equal(strings.Fields(rest), runs) {
			return fmt.Errorf("the value %q ran at the hosts %v, want [%s]", name, runs, rest)
		}
	case "count":
		if count := strconv.Itoa(len(p.Cluster.Runs(name))); count != rest {
			return fmt.Errorf("the value %q ran %s times, want %s", name, count, rest)
		}
	}
	return nil
}

func parseMilliseconds(text string) (time.Duration, error) {
	ms, err := strconv.Atoi(text)
	return time.Duration(ms) * time.Millisecond, err
}

// awaitIdle waits until the gateway has no request in flight. It returns an error if that takes longer than the time-out.
func (p *Player) awaitIdle(timeoutMs string) error {
	gateway, ok := p.Gateway.(interface{ RequestsInFlight() int })
	if !ok {
		return errors.New("the gateway does not report its number of requests in flight")
	}
	timeout, err := parseMilliseconds(timeoutMs)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(timeout); gateway.RequestsInFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d requests are in flight after %v, want none", gateway.RequestsInFlight(), timeout)
		}
	}
	return nil
}
