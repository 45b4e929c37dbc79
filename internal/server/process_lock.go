package server

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// processLock is a locked file that shows that its process is alive. The kernel releases the lock when the process ends,
// however it ends.
type processLock struct {
	prefix string // common path prefix of the lock files of all processes of one gateway
	path   string
	file   *os.File
}

// acquireProcessLock creates and locks the file of this process.
func acquireProcessLock(prefix string) (*processLock, error) {
	file, err := os.CreateTemp(filepath.Dir(prefix), filepath.Base(prefix)+".starting-")
	if err != nil {
		return nil, err
	}
	lock := &processLock{prefix: prefix, path: fmt.Sprintf("%s-%d.live", prefix, os.Getpid()), file: file}
	// The file gets its final name only once it is locked, because a sibling that found it unlocked would remove it.
	if err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
		err = os.Rename(file.Name(), lock.path)
	}
	if err != nil {
		discardFile(file)
		return nil, err
	}
	return lock, nil
}

// release removes the file.
func (l *processLock) release() {
	removeFile(l.path)
	closeFile(l.file)
}

// siblingAlive reports whether another process of the gateway holds its lock. It removes the files of processes that
// were killed.
func (l *processLock) siblingAlive() bool {
	found := false
	paths, _ := filepath.Glob(l.prefix + "-*.live") // fails only for a malformed pattern
	for _, path := range paths {
		if path != l.path && l.belongsToGateway(path) && isLocked(path) {
			found = true
		}
	}
	return found
}

// belongsToGateway reports whether a lock file whose path begins with the prefix belongs to a process of this gateway.
// That is so if only a process ID follows the prefix. In the file of a gateway whose name begins with this gateway's
// name, the rest of the longer name follows.
func (l *processLock) belongsToGateway(path string) bool {
	processID := strings.TrimSuffix(strings.TrimPrefix(path, l.prefix+"-"), ".live")
	_, err := strconv.ParseUint(processID, 10, 31)
	return err == nil
}

// isLocked reports whether another process holds the lock on a file. It removes the file if none does.
func isLocked(path string) bool {
	file, err := os.Open(path)
	if err != nil { // the process has just ended and removed its file
		return false
	}
	defer closeFile(file)
	if unix.Flock(int(file.Fd()), unix.LOCK_SH|unix.LOCK_NB) != nil {
		return true
	}
	removeFile(path)
	return false
}

// closeFile closes a file that has no unwritten data, so an error has no consequence.
func closeFile(file *os.File) { _ = file.Close() }

// removeFile removes a file that may already have been removed.
func removeFile(path string) { _ = os.Remove(path) }

// discardFile closes and removes a temporary file.
func discardFile(file *os.File) {
	closeFile(file)
	removeFile(file.Name())
}
