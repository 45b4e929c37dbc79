package pg

import (
	"math"
	"testing"
)

// FuzzParseLoadReport checks that the answer to a health check is rejected or has a finite position, whatever the host
// sends.
func FuzzParseLoadReport(f *testing.F) {
	for _, text := range []string{"x0=1,x1=1", "x0=NaN", "x0=1e308", "x0=-1,x1=1,x1=0", "=,,=", ""} {
		answer := AppendMessage(nil, MsgRowDescription, 0, 0)
		row := append([]byte{0, 1, 0, 0, 0, byte(len(text))}, text...)
		answer = AppendMessage(answer, MsgDataRow, row...)
		f.Add(AppendStrings(answer, MsgCommandComplete, "SHOW"))
	}
	f.Add([]byte{})
	f.Add(AppendMessage(nil, MsgDataRow))
	f.Fuzz(func(t *testing.T, answer []byte) {
		_, positionMs, ok := ParseLoadReport(answer)
		if ok && (math.IsNaN(positionMs) || math.IsInf(positionMs, 0)) {
			t.Errorf("the load report has the position %v, want a finite one", positionMs)
		}
		ColumnCount(answer)
		CommandTag(answer)
	})
}

// FuzzHostMessage checks that a message from a host is incomplete, rejected or within its input, and that a well-formed
// ErrorResponse has an SQLSTATE. rowValidator must give the same result for a row that is split anywhere as isWellFormed
// for the whole row.
func FuzzHostMessage(f *testing.F) {
	for _, seed := range [][]byte{
		AppendReadyForQuery(nil), AppendMessage(nil, MsgDataRow, 0, 1, 0, 0, 0, 1, 'v'), AppendMessage(nil, MsgDataRow, 0, 1),
		AppendMessage(nil, MsgRowDescription, 255, 255), ErrorResponse{SQLState: StateSyntax}.AppendTo(nil),
		AppendStrings(nil, MsgParameterStatus, "a", "b"), {'D', 255, 255, 255, 255}, {'E', 0, 0, 0, 5, 0},
	} {
		f.Add(seed, uint16(6))
	}
	f.Fuzz(func(t *testing.T, input []byte, cut uint16) {
		messageType, body, size, err := SplitMessage(input, MaxMessage)
		if err != nil || size == 0 {
			return
		}
		if size > len(input) || len(body) != size-headerSize {
			t.Fatalf("message of %d bytes with a body of %d bytes in an input of %d bytes", size, len(body), len(input))
		}
		if isWellFormed(messageType, body) && messageType == MsgErrorResponse && len(sqlStateOf(body)) != sqlStateLen {
			t.Errorf("an ErrorResponse without an SQLSTATE is well-formed: %q", body)
		}
		if messageType != MsgDataRow || len(body) < rowHeaderSize-headerSize {
			return
		}
		validator := rowValidator{columnsLeft: NewFieldReader(body).Int16(), skip: rowHeaderSize}
		at := int(cut) % size
		validator.add(input[:at])
		validator.add(input[at:size])
		if validator.complete() != isWellFormed(messageType, body) {
			t.Errorf("row split at byte %d: complete = %v, unlike isWellFormed of the whole row %q", at, validator.complete(), body)
		}
	})
}

// FuzzParseStartup checks that a startup message is rejected or has a user and a database.
func FuzzParseStartup(f *testing.F) {
	for _, seed := range []string{"user\x00a\x00\x00", "user\x00a\x00database\x00b\x00\x00", "\x00", "", "user\x00", "_pq_.x\x00y\x00\x00"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		startup, err := parseStartup(body, 0)
		if err == nil && (startup.user == "" || startup.database == "") {
			t.Errorf("%q: got %+v, want a user and a database", body, startup)
		}
	})
}
