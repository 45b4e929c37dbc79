package server

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"merlinjunction/internal/testkit"
)

const (
	pipelines = 400
	executes  = 5 // in each
)

// Hundreds of pipelines, most of them interrupted: by a failing statement, by a host that resets, by a client
// that leaves at some byte, and in the middle by a primary that drains. For each execute there is one final
// answer at the most, none is left out before a later one, no value runs twice, and one that was skipped or
// was answered as not done never ran.
func TestInterruptedPipelines(t *testing.T) {
	p := testkit.NewPlayer(t, startExtended, "a", "b", "c")
	addr, _, _ := p.Gateway.Addrs()
	var wait sync.WaitGroup
	slots := make(chan struct{}, 8)
	for n := range pipelines {
		if n == pipelines/2 {
			for _, step := range []string{"host b primary", "host a drain"} {
				if err := p.Step(step); err != nil {
					t.Fatal(err)
				}
			}
		}
		slots <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			if err := interrupt(p.Cluster, addr, n); err != nil {
				t.Errorf("pipeline %d: %v", n, err)
			}
		}()
	}
	wait.Wait()
	if err := p.Step("send z startup | query SELECT v FROM s WHERE greenhouse = 'g'"); err != nil {
		t.Fatal(err)
	}
	if err := p.Step("expect z R K Z T D C Z"); err != nil {
		t.Error(err)
	}
	p.Gateway.Stop()
	if err := p.Gateway.Wait(); err != nil {
		t.Error(err)
	}
	if g := p.Gateway.(*running); g.core.OpenRequests() != 0 {
		t.Errorf("%d requests were left", g.core.OpenRequests())
	}
}

func interrupt(c *testkit.Cluster, addr string, n int) error {
	rng := rand.New(rand.NewPCG(7, uint64(n)))
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	out, _ := testkit.Encode(nil, "startup")
	out, _ = testkit.Encode(out, "parse w INSERT INTO audit VALUES ($1)")
	bad := rng.IntN(2 * executes) // no such one in half of the pipelines
	var values []string
	for i := range executes {
		v := fmt.Sprintf("v%d.%d", n, i)
		if i == bad {
			v += []string{"fail", "reset", "error"}[rng.IntN(3)]
		}
		values = append(values, v)
		for _, m := range []string{"bind - w " + v, "execute -"} {
			if out, err = testkit.Encode(out, m); err != nil {
				return err
			}
		}
	}
	out, _ = testkit.Encode(out, "sync")
	leaves := n%4 == 3
	if leaves { // it goes away in the middle
		out = out[:rng.IntN(len(out))]
	}
	if _, err := conn.Write(out); err != nil {
		return err
	}
	if leaves {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		for _, v := range values {
			if ran := c.Runs(v); len(ran) > 1 {
				return fmt.Errorf("%s ran at %v", v, ran)
			}
		}
		return nil
	}
	done, failed, ready := 0, "", 0
	for ready < 2 {
		a, err := testkit.Answer(conn)
		if err == io.EOF {
			return fmt.Errorf("the connection ended after %d answers", done)
		}
		if err != nil {
			return err
		}
		switch {
		case strings.HasPrefix(a, "C:"):
			if failed != "" {
				return fmt.Errorf("%s after %s", a, failed)
			}
			done++
		case strings.HasPrefix(a, "E:"):
			if failed != "" {
				return fmt.Errorf("%s after %s: two final answers", a, failed)
			}
			failed = a
		case a == "Z":
			ready++
		}
	}
	if failed == "" && done != executes || failed != "" && done >= executes {
		return fmt.Errorf("%d answers and %q for %d executes", done, failed, executes)
	}
	for i, v := range values {
		ran, refused := c.Runs(v), strings.HasPrefix(failed, "E:53300")
		switch {
		case i < done && len(ran) != 1,
			i == done && (len(ran) > 1 || refused && len(ran) > 0),
			i > done && len(ran) > 0:
			return fmt.Errorf("%s, number %d of %d done, failed %q, ran at %v", v, i, done, failed, ran)
		}
	}
	return nil
}
