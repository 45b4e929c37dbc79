package server

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// Whatever lies in $TMPDIR, the program goes on: what can't be read changes nothing, and is replaced by a whole file at the
// next word.
func TestForeignStateIsSafe(t *testing.T) {
	for _, text := range []string{"", "{", `{"version":1,"hosts":{"a":`, `{"version":2,"hosts":{"a":{"out":true,"at":9}}}`, `[1]`} {
		s, err := openShared(zap.NewNop(), t.TempDir(), "n/1")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(s.bans, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if news := s.news(); len(news) > 0 {
			t.Errorf("%q: %v", text, news)
		}
		s.say("b", word{Out: true, At: 5})
		other := &shared{log: zap.NewNop(), bans: s.bans, words: map[string]word{}}
		if news := other.news(); len(news) != 1 || !news["b"].Out {
			t.Errorf("%q: written over with %v", text, news)
		}
		s.close()
	}
	if _, err := openShared(zap.NewNop(), filepath.Join(t.TempDir(), "nowhere"), "n"); err == nil {
		t.Error("no folder, and no error")
	}
}

// Two processes speak at a time: the newest word on each host counts, and a word that the other wrote over comes back.
func TestTheNewestWordOnAHostCounts(t *testing.T) {
	dir := t.TempDir()
	a, err := openShared(zap.NewNop(), dir, "n")
	if err != nil {
		t.Fatal(err)
	}
	defer a.close()
	b := &shared{log: zap.NewNop(), bans: a.bans, words: map[string]word{}}
	a.say("x", word{Out: true, At: 10})
	b.words["y"] = word{Out: true, At: 11} // b has not read a's word and writes over it
	b.write()
	future := time.Now().Add(time.Second)
	if err := os.Chtimes(a.bans, future, future); err != nil {
		t.Fatal(err)
	}
	if news := a.news(); len(news) != 1 || !news["y"].Out {
		t.Errorf("a hears %v", news)
	}
	if news := b.news(); len(news) != 1 || news["x"].At != 10 {
		t.Errorf("b hears %v", news)
	}
	b.say("x", word{Out: false, At: 12})
	if news := a.news(); news["x"].Out || news["x"].At != 12 {
		t.Errorf("a hears %v of a host that is back", news)
	}
}

// A process that was killed leaves its file, but not the lock on it.
func TestALockTellsWhoLives(t *testing.T) {
	dir := t.TempDir()
	s, err := openShared(zap.NewNop(), dir, "n")
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	path := filepath.Join(dir, "merlinjunction-n-1.live")
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	if !s.others() {
		t.Error("one that lives is not seen")
	}
	f.Close()
	if s.others() {
		t.Error("one that was killed is taken to live")
	}
	if _, err := os.Stat(path); err == nil {
		t.Error("what it left is still there")
	}
}
