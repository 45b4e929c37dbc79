package server

import (
	"fmt"
	"net"
	"testing"

	"merlinjunction/internal/testkit"
)

func TestPlatform(t *testing.T) { testkit.PlayScenarios(t, "testdata/platform", startPlatform) }

// Queries of one client run side by side. It counts what has run after 60 ms of real time.
func TestPlatformPipeline(t *testing.T) {
	testkit.PlayScenarios(t, "testdata/platformpipeline", startPlatform)
}

func TestExtended(t *testing.T) { testkit.PlayScenarios(t, "testdata/extended", startExtended) }
func TestManaged(t *testing.T) {
	testkit.PlayScenarios(t, "testdata/managed", startManagedPlatform)
	testkit.PlayScenarios(t, "testdata/managedextended", startManagedExtended)
}

// deployment is a platform configuration with the words of the scenarios that depend on it.
type deployment struct {
	name, file string
	words      map[string]string
}

// deployments are unlike each other: other names and numbers of classes, writes with an idempotency key and without,
// lists that are pushed and polled, with and without tenants and health checks, grace periods and deadlines several
// times as long.
var deployments = []deployment{
	{"keyed", "../../cmd/merlinjunction/testdata/platform/config.json", map[string]string{
		"slow": "long", "write": "write", "td": "t=x,d", "pastgrace": "2100", "repeated": "T D C", "runs": "2"}},
	{"unsafe", "testdata/deployments/short.json", map[string]string{
		"slow": "archive", "write": "valve-set", "td": "d", "pastgrace": "700", "repeated": "E", "runs": "1"}},
}

func (d deployment) start(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
	tb.Helper()
	config, err := loadDeployment(tb, d.file, cluster)
	return runGateway(tb, config, err)
}

// Each crossing of two events, in both orders, at each deployment.
func TestCrossings(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) { testkit.PlayScenariosWith(t, "testdata/crossings", d.words, d.start) })
	}
}

// The extended frontend keeps the same rules.
func TestExtendedCrossings(t *testing.T) {
	testkit.PlayScenarios(t, "testdata/crossingsextended", startSlowConnectExtended)
}

// A gateway that runs out of descriptors for clients closes idle ones, and goes on serving.
func TestManyClients(t *testing.T) {
	player := testkit.NewPlayer(t, func(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
		tb.Helper()
		g := startExtended(tb, cluster).(*runningGateway)
		g.loop.Post(func() { g.clients.MaxClients = 3 })
		return g
	}, "a", "b")
	for i := range 10 {
		name := fmt.Sprint("c", i)
		playSteps(t, player,
			"send "+name+" startup | query SELECT v FROM s WHERE greenhouse = 'g'", "expect "+name+" R K Z T D C Z")
	}
	if err := player.Step("expect c0 eof"); err != nil {
		t.Error(err)
	}
}

// A client that disconnects in the middle of anything must not disturb the next one.
func TestGarbage(t *testing.T) {
	player := testkit.NewPlayer(t, startExtended, "a", "b")
	address, _, _ := player.Gateway.Addrs()
	for seed := range 200 {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		messages := encode(t, "startup", "parse - SELECT v FROM s WHERE greenhouse = $1", "bind - - g", "execute -")
		messages[(seed*37)%len(messages)] ^= byte(1 + seed*11)
		_, _ = conn.Write(messages[:len(messages)-seed%5])
		closeConn(conn)
	}
	playSteps(t, player, "send z startup | query SELECT v FROM s WHERE greenhouse = 'g'", "expect z R K Z T D C Z")
}

// encode encodes messages that are known to be well formed.
func encode(tb testing.TB, messages ...string) []byte {
	tb.Helper()
	var out []byte
	for _, message := range messages {
		var err error
		if out, err = testkit.EncodeMessage(out, message); err != nil {
			tb.Fatal(err)
		}
	}
	return out
}

// closeConn closes a client's connection that the test has no more use for.
func closeConn(conn net.Conn) { _ = conn.Close() }
