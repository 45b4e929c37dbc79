package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

// Object is a JSON object.
type Object = map[string]any

// runCommand is the value of `run` in deploy/balancer.toml.
const runCommand = "exec bin/merlinjunction serve --subset 2"

// Gateway is a process of the gateway, started as the platform starts it.
type Gateway struct {
	Address string
	Command *exec.Cmd
	Ended   chan struct{} // closed when the process has ended
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer stubserver.CloseQuietly(listener)
	return listener.Addr().String(), nil
}

// startGateway writes the configuration, starts the gateway from the current folder, the root of the project, and waits
// until it takes clients. dir is a temporary folder for the configuration, the log and TMPDIR.
func startGateway(dir string, config Object) (*Gateway, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config["listen"] = address
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	temporary := filepath.Join(dir, "tmp")
	if err := os.Mkdir(temporary, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "gateway.log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command("/bin/sh", "-c", runCommand)
	command.Env = append(os.Environ(), "LB_CONFIG="+path, "TMPDIR="+temporary)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	if err := writePID(dir, command.Process.Pid); err != nil {
		return nil, err
	}
	gateway := &Gateway{Address: address, Command: command, Ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(gateway.Ended)
	}()
	return gateway, gateway.awaitReady()
}

// awaitReady asks empty queries until one is answered with EmptyQueryResponse, for 10 seconds at most.
func (g *Gateway) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.answersEmptyQuery() {
			return nil
		}
	}
	return fmt.Errorf("the gateway is not ready after 10 s")
}

func (g *Gateway) answersEmptyQuery() bool {
	client, err := Connect(g.Address)
	if err != nil {
		return false
	}
	defer client.Close()
	if client.Send(pg.AppendStrings(nil, pg.MsgQuery, "")) != nil {
		return false
	}
	answer, err := client.Receive(time.Now().Add(time.Second))
	return err == nil && answer.Empty
}

// Running reports whether the process has not ended.
func (g *Gateway) Running() bool {
	select {
	case <-g.Ended:
		return false
	default:
		return true
	}
}

// Kill ends the process by SIGKILL and waits for its end.
func (g *Gateway) Kill() {
	_ = g.Command.Process.Kill()
	<-g.Ended
}

// MemoryKB returns a value of the process's /proc status, such as VmRSS or RssAnon, or 0 if it can't be read.
func (g *Gateway) MemoryKB(key string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.Command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, key+":"); ok {
			value, _ := strconv.Atoi(strings.Fields(rest)[0])
			return value
		}
	}
	return 0
}
