package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"merlinjunction/internal/faultsim"
)

const (
	startTimeout    = 10 * time.Second
	sampleInterval  = 50 * time.Millisecond
	maxLogLine      = 1 << 20
	messageServing  = "serving"
	messageStopped  = "stopped"
	messageNoAnswer = "request has no final answer after its expiry"
)

// gateway is the process under test.
type gateway struct {
	address        string // address for clients
	configPath     string
	cmd            *exec.Cmd
	ended          chan struct{} // closed when the process has ended
	servingAddress chan string   // receives the address for clients, which the process logs

	mutex       sync.Mutex
	killed      bool
	sigtermAt   time.Time // when the first SIGTERM was sent; zero: not yet
	endedAt     time.Time
	exitError   error
	faultLines  []string // log lines that report a fault of the gateway
	otherLines  []string // lines of its output that are not log lines
	baseFDs     int      // number of descriptors before the first client
	maxFDs      int
	maxMemoryKB int
}

// logLine holds the fields of a line of the gateway's log that readLine evaluates.
type logLine struct {
	Message      string `json:"msg"`
	Listen       string `json:"listen"`
	OpenRequests int    `json:"open_requests"`
}

// startGateway starts the gateway program with the deployment's configuration and waits until it serves.
func startGateway(spawner *faultsim.Spawner, program, dir string, deployed *deployment, discovery string) (*gateway, error) {
	g := &gateway{configPath: filepath.Join(dir, "config"), ended: make(chan struct{}), servingAddress: make(chan string, 1)}
	if err := os.WriteFile(g.configPath, []byte(deployed.config(discovery)), 0o600); err != nil {
		return nil, err
	}
	g.cmd = exec.Command(program, "serve")
	g.cmd.Env = append(os.Environ(), "LB_CONFIG="+g.configPath, "LB_NAME=", "LB_LISTEN=", "LB_DISCOVERY=", "LB_LISTEN_FD=",
		"LB_MANAGEMENT=", "TMPDIR="+dir)
	if deployed.Extended {
		g.cmd.Args = append(g.cmd.Args, "--config", g.configPath)
	}
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := g.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := spawner.Start(g.cmd); err != nil {
		return nil, err
	}
	go g.readOutput(output)
	select {
	case g.address = <-g.servingAddress:
		g.baseFDs = g.countFDs()
		go g.sampleUsage()
		return g, nil
	case <-g.ended:
		return nil, fmt.Errorf("the gateway's process ended before it served: %s", strings.Join(g.otherLines, " "))
	case <-time.After(startTimeout):
		g.kill()
		return nil, fmt.Errorf("the gateway did not serve within %v", startTimeout)
	}
}

// readOutput reads the log until the process ends, and then records its exit status.
func (g *gateway) readOutput(output io.Reader) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		g.readLine(lines.Bytes())
	}
	err := g.cmd.Wait()
	g.mutex.Lock()
	g.endedAt, g.exitError = time.Now(), err
	g.mutex.Unlock()
	close(g.ended)
}

// readLine evaluates one line of the output.
func (g *gateway) readLine(text []byte) {
	var line logLine
	err := json.Unmarshal(text, &line)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case err != nil:
		g.otherLines = append(g.otherLines, string(bytes.Clone(text)))
	case line.Message == messageServing:
		g.servingAddress <- line.Listen
	case line.Message == messageNoAnswer, line.Message == messageStopped && line.OpenRequests > 0:
		g.faultLines = append(g.faultLines, string(bytes.Clone(text)))
	}
}

// signal sends a signal to the process unless it has ended, and records the time of the first SIGTERM.
func (g *gateway) signal(sent syscall.Signal) {
	g.mutex.Lock()
	if sent == syscall.SIGTERM && g.sigtermAt.IsZero() {
		g.sigtermAt = time.Now()
	}
	g.mutex.Unlock()
	select {
	case <-g.ended:
	default:
		_ = g.cmd.Process.Signal(sent) // an error means that the process has just ended
	}
}

// sigtermTime returns the time when the first SIGTERM was sent; zero: not yet.
func (g *gateway) sigtermTime() time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.sigtermAt
}

// kill ends the process with SIGKILL and waits until it has ended.
func (g *gateway) kill() {
	g.mutex.Lock()
	g.killed = true
	g.mutex.Unlock()
	g.signal(syscall.SIGKILL)
	<-g.ended
}

// running reports whether the process has not ended.
func (g *gateway) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// sampleUsage records the peak use of descriptors and memory until the process ends.
func (g *gateway) sampleUsage() {
	for g.running() {
		descriptors, memoryKB := g.countFDs(), g.peakMemoryKB()
		g.mutex.Lock()
		g.maxFDs, g.maxMemoryKB = max(g.maxFDs, descriptors), max(g.maxMemoryKB, memoryKB)
		g.mutex.Unlock()
		time.Sleep(sampleInterval)
	}
}

func (g *gateway) procPath(name string) string {
	return fmt.Sprintf("/proc/%d/%s", g.cmd.Process.Pid, name)
}

// countFDs returns the number of open descriptors; 0 once the process has ended.
func (g *gateway) countFDs() int {
	entries, _ := os.ReadDir(g.procPath("fd"))
	return len(entries)
}

// peakMemoryKB returns the peak of the resident memory; 0 once the process has ended.
func (g *gateway) peakMemoryKB() int {
	text, _ := os.ReadFile(g.procPath("status"))
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	size, _ := strconv.Atoi(fields[0])
	return size
}
