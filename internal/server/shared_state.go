package server

import (
	"path/filepath"

	"go.uber.org/zap"
)

// sharedState is what sibling processes of one gateway share through files in one directory while one takes over from
// the other: exclusions of hosts, and a lock of each process that shows that it is alive.
type sharedState struct {
	exclusions *exclusionFile
	lock       *processLock
}

// openSharedState makes this process visible to its siblings. The error is a *ConfigError.
func openSharedState(log *zap.Logger, dir, gateway string) (*sharedState, error) {
	prefix := filepath.Join(dir, "merlinjunction-"+filepath.Base(gateway))
	lock, err := acquireProcessLock(prefix)
	if err != nil {
		return nil, &ConfigError{Key: "TMPDIR", Err: err}
	}
	return &sharedState{exclusions: newExclusionFile(log, prefix+".bans.json"), lock: lock}, nil
}

// siblingAlive reports whether another process of this gateway is alive.
func (s *sharedState) siblingAlive() bool { return s.lock.othersAlive() }

// close makes the end of this process visible to its siblings.
func (s *sharedState) close() { s.lock.release() }
