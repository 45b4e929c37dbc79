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
	stateDivisionByZero = "22012" // an error in the statement itself
	stateInternalError  = "XX000"

	slowAnswer   = 80 * time.Millisecond  // of a statement with the word slow
	pausedAnswer = 350 * time.Millisecond // between the halves of a large row with the word pause
)

var rawBytes = regexp.MustCompile(`raw-([0-9a-f]+)`)

// execute runs the statement and records its values. It returns false if the connection has to end.
func (s *hostSession) execute() bool {
	write := strings.HasPrefix(s.statement.Text, "INSERT")
	times, sqlstate := s.recordRun(write)
	if sqlstate != "" {
		return s.fail(sqlstate)
	}
	if done, open := s.injectFault(times); done {
		return open
	}
	if write {
		s.answerWrite()
		return true
	}
	return s.answerRead()
}

// recordRun records a run of each value and returns how often the one that ran most has run. If the host rejects the
// statement, or a write is at a replica, it records nothing and returns the SQLSTATE to answer with.
func (s *hostSession) recordRun(write bool) (times int, sqlstate string) {
	cluster := s.host.cluster
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	switch {
	case s.host.rejecting:
		return 0, pg.StateTooManyConnections
	case write && cluster.primary != s.host.Name:
		return 0, stubserver.StateReadOnly
	}
	for _, value := range s.statement.Values {
		cluster.runs[value] = append(cluster.runs[value], s.host.Name)
		times = max(times, len(cluster.runs[value]))
	}
	return times, ""
}

// injectFault causes the fault that a word of the values asks for. done means that the statement has been answered, or
// never will be; open that the connection remains open.
func (s *hostSession) injectFault(times int) (done, open bool) {
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

// hang sends nothing until the gateway closes the connection.
func (s *hostSession) hang() { _, _ = io.Copy(io.Discard, s.conn) }

// answerWrite answers an INSERT.
func (s *hostSession) answerWrite() {
	if strings.Contains(s.statement.Text, "RETURNING") {
		s.out = stubserver.AppendRow(s.out, "v")
	}
	s.out = pg.AppendStrings(s.out, pg.MsgCommandComplete, "INSERT 0 1")
}

// answerRead answers a SELECT. It returns false if the connection has to end.
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

// answerLarge answers with one long row whose size begins with its length in KiB. It returns false if the connection
// has to end.
func (s *hostSession) answerLarge(words, size string) bool {
	cut := strings.Contains(words, "cut")
	pause := strings.Contains(words, "pause")
	noise := strings.Contains(words, "noise")
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

// largeRow returns the body of a DataRow with one value of a size in bytes.
func largeRow(size int) []byte {
	body := append([]byte{0, 1}, binary.BigEndian.AppendUint32(nil, uint32(size))...)
	for i := range size {
		body = append(body, byte(i))
	}
	return body
}

// leadingNumber returns the number that a text begins with; 0 if there is none.
func leadingNumber(text string) int {
	digits := strings.IndexFunc(text, func(char rune) bool { return char < '0' || char > '9' })
	if digits < 0 {
		digits = len(text)
	}
	number, _ := strconv.Atoi(text[:digits])
	return number
}
