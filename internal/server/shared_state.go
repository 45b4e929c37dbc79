package server

import (
	"path/filepath"

	"go.uber.org/zap"
)

// sharedState is the state that sibling processes of one gateway share through files in one directory while one process
// takes over from the other: the exclusions of hosts, and for each process a lock that shows that it is alive.
type sharedState struct {
	exclusions *exclusionFile
	lock       *processLock
}

// openSharedState opens the shared state, and shows siblings that this process is alive. The error is a *ConfigError.
func openSharedState(log *zap.Logger, dir, gateway string) (*sharedState, error) {
	prefix := filepath.Join(dir, "merlinjunction-"+filepath.Base(gateway))
	lock, err := acquireProcessLock(prefix)
	if err != nil {
		return nil, &ConfigError{Key: "TMPDIR", Err: err}
	}
	return &sharedState{exclusions: newExclusionFile(log, prefix+".bans.json"), lock: lock}, nil
}

// siblingAlive reports whether another process of this gateway is alive.
func (s *sharedState) siblingAlive() bool { return s.lock.siblingAlive() }

// close shows siblings that this process has ended.
func (s *sharedState) close() { s.lock.release() }
