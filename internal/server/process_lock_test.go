package server

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// A killed process leaves its lock file behind without a lock. It must not count as alive, and its file must be removed.
func TestLockShowsWhetherProcessIsAlive(t *testing.T) {
	dir := t.TempDir()
	state := openTestState(t, dir, "n")
	path := filepath.Join(dir, "merlinjunction-n-1.live")
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	if !state.siblingAlive() {
		t.Error("a process that holds its lock does not count as alive")
	}
	closeFile(file)
	if state.siblingAlive() {
		t.Error("a process that was killed counts as alive")
	}
	if _, err := os.Stat(path); err == nil {
		t.Error("the lock file of a killed process was not removed")
	}
}

// The name of the lock file must not change, because processes of other versions look for it.
func TestLockFileName(t *testing.T) {
	dir := t.TempDir()
	openTestState(t, dir, "zone/n")
	if _, err := os.Stat(filepath.Join(dir, fmt.Sprintf("merlinjunction-n-%d.live", os.Getpid()))); err != nil {
		t.Error(err)
	}
}

// openTestState opens the shared state of a gateway until the test ends.
func openTestState(t *testing.T, dir, gateway string) *sharedState {
	t.Helper()
	state, err := openSharedState(zap.NewNop(), dir, gateway)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(state.close)
	return state
}

// The processes of a gateway whose name begins with this gateway's name must not count as siblings.
func TestGatewayWithALongerNameIsNoSibling(t *testing.T) {
	dir := t.TempDir()
	state := openTestState(t, dir, "a")
	openTestState(t, dir, "a-1")
	openTestState(t, dir, "a-1-2")
	if state.siblingAlive() {
		t.Error("a process of another gateway counts as a sibling of gateway a")
	}
}
