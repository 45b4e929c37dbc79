package server

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
	"merlinjunction/internal/testkit"
)

// Guards against connections that an evacuation never let go, because their clients always had a request in flight. All
// that has run must be answered before such a connection ends.
func TestEvacuationEndsConnectionsThatAreNeverIdle(t *testing.T) {
	const (
		limit        = 4 * time.Second
		sendInterval = 60 * time.Millisecond // shorter than the hosts take
		fastInterval = 10 * time.Millisecond // more than the extended frontend can answer in time
		platformRead = "SELECT v FROM records WHERE k = 'slow%d' /* id=%d,c=long,t=x,d=9000,cluster=0 */"
		extendedRead = "SELECT v FROM archive WHERE k = 'slow%d' /* %d */"
	)
	for name, test := range map[string]struct {
		start    testkit.StartGateway
		query    string // with the number of the query, twice
		interval time.Duration
	}{
		"platform":       {startPlatform, platformRead, sendInterval},
		"platform, fast": {startPlatform, platformRead, fastInterval},
		"extended":       {startExtended, extendedRead, sendInterval},
		"extended, fast": {startExtended, extendedRead, fastInterval},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			player := testkit.NewPlayer(t, test.start, "a", "b", "c")
			address, _, _ := player.Gateway.Addrs()
			gateway := player.Gateway.(*runningGateway)
			conn := dialTest(t, address)
			_, err := conn.Write(encode(t, "startup"))
			sent := make(chan int, 1)
			go func() {
				count := 0
				for ; err == nil; count++ {
					_, err = conn.Write(pg.AppendStrings(nil, pg.MsgQuery, fmt.Sprintf(test.query, count, count)))
					time.Sleep(test.interval)
				}
				sent <- count
			}()
			time.Sleep(300 * time.Millisecond)
			gateway.loop.Post(gateway.Evacuate)
			_ = conn.SetReadDeadline(time.Now().Add(limit))
			answered, end := 0, error(nil)
			for end == nil {
				var messageType byte
				messageType, _, end = stubserver.ReadMessage(conn, pg.MaxMessage)
				if end == nil && messageType == pg.MsgCommandComplete {
					answered++
				}
			}
			closeConn(conn)
			ran := 0
			for i := range <-sent {
				ran += len(player.Cluster.Runs(fmt.Sprint("slow", i)))
			}
			if !errors.Is(end, io.EOF) || answered == 0 || answered != ran {
				t.Errorf("the connection ended with %v after %d answers to %d queries that ran; want EOF within %v and all answered",
					end, answered, ran, limit)
			}
		})
	}
}
