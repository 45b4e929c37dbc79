package server

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"merlinjunction/internal/testkit"
)

// Clients go on for 0.3 s after SIGTERM, on old connections and on new ones: each request is answered, and the
// gateway ends with nothing in hand.
func TestDrainUnderLoad(t *testing.T) {
	p := testkit.NewPlayer(t, startPlatform, "a", "b", "c")
	addr, _, _ := p.Gateway.Addrs()
	var wait sync.WaitGroup
	last := make(chan struct{})
	for n := range 12 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var conn net.Conn
			for i := 0; ; i++ {
				select {
				case <-last:
					return
				default:
				}
				if conn != nil && i%10 == 0 {
					conn.Close()
					conn = nil
				}
				var err error
				if conn, err = ask(conn, addr, fmt.Sprintf("%d-%d", n, i), i%3 == 0); err != nil {
					t.Errorf("client %d, request %d: %v", n, i, err)
					return
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	p.Gateway.Stop()
	time.Sleep(300 * time.Millisecond)
	close(last)
	wait.Wait()
	if err := p.Gateway.Wait(); err != nil {
		t.Fatal(err)
	}
	if g := p.Gateway.(*running); g.core.OpenRequests() != 0 || g.abandoned != 0 {
		t.Errorf("%d requests and %d connections were left", g.core.OpenRequests(), g.abandoned)
	}
}

// ask sends one request, on a new connection where there is none, and waits for its answer.
func ask(conn net.Conn, addr, key string, slow bool) (net.Conn, error) {
	var out []byte
	if conn == nil {
		var err error
		if conn, err = net.Dial("tcp4", addr); err != nil {
			return nil, err
		}
		out, _ = testkit.Encode(nil, "startup")
	}
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if slow {
		key += "slow"
	}
	greeting := len(out) > 0
	out, _ = testkit.Encode(out, "query SELECT v FROM records WHERE k = '"+key+"' /* id="+key+",c=read,t=x,d=900,cluster=0 */")
	if _, err := conn.Write(out); err != nil {
		return conn, err
	}
	for answered := false; ; {
		a, err := testkit.Answer(conn)
		switch {
		case err != nil:
			return conn, err
		case a[0] == 'C':
			answered = true
		case a == "Z" && greeting:
			greeting = false
		case a == "Z" && answered:
			return conn, nil
		case a == "Z":
			return conn, fmt.Errorf("no answer before ReadyForQuery")
		}
	}
}
