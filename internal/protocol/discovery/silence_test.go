package discovery

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// agent is a stand-in for discovery on the test's own loop: what it does with each call follows a list of words, the last
// of which holds from then on.
type agent struct {
	l     *eventloop.Loop
	fates []string
	calls []string  // as they came
	at    []float64 // and when
	news  float64   // from then on host "a" is leaving, in version 5
	conns map[*agentConn]bool
}

type agentConn struct {
	a     *agent
	conn  *eventloop.Conn
	waits bool // a watch is out on it
	till  float64
	ends  float64 // it is reset then; 0: it is not
}

func (c *agentConn) Connected()  {}
func (c *agentConn) Flushed()    {}
func (c *agentConn) Ended(error) { c.close() }
func (c *agentConn) close()      { c.conn.Close(); delete(c.a.conns, c) }

func (c *agentConn) Data() {
	a, now := c.a, c.a.l.Clock.Now()
	if !bytes.Contains(c.conn.In(), []byte("\r\n\r\n")) {
		return
	}
	line, _, _ := strings.Cut(string(c.conn.In()), " HTTP/1.1")
	c.conn.Consume(len(c.conn.In()))
	a.calls, a.at = append(a.calls, strings.TrimPrefix(line, "GET /v1/servers")), append(a.at, now)
	fate := a.fates[0]
	if len(a.fates) > 1 {
		a.fates = a.fates[1:]
	}
	if c.meet(fate) {
		return
	}
	var since, wait int // well: it waits for news as long as it is asked to
	_, _ = fmt.Sscanf(line, "GET /v1/servers?since=%d&timeout_ms=%d", &since, &wait)
	c.waits, c.till = true, now+float64(wait)
	c.tick()
}

// meet does with a call what its fate is; false where all is well.
func (c *agentConn) meet(fate string) bool {
	c.waits = false
	whole := c.a.answer(c.a.l.Clock.Now())
	head := strings.Index(whole, "\r\n\r\n") + 4
	switch fate {
	case "mute":
	case "quiet": // for some time, then reset
		c.ends = c.a.l.Clock.Now() + 900
	case "head":
		c.conn.Write([]byte(whole[:head]))
	case "body":
		c.conn.Write([]byte(whole[:head+9]))
	case "reset":
		c.close()
	case "busy":
		c.conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
	case "same": // at once, though nothing is new
		c.conn.Write([]byte(whole))
	default:
		return false
	}
	return true
}

// tick answers a watch that waits, when there is news or its time is over.
func (c *agentConn) tick() {
	now := c.a.l.Clock.Now()
	if c.ends > 0 && now >= c.ends {
		c.close()
		return
	}
	if c.waits && (now >= c.till || now >= c.a.news) {
		c.waits = false
		c.conn.Write([]byte(c.a.answer(now)))
	}
}

func (a *agent) answer(now float64) string {
	if now >= a.news {
		return document(5, "leaving")
	}
	return document(4, "active")
}

func document(version int, phase string) string {
	body := fmt.Sprintf("{\n  \"revision\": %d,\n  \"complete\": true,\n  \"members\": [\n    {\"id\": \"a\", \"host_port\": \"127.0.0.1:1\", \"phase\": %q}\n  ]\n}\n", version, phase)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Discovery fails at the watch that should tell of a drain, in each way and twice in a row, in a first call, a watch, or
// the first call at a new address. The drain must be known, and must count as told, before the grace that the rules count
// is over: from 6 s after the call fell silent; where an agent has the list, as soon as it answers again.
func TestADrainIsKnownInTimeWhateverBreaks(t *testing.T) {
	const grace = 2000.0
	for _, pushed := range []bool{true, false} {
		for _, when := range []string{"first", "watch", "moved"} {
			for _, how := range []string{"mute", "head", "body", "quiet", "reset", "busy", "same"} {
				for times := 1; times <= 2; times++ {
					name := fmt.Sprintf("pushed %v, %s call, %s, %d times", pushed, when, how, times)
					now := 1e6
					l, err := eventloop.New(eventloop.ManualClock(&now))
					if err != nil {
						t.Fatal(err)
					}
					a := &agent{l: l, conns: map[*agentConn]bool{}, news: 1e12, fates: []string{"well"}}
					accept := func(fd int) {
						conn, err := l.Adopt(fd, 1<<16)
						if err != nil {
							t.Error(err)
							return
						}
						c := &agentConn{a: a, conn: conn}
						conn.SetHandler(c)
						a.conns[c] = true
					}
					ln, err := l.Listen("127.0.0.1:0", accept, func(err error) { t.Error(err) })
					if err != nil {
						t.Fatal(err)
					}
					broken := []string{how}
					if times == 2 {
						broken = append(broken, how)
					}
					broken = append(broken, "well")
					failsAt, heard, toldAt := 0.0, 0.0, 0.0
					fail := func() { a.fates, a.news, failsAt = broken, now+1, now }
					if when == "first" {
						fail()
					}
					w := Watch(l, zap.NewNop(), ln.Addr(), Config{GatewayCount: 300, DrainGraceMs: grace, Seed: 7, Pushed: pushed, Revision: 4},
						func(_ bool, hosts []proxy.Host, told float64) {
							if hosts[0].State == routing.StateDraining && heard == 0 {
								heard, toldAt = now, told
							}
						})
					rounds := 0
					err = l.Run(func() {
						rounds++
						if rounds%4 == 0 { // what is said is heard within the same moment
							now += 10
						}
						for c := range a.conns {
							c.tick()
						}
						switch {
						case failsAt == 0 && len(a.calls) >= 2:
							if when == "moved" {
								w.SetAddress(ln.Addr())
							}
							fail()
							if when == "watch" { // the watch that is out meets it
								for c := range a.conns {
									c.meet(how)
								}
								a.fates = a.fates[1:]
							}
						case heard > 0 && now > heard+1000 || rounds > 20_000:
							l.Stop()
						}
						l.NextRound(func() {})
					})
					if err != nil {
						t.Fatal(err)
					}
					l.Close()
					// As a watch that waits falls silent with what it was asked; a move counts 4 s after SIGHUP.
					most := 6000 + grace - 500
					if fails := how == "reset" || how == "busy" || how == "same"; fails && pushed {
						most = grace
					} else if fails { // where lists are asked for it is four times AskWithinMs, 40 s on all days known
						most = 20_000
					}
					switch {
					case heard == 0:
						t.Errorf("%s: the drain is never known; calls %q", name, a.calls)
					case heard > failsAt+most:
						t.Errorf("%s: known %.0f ms after it began, %.0f at the most", name, heard-failsAt, most)
					case pushed && how != "same" && toldAt > failsAt+50:
						t.Errorf("%s: counts as told %.0f ms after discovery had it", name, toldAt-failsAt)
					}
					for i := 10; i < len(a.at); i++ {
						if a.at[i] < a.at[i-10]+400 {
							t.Errorf("%s: ten calls in %.0f ms", name, a.at[i]-a.at[i-10])
							break
						}
					}
				}
			}
		}
	}
}
