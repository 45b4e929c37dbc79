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
	stateDivisionByZero = "22012" // an error that the statement itself causes
	stateInternalError  = "XX000"

	slowAnswerDelay   = 80 * time.Millisecond  // delay of the answer to a statement with the directive slow
	pausedAnswerDelay = 350 * time.Millisecond // pause between the halves of a large row with the directive pause
)

var rawDirective = regexp.MustCompile(`raw-([0-9a-f]+)`)

// execute runs the statement and records a run of each of its values. It returns false if the connection has to end.
func (s *hostSession) execute() bool {
	write := strings.HasPrefix(s.statement.Text, "INSERT")
	maxRuns, sqlstate := s.recordRun(write)
	if sqlstate != "" {
		return s.fail(sqlstate)
	}
	if done, open := s.injectFault(maxRuns); done {
		return open
	}
	if write {
		s.answerWrite()
		return true
	}
	return s.answerRead()
}

// recordRun records a run of each value. maxRuns is the largest number of runs that any of the values now has. If the host
// rejects the statement, or if the statement is a write and the host a replica, recordRun records nothing and returns the
// SQLSTATE of the answer.
func (s *hostSession) recordRun(write bool) (maxRuns int, sqlstate string) {
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
		maxRuns = max(maxRuns, len(cluster.runs[value]))
	}
	return maxRuns, ""
}

// injectFault causes the fault that the directives of the statement request. done reports that the statement needs no
// further answer. open reports that the connection remains open.
func (s *hostSession) injectFault(maxRuns int) (done, open bool) {
	directives := s.directives()
	switch {
	case strings.Contains(directives, "fail"):
		return true, s.fail(stateDivisionByZero)
	case strings.Contains(directives, "error"):
		return true, s.fail(stateInternalError)
	case strings.Contains(directives, "resetonce") && maxRuns > 1:
	case strings.Contains(directives, "reset"):
		stubserver.Reset(s.conn)
		return true, false
	case maxRuns == 1 && rawDirective.MatchString(directives):
		text, _ := hex.DecodeString(rawDirective.FindStringSubmatch(directives)[1])
		_, _ = s.conn.Write(text)
		s.hang()
		return true, false
	case strings.Contains(directives, "hang"):
		s.hang()
		return true, false
	case strings.Contains(directives, "slow"):
		time.Sleep(slowAnswerDelay)
	}
	return false, true
}

// hang sends nothing and discards input until the gateway closes the connection.
func (s *hostSession) hang() { _, _ = io.Copy(io.Discard, s.conn) }

// answerWrite answers an INSERT, with a row if it has RETURNING.
func (s *hostSession) answerWrite() {
	if strings.Contains(s.statement.Text, "RETURNING") {
		s.out = stubserver.AppendRow(s.out, "v")
	}
	s.out = pg.AppendStrings(s.out, pg.MsgCommandComplete, "INSERT 0 1")
}

// answerRead answers a SELECT with the rows that its directives request, or with one row. It returns false if the connection
// has to end.
func (s *hostSession) answerRead() bool {
	directives := s.directives()
	if _, size, ok := strings.Cut(directives, "large"); ok {
		return s.answerLarge(directives, size)
	}
	rows := 1
	if _, count, ok := strings.Cut(directives, "rows"); ok {
		rows, _ = strconv.Atoi(count[:1])
	}
	for i := range rows {
		s.out = stubserver.AppendRow(s.out, fmt.Sprintf("%s%d", s.host.Name, i))
	}
	s.out = pg.AppendStrings(s.out, pg.MsgCommandComplete, "SELECT "+strconv.Itoa(rows))
	return true
}

// answerLarge answers with one large row. size begins with the row's size in KiB; other text may follow. It returns false if
// the connection has to end.
func (s *hostSession) answerLarge(directives, size string) bool {
	cut := strings.Contains(directives, "cut")
	pause := strings.Contains(directives, "pause")
	noise := strings.Contains(directives, "noise")
	out := pg.AppendMessage(s.out, pg.MsgDataRow, largeRow(leadingNumber(size)<<10)...)
	s.out = nil
	if cut {
		out = out[:len(out)/2]
	}
	if pause {
		_, _ = s.conn.Write(out[:len(out)/2])
		out = out[len(out)/2:]
		time.Sleep(pausedAnswerDelay)
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

// largeRow returns the body of a DataRow whose only value has the given size in bytes.
func largeRow(size int) []byte {
	body := append([]byte{0, 1}, binary.BigEndian.AppendUint32(nil, uint32(size))...)
	for i := range size {
		body = append(body, byte(i))
	}
	return body
}

// leadingNumber returns the decimal number at the beginning of a text. It returns 0 if there is none.
func leadingNumber(text string) int {
	digits := strings.IndexFunc(text, func(char rune) bool { return char < '0' || char > '9' })
	if digits < 0 {
		digits = len(text)
	}
	number, _ := strconv.Atoi(text[:digits])
	return number
}
