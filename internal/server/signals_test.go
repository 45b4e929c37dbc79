package server

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// A SIGTERM after a series of SIGHUPs must not be lost if all of them arrive before the gateway handles signals.
func TestStopIsNotLostBehindReloads(t *testing.T) {
	queue := newSignalQueue()
	defer queue.close()
	for range 8 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Millisecond) // otherwise the kernel merges several pending SIGHUPs into one
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	reloads, stops := 0, 0
	for handling := true; handling; {
		select {
		case <-queue.reload:
			reloads++
		case <-queue.stop:
			stops++
		case <-time.After(100 * time.Millisecond):
			handling = false
		}
	}
	if reloads == 0 || stops != 1 {
		t.Errorf("got %d reloads and %d stops, want at least 1 reload and 1 stop", reloads, stops)
	}
}
