package server

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
	"merlinjunction/internal/testkit"
)

const (
	heapLimitMB        = 32 // memory limit of the gateway
	extendedWriteClass = 2  // index in deploy/extended.toml
	writeClass         = 1  // index in the configuration of the platform tests
	heapClients        = 30
	heapQueries        = 32 // number of queries that each client sends at once
	heapWatchPeriod    = 1500 * time.Millisecond
	heapSamplePeriod   = 50 * time.Millisecond
)

// liveHeapBytes returns the size of the objects that are in use.
func liveHeapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// wantHeapWithinLimit fails the test if the gateway's objects exceed its memory limit during heapWatchPeriod. The objects of
// the test count too.
func wantHeapWithinLimit(t *testing.T, before int) {
	t.Helper()
	peak := 0
	for end := time.Now().Add(heapWatchPeriod); time.Now().Before(end); time.Sleep(heapSamplePeriod) {
		peak = max(peak, liveHeapBytes()-before)
	}
	t.Logf("at most %d KiB", peak>>10)
	if peak > heapLimitMB<<20 {
		t.Errorf("the gateway held up to %d KiB, want at most its limit of %d MiB", peak>>10, heapLimitMB)
	}
}

// playMemoryLimit starts three hosts and a gateway with a memory limit of heapLimitMB.
func playMemoryLimit(t *testing.T) *testkit.Player {
	t.Helper()
	return testkit.NewPlayer(t, startSmallMemoryPlatform, "a", "b", "c")
}

// startSmallMemoryPlatform starts a gateway with a memory limit of heapLimitMB, and a connect timeout that slow connections
// don't exceed.
func startSmallMemoryPlatform(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
	tb.Helper()
	config, err := loadPlatformText(tb, platformText(tb, serveDiscovery(tb, cluster)))
	if err == nil {
		config.MemoryMB, config.ConnectTimeoutMs = heapLimitMB, 20_000
	}
	return runGateway(tb, config, err)
}

// startSmallMemoryExtended does the same as startSmallMemoryPlatform for the extended frontend.
func startSmallMemoryExtended(tb testing.TB, cluster *testkit.Cluster) testkit.Gateway {
	tb.Helper()
	config, err := loadOperatorText(tb, operatorText(tb, serveDiscovery(tb, cluster)))
	if err == nil {
		config.MemoryMB, config.ConnectTimeoutMs = heapLimitMB, 20_000
	}
	return runGateway(tb, config, err)
}

// largeValue returns the hexadecimal text of a value of 64 KiB.
func largeValue() string { return strings.Repeat("ab", 64<<10) }

// insertQuery returns a write of a client with the given number.
func insertQuery(key, value string, client, i int) string {
	return fmt.Sprintf("INSERT INTO records (k, v) VALUES ('%s', '\\x%s') RETURNING v "+
		"/* id=%d-%d,c=write,k=%d-%d,t=x,d=9000,cluster=0 */", key, value, client, i, client, i)
}

// sendQueries sends queries on a new connection as fast as the gateway reads them, and discards the answers.
func sendQueries(t *testing.T, address string, count int, query func(i int) string) {
	t.Helper()
	conn := dialTest(t, address)
	startup, err := testkit.EncodeMessage(nil, "startup")
	if err != nil {
		t.Error(err)
		return
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	go func() {
		_, err := conn.Write(startup)
		for i := 0; i < count && err == nil; i++ {
			_, err = conn.Write(pg.AppendStrings(nil, pg.MsgQuery, query(i)))
		}
	}()
}

// Guards against a gateway that was killed for memory, because it kept the text of all queries of clients that send many
// large writes at once.
func TestPipelinedWritesStayWithinTheMemoryLimit(t *testing.T) {
	player := playMemoryLimit(t)
	playSteps(t, player, "host a hold")
	address, _, _ := player.Gateway.Addrs()
	value := largeValue()
	before := liveHeapBytes()
	for client := range heapClients {
		sendQueries(t, address, heapQueries, func(i int) string {
			return insertQuery(fmt.Sprint("key", client), value, client, i)
		})
	}
	wantHeapWithinLimit(t, before)
	playSteps(t, player, "host a release")
}

// Guards against a gateway that was killed for memory, because it kept the answers of all reads that clients had sent behind
// a write whose host hung.
func TestAnswersBehindAHungWriteStayWithinTheMemoryLimit(t *testing.T) {
	player := playMemoryLimit(t)
	address, _, _ := player.Gateway.Addrs()
	before := liveHeapBytes()
	for client := range heapClients {
		sendQueries(t, address, heapQueries, func(i int) string {
			if i == 0 {
				return insertQuery(fmt.Sprint("hang", client), "00", client, i)
			}
			return fmt.Sprintf("SELECT v FROM records WHERE k = 'large63-%d-%d' "+
				"/* id=%d-%d,c=long,t=x,d=9000,cluster=0 */", client, i, client, i)
		})
	}
	wantHeapWithinLimit(t, before)
}

// Guards against a gateway that was killed for memory, because the key of a write, which the session table keeps for 30 s,
// was a part of the query's text and kept all of it.
func TestAnsweredWritesStayWithinTheMemoryLimit(t *testing.T) {
	player := playMemoryLimit(t)
	address, _, _ := player.Gateway.Addrs()
	gateway := player.Gateway.(*runningGateway)
	filler := "/* f=" + largeValue() + "," // in the annotation, as the hosts of the test keep all values
	before := liveHeapBytes()
	const writes = 300
	sendQueries(t, address, writes, func(i int) string {
		return strings.Replace(insertQuery(fmt.Sprint("key", i), "00", 0, i), "/*", filler, 1)
	})
	waitUntil(t, "all writes are answered", func() bool {
		answered := make(chan int, 1)
		gateway.loop.Post(func() { answered <- gateway.core.ReplyCounts()[writeClass].Success })
		return <-answered == writes
	})
	wantHeapWithinLimit(t, before)
}

// Guards against writes that were read whole and whose connections were closed without an answer, because clients that had
// stopped in the middle of a message held the memory for all input. Those clients must get their error or a closed
// connection within 3 s.
func TestWritesBesideStalledClientsAreAnswered(t *testing.T) {
	player := playMemoryLimit(t)
	address, _, _ := player.Gateway.Addrs()
	value := largeValue()
	startup, err := testkit.EncodeMessage(nil, "startup")
	if err != nil {
		t.Fatal(err)
	}
	message := pg.AppendStrings(startup, pg.MsgQuery, insertQuery("stalled", value, 0, 0))
	const stalledClients = 150
	begun := time.Now()
	var stalled sync.WaitGroup
	for i := range stalledClients {
		conn := dialTest(t, address)
		_ = conn.SetReadDeadline(begun.Add(3 * time.Second))
		go func() { _, _ = conn.Write(message[:len(message)*9/10]) }()
		stalled.Go(func() {
			if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("the connection of stalled client %d is still open after %v", i, time.Since(begun))
			}
		})
	}
	for i := range 20 {
		time.Sleep(50 * time.Millisecond)
		conn := dialTest(t, address)
		query := pg.AppendStrings(bytes.Clone(startup), pg.MsgQuery, insertQuery(fmt.Sprint("usual", i), value, 1, i))
		go func() { _, _ = conn.Write(query) }()
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		if err := readUntilAnswered(conn); err != nil {
			t.Errorf("write %d got no answer after %v: %v", i, time.Since(begun), err)
		}
	}
	stalled.Wait()
}

// dialTest opens a connection that is closed at the end of the test.
func dialTest(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

// readUntilAnswered reads the answer to a query, after that to the startup message. Any error response is an answer too.
func readUntilAnswered(conn net.Conn) error {
	for {
		messageType, _, err := stubserver.ReadMessage(conn, pg.MaxMessage)
		if err != nil || messageType == pg.MsgCommandComplete || messageType == pg.MsgErrorResponse {
			return err
		}
	}
}

// Guards against a gateway that is killed for memory, because the extended frontend kept the text of simple queries without
// a limit while they waited for a host. A client sends one query at a time.
func TestLargeSimpleQueriesStayWithinTheMemoryLimit(t *testing.T) {
	player := testkit.NewPlayer(t, startSmallMemoryExtended, "a")
	playSteps(t, player, "host a hold")
	address, _, _ := player.Gateway.Addrs()
	query := "SELECT v FROM archive /* " + strings.Repeat("x", 150<<10) + " */"
	before := liveHeapBytes()
	for range 300 {
		sendQueries(t, address, 1, func(int) string { return query })
	}
	wantHeapWithinLimit(t, before)
	playSteps(t, player, "host a release")
}

// Guards against a gateway that was killed for memory, because the extended frontend counted less for a prepared statement
// or a portal than it kept: not the statement's name and parameter types, not each of tens of thousands of short
// parameters, and not the text of a statement that lives on only in its portals.
func TestPreparedObjectsStayWithinTheMemoryLimit(t *testing.T) {
	const preparingClients = 60
	filler := strings.Repeat("n", 140<<10)
	shortParameters := strings.Repeat("x ", 30_000)
	for name, message := range map[string]func(i int) []string{
		"long names":       func(i int) []string { return []string{fmt.Sprintf("parse %d%s", i, filler)} },
		"short parameters": func(i int) []string { return []string{"parse -", fmt.Sprintf("bind %d - %s", i, shortParameters)} },
		"replaced statements": func(i int) []string {
			return []string{"parse - /* " + filler + " */", fmt.Sprintf("bind %d -", i)}
		},
		"parameter types": func(i int) []string { return []string{fmt.Sprintf("parse %d:%s", i, strings.Repeat("23,", 35_000))} },
	} {
		t.Run(name, func(t *testing.T) {
			player := testkit.NewPlayer(t, startSmallMemoryExtended, "a")
			address, _, _ := player.Gateway.Addrs()
			var messages []byte
			for i := range 20 {
				messages = append(messages, encode(t, message(i)...)...)
			}
			before := liveHeapBytes()
			for range preparingClients {
				sendMessages(t, address, messages)
			}
			wantHeapWithinLimit(t, before)
		})
	}
}

// sendMessages sends encoded messages after a startup message, as fast as the gateway reads them, and discards the answers.
// The connection stays open until the end of the test.
func sendMessages(t *testing.T, address string, messages []byte) {
	t.Helper()
	conn := dialTest(t, address)
	startup := encode(t, "startup")
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	go func() {
		if _, err := conn.Write(startup); err == nil {
			_, _ = conn.Write(messages)
		}
	}()
}
