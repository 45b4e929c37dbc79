package server

import (
	"net/http"
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

// deployments are unlike each other: other names and numbers of classes, keyed and unsafe writes, lists pushed and asked
// for, with and without tenants and probes, graces and deadlines several times as long.
var deployments = []struct {
	name, file string
	words      map[string]string
}{
	{"keyed", "../../cmd/merlinjunction/testdata/platform/config.json", map[string]string{
		"slow": "long", "write": "write", "td": "t=x,d", "pastgrace": "2100", "repeated": "T D C", "runs": "2"}},
	{"unsafe", "testdata/deployments/short.json", map[string]string{
		"slow": "archive", "write": "valve-set", "td": "d", "pastgrace": "700", "repeated": "E", "runs": "1"}},
}

// Each crossing of two events, in both orders, at each deployment.
func TestCrossings(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			testkit.PlayWith(t, "testdata/crossings", d.words, func(t *testing.T, c *testkit.Cluster) testkit.Gateway {
				cfg, err := deployed(t, d.file, c)
				return run(t, cfg, err)
			})
		})
	}
}

// The extended front keeps the same rules.
func TestExtendedCrossings(t *testing.T) {
	testkit.Play(t, "testdata/crossingsextended", func(t *testing.T, c *testkit.Cluster) testkit.Gateway {
		web := httptest.NewServer(c)
		t.Cleanup(web.Close)
		cfg, err := loadOperator(t, operatorText(t, web.Listener.Addr().String()))
		if err == nil {
			cfg.ConnectTimeoutMs = 20_000
		}
		return run(t, cfg, err)
	})
}

// deployed is a deployment's configuration, with time for connections that are long in coming.
func deployed(t *testing.T, file string, c *testkit.Cluster) (*Config, error) {
	web := httptest.NewServer(http.Handler(c))
	t.Cleanup(web.Close)
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	whole := strings.Replace(string(text), "DISCOVERY", web.Listener.Addr().String(), 1)
	if err := os.WriteFile(path, []byte(whole), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := LoadPlatform(path, func(string) string { return "" })
	if err == nil {
		cfg.ConnectTimeoutMs = 20_000
	}
	return cfg, err
}

// InHand is how many requests have no answer yet.
func (r *running) InHand() int {
	n := make(chan int, 1)
	r.loop.Notify(func() { n <- r.core.OpenRequests() })
	select {
	case v := <-n:
		return v
	case <-r.done:
		return 0
	}
}

// played is a gateway whose clock the test sets on.
type played struct {
	*running
	us atomic.Int64
}

func play(t *testing.T, file string, c *testkit.Cluster) *played {
	t.Helper()
	cfg, err := deployed(t, file, c)
	if err != nil {
		t.Fatal(err)
	}
	g := &played{}
	g.us.Store(time.Now().UnixMicro())
	p, err := New(cfg, zap.NewNop(), eventloop.VirtualClock(func() float64 { return float64(g.us.Load()) / 1000 }))
	if err != nil {
		t.Fatal(err)
	}
	g.running = &running{Server: p, done: make(chan struct{})}
	return g
}

func (g *played) start() {
	go func() {
		g.err = g.Run()
		close(g.done)
	}()
}

// pass lets time go by, a round of the loop every 10 ms of it.
func (g *played) pass(ms int) {
	for range ms / 10 {
		g.us.Add(10_000)
		g.InHand()
	}
}

// until lets other goroutines get on while the clock stands still.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never came: " + what)
		}
	}
}

// A client keeps its connection busy beyond SIGTERM, with more time than the platform leaves before SIGKILL. Whatever came
// more than 0.7 s after SIGTERM and finds no answer by SIGKILL is lost.
func TestNothingIsOpenWhenSIGKILLComes(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			c, err := testkit.NewCluster("a", "b", "c")
			if err != nil {
				t.Fatal(err)
			}
			g := play(t, d.file, c)
			g.start()
			p := testkit.Player{Cluster: c, Gateway: g}
			step := func(line string) {
				t.Helper()
				for name, to := range d.words {
					line = strings.ReplaceAll(line, "$"+name, to)
				}
				if err := p.Step(line); err != nil {
					t.Fatalf("%s: %v", line, err)
				}
			}
			g.pass(2000) // discovery has had its time
			p.Init()
			step("send c startup | query SELECT v FROM records WHERE k = 'hang1' /* id=01,c=$slow,$td=2000,cluster=0 */")
			step("expect c R K Z")
			until(t, "the first request", func() bool { return g.InHand() == 1 && len(c.Runs("hang1")) > 0 })
			g.Stop()
			g.pass(800)
			step("send c query SELECT v FROM records WHERE k = 'hang2' /* id=02,c=$slow,$td=60000,cluster=0 */")
			until(t, "the second request", func() bool { return g.InHand() == 2 })
			g.pass(3000 + 700 - 800 - 10) // the longest deadline, taken as 3 s, and 0.7 s after SIGTERM
			if n := g.InHand(); n != 0 {
				t.Errorf("%d requests have no answer when SIGKILL comes", n)
			}
			step("expect c E Z E Z eof")
			g.pass(1000)
			if err := g.Wait(); err != nil || g.abandoned != 0 {
				t.Errorf("%v, %d connections were left", err, g.abandoned)
			}
		})
	}
}

// SIGTERM before the loop runs, and right behind a SIGHUP.
func TestStopComesBeforeTheStartOrBehindAReload(t *testing.T) {
	for _, before := range []bool{true, false} {
		c, err := testkit.NewCluster("a", "b", "c")
		if err != nil {
			t.Fatal(err)
		}
		g := play(t, deployments[0].file, c)
		if before {
			g.Stop()
			g.start()
		} else {
			g.start()
			g.pass(1000)
			g.loop.Notify(func() { g.reload(reloadTries) })
			g.Stop()
		}
		g.pass(1000)
		if err := g.Wait(); err != nil || g.abandoned != 0 {
			t.Errorf("before the start %v: %v, %d connections were left", before, err, g.abandoned)
		}
	}
}
