package main

import (
	"bufio"
	"bytes"
	"fmt"
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

// The test binary is the program itself when this is set.
const asProgram = "MERLINJUNCTION_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program is a running copy of the program.
type program struct {
	cmd    *exec.Cmd
	addr   string
	manage string
	log    chan string // its whole log, once it has ended
	err    error
	over   bool
}

func (p *program) Addrs() (string, string, string) { return p.addr, "", "" }
func (p *program) Management() string              { return p.manage }
func (p *program) Stop()                           { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

func (p *program) Wait() error {
	if !p.over {
		p.over = true
		timer := time.AfterFunc(20*time.Second, func() { _ = p.cmd.Process.Kill() })
		text := <-p.log
		p.err = p.cmd.Wait()
		timer.Stop()
		if p.err == nil && !strings.Contains(text, `"open_requests":0`) {
			p.err = fmt.Errorf("requests were left: %s", text)
		}
	}
	return p.err
}

// start runs the program with a configuration in which DISCOVERY stands for the address of discovery.
func start(t *testing.T, c *testkit.Cluster, config string) testkit.Gateway {
	return startWith(t, c, config, nil)
}

// startWith starts the program with a descriptor more than the usual ones, and variables.
func startWith(t *testing.T, c *testkit.Cluster, config string, listener *os.File, env ...string) *program {
	web := httptest.NewServer(c)
	t.Cleanup(web.Close)
	text, err := os.ReadFile(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), filepath.Base(config))
	text = bytes.Replace(text, []byte("DISCOVERY"), []byte(web.Listener.Addr().String()), 1)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &program{cmd: exec.Command(os.Args[0], "serve"), log: make(chan string, 1)}
	p.cmd.Env = append(append(os.Environ(), asProgram+"=1"), env...)
	if listener != nil {
		p.cmd.ExtraFiles = []*os.File{listener} // descriptor 3
	}
	if filepath.Ext(path) == ".toml" {
		p.cmd.Args = append(p.cmd.Args, "--config", path)
	} else {
		p.cmd.Env = append(p.cmd.Env, "LB_CONFIG="+path)
	}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	var log strings.Builder
	for p.addr == "" && lines.Scan() {
		log.WriteString(lines.Text() + "\n")
		p.addr, p.manage = testkit.Listening(lines.Text())
	}
	if p.addr == "" {
		t.Fatalf("it doesn't serve: %s", log.String())
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
			testkit.Play(t, folder, func(t *testing.T, c *testkit.Cluster) testkit.Gateway {
				return start(t, c, filepath.Join(folder, config))
			})
		})
	}
}

func testCommand(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), asProgram+"=1", "LB_CONFIG=")
	return cmd
}

func command(args ...string) (string, error) {
	out, err := testCommand(args...).CombinedOutput()
	return string(out), err
}

func TestCommands(t *testing.T) {
	if out, err := command("version"); err != nil || !strings.HasPrefix(out, "merlinjunction ") {
		t.Errorf("version: %q, %v", out, err)
	}
	if out, err := command("check", "--config", "../../deploy/extended.toml"); err != nil || !strings.Contains(out, "3 classes, 2 hosts") {
		t.Errorf("check: %q, %v", out, err)
	}
	for _, args := range [][]string{{"serve"}, {"check", "--config", "nowhere.toml"}, {"serve", "now"}, {"walk"}} {
		if out, err := command(args...); err == nil || strings.Count(out, "\n") != 1 || !strings.HasPrefix(out, "merlinjunction: ") {
			t.Errorf("%v: %q, %v", args, out, err)
		}
	}
}
