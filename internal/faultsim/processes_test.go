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

// runProgramEnv is an environment variable with the path of a gateway program. It makes the test binary run an experiment
// with that program, during which a test kills the test binary.
const runProgramEnv = "FAULTSIM_TEST_RIG"

func TestMain(m *testing.M) {
	if program := os.Getenv(runProgramEnv); program != "" {
		panic(runUntilKilled(program))
	}
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir) // a directory that remains is in the system's temporary directory
	}
	os.Exit(code)
}

// runUntilKilled runs an experiment without faults. It writes "up" in each sample after the gateways have started.
func runUntilKilled(program string) error {
	text := "name = \"x\"\nseconds = 60\n[fleet]\ngateways = 3\nprocesses = 3\n"
	experiment, err := ParseExperiment("x", text)
	if err != nil {
		return err
	}
	_, err = RunProcesses(experiment, program, Options{Seed: 1, Progress: func(progress Progress) {
		if progress.Seconds > -4 {
			_, _ = os.Stdout.WriteString("up\n")
		}
	}})
	return err
}

// buildDir is the directory of the program that buildProgram built.
var buildDir string

// buildProgram builds the gateway program once for all tests and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "faultsim-test-")
	if err != nil {
		return "", err
	}
	buildDir = dir
	path := filepath.Join(dir, "merlinjunction")
	output, err := exec.Command("go", "build", "-o", path, "merlinjunction/cmd/merlinjunction").CombinedOutput()
	if err != nil {
		_, _ = os.Stderr.Write(output)
	}
	return path, err
})

func gatewayProgram(t *testing.T) string {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// loadForProcesses loads an experiment and multiplies its time bounds by four. An experiment with subset selection ends 6 s
// after its last step, to keep CI short.
func loadForProcesses(t *testing.T, name string) *Experiment {
	t.Helper()
	experiment := loadExperiment(t, name)
	expect := &experiment.Expect
	for _, bound := range []*float64{
		expect.FirstDeathMs, expect.AllDetectedMs, expect.AgreementMs, expect.RecoveryMs, expect.P99Ms,
	} {
		if bound != nil {
			*bound *= 4
		}
	}
	if experiment.Selection.Mode != SelectAllHosts {
		hosts := hostSet{count: experiment.Hosts.Count, protected: 1}
		steps, err := experiment.plan(experiment.Fleet.Processes, hosts, 1)
		if err != nil {
			t.Fatal(err)
		}
		experiment.Seconds = min(experiment.Seconds, steps[len(steps)-1].At/1000+6)
	}
	return experiment
}

// Injects each kind of fault that the processes engine supports into real processes. Bounds in milliseconds are four times
// those of the experiment files, since other work on the machine can delay the processes. `faultsim run --engine processes`
// applies the files' own bounds. Bounds on counts of forbidden events are the files' own in this test, too.
func TestExperimentsProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("takes two minutes")
	}
	names := []string{
		"pause-2", "starve", "loss-30", "one-pair", "deaf", "mute", "zone-6", "halves", "alone", "mass", "roll", "join-half",
		"grow-few", "restart", "twin", "versions", "drain", "cold", "host-cut",
		"small", "views-differ", "replaced", "seven-of-ten", "all-drain", "rolling",
	}
	const maxParallel = 6
	path := gatewayProgram(t)
	type outcome struct {
		result *Result
		err    error
	}
	outcomes := make([]outcome, len(names))
	var running sync.WaitGroup
	slots := make(chan struct{}, maxParallel)
	for i, name := range names {
		experiment := loadForProcesses(t, name)
		running.Add(1)
		go func() {
			defer running.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			result, err := RunProcesses(experiment, path, Options{Seed: 1})
			outcomes[i] = outcome{result, err}
		}()
	}
	running.Wait()
	for i, name := range names {
		t.Run(name, func(t *testing.T) {
			if err := outcomes[i].err; err != nil {
				t.Fatal(err)
			}
			result := outcomes[i].result
			for _, verdict := range result.Verdicts {
				if !verdict.OK {
					t.Errorf("%s; the engine was held up for %v ms", verdict.Text, result.Measurements[FigureHeldUpMs])
				}
			}
		})
	}
}

// Checks that the gateway processes of a run exit when the run is killed.
func TestKilledRunLeavesNoProcess(t *testing.T) {
	path := gatewayProgram(t)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runProgramEnv+"="+path)
	output, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_, err = output.Read(make([]byte, 2)) // blocks until the gateways are up
	if err != nil {
		t.Fatal(err)
	}
	children := childrenOf(t, cmd.Process.Pid, path)
	if len(children) != 3 {
		t.Errorf("the run has the gateway processes %v, expected 3", children)
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	_ = cmd.Wait()
	for _, pid := range children {
		for range 100 {
			if !isRunning(pid, path) {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if isRunning(pid, path) {
			t.Errorf("process %s still runs 5 s after the run was killed", pid)
		}
	}
}

// childrenOf returns the IDs of a parent's child processes that run a program.
func childrenOf(t *testing.T, parent int, program string) (pids []string) {
	t.Helper()
	dirs, err := filepath.Glob("/proc/[0-9]*")
	if err != nil {
		t.Fatal(err)
	}
	for _, dir := range dirs {
		pid := filepath.Base(dir)
		stat, err := os.ReadFile(filepath.Join(dir, "stat"))
		if err != nil || !isRunning(pid, program) {
			continue
		}
		afterName := string(stat[strings.LastIndexByte(string(stat), ')')+1:])
		fields := strings.Fields(afterName)
		if len(fields) > 1 && fields[1] == strconv.Itoa(parent) {
			pids = append(pids, pid)
		}
	}
	return pids
}

// isRunning reports whether a process runs a program.
func isRunning(pid, program string) bool {
	path, err := os.Readlink(filepath.Join("/proc", pid, "exe"))
	return err == nil && path == program
}
