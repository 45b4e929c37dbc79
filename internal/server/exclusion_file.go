package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"

	"go.uber.org/zap"
)

const (
	// exclusionFileVersion is the format that this program reads and writes. A file of another one is ignored, and
	// replaced at the next exclusion.
	exclusionFileVersion = 1
	exclusionFileMode    = 0o600
)

// exclusion is an operator's last exclusion of a host, or its last inclusion where Excluded is false.
type exclusion struct {
	Excluded bool    `json:"out"`
	AtMs     float64 `json:"at"` // Unix time in milliseconds
}

// exclusionDocument is the content of the file.
type exclusionDocument struct {
	Version int                  `json:"version"`
	Hosts   map[string]exclusion `json:"hosts"`
}

// exclusionFile is the file through which sibling processes share exclusions. Each process reads it at an interval, and
// replaces it as a whole. The newest entry of a host counts.
type exclusionFile struct {
	log      *zap.Logger
	path     string
	newest   map[string]exclusion // by host
	lastSeen fs.FileInfo          // of the file as it was read or written last; nil before
	// lastError is the error logged last. It is never cleared: the same error is logged once, and stays silent where it
	// comes back after a repair.
	lastError string
}

func newExclusionFile(log *zap.Logger, path string) *exclusionFile {
	return &exclusionFile{log: log, path: path, newest: map[string]exclusion{}}
}

// readNewer reads the file if it has changed, and returns the entries that are newer than the ones that this process
// knows, by host. Where the file then lacks an entry that this process knows, because a sibling replaced the file at
// the same time, it is written again.
func (f *exclusionFile) readNewer() map[string]exclusion {
	info, err := os.Stat(f.path)
	if err != nil {
		if errors.Is(err, fs.ErrNotExist) && len(f.newest) > 0 {
			f.write()
		}
		return nil
	}
	if f.isLastSeen(info) {
		return nil
	}
	f.lastSeen = info
	hosts, err := f.read()
	if err != nil {
		f.logReadError(err)
		return nil
	}
	newer := map[string]exclusion{}
	for id, entry := range hosts {
		if id != "" && entry.AtMs > f.newest[id].AtMs {
			newer[id], f.newest[id] = entry, entry
		}
	}
	if !maps.Equal(f.newest, hosts) {
		f.write()
	}
	return newer
}

// isLastSeen reports whether the file is the one that was read or written last.
func (f *exclusionFile) isLastSeen(info fs.FileInfo) bool {
	return f.lastSeen != nil && os.SameFile(info, f.lastSeen) && info.ModTime().Equal(f.lastSeen.ModTime())
}

// read returns the entries of the file, by host. The error is the system's, the JSON decoder's, or names an unknown
// version.
func (f *exclusionFile) read() (map[string]exclusion, error) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, err
	}
	var document exclusionDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	if document.Version != exclusionFileVersion {
		return nil, fmt.Errorf("version %d is not known here", document.Version)
	}
	return document.Hosts, nil
}

// logReadError logs an error once; the file is read again and again.
func (f *exclusionFile) logReadError(err error) {
	if f.lastError == err.Error() {
		return
	}
	f.lastError = err.Error()
	f.log.Error("ignoring unreadable exclusion file", zap.String("path", f.path), zap.Error(err))
}

// record writes an exclusion or inclusion by this process to the file, if it changes anything.
func (f *exclusionFile) record(id string, entry exclusion) {
	if previous, ok := f.newest[id]; ok && previous.Excluded == entry.Excluded {
		return
	}
	f.newest[id] = entry
	f.write()
}

// write replaces the file as a whole, so that no sibling reads a part of it.
func (f *exclusionFile) write() {
	if err := f.replace(); err != nil {
		f.log.Error("writing the exclusion file failed", zap.String("path", f.path), zap.Error(err))
		return
	}
	if info, err := os.Stat(f.path); err == nil {
		f.lastSeen = info
	}
}

// replace writes the entries to a temporary file of this process and renames it, which replaces the file in one step.
func (f *exclusionFile) replace() error {
	text, err := json.Marshal(exclusionDocument{Version: exclusionFileVersion, Hosts: f.newest})
	if err != nil {
		return err
	}
	temporary := fmt.Sprintf("%s.%d", f.path, os.Getpid())
	if err := os.WriteFile(temporary, text, exclusionFileMode); err != nil {
		return err
	}
	return os.Rename(temporary, f.path)
}
