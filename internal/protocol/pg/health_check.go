package pg

import (
	"math"
	"strconv"
	"strings"

	"merlinjunction/routing"
)

// Names of values in a load report.
const (
	reportPosition = "x0" // position of the host's data, in seconds since 1970
	reportPrimary  = "x1" // 1 if the host is the primary
)

const millisecondsPerSecond = 1000

var (
	_ Command = LoadReportQuery{}
	_ Command = EmptyQuery{}
)

// LoadReportQuery is a health check that asks a host for its load report.
type LoadReportQuery struct{}

// AppendTo appends the query.
func (LoadReportQuery) AppendTo(buf []byte, _ float64) []byte {
	return AppendStrings(buf, MsgQuery, "SHOW server_load")
}

// Forwards accepts the messages of a query result, which ParseLoadReport parses.
func (LoadReportQuery) Forwards(messageType byte) bool { return IsQueryResult(messageType) }

// IsComplete requires a result with one row.
func (LoadReportQuery) IsComplete(answer []byte) bool { return MessageTypes(answer) == "TDC" }

// EmptyQuery is a health check for hosts without load reports. Its answer shows that the host is alive. The host's role
// is the last one that the host has reported on the connection (HostDialer.RoleOnChange).
type EmptyQuery struct{}

// AppendTo appends the query.
func (EmptyQuery) AppendTo(buf []byte, _ float64) []byte { return AppendStrings(buf, MsgQuery, "") }

// Forwards accepts the answer to an empty query.
func (EmptyQuery) Forwards(messageType byte) bool { return messageType == MsgEmptyQueryResponse }

// IsComplete requires the answer to an empty query.
func (EmptyQuery) IsComplete(answer []byte) bool { return MessageTypes(answer) == "I" }

// ParseLoadReport parses the answer to a LoadReportQuery. The position is in milliseconds since 1970. ok is false
// for an answer that is not a load report or has no position.
func ParseLoadReport(answer []byte) (role routing.Role, positionMs float64, ok bool) {
	if !(LoadReportQuery{}).IsComplete(answer) {
		return 0, 0, false
	}
	_, _, size, _ := SplitMessage(answer, maxAnswerBytes)
	_, body, _, _ := SplitMessage(answer[size:], maxAnswerBytes)
	fields := NewFieldReader(body)
	if fields.Int16() != 1 {
		return 0, 0, false
	}
	role = routing.RoleReplica
	for pair := range strings.SplitSeq(string(fields.Value()), ",") {
		name, text, _ := strings.Cut(pair, "=")
		value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		valueMs := value * millisecondsPerSecond
		if err != nil || math.IsNaN(valueMs) || math.IsInf(valueMs, 0) {
			continue
		}
		switch strings.TrimSpace(name) {
		case reportPosition:
			positionMs, ok = valueMs, true
		case reportPrimary:
			if value == 1 {
				role = routing.RolePrimary
			}
		}
	}
	return role, positionMs, ok && !fields.Malformed
}
