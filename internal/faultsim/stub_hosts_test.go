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

// query executes a statement at a host and returns the answer's bytes.
func query(hosts *StubHosts, host int, text string) string {
	session := &hostSession{host: hosts.hosts[host]}
	session.statement.ReadQuery(append([]byte(text), 0))
	session.execute(false)
	return string(session.out)
}

// The stub hosts replicate writes after the lag, and count statements and violations of the rules.
func TestHostCounters(t *testing.T) {
	const (
		write = "INSERT INTO setpoints VALUES ('s', 'k', '5')"
		read  = "SELECT v FROM setpoints WHERE greenhouse = 's'"
	)
	hosts := startStubHosts(t, 2, 50*time.Millisecond)
	if answer := query(hosts, 1, write); !strings.Contains(answer, stubserver.StateReadOnly) {
		t.Errorf("a replica accepts a write: %q", answer)
	}
	query(hosts, 0, write)
	atPrimary, atReplica := query(hosts, 0, read), query(hosts, 1, read)
	if !strings.Contains(atPrimary, "\x015") || !strings.Contains(atReplica, "\x010") {
		t.Errorf("the primary answers %q, the lagging replica %q", atPrimary, atReplica)
	}
	query(hosts, 0, write)
	if hosts.counters.DuplicateWrites != 0 {
		t.Error("a repetition within its window counts as a duplicate")
	}
	hosts.keysAt["k"] = time.Now().Add(-dedupWindow - time.Millisecond)
	query(hosts, 0, write)
	hosts.hosts[1].drainAt = time.Now().Add(-drainGrace - 2*drainSlack)
	query(hosts, 1, read)
	counters := hosts.counters
	if counters.DuplicateWrites != 1 || counters.StatementsAfterDrain != 1 || counters.Served["h0"] != 4 {
		t.Errorf("%+v", counters)
	}
	hosts.hosts[0].startedAt = time.Now()
	for range 400 {
		query(hosts, 0, read)
	}
	if hosts.counters.Overloads == 0 {
		t.Error("400 statements at once overload no host in slow start")
	}
}

// A primary reports its position in whole milliseconds. If it were truncated instead of rounded up it would be less
// than the commit that it is reported with, and a replica that has applied just so much would answer a session with
// less than it has written.
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
			t.Fatalf("commit %d is %v later than the reported position", i, commit.Sub(reported))
		}
	}
}
