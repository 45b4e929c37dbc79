package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"merlinjunction/internal/testkit"
)

// platformConfig is the path of a platform configuration, in which DISCOVERY stands for the address of discovery.
const platformConfig = "testdata/platform/config.json"

// A new process takes over from an old one under load. On the inherited listener no client may be rejected, disconnected
// or left without a response. A session must read its own writes, whichever process serves them, and an excluded host
// must stay excluded.
func TestUpgradeUnderLoad(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(listener)
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(file)
	cluster, err := testkit.NewCluster("a", "b", "c")
	if err != nil {
		t.Fatal(err)
	}
	env := []string{"LB_LISTEN_FD=3", "LB_MANAGEMENT=127.0.0.1:0", "TMPDIR=" + t.TempDir()}
	old := start(t, cluster, platformConfig, file, env...)
	player := func(gateway testkit.Gateway) *testkit.Player {
		return &testkit.Player{Cluster: cluster, Gateway: gateway}
	}
	play := func(p *testkit.Player, steps ...string) {
		t.Helper()
		for _, step := range steps {
			if err := p.Step(step); err != nil {
				t.Fatalf("%s: %v", step, err)
			}
		}
	}
	waitUntil(t, func() error { return player(old).Step("manage 200 GET /api/ready") })
	play(player(old), `manage 200 PUT /api/exclude {"id":"b"}`, `manage 200 PUT /api/exclude {"id":"c"}`,
		`manage 200 PUT /api/include {"id":"c"}`)

	var clients sync.WaitGroup
	var requests atomic.Int64
	stop := make(chan struct{})
	for n := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			var c client
			defer c.close()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				requests.Add(1)
				if err := c.request(listener.Addr().String(), fmt.Sprintf("%d-%d", n, i), i); err != nil {
					t.Errorf("client %d, request %d: %v", n, i, err)
					return
				}
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	next := start(t, cluster, platformConfig, file, env...)
	waitUntil(t, func() error { return player(next).Step("manage 200 GET /api/ready") })
	play(player(next), `manage 200 GET /api/telemetry "targets_disabled":1`)
	play(player(old), `manage 200 PUT /api/exclude {"id":"c"}`)
	waitUntil(t, func() error { return player(next).Step(`manage 200 GET /api/telemetry "targets_disabled":2`) })
	before := requests.Load()
	old.Stop()
	if err := old.Wait(); err != nil {
		t.Error(err)
	}
	for n := range 8 {
		for i := range int(before) {
			if slices.Contains(cluster.Runs(fmt.Sprintf("k%d-%d", n, i)), "b") {
				t.Fatalf("request %d-%d ran at an excluded host", n, i)
			}
		}
	}
	play(player(next), `manage 200 PUT /api/include {"id":"b"}`)
	time.Sleep(200 * time.Millisecond)
	close(stop)
	clients.Wait()
	if before == 0 || requests.Load() == before {
		t.Errorf("got %d requests before the stop and %d in total, want some before and some after", before, requests.Load())
	}
	play(player(next), `manage 200 GET /api/telemetry "targets_disabled":1`)
	next.Stop()
	if err := next.Wait(); err != nil {
		t.Error(err)
	}
}

// client reuses its connection. If a request on a reused connection fails, the client repeats it on a new connection.
type client struct{ conn net.Conn }

func (c *client) close() {
	if c.conn != nil {
		closeQuietly(c.conn)
		c.conn = nil
	}
}

// request sends a write if i is a multiple of 3, otherwise a read.
func (c *client) request(address, id string, i int) error {
	text := fmt.Sprintf("SELECT v FROM records WHERE k = 'k%s' /* id=%s,c=read,t=x,d=900,cluster=0 */", id, id)
	if i%3 == 0 {
		text = fmt.Sprintf(`INSERT INTO records (k, v) VALUES ('k%s', '\x76') RETURNING v `+
			`/* id=%s,c=write,t=x,d=900,k=%s,cluster=0 */`, id, id, id)
	}
	isNew := c.conn == nil
	var err error
	if isNew {
		if c.conn, err = net.Dial("tcp4", address); err != nil {
			return err
		}
	}
	responses, err := c.exchange(text, isNew)
	if err != nil && !isNew {
		c.close()
		return c.request(address, id, i)
	}
	if err == nil && !strings.HasSuffix(responses, "T D C Z") {
		err = fmt.Errorf("got messages %s, want them to end with T D C Z", responses)
	}
	return err
}

// exchange sends a query and returns the types of the response messages.
func (c *client) exchange(text string, isNew bool) (string, error) {
	var out []byte
	var err error
	if isNew {
		if out, err = testkit.EncodeMessage(out, "startup"); err != nil {
			return "", err
		}
	}
	if out, err = testkit.EncodeMessage(out, "query "+text); err != nil {
		return "", err
	}
	_ = c.conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.conn.Write(out); err != nil {
		return "", err
	}
	readyMessages := 1
	if isNew {
		readyMessages = 2
	}
	var types []string
	for readyMessages > 0 {
		message, err := testkit.ReadAnswer(c.conn)
		if err != nil {
			return strings.Join(types, " "), err
		}
		types = append(types, message[:1])
		if message == "Z" {
			readyMessages--
		}
	}
	return strings.Join(types, " "), nil
}

// waitUntil repeats a step until it succeeds, for up to 10 s.
func waitUntil(t *testing.T, step func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = step(); err == nil {
			return
		}
	}
	t.Fatal(err)
}

// If the program can't open a listener of its configuration, it must exit with an error of one line that names the key.
func TestListenerErrorNamesKey(t *testing.T) {
	nothing, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(nothing)
	text, err := os.ReadFile(platformConfig)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), "DISCOVERY", "127.0.0.1:1", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	inUse, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(inUse)
	for _, c := range []struct{ variable, key string }{
		{"LB_LISTEN_FD=3", "LB_LISTEN_FD"}, {"LB_LISTEN_FD=77", "LB_LISTEN_FD"}, {"LB_LISTEN_FD=five", "LB_LISTEN_FD"},
		{"LB_MANAGEMENT=here", "management"}, {"LB_MANAGEMENT=" + inUse.Addr().String(), "management"},
	} {
		p := &program{cmd: testCommand("serve")}
		p.cmd.Env = append(p.cmd.Env, "LB_CONFIG="+path, c.variable)
		p.cmd.ExtraFiles = []*os.File{nothing}
		out, err := p.cmd.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), c.key) {
			t.Errorf("%s: output %q, error %v, want a failure with one line that contains %s", c.variable, out, err, c.key)
		}
	}
}
