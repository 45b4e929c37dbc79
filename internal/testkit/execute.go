package testkit

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

const (
	stateDivisionByZero = "22012" // an error of the statement's own
	stateInternalError  = "XX000"

	slowAnswer   = 80 * time.Millisecond  // of a statement with the word slow
	pausedAnswer = 350 * time.Millisecond // between the halves of a large row with the word pause
)

var rawBytes = regexp.MustCompile(`raw-([0-9a-f]+)`)

// execute runs the statement once and takes it down; false where the connection is to end.
func (s *hostSession) execute() bool {
	write := strings.HasPrefix(s.statement.Text, "INSERT")
	rejected, misplaced, times := s.takeDown(write)
	switch {
	case rejected:
		return s.fail(pg.StateTooManyConnections)
	case misplaced:
		return s.fail(stubserver.StateReadOnly)
	}
	if done, open := s.disturb(times); done {
		return open
	}
	if write {
		s.answerWrite()
		return true
	}
	return s.answerRead()
}

// takeDown counts a run of each value, unless the host rejects the statement or a write is at a replica. times is how
// often the value that ran most has run.
func (s *hostSession) takeDown(write bool) (rejected, misplaced bool, times int) {
	cluster := s.host.cluster
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	rejected = s.host.rejecting
	misplaced = write && cluster.primary != s.host.Name
	if rejected || misplaced {
		return rejected, misplaced, 0
	}
	for _, value := range s.statement.Values {
		cluster.runs[value] = append(cluster.runs[value], s.host.Name)
		times = max(times, len(cluster.runs[value]))
	}
	return rejected, misplaced, times
}

// disturb does what a word of the values asks for. done says that nothing is left to answer, open that the connection
// goes on.
func (s *hostSession) disturb(times int) (done, open bool) {
	words := s.words()
	switch {
	case strings.Contains(words, "fail"):
		return true, s.fail(stateDivisionByZero)
	case strings.Contains(words, "error"):
		return true, s.fail(stateInternalError)
	case strings.Contains(words, "resetonce") && times > 1:
	case strings.Contains(words, "reset"):
		stubserver.Reset(s.conn)
		return true, false
	case times == 1 && rawBytes.MatchString(words):
		text, _ := hex.DecodeString(rawBytes.FindStringSubmatch(words)[1])
		_, _ = s.conn.Write(text)
		s.hang()
		return true, false
	case strings.Contains(words, "hang"):
		s.hang()
		return true, false
	case strings.Contains(words, "slow"):
		time.Sleep(slowAnswer)
	}
	return false, true
}

// hang answers nothing until the other side closes the connection.
func (s *hostSession) hang() { _, _ = io.Copy(io.Discard, s.conn) }

func (s *hostSession) answerWrite() {
	if strings.Contains(s.statement.Text, "RETURNING") {
		s.out = stubserver.AppendRow(s.out, "v")
	}
	s.out = pg.AppendStrings(s.out, pg.MsgCommandComplete, "INSERT 0 1")
}

// answerRead writes the rows of a SELECT; false where the connection is to end.
func (s *hostSession) answerRead() bool {
	words := s.words()
	if _, size, ok := strings.Cut(words, "large"); ok {
		return s.answerLarge(words, size)
	}
	rows := 1
	if _, count, ok := strings.Cut(words, "rows"); ok {
		rows, _ = strconv.Atoi(count[:1])
	}
	for i := range rows {
		s.out = stubserver.AppendRow(s.out, fmt.Sprintf("%s%d", s.host.Name, i))
	}
	s.out = pg.AppendStrings(s.out, pg.MsgCommandComplete, "SELECT "+strconv.Itoa(rows))
	return true
}

// answerLarge writes one long row, in pieces; false where the connection is to end. size begins with its length in KiB.
func (s *hostSession) answerLarge(words, size string) bool {
	cut, pause, noise := strings.Contains(words, "cut"), strings.Contains(words, "pause"), strings.Contains(words, "noise")
	out := pg.AppendMessage(s.out, pg.MsgDataRow, largeRow(leadingNumber(size)<<10)...)
	s.out = nil
	if cut {
		out = out[:len(out)/2]
	}
	if pause {
		_, _ = s.conn.Write(out[:len(out)/2])
		out = out[len(out)/2:]
		time.Sleep(pausedAnswer)
	}
	if _, err := s.conn.Write(out); err != nil {
		return false
	}
	if noise {
		_, _ = s.conn.Write([]byte("noise that is no message"))
		s.hang()
	}
	if cut || noise {
		return false
	}
	s.out = pg.AppendStrings(s.out, pg.MsgCommandComplete, "SELECT 1")
	return true
}

// largeRow is the body of a row with one value of so many bytes.
func largeRow(size int) []byte {
	body := append([]byte{0, 1}, binary.BigEndian.AppendUint32(nil, uint32(size))...)
	for i := range size {
		body = append(body, byte(i))
	}
	return body
}

// leadingNumber is the number that a text begins with, 0 where it begins with none.
func leadingNumber(text string) int {
	digits := strings.IndexFunc(text, func(r rune) bool { return r < '0' || r > '9' })
	if digits < 0 {
		digits = len(text)
	}
	number, _ := strconv.Atoi(text[:digits])
	return number
}
