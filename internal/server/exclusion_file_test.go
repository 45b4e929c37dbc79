package server

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
)

// exclusionFileOfVersion1 is a file in version 1 of the format, byte for byte. The format must not change, because during
// an upgrade the processes of two releases read each other's files.
const exclusionFileOfVersion1 = `{"version":1,"hosts":{` +
	`"a":{"out":true,"at":1700000000000.5},"b":{"out":false,"at":1700000000001}}}`

func TestExclusionFileFormat(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "merlinjunction-n.bans.json")
	want := map[string]exclusion{"a": {Excluded: true, AtMs: 1700000000000.5}, "b": {Excluded: false, AtMs: 1700000000001}}
	t.Run("write", func(t *testing.T) {
		state := openTestState(t, dir, "n")
		state.exclusions.record("a", want["a"])
		state.exclusions.record("b", want["b"])
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if string(text) != exclusionFileOfVersion1 {
			t.Errorf("wrote %s, want %s", text, exclusionFileOfVersion1)
		}
	})
	t.Run("read", func(t *testing.T) {
		if err := os.WriteFile(path, []byte(exclusionFileOfVersion1), 0o600); err != nil {
			t.Fatal(err)
		}
		if newer := openTestState(t, dir, "n").exclusions.readNewer(); !maps.Equal(newer, want) {
			t.Errorf("read %v, want %v", newer, want)
		}
	})
}

// An unreadable file must change no exclusion, and must be replaced as a whole at the next exclusion.
func TestUnreadableExclusionFileIsReplaced(t *testing.T) {
	for _, text := range []string{
		"",
		"{",
		`{"version":1,"hosts":{"a":`,
		`{"version":2,"hosts":{"a":{"out":true,"at":9}}}`,
		`[1]`,
	} {
		state, err := openSharedState(zap.NewNop(), t.TempDir(), "n/1")
		if err != nil {
			t.Fatal(err)
		}
		exclusions := state.exclusions
		if err := os.WriteFile(exclusions.path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if newer := exclusions.readNewer(); len(newer) > 0 {
			t.Errorf("%q: read %v, want no entry", text, newer)
		}
		exclusions.record("b", exclusion{Excluded: true, AtMs: 5})
		sibling := newExclusionFile(zap.NewNop(), exclusions.path)
		if newer := sibling.readNewer(); len(newer) != 1 || !newer["b"].Excluded {
			t.Errorf("%q: read %v after the next exclusion, want only the exclusion of b", text, newer)
		}
		state.close()
	}
	_, err := openSharedState(zap.NewNop(), filepath.Join(t.TempDir(), "nowhere"), "n")
	var configError *ConfigError
	if !errors.As(err, &configError) || configError.Key != "TMPDIR" {
		t.Errorf("without the directory: got error %v, want a ConfigError with the key TMPDIR", err)
	}
}

// When two processes write at the same time, the newest entry of each host must take precedence, and an entry that the
// other process has overwritten must be written again.
func TestNewestExclusionTakesPrecedence(t *testing.T) {
	first := openTestState(t, t.TempDir(), "n").exclusions
	second := newExclusionFile(zap.NewNop(), first.path)
	first.record("x", exclusion{Excluded: true, AtMs: 10})
	second.newest["y"] = exclusion{Excluded: true, AtMs: 11} // second has not read first's entry and overwrites it
	second.write()
	future := time.Now().Add(time.Second)
	if err := os.Chtimes(first.path, future, future); err != nil {
		t.Fatal(err)
	}
	if newer := first.readNewer(); len(newer) != 1 || !newer["y"].Excluded {
		t.Errorf("first reads %v, want the exclusion of y", newer)
	}
	if newer := second.readNewer(); len(newer) != 1 || newer["x"].AtMs != 10 {
		t.Errorf("second reads %v, want the exclusion of x", newer)
	}
	second.record("x", exclusion{Excluded: false, AtMs: 12})
	if newer := first.readNewer(); newer["x"].Excluded || newer["x"].AtMs != 12 {
		t.Errorf("first reads %v, want the inclusion of x", newer)
	}
}
