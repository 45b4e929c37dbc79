package discovery

import (
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

func TestReadAnswer(t *testing.T) {
	for _, c := range []struct {
		in, body string
		err      bool
	}{
		{in: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcd", body: "abc"},
		{in: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\n\r\n", body: "abc"},
		{in: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab"},
		{in: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na"},
		{in: "HTTP/1.1 200 OK\r\nConte"},
		{in: "HTTP/1.1 200 OK\r\n\r\n", err: true},
		{in: "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc", err: true},
		{in: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n", err: true},
		{in: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", err: true},
		{in: "SSH-2.0 hello\r\n\r\n", err: true},
		{in: strings.Repeat("x", maxHead+1), err: true},
	} {
		a, err := readAnswer([]byte(c.in))
		if got := a != nil; (err != nil) != c.err || got != (c.body != "") || got && string(a.body) != c.body {
			t.Errorf("%.60q: %v, %v", c.in, a, err)
		}
	}
}

func TestBadEntriesAreRefused(t *testing.T) {
	for _, text := range []string{`{"id":"","phase":"active"}`, `{"id":"a","phase":"asleep"}`, `{"id":"a","phase":"left","up_since_ms":-1}`} {
		if err := (&Watcher{log: zap.NewNop()}).take(&answer{status: 200, body: []byte(`{"members":[` + text + `]}`)}); err == nil {
			t.Errorf("%s: no error", text)
		}
	}
}

// Discovery answers in pieces, then says nothing, then ends the connection: the watch goes on from the version
// that it has, and asks for the whole list again where that version is not known any more.
func TestTheWatchGoesOn(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var asked []string
	served := make(chan struct{})
	go func() {
		defer close(served)
		for _, answers := range [][]string{{doc(4, true, "a"), doc(5, false, "b")}, {}, {"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"}, {doc(9, true, "c")}} {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			for _, a := range append(answers, "") {
				n, _ := conn.Read(buf)
				line, _, _ := strings.Cut(string(buf[:n]), " HTTP/1.1")
				asked = append(asked, line)
				for half := range slices.Chunk([]byte(a), 40) {
					_, _ = conn.Write(half)
					time.Sleep(time.Millisecond)
				}
				if strings.Contains(a, "410") {
					break
				}
			}
			conn.Close()
		}
	}()
	l, err := eventloop.New(eventloop.SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var got []string
	Watch(l, zap.NewNop(), ln.Addr().String(), Config{GatewayCount: 4, Revision: NoRevision}, func(full bool, hosts []proxy.Host, _ float64) {
		got = append(got, fmt.Sprint(full, " ", hosts[0].ID))
		if hosts[0].ID == "c" {
			l.Stop()
		}
	})
	l.After(20_000, l.Stop)
	if err := l.Run(func() {}); err != nil {
		t.Fatal(err)
	}
	if want := []string{"true a", "false b", "true c"}; !slices.Equal(got, want) {
		t.Errorf("got %q", got)
	}
	<-served
	watch := fmt.Sprintf("&timeout_ms=%d", 2000)
	if want := []string{"GET /v1/servers", "GET /v1/servers?since=4" + watch, "GET /v1/servers?since=5" + watch,
		"GET /v1/servers?since=5" + watch, "GET /v1/servers?since=5" + watch, "GET /v1/servers"}; !slices.Equal(asked[:min(6, len(asked))], want) {
		t.Errorf("asked %q", asked)
	}
}

// On the vast herd 80 gateways were told 503 eighteen thousand times: each forgot the version that it had, and asked for
// the whole list again ten times a second, all in step.
func TestOneThatIsShortOfRoomIsAskedLessAndLess(t *testing.T) {
	now := 1000.0
	l, err := eventloop.New(eventloop.ManualClock(&now))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	full := fmt.Errorf("full")
	pauses := func(seed uint64) (all []float64) {
		w := Watch(l, zap.NewNop(), "nowhere", Config{GatewayCount: 1, Seed: seed, Revision: 41}, nil)
		for range 12 {
			if err := w.take(&answer{status: 503}); err == nil || w.since != 41 {
				t.Fatalf("%v, version %d", err, w.since)
			}
			w.again(full)
			at, _ := l.Next()
			all = append(all, at-now)
		}
		w.timer.Stop()
		return all
	}
	a, b := pauses(1), pauses(2)
	if a[0] > 400 || a[11] < 6000 || a[11] > 18_000 || slices.Equal(a, b) {
		t.Errorf("pauses %.0f and %.0f", a, b)
	}
	w := &Watcher{since: 41}
	if _ = w.take(&answer{status: 410}); w.since != NoRevision {
		t.Errorf("a version that is not known any more is named again: %d", w.since)
	}
}

// On herd+mass discovery was silent for nine seconds; gateways that had asked twice in vain waited up to nine seconds more
// and went on sending to hosts that drained meanwhile: what it tells counts as told, whether or not a call is out.
func TestOneThatGetsNoAnswerAsksWithinTheGrace(t *testing.T) {
	now := 1000.0
	l, err := eventloop.New(eventloop.ManualClock(&now))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for seed := range uint64(40) {
		w := Watch(l, zap.NewNop(), "127.0.0.1:1", Config{GatewayCount: 300, DrainGraceMs: 2000, Seed: seed, Revision: 41}, func(bool, []proxy.Host, float64) {})
		body := `{"revision":42,"complete":true,"members":[]}`
		if err := w.take(&answer{status: 200, body: []byte(body)}); err != nil {
			t.Fatal(err)
		}
		for range 8 {
			w.again(errSilent)
			if at, _ := l.Next(); at > now+1000 {
				t.Fatalf("seed %d: asks again after %.0f ms", seed, at-now)
			}
		}
		w.timer.Stop()
	}
}

// A fleet that starts, or is killed, at one moment made 80 first calls in one millisecond; 48 were told 503.
func TestAFleetSpreadsItsFirstCalls(t *testing.T) {
	now := 1000.0
	l, err := eventloop.New(eventloop.ManualClock(&now))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	perTenth := map[int]int{}
	for seed := range uint64(80) {
		w := Watch(l, zap.NewNop(), "127.0.0.1:1", Config{GatewayCount: 80, DrainGraceMs: 2000, Seed: seed, Revision: 0}, nil)
		if w.conn != nil || w.FirstCallLaterThan(0) != (w.firstAt > now) {
			t.Fatal("one has asked already")
		}
		perTenth[int(w.firstAt-now)/100]++
		w.timer.Stop()
	}
	for s, n := range perTenth {
		if n > 15 || s >= 12 { // and on herd+mass requests went to hosts that had drained while their gateways were down
			t.Errorf("%d of 80 in tenth of a second %d", n, s)
		}
	}
	w := Watch(l, zap.NewNop(), "127.0.0.1:1", Config{GatewayCount: 80, DrainGraceMs: 2000, Revision: NoRevision}, func(bool, []proxy.Host, float64) {})
	if w.conn == nil {
		t.Error("one that knows no list waits")
	}
	// 56 of 80 gave their first call up after 1.1 s and stood at the end of discovery's line again, all day.
	if at, _ := l.Next(); at != now+4000 {
		t.Errorf("a first call is given up after %.0f ms", at-now)
	}
	w.SetAddress("127.0.0.1:2")
	if at, _ := l.Next(); w.Address() != "127.0.0.1:1" || at > now+1000 {
		t.Errorf("the old address is left at once for %s, or only after %.0f ms", w.Address(), at-now)
	}
}

func doc(revision int, complete bool, id string) string {
	body := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[{"id":%q,"host_port":"127.0.0.1:1","cell":0,"phase":"active","up_since_ms":0}]}`,
		revision, complete, id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// An entry that can't be used is named in one line; what the others say is taken in, and nobody is gone for want of a good
// entry.
func TestABadEntryCostsTheOthersNothing(t *testing.T) {
	for _, c := range []struct{ bad, want string }{
		{`{"id":"b","cell":0,"phase":"active"}`, `entry "b": host_port "" is no address and port`},
		{`{"id":"b","host_port":"nowhere","cell":0,"phase":"active"}`, `entry "b": host_port "nowhere" is no address and port`},
		{`{"id":"","host_port":"127.0.0.1:1","phase":"active"}`, `host_port "127.0.0.1:1" has no id`},
		{`{"id":"b","host_port":"127.0.0.1:1","phase":"asleep"}`, `entry "b": unknown phase "asleep"`},
	} {
		core, seen := observer.New(zap.WarnLevel)
		var got []string
		w := &Watcher{log: zap.New(core), loop: &eventloop.Loop{Timers: &eventloop.Timers{Clock: eventloop.SystemClock()}},
			news: func(full bool, hosts []proxy.Host, _ float64) {
				got = append(got, fmt.Sprint(full, " ", len(hosts), " ", hosts[0].ID))
			}}
		body := `{"revision":7,"complete":true,"members":[` + c.bad + `,{"id":"a","cell":0,"phase":"leaving"}]}`
		for range 2 {
			if err := w.take(&answer{status: 200, body: []byte(body)}); err != nil {
				t.Fatal(err)
			}
		}
		if want := []string{"false 1 a", "false 1 a"}; !slices.Equal(got, want) || w.since != 7 {
			t.Errorf("%s: got %q, version %d", c.bad, got, w.since)
		}
		if n := seen.Len(); n != 1 || !strings.Contains(fmt.Sprint(seen.All()[0].ContextMap()["error"]), c.want) {
			t.Errorf("%s: %d lines, %v", c.bad, n, seen.All())
		}
	}
}
