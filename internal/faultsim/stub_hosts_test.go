package faultsim

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"merlinjunction/internal/stubserver"
)

func startStubHosts(t *testing.T, count int, lag time.Duration) *StubHosts {
	t.Helper()
	hosts, err := newStubHosts(count, lag)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(hosts.close)
	return hosts
}

// query executes a statement on a host and returns the encoded answer.
func query(hosts *StubHosts, host int, text string) string {
	session := &hostSession{host: hosts.hosts[host]}
	session.statement.ReadQuery(append([]byte(text), 0))
	session.execute(false)
	return string(session.out)
}

// Checks that replicas reject writes and apply them after the lag, and that the hosts count statements and violations of the
// rules.
func TestHostCounters(t *testing.T) {
	const (
		write = "INSERT INTO setpoints VALUES ('s', 'k', '5')"
		read  = "SELECT v FROM setpoints WHERE greenhouse = 's'"
	)
	hosts := startStubHosts(t, 2, 50*time.Millisecond)
	if answer := query(hosts, 1, write); !strings.Contains(answer, stubserver.StateReadOnly) {
		t.Errorf("a replica answered a write with %q, expected SQLSTATE %s", answer, stubserver.StateReadOnly)
	}
	query(hosts, 0, write)
	atPrimary, atReplica := query(hosts, 0, read), query(hosts, 1, read)
	if !strings.Contains(atPrimary, "\x015") || !strings.Contains(atReplica, "\x010") {
		t.Errorf("the primary answered %q, expected 5; the lagging replica answered %q, expected 0", atPrimary, atReplica)
	}
	query(hosts, 0, write)
	if hosts.counters.DuplicateWrites != 0 {
		t.Error("a write that was repeated within the deduplication window was counted as a duplicate")
	}
	hosts.keyUsedAt["k"] = time.Now().Add(-dedupWindow - time.Millisecond)
	query(hosts, 0, write)
	hosts.hosts[1].drainAt = time.Now().Add(-drainGrace - 2*drainSlack)
	query(hosts, 1, read)
	counters := hosts.counters
	if counters.DuplicateWrites != 1 || counters.StatementsAfterDrain != 1 || counters.Statements["h0"] != 4 {
		t.Errorf("counters %+v, expected 1 duplicate write, 1 statement after the drain and 4 statements at h0", counters)
	}
	hosts.hosts[0].startedAt = time.Now()
	for range 400 {
		query(hosts, 0, read)
	}
	if hosts.counters.Overloads == 0 {
		t.Error("400 statements at once to a host in slow start were not counted as an overload")
	}
}

// A primary reports its position in whole milliseconds. If the position were rounded down, it would be earlier than the
// commit that it is reported with. A replica that has applied the log up to that position would then answer a session
// without the session's own write.
func TestReportedPositionCoversTheCommit(t *testing.T) {
	hosts := startStubHosts(t, 1, 0)
	conn, peer := net.Pipe()
	defer stubserver.CloseQuietly(peer)
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	for i := range 50 {
		insert := stubserver.Statement{Text: "INSERT", Values: []string{"s", fmt.Sprint("k", i), "1"}}
		session := &hostSession{host: hosts.hosts[0], conn: conn, statement: insert}
		session.execute(true)
		reported := time.UnixMilli(session.position().UnixMilli())
		if commit := hosts.rows["s"][i].committedAt; reported.Before(commit) {
			t.Fatalf("commit %d is %v later than the position reported with it", i, commit.Sub(reported))
		}
	}
}
