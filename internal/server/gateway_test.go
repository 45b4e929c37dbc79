package server

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/testkit"
)

// runningGateway is a gateway whose event loop runs in a goroutine of the test. It implements testkit.Gateway.
type runningGateway struct {
	*Server
	done chan struct{}
	err  error // error of Run; set before done is closed
}

// runGateway starts a gateway with a loaded configuration. The test fails if err, the error of loading it, is not nil.
func runGateway(tb testing.TB, config *Config, err error) *runningGateway {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
	server, err := New(config, zap.NewNop(), eventloop.SystemClock())
	if err != nil {
		tb.Fatal(err)
	}
	g := &runningGateway{Server: server, done: make(chan struct{})}
	g.start()
	return g
}

func (g *runningGateway) start() {
	go func() {
		g.err = g.Run()
		close(g.done)
	}()
}

// Wait waits until the gateway has stopped.
func (g *runningGateway) Wait() error {
	select {
	case <-g.done:
		return g.err
	case <-time.After(20 * time.Second):
		return fmt.Errorf("the gateway did not stop within 20 s")
	}
}

// RequestsInFlight returns how many requests have no final response yet. Steps of testkit poll it.
func (g *runningGateway) RequestsInFlight() int {
	count := make(chan int, 1)
	g.loop.Post(func() { count <- g.core.OpenRequests() })
	select {
	case n := <-count:
		return n
	case <-g.done:
		return 0
	}
}

// virtualGateway is a gateway whose clock the test advances.
type virtualGateway struct {
	*runningGateway
	clockUs atomic.Int64
}

// newVirtualGateway sets up a gateway with the configuration of a deployment; start runs it.
func newVirtualGateway(tb testing.TB, file string, cluster *testkit.Cluster) *virtualGateway {
	tb.Helper()
	config, err := loadDeployment(tb, file, cluster)
	return virtualGatewayOf(tb, config, err)
}

// virtualGatewayOf sets up a gateway with a loaded configuration. The test fails if err, the error of loading it, is not
// nil.
func virtualGatewayOf(tb testing.TB, config *Config, err error) *virtualGateway {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
	g := &virtualGateway{}
	g.clockUs.Store(time.Now().UnixMicro())
	clock := eventloop.VirtualClock(func() float64 { return float64(g.clockUs.Load()) / 1000 })
	server, err := New(config, zap.NewNop(), clock)
	if err != nil {
		tb.Fatal(err)
	}
	g.runningGateway = &runningGateway{Server: server, done: make(chan struct{})}
	return g
}

// advance moves the clock forward, and waits for a round of the event loop every 10 ms.
func (g *virtualGateway) advance(ms int) {
	for range ms / 10 {
		g.clockUs.Add(10_000)
		g.RequestsInFlight()
	}
}

// waitUntil waits up to 20 s of real time for a condition. It does not advance the virtual clock.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 20 s: " + what)
		}
	}
}

// serveDiscovery serves the endpoint list of a cluster until the test ends, and returns its address.
func serveDiscovery(tb testing.TB, cluster *testkit.Cluster) string {
	tb.Helper()
	discovery := httptest.NewServer(cluster)
	tb.Cleanup(discovery.Close)
	return discovery.Listener.Addr().String()
}

func noEnvironment(string) string { return "" }

// platformText returns the platform's configuration with which cmd/merlinjunction tests the whole program.
func platformText(tb testing.TB, discovery string) string {
	tb.Helper()
	text, err := os.ReadFile("../../cmd/merlinjunction/testdata/platform/config.json")
	if err != nil {
		tb.Fatal(err)
	}
	return strings.Replace(string(text), "DISCOVERY", discovery, 1)
}

// loadPlatformText loads a platform's configuration.
func loadPlatformText(tb testing.TB, text string) (*Config, error) {
	tb.Helper()
	return LoadPlatform(writeFile(tb, "config.json", text), noEnvironment)
}

// loadDeployment loads the configuration of a deployment, with a connect timeout that slow connections don't exceed.
func loadDeployment(tb testing.TB, file string, cluster *testkit.Cluster) (*Config, error) {
	tb.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		tb.Fatal(err)
	}
	config, err := loadPlatformText(tb, strings.Replace(string(text), "DISCOVERY", serveDiscovery(tb, cluster), 1))
	if err == nil {
		config.ConnectTimeoutMs = 20_000
	}
	return config, err
}

func startPlatform(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
	tb.Helper()
	config, err := loadPlatformText(tb, platformText(tb, serveDiscovery(tb, cluster)))
	return runGateway(tb, config, err)
}

func startManagedPlatform(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
	tb.Helper()
	config, err := loadPlatformText(tb, platformText(tb, serveDiscovery(tb, cluster)))
	if err == nil {
		config.Management = "127.0.0.1:0"
	}
	return runGateway(tb, config, err)
}

// operatorText returns deploy/extended.toml with ephemeral ports, with discovery instead of its hosts, and with two more
// classes.
func operatorText(tb testing.TB, discovery string) string {
	tb.Helper()
	text, err := os.ReadFile("../../deploy/extended.toml")
	if err != nil {
		tb.Fatal(err)
	}
	head, rest, headFound := strings.Cut(string(text), "# A host that is to be taken out")
	_, classes, classesFound := strings.Cut(rest, "[[class]]")
	if !headFound || !classesFound {
		tb.Fatal("deploy/extended.toml lacks the comment on hosts or the first [[class]] at which the test cuts it")
	}
	for _, port := range []string{"6432", "6433", "6434"} {
		head = strings.Replace(head, "127.0.0.1:"+port, "127.0.0.1:0", 1)
	}
	return fmt.Sprintf("discovery = %q\n", discovery) + head + "[[class]]" + classes + `
[[class]]
name = "audit"
need = "write"
effect = "unsafe"
aim_ms = 600
deadline_ms = 2000
[[statement]]
pattern = '^INSERT INTO audit'
class = "audit"
[[class]]
name = "archive"
need = "any"
effect = "safe"
aim_ms = 8000
deadline_ms = 10000
[[statement]]
pattern = '^SELECT v FROM archive'
class = "archive"
`
}

// loadOperatorText loads an operator's file.
func loadOperatorText(tb testing.TB, text string) (*Config, error) {
	tb.Helper()
	return LoadOperator(writeFile(tb, "operator.toml", text))
}

func startExtended(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
	tb.Helper()
	config, err := loadOperatorText(tb, operatorText(tb, serveDiscovery(tb, cluster)))
	return runGateway(tb, config, err)
}

// startPositionedExtended starts a gateway whose hosts report their log positions.
func startPositionedExtended(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
	tb.Helper()
	text := strings.Replace(operatorText(tb, serveDiscovery(tb, cluster)), "role_on_change = true",
		"role_on_change = true\nposition_parameter = \"replay_position\"", 1)
	config, err := loadOperatorText(tb, text)
	return runGateway(tb, config, err)
}

// startManagedExtended sets the management address in the file, so that the tests fail if the key is read but not used.
func startManagedExtended(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
	tb.Helper()
	text := "management = \"127.0.0.1:0\"\n" + operatorText(tb, serveDiscovery(tb, cluster))
	config, err := loadOperatorText(tb, text)
	return runGateway(tb, config, err)
}

// startSlowConnectExtended starts a gateway with a connect timeout that slow connections don't exceed.
func startSlowConnectExtended(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
	tb.Helper()
	config, err := loadOperatorText(tb, operatorText(tb, serveDiscovery(tb, cluster)))
	if err == nil {
		config.ConnectTimeoutMs = 20_000
	}
	return runGateway(tb, config, err)
}

// writeFile writes a file into a new temporary directory, and returns its path.
func writeFile(tb testing.TB, name, text string) string {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), name)
	overwriteFile(tb, path, text)
	return path
}

func overwriteFile(tb testing.TB, path, text string) {
	tb.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
}

// playSteps plays the steps, and fails the test at the first one that fails.
func playSteps(t *testing.T, player *testkit.Player, steps ...string) {
	t.Helper()
	for _, step := range steps {
		if err := player.Step(step); err != nil {
			t.Fatalf("%s: %v", step, err)
		}
	}
}
