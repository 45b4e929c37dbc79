package server

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"merlinjunction/internal/testkit"
)

// A reload must apply the host list of the file. If the file is invalid, the previous list must stay in use.
func TestReload(t *testing.T) {
	var path string
	fileText := func(cluster *testkit.Cluster, state string) string {
		_, text, _ := strings.Cut(operatorText(t, "127.0.0.1:1"), "\n") // without the first line, the discovery address
		for _, id := range []string{"a", "b"} {
			text += fmt.Sprintf("[[host]]\nid = %q\naddress = %q\nstate = %q\n", id, cluster.Addr(id), state)
			state = "ready"
		}
		return text
	}
	player := testkit.NewPlayer(t, func(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
		tb.Helper()
		path = writeFile(tb, "operator.toml", fileText(cluster, "ready"))
		config, err := LoadOperator(path)
		return runGateway(tb, config, err)
	}, "a", "b")
	g := player.Gateway.(*runningGateway)
	reloadWith := func(stateOfA string) {
		t.Helper()
		overwriteFile(t, path, fileText(player.Cluster, stateOfA))
		g.loop.Post(func() { g.reload(1) })
	}
	insert := func(key, host string) {
		t.Helper()
		playSteps(t, player,
			"send c query INSERT INTO setpoints VALUES ('g', '"+key+"', 'v')", "expect c C:INSERT_0_1 Z", "ran "+key+" "+host)
	}
	playSteps(t, player, "send c startup", "expect c R K Z")
	insert("k1", "a")
	reloadWith("asleep")
	insert("k2", "a")
	reloadWith("draining")
	_ = player.Step("host b primary")
	insert("k3", "b")
}

// After a reload the platform's gateway must follow the endpoint list at the address that the file then has. Until that
// address has sent the list, and while the file is incomplete, the gateway must serve with the list that it has.
func TestReloadChangesDiscoveryAddress(t *testing.T) {
	var path, text string
	oldDiscovery := httptest.NewServer(nil)
	player := testkit.NewPlayer(t, func(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
		tb.Helper()
		oldDiscovery.Config.Handler = cluster
		text = platformText(tb, oldDiscovery.Listener.Addr().String())
		path = writeFile(tb, "config.json", text)
		config, err := LoadPlatform(path, noEnvironment)
		return runGateway(tb, config, err)
	}, "a", "b")
	g := player.Gateway.(*runningGateway)
	serves := func(id string) {
		t.Helper()
		playSteps(t, player,
			"send "+id+" startup | query SELECT v FROM records WHERE k = 's' /* id="+id+",c=read,t=x,d=900,cluster=0 */",
			"expect "+id+" R K Z T D C Z")
	}
	reload := func() { g.loop.Post(func() { g.reload(maxReloadAttempts) }) }
	polled := make(chan bool, 1)
	newDiscovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		player.Cluster.ServeHTTP(w, r)
		select {
		case polled <- true:
		default:
		}
	}))
	t.Cleanup(newDiscovery.Close)
	overwriteFile(t, path, text[:len(text)/2])
	reload()
	reload()
	oldDiscovery.CloseClientConnections()
	oldDiscovery.Close()
	serves("01")
	overwriteFile(t, path, platformText(t, newDiscovery.Listener.Addr().String()))
	select {
	case <-polled:
	case <-time.After(10 * time.Second):
		t.Fatal("the gateway did not poll the new address within 10 s")
	}
	serves("02")
}

// The same among real connections: discovery lists a host as draining, and then the file gets one host more.
func TestReloadKeepsADrainThatDiscoveryHasTold(t *testing.T) {
	var path string
	fileText := func(cluster *testkit.Cluster, discovery string, ids ...string) string {
		text := operatorText(t, discovery)
		for _, id := range ids {
			text += fmt.Sprintf("[[host]]\nid = %q\naddress = %q\n", id, cluster.Addr(id))
		}
		return text
	}
	var discovery string
	player := testkit.NewPlayer(t, func(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
		tb.Helper()
		discovery = serveDiscovery(tb, cluster)
		path = writeFile(tb, "operator.toml", fileText(cluster, discovery, "a", "b"))
		config, err := LoadOperator(path)
		return runGateway(tb, config, err)
	}, "a", "b", "c")
	g := player.Gateway.(*runningGateway)
	unavailable := func() int {
		count := make(chan int, 1)
		g.loop.Post(func() { count <- g.core.Stats().TargetsDisabled })
		return <-count
	}
	playSteps(t, player, "host b drain")
	waitUntil(t, "the drain is known", func() bool { return unavailable() == 1 })
	overwriteFile(t, path, fileText(player.Cluster, discovery, "a", "b", "c"))
	g.loop.Post(func() { g.reload(1) })
	waitUntil(t, "the reload is done", func() bool {
		done := make(chan bool, 1)
		g.loop.Post(func() { done <- g.reloadSuccesses == 1 })
		return <-done
	})
	for range 10 {
		playSteps(t, player, "send r startup | query SELECT v FROM archive WHERE k = 'read'", "expect r R K Z T D C Z", "close r")
	}
	for _, host := range player.Cluster.Runs("read") {
		if host == "b" {
			t.Fatal("a read went to the draining host after the reload")
		}
	}
	if unavailable() != 1 {
		t.Error("the drain is not known any more")
	}
}
