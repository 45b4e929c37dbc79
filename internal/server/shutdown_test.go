package server

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"merlinjunction/internal/testkit"
)

// Clients send requests until 0.3 s after SIGTERM, on existing and on new connections. Each request must get a response,
// and the gateway must stop without open requests or connections.
func TestDrainUnderLoad(t *testing.T) {
	player := testkit.NewPlayer(t, startPlatform, "a", "b", "c")
	address, _, _ := player.Gateway.Addrs()
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for n := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			if err := requestUntil(stop, address, n); err != nil {
				t.Error(err)
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	player.Gateway.Stop()
	time.Sleep(300 * time.Millisecond)
	close(stop)
	clients.Wait()
	if err := player.Gateway.Wait(); err != nil {
		t.Fatal(err)
	}
	if g := player.Gateway.(*runningGateway); g.core.OpenRequests() != 0 || g.abandonedConnections != 0 {
		t.Errorf("%d requests and %d connections are still open", g.core.OpenRequests(), g.abandonedConnections)
	}
}

// requestUntil sends requests one after another until stop is closed, every tenth one on a new connection.
func requestUntil(stop <-chan struct{}, address string, client int) error {
	var conn net.Conn
	for i := 0; ; i++ {
		select {
		case <-stop:
			return nil
		default:
		}
		if conn != nil && i%10 == 0 {
			closeConn(conn)
			conn = nil
		}
		var err error
		if conn, err = request(conn, address, fmt.Sprintf("%d-%d", client, i), i%3 == 0); err != nil {
			return fmt.Errorf("client %d, request %d: %w", client, i, err)
		}
	}
}

// request sends one request and waits for its response. It opens a connection if conn is nil, and returns the connection.
func request(conn net.Conn, address, key string, slow bool) (net.Conn, error) {
	var out []byte
	if conn == nil {
		var err error
		if conn, err = net.Dial("tcp4", address); err != nil {
			return nil, err
		}
		out, _ = testkit.EncodeMessage(nil, "startup")
	}
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if slow {
		key += "slow"
	}
	startingUp := len(out) > 0
	query := "query SELECT v FROM records WHERE k = '" + key + "' /* id=" + key + ",c=read,t=x,d=900,cluster=0 */"
	out, _ = testkit.EncodeMessage(out, query)
	if _, err := conn.Write(out); err != nil {
		return conn, err
	}
	for completed := false; ; {
		message, err := testkit.ReadAnswer(conn)
		switch {
		case err != nil:
			return conn, err
		case message[0] == 'C':
			completed = true
		case message == "Z" && startingUp:
			startingUp = false
		case message == "Z" && completed:
			return conn, nil
		case message == "Z":
			return conn, fmt.Errorf("no CommandComplete before ReadyForQuery")
		}
	}
}

// A client keeps its connection busy after SIGTERM, with a deadline beyond the platform's SIGKILL. A request that arrives
// more than 0.7 s after SIGTERM would be lost if it had no response before SIGKILL.
func TestRequestsAnsweredBeforeSIGKILL(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, d.testAnsweredBeforeSIGKILL)
	}
}

func (d deployment) testAnsweredBeforeSIGKILL(t *testing.T) {
	cluster, err := testkit.NewCluster("a", "b", "c")
	if err != nil {
		t.Fatal(err)
	}
	g := newVirtualGateway(t, d.file, cluster)
	g.start()
	player := &testkit.Player{Cluster: cluster, Gateway: g}
	play := func(step string) {
		t.Helper()
		for name, value := range d.variables {
			step = strings.ReplaceAll(step, "$"+name, value)
		}
		playSteps(t, player, step)
	}
	g.advance(2000) // beyond the wait for the endpoint list
	player.Init()
	play("send c startup | query SELECT v FROM records WHERE k = 'hang1' /* id=01,c=$slow,$td=2000,cluster=0 */")
	play("expect c R K Z")
	waitUntil(t, "the first request", func() bool { return g.RequestsInFlight() == 1 && len(cluster.Runs("hang1")) > 0 })
	g.Stop()
	g.advance(800)
	play("send c query SELECT v FROM records WHERE k = 'hang2' /* id=02,c=$slow,$td=60000,cluster=0 */")
	waitUntil(t, "the second request", func() bool { return g.RequestsInFlight() == 2 })
	g.advance(3000 + 700 - 800 - 10) // to SIGKILL: the longest deadline, capped at 3 s, plus 0.7 s, after SIGTERM
	if n := g.RequestsInFlight(); n != 0 {
		t.Errorf("%d requests have no response at SIGKILL", n)
	}
	play("expect c E Z E Z eof")
	g.advance(1000)
	if err := g.Wait(); err != nil || g.abandonedConnections != 0 {
		t.Errorf("stop: error %v, %d connections still open", err, g.abandonedConnections)
	}
}

// The extended frontend handles one message of a client at a time. A message that waits for the responses to earlier ones
// must be answered too before SIGKILL, which follows SIGTERM after the longest deadline plus 0.7 s.
func TestPipelinedRequestsAnsweredBeforeSIGKILL(t *testing.T) {
	cluster, err := testkit.NewCluster("a", "b", "c")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("../../cmd/merlinjunction/testdata/operator/config.toml")
	if err != nil {
		t.Fatal(err)
	}
	config, err := loadOperatorText(t, strings.Replace(string(text), "DISCOVERY", serveDiscovery(t, cluster), 1))
	g := virtualGatewayOf(t, config, err)
	g.start()
	player := &testkit.Player{Cluster: cluster, Gateway: g}
	player.Init()
	g.advance(2000) // beyond the wait for the endpoint list
	playSteps(t, player, "send w startup | query INSERT INTO t VALUES ('first')")
	waitUntil(t, "the primary", func() bool {
		g.advance(10)
		return g.RequestsInFlight() == 0 && len(cluster.Runs("first")) > 0
	})
	playSteps(t, player, "close w", "send c startup | query INSERT INTO t VALUES ('hang1')", "expect c R K Z")
	waitUntil(t, "the first request", func() bool {
		time.Sleep(5 * time.Millisecond)
		g.advance(10) // the request may wait for the settle period of its connection
		return g.RequestsInFlight() == 1 && len(cluster.Runs("hang1")) > 0
	})
	g.Stop()
	g.advance(800)
	playSteps(t, player, "send c query INSERT INTO t VALUES ('hang2') | query INSERT INTO t VALUES ('hang3')")
	const longestDeadlineMs, killMarginMs = 2000, 700
	g.advance(longestDeadlineMs + killMarginMs - 800 - 10)
	if n := g.RequestsInFlight(); n != 0 {
		t.Errorf("%d requests have no response at SIGKILL", n)
	}
	playSteps(t, player, "expect c E Z E Z E Z eof")
	g.advance(1000)
	if err := g.Wait(); err != nil || g.abandonedConnections != 0 {
		t.Errorf("stop: error %v, %d connections still open", err, g.abandonedConnections)
	}
}

// SIGTERM must stop the gateway if it arrives before the event loop runs, or immediately after a SIGHUP.
func TestStopBeforeStartOrAfterReload(t *testing.T) {
	for _, beforeStart := range []bool{true, false} {
		t.Run(fmt.Sprintf("before the start %v", beforeStart), func(t *testing.T) {
			cluster, err := testkit.NewCluster("a", "b", "c")
			if err != nil {
				t.Fatal(err)
			}
			g := newVirtualGateway(t, deployments[0].file, cluster)
			if beforeStart {
				g.Stop()
				g.start()
			} else {
				g.start()
				g.advance(1000)
				g.loop.Post(func() { g.reload(maxReloadAttempts) })
				g.Stop()
			}
			g.advance(1000)
			if err := g.Wait(); err != nil || g.abandonedConnections != 0 {
				t.Errorf("stop: error %v, %d connections still open", err, g.abandonedConnections)
			}
		})
	}
}
