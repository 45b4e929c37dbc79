package faultsim

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The test binary plays an experiment and is killed on the way when this is set.
const asRig = "FAULTSIM_TEST_RIG"

func TestMain(m *testing.M) {
	if program := os.Getenv(asRig); program != "" {
		e, err := ParseExperiment("x", "name = \"x\"\nseconds = 60\n[fleet]\ngateways = 3\nprocesses = 3\n")
		if err == nil {
			_, err = Processes(e, program, Options{Seed: 1, Progress: func(s float64, _ int, _ float64, _ int) {
				if s > -4 {
					_, _ = os.Stdout.WriteString("up\n")
				}
			}})
		}
		panic(err)
	}
	code := m.Run()
	if builtIn != "" {
		_ = os.RemoveAll(builtIn) // left in the system's folder for temporary files at worst
	}
	os.Exit(code)
}

// builtIn is the folder of the gateway that buildProgram built.
var builtIn string

// buildProgram builds the gateway once for all tests.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "faultsim-test-")
	if err != nil {
		return "", err
	}
	builtIn = dir
	path := filepath.Join(dir, "merlinjunction")
	out, err := exec.Command("go", "build", "-o", path, "merlinjunction/cmd/merlinjunction").CombinedOutput()
	if err != nil {
		_, _ = os.Stderr.Write(out)
	}
	return path, err
})

func program(t *testing.T) string {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// Each fault is caused once among real processes. Bounds in milliseconds are four times the file's here: a machine with
// other work may be late; `faultsim run --engine processes` holds the file's own. What must never happen is held exactly.
func TestExperimentsProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("takes two minutes")
	}
	names := []string{"pause-2", "starve", "loss-30", "one-pair", "deaf", "mute", "zone-6", "halves", "alone", "mass", "roll", "join-half",
		"grow-few", "restart", "twin", "versions", "drain", "cold", "host-cut",
		"small", "views-differ", "replaced", "seven-of-ten", "all-drain", "rolling"}
	path := program(t)
	type outcome struct {
		r   *Result
		err error
	}
	outcomes := make([]outcome, len(names))
	var wg sync.WaitGroup
	room := make(chan struct{}, 6)
	for i, name := range names {
		e := experiment(t, name)
		for _, bound := range []*float64{e.Expect.FirstMs, e.Expect.EveryoneMs, e.Expect.AgreeMs, e.Expect.BackMs, e.Expect.P99Ms} {
			if bound != nil {
				*bound *= 4
			}
		}
		if e.Choices.By != "alone" { // CI has no time for all that comes after the last fault
			steps, err := e.plan(e.Fleet.Processes, e.Hosts.Count, 1, 1)
			if err != nil {
				t.Fatal(err)
			}
			e.Seconds = min(e.Seconds, steps[len(steps)-1].At/1000+6)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			room <- struct{}{}
			defer func() { <-room }()
			r, err := Processes(e, path, Options{Seed: 1})
			outcomes[i] = outcome{r, err}
		}()
	}
	wg.Wait()
	for i, name := range names {
		t.Run(name, func(t *testing.T) {
			o := outcomes[i]
			if o.err != nil {
				t.Fatal(o.err)
			}
			for _, v := range o.r.Verdicts {
				if !v.OK {
					t.Error(v.Text)
				}
			}
		})
	}
}

// A rig that is killed leaves no process behind.
func TestKilledRigLeavesNothing(t *testing.T) {
	path := program(t)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asRig+"="+path)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_, err = out.Read(make([]byte, 2)) // the gateways are up
	if err != nil {
		t.Fatal(err)
	}
	children := childrenOf(t, cmd.Process.Pid, path)
	if len(children) != 3 {
		t.Errorf("the rig has the children %v", children)
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	_ = cmd.Wait()
	for _, pid := range children {
		for range 100 {
			if !runs(pid, path) {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if runs(pid, path) {
			t.Errorf("process %s still runs", pid)
		}
	}
}

// childrenOf finds the processes of a program that another one started.
func childrenOf(t *testing.T, parent int, program string) (list []string) {
	t.Helper()
	dirs, err := filepath.Glob("/proc/[0-9]*")
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range dirs {
		pid := filepath.Base(d)
		stat, err := os.ReadFile(filepath.Join(d, "stat"))
		if err != nil || !runs(pid, program) {
			continue
		}
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		if len(fields) > 1 && fields[1] == strconv.Itoa(parent) {
			list = append(list, pid)
		}
	}
	return list
}

// runs tells whether a process of a program is alive.
func runs(pid, program string) bool {
	exe, err := os.Readlink(filepath.Join("/proc", pid, "exe"))
	return err == nil && exe == program
}
