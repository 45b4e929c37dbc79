package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"merlinjunction/internal/testkit"
)

// runAsProgram is the environment variable that makes the test binary run as the program.
const runAsProgram = "MERLINJUNCTION_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program is a running copy of the program. It implements testkit.Gateway.
type program struct {
	cmd        *exec.Cmd
	address    string      // address of the clients' listener
	management string      // address of the management listener
	log        chan string // the complete log, once the process has ended
	err        error       // result of Wait once waited is true
	waited     bool
}

func (p *program) Addrs() (string, string, string) { return p.address, "", "" }
func (p *program) ManagementAddr() string          { return p.management }
func (p *program) Stop()                           { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

func (p *program) Wait() error {
	if p.waited {
		return p.err
	}
	p.waited = true
	timer := time.AfterFunc(20*time.Second, func() { _ = p.cmd.Process.Kill() })
	text := <-p.log
	p.err = p.cmd.Wait()
	timer.Stop()
	if p.err == nil && !strings.Contains(text, `"open_requests":0`) {
		p.err = fmt.Errorf("the log does not report 0 open requests: %s", text)
	}
	return p.err
}

// start runs the program with a copy of a configuration file, in which DISCOVERY is replaced by the address of discovery.
// The program inherits the listener, if it is not nil, as descriptor 3, and gets env in addition to the environment.
func start(tb testing.TB, cluster *testkit.Cluster, config string, listener *os.File, env ...string) *program {
	tb.Helper()
	discovery := httptest.NewServer(cluster)
	tb.Cleanup(discovery.Close)
	text, err := os.ReadFile(config)
	if err != nil {
		tb.Fatal(err)
	}
	path := filepath.Join(tb.TempDir(), filepath.Base(config))
	text = bytes.Replace(text, []byte("DISCOVERY"), []byte(discovery.Listener.Addr().String()), 1)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		tb.Fatal(err)
	}
	p := &program{cmd: exec.Command(os.Args[0], "serve"), log: make(chan string, 1)}
	p.cmd.Env = append(append(os.Environ(), runAsProgram+"=1"), env...)
	if listener != nil {
		p.cmd.ExtraFiles = []*os.File{listener}
	}
	if filepath.Ext(path) == ".toml" {
		p.cmd.Args = append(p.cmd.Args, "--config", path)
	} else {
		p.cmd.Env = append(p.cmd.Env, "LB_CONFIG="+path)
	}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	lines := bufio.NewScanner(stderr)
	var log strings.Builder
	for p.address == "" && lines.Scan() {
		log.WriteString(lines.Text() + "\n")
		p.address, p.management = testkit.ParseServingLine(lines.Text())
	}
	if p.address == "" {
		tb.Fatalf("the program ended without a serving line: %s", log.String())
	}
	go func() {
		for lines.Scan() {
			log.WriteString(lines.Text() + "\n")
		}
		p.log <- log.String()
	}()
	return p
}

func TestProgram(t *testing.T) {
	for folder, config := range map[string]string{"operator": "config.toml", "platform": "config.json"} {
		t.Run(folder, func(t *testing.T) {
			folder := filepath.Join("testdata", folder)
			testkit.PlayScenarios(t, folder, func(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
				tb.Helper()
				return start(tb, cluster, filepath.Join(folder, config), nil)
			})
		})
	}
}

// testCommand returns a command that runs the program without a platform configuration.
func testCommand(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsProgram+"=1", "LB_CONFIG=")
	return cmd
}

// runCommand runs a command of the program, and returns its output.
func runCommand(args ...string) (string, error) {
	out, err := testCommand(args...).CombinedOutput()
	return string(out), err
}

func TestCommands(t *testing.T) {
	if out, err := runCommand("version"); err != nil || !strings.HasPrefix(out, "merlinjunction ") {
		t.Errorf("version: output %q, error %v", out, err)
	}
	out, err := runCommand("check", "--config", "../../deploy/extended.toml")
	if err != nil || !strings.Contains(out, "3 classes, 2 hosts") {
		t.Errorf("check: output %q, error %v", out, err)
	}
	for _, args := range [][]string{{"serve"}, {"check", "--config", "nowhere.toml"}, {"serve", "now"}, {"walk"}} {
		checkCommandFails(t, args...)
	}
}

// checkCommandFails checks that a command fails with an error message of one line.
func checkCommandFails(t *testing.T, args ...string) {
	t.Helper()
	out, err := runCommand(args...)
	if err == nil || strings.Count(out, "\n") != 1 || !strings.HasPrefix(out, "merlinjunction: ") {
		t.Errorf("%v: output %q, error %v, want a failure with one line", args, out, err)
	}
}

// closeQuietly closes a resource of a test and ignores the error.
func closeQuietly(closer io.Closer) { _ = closer.Close() }
