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
	// exclusionFileVersion is the version of the format that this program reads and writes. A file of another version is
	// ignored, and replaced at the next exclusion.
	exclusionFileVersion = 1
	exclusionFileMode    = 0o600
)

// exclusion is an operator's last exclusion of a host, or the last inclusion if Excluded is false.
type exclusion struct {
	Excluded bool    `json:"out"`
	AtMs     float64 `json:"at"` // Unix time in milliseconds
}

// exclusionDocument is the JSON content of the exclusion file.
type exclusionDocument struct {
	Version int                  `json:"version"`
	Hosts   map[string]exclusion `json:"hosts"`
}

// exclusionFile is the file through which sibling processes share exclusions. Each process reads the file periodically,
// and replaces it as a whole. The newest entry of a host takes precedence.
type exclusionFile struct {
	log      *zap.Logger
	path     string
	newest   map[string]exclusion // newest known entry of each host, by host ID
	lastSeen fs.FileInfo          // file information at the last read or write; nil before the first
	// lastError is the error logged last. It is never cleared, so the same error is not logged again if it returns after
	// the file was repaired.
	lastError string
}

func newExclusionFile(log *zap.Logger, path string) *exclusionFile {
	return &exclusionFile{log: log, path: path, newest: map[string]exclusion{}}
}

// readNewer reads the file if it has changed. It returns, by host ID, the entries that are newer than those that this
// process knows. If the file lacks an entry that this process knows, because a sibling replaced the file at the same
// time, readNewer writes the file again.
func (f *exclusionFile) readNewer() map[string]exclusion {
	info, err := os.Stat(f.path)
	if err != nil {
		if errors.Is(err, fs.ErrNotExist) && len(f.newest) > 0 {
			f.write()
		}
		return nil
	}
	if f.isUnchanged(info) {
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

// isUnchanged reports whether the file is still the one that this process read or wrote last.
func (f *exclusionFile) isUnchanged(info fs.FileInfo) bool {
	return f.lastSeen != nil && os.SameFile(info, f.lastSeen) && info.ModTime().Equal(f.lastSeen.ModTime())
}

// read returns the entries of the file, by host ID. The error is that of the file system or the JSON decoder, or names a
// format version that this program does not support.
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
		return nil, fmt.Errorf("format version %d is not supported, expected %d", document.Version, exclusionFileVersion)
	}
	return document.Hosts, nil
}

// logReadError logs an error unless it is the one logged last, because the file is read periodically.
func (f *exclusionFile) logReadError(err error) {
	if f.lastError == err.Error() {
		return
	}
	f.lastError = err.Error()
	f.log.Error("ignoring unreadable exclusion file", zap.String("path", f.path), zap.Error(err))
}

// record writes an exclusion or inclusion by this process to the file, unless the host's newest entry already has that
// state.
func (f *exclusionFile) record(id string, entry exclusion) {
	if previous, ok := f.newest[id]; ok && previous.Excluded == entry.Excluded {
		return
	}
	f.newest[id] = entry
	f.write()
}

// write replaces the file as a whole, so that no sibling reads an incomplete file.
func (f *exclusionFile) write() {
	if err := f.replace(); err != nil {
		f.log.Error("writing the exclusion file failed", zap.String("path", f.path), zap.Error(err))
		return
	}
	if info, err := os.Stat(f.path); err == nil {
		f.lastSeen = info
	}
}

// replace writes the entries to a temporary file of this process and renames it, which replaces the file atomically.
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
