package discovery

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/proxy"
)

func TestInvalidEntriesAreRejected(t *testing.T) {
	for _, entry := range []string{
		`{"id":"","phase":"active"}`,
		`{"id":"a","phase":"asleep"}`,
		`{"id":"a","phase":"left","up_since_ms":-1}`,
	} {
		w := &Watcher{log: zap.NewNop()}
		err := w.handleResponse(&response{status: 200, body: []byte(`{"members":[` + entry + `]}`)})
		var entryError *EntryError
		if !errors.As(err, &entryError) {
			t.Errorf("%s: got error %v, want an *EntryError", entry, err)
		}
	}
}

// TestWatchResumesFromKnownRevision checks that the watch continues from the known revision after discovery has responded
// in pieces, then not at all, and then closed the connection. The whole list is requested again only if discovery no
// longer knows that revision.
func TestWatchResumesFromKnownRevision(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var requests []string
	served := make(chan struct{})
	go func() {
		defer close(served)
		for _, responses := range [][]string{
			{documentResponse(4, true, "a"), documentResponse(5, false, "b")},
			{},
			{"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"},
			{documentResponse(9, true, "c")},
		} {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 4096)
			for _, text := range append(responses, "") {
				n, _ := conn.Read(buffer)
				line, _, _ := strings.Cut(string(buffer[:n]), " HTTP/1.1")
				requests = append(requests, line)
				for piece := range slices.Chunk([]byte(text), 40) {
					_, _ = conn.Write(piece)
					time.Sleep(time.Millisecond)
				}
				if strings.Contains(text, "410") {
					break
				}
			}
			_ = conn.Close()
		}
	}()
	loop, err := eventloop.New(eventloop.SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loop.Close)
	var updates []string
	config := Config{GatewayCount: 4, Revision: NoRevision}
	Watch(loop, zap.NewNop(), listener.Addr().String(), config, func(complete bool, hosts []proxy.Host, _ float64) {
		updates = append(updates, fmt.Sprint(complete, " ", hosts[0].ID))
		if hosts[0].ID == "c" {
			loop.Stop()
		}
	})
	loop.After(20_000, loop.Stop)
	if err := loop.Run(func() {}); err != nil {
		t.Fatal(err)
	}
	if want := []string{"true a", "false b", "true c"}; !slices.Equal(updates, want) {
		t.Errorf("got updates %q, want %q", updates, want)
	}
	<-served
	want := []string{
		"GET /v1/servers",
		"GET /v1/servers?since=4&timeout_ms=2000",
		"GET /v1/servers?since=5&timeout_ms=2000",
		"GET /v1/servers?since=5&timeout_ms=2000",
		"GET /v1/servers?since=5&timeout_ms=2000",
		"GET /v1/servers",
	}
	if !slices.Equal(requests[:min(len(want), len(requests))], want) {
		t.Errorf("got requests %q, want %q first", requests, want)
	}
}

// TestOverloadedDiscoveryIsPolledWithBackoff checks that a discovery service that rejects polls with 503 is polled with
// exponential backoff and jitter, and that the watch keeps the known revision. A request for the whole list would be more
// expensive for an overloaded service.
func TestOverloadedDiscoveryIsPolledWithBackoff(t *testing.T) {
	now := 1000.0
	loop, err := eventloop.New(eventloop.ManualClock(&now))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loop.Close)
	overloaded := errors.New("overloaded")
	backoffs := func(seed uint64) (all []float64) {
		w := Watch(loop, zap.NewNop(), "nowhere", Config{GatewayCount: 1, Seed: seed, Revision: 41}, nil)
		for range 12 {
			if err := w.handleResponse(&response{status: 503}); err == nil || w.revision != 41 {
				t.Fatalf("after 503: got error %v and revision %d, want an error and revision 41", err, w.revision)
			}
			w.retry(overloaded)
			at, _ := loop.Next()
			all = append(all, at-now)
		}
		w.pollTimer.Stop()
		return all
	}
	first, second := backoffs(1), backoffs(2)
	if first[0] > 400 || first[11] < 6000 || first[11] > 18_000 || slices.Equal(first, second) {
		t.Errorf("got backoffs %.0f and %.0f, want different ones that begin with at most 400 ms and end with 6 to 18 s",
			first, second)
	}
	w := &Watcher{revision: 41}
	if _ = w.handleResponse(&response{status: 410}); w.revision != NoRevision {
		t.Errorf("after 410: got revision %d, want NoRevision", w.revision)
	}
}

// TestTimedOutPollIsRepeatedWithinTheGracePeriod checks that a poll that has timed out is repeated within half of the
// drain grace period, however many polls time out in a row. An update counts as notified even if the gateway's poll got
// no response.
func TestTimedOutPollIsRepeatedWithinTheGracePeriod(t *testing.T) {
	now := 1000.0
	loop, err := eventloop.New(eventloop.ManualClock(&now))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loop.Close)
	for seed := range uint64(40) {
		config := Config{GatewayCount: 300, DrainGraceMs: 2000, Seed: seed, Revision: 41}
		w := Watch(loop, zap.NewNop(), "127.0.0.1:1", config, discardUpdate)
		body := `{"revision":42,"complete":true,"members":[]}`
		if err := w.handleResponse(&response{status: 200, body: []byte(body)}); err != nil {
			t.Fatal(err)
		}
		for range 8 {
			w.retry(errTimeout)
			if at, _ := loop.Next(); at > now+1000 {
				t.Fatalf("seed %d: got the next poll after %.0f ms, want at most 1000 ms", seed, at-now)
			}
		}
		w.pollTimer.Stop()
	}
}

// TestFleetSpreadsItsFirstPolls checks that the gateways of a fleet that start together spread their first polls, and that
// all of these polls are made within the drain grace period.
func TestFleetSpreadsItsFirstPolls(t *testing.T) {
	now := 1000.0
	loop, err := eventloop.New(eventloop.ManualClock(&now))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loop.Close)
	pollsPerTenth := map[int]int{}
	for seed := range uint64(80) {
		config := Config{GatewayCount: 80, DrainGraceMs: 2000, Seed: seed, Revision: 0}
		w := Watch(loop, zap.NewNop(), "127.0.0.1:1", config, nil)
		if w.conn != nil || w.FirstPollLaterThan(0) != (w.firstPollAtMs > now) {
			t.Fatal("the first poll was made at the start, or FirstPollLaterThan disagrees with its time")
		}
		pollsPerTenth[int(w.firstPollAtMs-now)/100]++
		w.pollTimer.Stop()
	}
	for tenth, polls := range pollsPerTenth {
		if polls > 15 || tenth >= 12 { // a later poll could receive a drain only after its grace period
			t.Errorf("%d of 80 first polls in tenth of a second %d, want at most 15 and none from tenth 12 on", polls, tenth)
		}
	}
	config := Config{GatewayCount: 80, DrainGraceMs: 2000, Revision: NoRevision}
	w := Watch(loop, zap.NewNop(), "127.0.0.1:1", config, discardUpdate)
	if w.conn == nil {
		t.Error("a gateway without a list delays its first poll")
	}
	// With a shorter timeout, the repeated poll would go to the end of discovery's queue.
	if at, _ := loop.Next(); at != now+4000 {
		t.Errorf("the first poll times out after %.0f ms, want 4000 ms", at-now)
	}
	w.SetAddress("127.0.0.1:2")
	if at, _ := loop.Next(); w.Address() != "127.0.0.1:1" || at > now+1000 {
		t.Errorf("got address %s and its change after %.0f ms, want 127.0.0.1:1 and at most 1000 ms", w.Address(), at-now)
	}
}

func discardUpdate(bool, []proxy.Host, float64) {}

func documentResponse(revision int, complete bool, id string) string {
	entry := fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:1","cell":0,"phase":"active","up_since_ms":0}`, id)
	body := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, entry)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestInvalidEntryLeavesTheOthersInUse checks that an invalid entry is logged once, that the other entries are applied,
// and that no host counts as removed because its entry is invalid.
func TestInvalidEntryLeavesTheOthersInUse(t *testing.T) {
	for _, c := range []struct{ entry, want string }{
		{`{"id":"b","cell":0,"phase":"active"}`, `entry "b": host_port "" is not an IP address and port`},
		{`{"id":"b","host_port":"nowhere","cell":0,"phase":"active"}`,
			`entry "b": host_port "nowhere" is not an IP address and port`},
		{`{"id":"","host_port":"127.0.0.1:1","phase":"active"}`, `host_port "127.0.0.1:1" has no id`},
		{`{"id":"b","host_port":"127.0.0.1:1","phase":"asleep"}`, `entry "b": unknown phase "asleep"`},
	} {
		core, logs := observer.New(zap.WarnLevel)
		var updates []string
		w := &Watcher{
			log:  zap.New(core),
			loop: &eventloop.Loop{Timers: &eventloop.Timers{Clock: eventloop.SystemClock()}},
			onUpdate: func(complete bool, hosts []proxy.Host, _ float64) {
				updates = append(updates, fmt.Sprint(complete, " ", len(hosts), " ", hosts[0].ID))
			},
		}
		body := `{"revision":7,"complete":true,"members":[` + c.entry + `,{"id":"a","cell":0,"phase":"leaving"}]}`
		for range 2 {
			if err := w.handleResponse(&response{status: 200, body: []byte(body)}); err != nil {
				t.Fatal(err)
			}
		}
		if want := []string{"false 1 a", "false 1 a"}; !slices.Equal(updates, want) || w.revision != 7 {
			t.Errorf("%s: got updates %q and revision %d, want %q and revision 7", c.entry, updates, w.revision, want)
		}
		if n := logs.Len(); n != 1 || !strings.Contains(fmt.Sprint(logs.All()[0].ContextMap()["error"]), c.want) {
			t.Errorf("%s: got %d log lines %v, want one with %q", c.entry, n, logs.All(), c.want)
		}
	}
}

// TestRejectedPollKeepsItsRevision checks that the watch keeps its revision when a poll is rejected because of its rate or
// its duration, which says nothing about the revision. The whole list, the most expensive response for an overloaded
// discovery service, is requested only if discovery may no longer know the revision.
func TestRejectedPollKeepsItsRevision(t *testing.T) {
	for status, revision := range map[int]int64{429: 41, 408: 41, 503: 41, 410: NoRevision, 404: NoRevision, 400: NoRevision} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			w := &Watcher{log: zap.NewNop(), revision: 41}
			if err := w.handleResponse(&response{status: status}); err == nil || w.revision != revision {
				t.Errorf("got error %v and revision %d, want an error and revision %d", err, w.revision, revision)
			}
		})
	}
}
