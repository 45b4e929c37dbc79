package pg

import (
	"testing"

	"merlinjunction/routing"
)

// reportRow returns the answer to a LoadReportQuery with the given report.
func reportRow(text string) []byte {
	value := append([]byte{0, 1, 0, 0, 0, byte(len(text))}, text...)
	row := AppendMessage(AppendMessage(nil, MsgRowDescription, 0, 0), MsgDataRow, value...)
	return AppendStrings(row, MsgCommandComplete, "SHOW")
}

func TestParseLoadReport(t *testing.T) {
	role, position, ok := ParseLoadReport(reportRow("x0=1767225600.125,x1=1,inflight=7"))
	if !ok || role != routing.RolePrimary || position != 1767225600125 {
		t.Errorf("got role %v, position %v, ok %v", role, position, ok)
	}
	if role, _, ok := ParseLoadReport(reportRow("x0=5,x1=0")); !ok || role != routing.RoleReplica {
		t.Errorf("got role %v, ok %v, want a replica", role, ok)
	}
	for _, bad := range [][]byte{
		nil, reportRow(""), reportRow("x0=NaN"), reportRow("x1=1"), reportRow("x0=1,x1=1")[:26], {'D', 0, 0, 0, 4},
	} {
		if _, _, ok := ParseLoadReport(bad); ok {
			t.Errorf("%q was parsed as a load report", bad)
		}
	}
}
