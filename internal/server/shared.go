package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// sharedVersion is the form of the file of bans. One of another form is left alone until there is something to write.
const sharedVersion = 1

// shared is what the processes of one gateway share while one takes over from another: a file of the bans, and for each
// process a file on which it holds a lock as long as it lives.
type shared struct {
	log   *zap.Logger
	bans  string // path
	dir   string
	name  string
	own   string // path of this process's file
	live  *os.File
	words map[string]word // the newest on each host
	read  fs.FileInfo     // of the file as it was read or written last
	bad   string          // what was wrong with it, logged once
}

// word is the operators' last word on a host.
type word struct {
	Out bool    `json:"out"`
	At  float64 `json:"at"` // Unix time in milliseconds
}

type sharedFile struct {
	Version int             `json:"version"`
	Hosts   map[string]word `json:"hosts"`
}

// openShared makes this process known to the others of its gateway.
func openShared(log *zap.Logger, dir, name string) (*shared, error) {
	s := &shared{log: log, dir: dir, name: "merlinjunction-" + filepath.Base(name), words: map[string]word{}}
	s.bans = filepath.Join(dir, s.name+".bans.json")
	f, err := os.CreateTemp(dir, s.name+".starting-")
	if err != nil {
		return nil, fmt.Errorf("TMPDIR: %w", err)
	}
	// Locked first, then renamed: nobody finds it without its lock and takes this process for dead.
	s.live, s.own = f, filepath.Join(dir, fmt.Sprintf("%s-%d.live", s.name, os.Getpid()))
	if err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
		err = os.Rename(f.Name(), s.own)
	}
	if err != nil {
		f.Close()
		os.Remove(f.Name())
		return nil, fmt.Errorf("TMPDIR: %w", err)
	}
	return s, nil
}

// close makes this process's end known.
func (s *shared) close() {
	os.Remove(s.own)
	s.live.Close()
}

// others tells whether another process of this gateway lives. What one left that was killed is cleared away.
func (s *shared) others() bool {
	found := false
	paths, _ := filepath.Glob(filepath.Join(s.dir, s.name+"-*.live")) // fails only for a malformed pattern
	for _, path := range paths {
		if path == s.own {
			continue
		}
		f, err := os.Open(path)
		if err != nil {
			continue // it has just ended
		}
		if unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) != nil {
			found = true
		} else {
			os.Remove(path)
		}
		f.Close()
	}
	return found
}

// news reads what others have written since, and returns the hosts on which theirs is the newest word. What this process
// knows and the file lacks is written again: of two that write at a time one would else be lost.
func (s *shared) news() map[string]word {
	info, err := os.Stat(s.bans)
	if err != nil || s.read != nil && os.SameFile(info, s.read) && info.ModTime().Equal(s.read.ModTime()) {
		if errors.Is(err, fs.ErrNotExist) && len(s.words) > 0 {
			s.write()
		}
		return nil
	}
	s.read = info
	var f sharedFile
	text, err := os.ReadFile(s.bans)
	if err == nil {
		err = json.Unmarshal(text, &f)
	}
	if err == nil && f.Version != sharedVersion {
		err = fmt.Errorf("version %d is not known here", f.Version)
	}
	if err != nil {
		if s.bad != err.Error() {
			s.bad = err.Error()
			s.log.Error("the file of bans is passed over", zap.String("path", s.bans), zap.Error(err))
		}
		return nil
	}
	newer := map[string]word{}
	for id, w := range f.Hosts {
		if id != "" && w.At > s.words[id].At {
			newer[id], s.words[id] = w, w
		}
	}
	if !maps.Equal(s.words, f.Hosts) {
		s.write()
	}
	return newer
}

// say takes down a word of this process and writes it for the others.
func (s *shared) say(id string, w word) {
	if old, ok := s.words[id]; ok && old.Out == w.Out {
		return
	}
	s.words[id] = w
	s.write()
}

// write puts a whole file in the place of the old one.
func (s *shared) write() {
	text, err := json.Marshal(sharedFile{sharedVersion, s.words})
	path := fmt.Sprintf("%s.%d", s.bans, os.Getpid())
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err == nil {
		err = os.Rename(path, s.bans)
	}
	if err != nil {
		s.log.Error("bans can't be written", zap.Error(err))
		return
	}
	if info, err := os.Stat(s.bans); err == nil {
		s.read = info
	}
}
