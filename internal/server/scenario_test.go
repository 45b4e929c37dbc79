package server

import (
	"fmt"
	"net"
	"testing"

	"merlinjunction/internal/testkit"
)

func TestPlatform(t *testing.T) { testkit.PlayScenarios(t, "testdata/platform", startPlatform) }

// Queries of one client must run concurrently. The scenario counts those that have run after 60 ms of real time.
func TestPlatformPipeline(t *testing.T) {
	testkit.PlayScenarios(t, "testdata/platformpipeline", startPlatform)
}

func TestExtended(t *testing.T) { testkit.PlayScenarios(t, "testdata/extended", startExtended) }

// Guards against reads that missed the writes of their session, since the session's parameter was bound in another format.
func TestExtendedSessions(t *testing.T) {
	testkit.PlayScenarios(t, "testdata/extendedsessions", startPositionedExtended)
}

func TestManagementCalls(t *testing.T) {
	testkit.PlayScenarios(t, "testdata/managed", startManagedPlatform)
	testkit.PlayScenarios(t, "testdata/managedextended", startManagedExtended)
}

// deployment is a platform configuration, with the values of the variables in the scenarios.
type deployment struct {
	name, file string
	variables  map[string]string
}

// deployments differ in the names and the number of classes, in whether writes have an idempotency key, whether endpoint
// lists are pushed or polled, and whether there are tenants and health checks. The grace period and most deadlines of the
// first one are longer, up to four times.
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

// Plays each pair of overlapping events, in both orders, with each deployment.
func TestOverlappingEvents(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) { testkit.PlayScenariosWith(t, "testdata/overlapping", d.variables, d.start) })
	}
}

// The extended frontend must follow the same rules for overlapping events.
func TestExtendedOverlappingEvents(t *testing.T) {
	testkit.PlayScenarios(t, "testdata/overlappingextended", startSlowConnectExtended)
}

// A gateway at its limit of clients must close idle ones and keep serving.
func TestIdleClientsAreClosedAtTheLimit(t *testing.T) {
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

// A client that sends corrupt messages, or disconnects in the middle of one, must not affect the next client.
func TestMalformedMessages(t *testing.T) {
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

// encode encodes messages, and fails the test if one is malformed.
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

// closeConn closes a client's connection and ignores the error.
func closeConn(conn net.Conn) { _ = conn.Close() }
