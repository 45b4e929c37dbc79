package faultsim

import (
	"os/exec"
	"runtime"
)

// Spawner starts processes from one OS thread that runs until Close. Linux sends a parent-death signal when the thread
// that started the process exits, so a process that any other thread started could be killed during the run.
type Spawner struct {
	calls chan func()
}

// NewSpawner returns a Spawner and starts its thread.
func NewSpawner() *Spawner {
	s := &Spawner{calls: make(chan func())}
	go s.run()
	return s
}

func (s *Spawner) run() {
	runtime.LockOSThread()
	for call := range s.calls {
		call()
	}
}

// Start starts a command from the Spawner's thread.
func (s *Spawner) Start(cmd *exec.Cmd) error {
	started := make(chan error)
	s.calls <- func() { started <- cmd.Start() }
	return <-started
}

// Close ends the thread, so processes that it started with a parent-death signal receive that signal.
func (s *Spawner) Close() { close(s.calls) }
