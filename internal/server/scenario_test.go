package server

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/testkit"
)

// running is a gateway in a goroutine of the test.
type running struct {
	*Server
	done chan struct{}
	err  error
}

func run(t *testing.T, cfg *Config, err error) *running {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	p, err := New(cfg, zap.NewNop(), eventloop.SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	r := &running{Server: p, done: make(chan struct{})}
	go func() {
		r.err = p.Run()
		close(r.done)
	}()
	return r
}

func (r *running) Wait() error {
	select {
	case <-r.done:
		return r.err
	case <-time.After(20 * time.Second):
		return fmt.Errorf("the gateway doesn't stop")
	}
}

// platformConfig is the platform's configuration, as the whole program is tested with it.
func platformConfig(t *testing.T, discovery string) string {
	t.Helper()
	text, err := os.ReadFile("../../cmd/merlinjunction/testdata/platform/config.json")
	if err != nil {
		t.Fatal(err)
	}
	return strings.Replace(string(text), "DISCOVERY", discovery, 1)
}

func startPlatform(t *testing.T, c *testkit.Cluster) testkit.Gateway { return startAs(t, c, nil) }

func startManaged(t *testing.T, c *testkit.Cluster) testkit.Gateway {
	return startAs(t, c, func(cfg *Config) { cfg.Management = "127.0.0.1:0" })
}

func startAs(t *testing.T, c *testkit.Cluster, change func(*Config)) testkit.Gateway {
	web := httptest.NewServer(http.Handler(c))
	t.Cleanup(web.Close)
	path := filepath.Join(t.TempDir(), "config.json")
	text := platformConfig(t, web.Listener.Addr().String())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := LoadPlatform(path, func(string) string { return "" })
	if err == nil && change != nil {
		change(cfg)
	}
	return run(t, cfg, err)
}

// operatorText is deploy/extended.toml with ephemeral ports, discovery in place of its hosts, and two classes more.
func operatorText(t *testing.T, discovery string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/extended.toml")
	if err != nil {
		t.Fatal(err)
	}
	head, rest, ok := strings.Cut(string(text), "# A host that is to be taken out")
	_, classes, also := strings.Cut(rest, "[[class]]")
	if !ok || !also {
		t.Fatal("deploy/extended.toml has changed its form")
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

func loadOperator(t *testing.T, text string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadOperator(path)
}

func startExtended(t *testing.T, c *testkit.Cluster) testkit.Gateway { return startOperator(t, c, "") }

// A key that was read and not passed on went unnoticed: the program started without its management address.
func startManagedExtended(t *testing.T, c *testkit.Cluster) testkit.Gateway {
	return startOperator(t, c, "management = \"127.0.0.1:0\"\n")
}

func startOperator(t *testing.T, c *testkit.Cluster, more string) testkit.Gateway {
	web := httptest.NewServer(c)
	t.Cleanup(web.Close)
	cfg, err := loadOperator(t, more+operatorText(t, web.Listener.Addr().String()))
	return run(t, cfg, err)
}

func TestPlatform(t *testing.T) { testkit.Play(t, "testdata/platform", startPlatform) }
func TestExtended(t *testing.T) { testkit.Play(t, "testdata/extended", startExtended) }
func TestManaged(t *testing.T) {
	testkit.Play(t, "testdata/managed", startManaged)
	testkit.Play(t, "testdata/managedextended", startManagedExtended)
}

func TestBadConfigurationIsNamed(t *testing.T) {
	good := operatorText(t, "127.0.0.1:1")
	if _, err := loadOperator(t, good); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`need = "session"`, `need = "sesion"`, "class 2"},
		{`class = "own-settings"`, `class = "own"`, "statement 2: class"},
		{`checks = "none"`, `checks = "some"`, "rules.checks"},
		{`gateways = 1`, `gatewys = 1`, "rules.gatewys"},
		{`describe_class = "describe"`, `describe_class = "own-settings"`, "describe_class"},
		{`key_param = 2`, `key_param = -2`, "key_param"},
		{`drain_grace_ms = 2000`, `drain_grace_ms = nan`, "rules.drain_grace_ms"},
		{`deadline_ms = 600`, `deadline_ms = -600`, "deadline_ms"},
		{`max_attempts = 4`, `max_attempts = 0`, "MaxAttempts"},
		{`http = "127.0.0.1:0"`, `http = "everywhere"`, "health.http"},
		{`(?is)^select`, `(?is)^(select`, "pattern"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if text == good {
			t.Fatalf("%q is not there", c.old)
		}
		if _, err := loadOperator(t, text); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v", c.new, err)
		}
	}
	var f map[string]any
	if err := json.Unmarshal([]byte(platformConfig(t, "127.0.0.1:1")), &f); err != nil {
		t.Fatal(err)
	}
	for key, value := range map[string]any{"listen": "here", "discovery": "x", "settings": map[string]any{}} {
		was := f[key]
		f[key] = value
		text, _ := json.Marshal(f)
		f[key] = was
		path := filepath.Join(t.TempDir(), "c.json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadPlatform(path, func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: got %v", key, err)
		}
	}
}

// A gateway that runs out of descriptors for clients closes idle ones, and goes on serving.
func TestManyClients(t *testing.T) {
	p := testkit.NewPlayer(t, func(t *testing.T, c *testkit.Cluster) testkit.Gateway {
		g := startExtended(t, c).(*running)
		g.loop.Notify(func() { g.clients.MaxClients = 3 })
		return g
	}, "a", "b")
	for i := range 10 {
		name := fmt.Sprint("c", i)
		for _, step := range []string{"send " + name + " startup | query SELECT v FROM s WHERE greenhouse = 'g'", "expect " + name + " R K Z T D C Z"} {
			if err := p.Step(step); err != nil {
				t.Fatalf("%s: %v", step, err)
			}
		}
	}
	if err := p.Step("expect c0 eof"); err != nil {
		t.Error(err)
	}
}

// SIGHUP takes in the host list anew; a file with a mistake leaves the old one.
func TestReload(t *testing.T) {
	var path string
	write := func(state string, c *testkit.Cluster) {
		text := operatorText(t, "127.0.0.1:1")
		_, text, _ = strings.Cut(text, "\n") // hosts take the place of discovery
		for _, h := range []string{"a", "b"} {
			text += fmt.Sprintf("[[host]]\nid = %q\naddress = %q\nstate = %q\n", h, c.Addr(h), state)
			state = "ready"
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p := testkit.NewPlayer(t, func(t *testing.T, c *testkit.Cluster) testkit.Gateway {
		path = filepath.Join(t.TempDir(), "operator.toml")
		write("ready", c)
		cfg, err := LoadOperator(path)
		return run(t, cfg, err)
	}, "a", "b")
	g := p.Gateway.(*running)
	insert := func(key, host string) {
		t.Helper()
		for _, step := range []string{
			"send c query INSERT INTO setpoints VALUES ('g', '" + key + "', 'v')", "expect c C:INSERT_0_1 Z", "ran " + key + " " + host,
		} {
			if err := p.Step(step); err != nil {
				t.Fatalf("%s: %v", step, err)
			}
		}
	}
	if err := p.Step("send c startup"); err != nil || p.Step("expect c R K Z") != nil {
		t.Fatal(err)
	}
	insert("k1", "a")
	write("asleep", p.Cluster)
	g.loop.Notify(func() { g.reload(1) })
	insert("k2", "a")
	write("draining", p.Cluster)
	g.loop.Notify(func() { g.reload(1) })
	_ = p.Step("host b primary")
	insert("k3", "b")
}

// At SIGHUP the platform's front goes on at the address of discovery that the file names then. Until that has told
// the list, and while the file is half written, it serves with the list that it has.
func TestReloadMovesDiscovery(t *testing.T) {
	var path, text string
	write := func(s string) {
		if err := os.WriteFile(path, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	old := httptest.NewServer(nil)
	p := testkit.NewPlayer(t, func(t *testing.T, c *testkit.Cluster) testkit.Gateway {
		old.Config.Handler = c
		path, text = filepath.Join(t.TempDir(), "config.json"), platformConfig(t, old.Listener.Addr().String())
		write(text)
		cfg, err := LoadPlatform(path, func(string) string { return "" })
		return run(t, cfg, err)
	}, "a", "b")
	g := p.Gateway.(*running)
	serves := func(id string) {
		t.Helper()
		for _, step := range []string{
			"send " + id + " startup | query SELECT v FROM records WHERE k = 's' /* id=" + id + ",c=read,t=x,d=900,cluster=0 */",
			"expect " + id + " R K Z T D C Z",
		} {
			if err := p.Step(step); err != nil {
				t.Fatalf("%s: %v", step, err)
			}
		}
	}
	hup := func() { g.loop.Notify(func() { g.reload(reloadTries) }) }
	asked := make(chan bool, 1)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.Cluster.ServeHTTP(w, r)
		select {
		case asked <- true:
		default:
		}
	}))
	t.Cleanup(next.Close)
	write(text[:len(text)/2])
	hup()
	hup()
	old.CloseClientConnections()
	old.Close()
	serves("01")
	write(platformConfig(t, next.Listener.Addr().String()))
	select {
	case <-asked:
	case <-time.After(10 * time.Second):
		t.Fatal("nobody asks at the new address")
	}
	serves("02")
}

// A client that goes away in the middle of everything must not disturb the next one.
func TestGarbage(t *testing.T) {
	p := testkit.NewPlayer(t, startExtended, "a", "b")
	addr, _, _ := p.Gateway.Addrs()
	for seed := range 200 {
		conn, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		good, _ := testkit.Encode(nil, "startup")
		good, _ = testkit.Encode(good, "parse - SELECT v FROM s WHERE greenhouse = $1")
		good, _ = testkit.Encode(good, "bind - - g")
		good, _ = testkit.Encode(good, "execute -")
		good[(seed*37)%len(good)] ^= byte(1 + seed*11)
		_, _ = conn.Write(good[:len(good)-seed%5])
		conn.Close()
	}
	for _, step := range []string{"send z startup | query SELECT v FROM s WHERE greenhouse = 'g'", "expect z R K Z T D C Z"} {
		if err := p.Step(step); err != nil {
			t.Fatalf("%s: %v", step, err)
		}
	}
}
