package testkit

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Play plays each scenario file of a folder: a line a step, # for comments, \ joins lines.
//
//	send C MESSAGES      expect C ANSWERS     close C | half C | reset C     wait MS
//	send C FLOOD MESSAGES    sends them 5,000 times
//	manage STATUS METHOD PATH [TEXT]    TEXT is the body of a PUT (BIG: 64 KiB), and must be in the answer to a GET
//	host H WORD          ran VALUE HOSTS...   count VALUE N   agent TEXT    http STATUS PATH     stop     exit
//	all WORD             does that to each host       idle MS: nothing is in hand any more, within that time
//
// MESSAGES are divided by " | " and go out in one packet; ANSWERS are the types of the messages that must come,
// some with what is in them: E:SQLSTATE[:DETAIL], C:TAG_WITH_SCORES, D:VALUE, eof, broken (the end in the
// middle of a message, or a reset), cut (broken, or the end after a row).
func Play(t *testing.T, folder string, start func(*testing.T, *Cluster) Gateway) {
	t.Helper()
	PlayWith(t, folder, nil, start)
}

// PlayWith plays them with words of the deployment's own: each $NAME stands for its word.
func PlayWith(t *testing.T, folder string, words map[string]string, start func(*testing.T, *Cluster) Gateway) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios in %s: %v", folder, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			player := NewPlayer(t, start, "a", "b", "c")
			player.words = words
			player.playFile(t, file, string(text))
		})
	}
}

// playFile plays a scenario's text line by line; an error names the file and the step.
func (p *Player) playFile(t *testing.T, file, text string) {
	t.Helper()
	lines := strings.Split(strings.ReplaceAll(text, "\\\n", " "), "\n")
	for i, line := range lines {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		if err := p.Step(line); err != nil {
			t.Fatalf("%s, step %d, %s: %v", file, i+1, line, err)
		}
	}
}
