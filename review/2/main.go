// The case plays bad clients that stop in the middle of a request and stay, beside usual clients.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
	"merlinjunction/review/standin"
)

const (
	memoryMB   = 64      // of 32 to 192
	valueBytes = 1 << 16 // at most 64 KiB
	perSecond  = 60.0    // requests of the usual clients; a gateway receives up to 320
	badClients = 140     // in each wave
	hostCount  = 5
	lasts      = 26 * time.Second
	grace      = 500 * time.Millisecond // up to half a second after its time an answer only earns nothing
)

// waves are the times at which bad clients come.
var waves = []time.Duration{5 * time.Second, 12 * time.Second, 19 * time.Second}

// tally counts the outcomes of the usual clients' requests.
type tally struct {
	mutex  sync.Mutex
	counts map[string]int
	lost   int
}

func main() { standin.Main(play) }

func play(c *standin.Case) (bool, error) {
	var hosts []*standin.Host
	for i := range hostCount {
		host := &standin.Host{ID: fmt.Sprintf("s-%d", i+1), Zone: "vittoria", Group: 11}
		host.Behaviour = standin.Behaviour{
			GreetAfter:     func() time.Duration { return 3 * time.Millisecond },
			Work:           func(standin.Statement) time.Duration { return 30 * time.Millisecond },
			Value:          func(standin.Statement) []byte { return []byte("v") },
			Position:       func(at time.Time) time.Time { return at },
			StampedAnswers: true,
			Arrived:        func(s standin.Statement, _ time.Time) { c.Printf("%s arrived at %s", s.ID, s.Host.ID) },
			Ran:            func(s standin.Statement) { c.Printf("%s ran at %s", s.ID, s.Host.ID) },
		}
		host.SetPrimary(i == 0)
		hosts = append(hosts, host)
	}
	if err := c.Begin(hosts, memoryMB, standin.RagusaSettings()); err != nil {
		return false, err
	}
	if c.Trouble {
		go sendBadClients(c)
	}
	t := &tally{counts: map[string]int{}}
	var open sync.WaitGroup
	for n := 0; c.Since() < lasts; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		open.Go(func() { t.request(c, n) })
	}
	open.Wait()
	c.Summary("usual clients: %v; lost %d; memory at most %d MB", t.counts, t.lost, c.Gateway.MemoryKB("VmHWM")>>10)
	if !c.Gateway.Running() {
		return true, nil
	}
	return t.lost > 0, nil
}

// request sends one request of a usual client: one in four is a write with a value of 64 KiB. A client whose connection is
// closed before it has an answer sends the request once more on a new connection.
func (t *tally) request(c *standin.Case, n int) {
	id := fmt.Sprintf("q%d", n)
	class, patience := "sensor-view", time.Second
	text := fmt.Sprintf("SELECT v FROM records WHERE k = 'k%d' /* id=%s,c=sensor-view,t=ipparina,d=1000,cluster=11 */", n, id)
	if n%4 == 0 {
		class, patience = "control-write", 2*time.Second
		text = writeText(id, n)
	}
	c.Printf("%s %s sent, %d bytes", id, class, len(text))
	start := time.Now()
	var answer standin.Answer
	var err error
	tries, whole := 0, true
	for tries < 2 && (tries == 0 || err != nil) {
		tries++
		var sent bool
		answer, sent, err = standin.Ask(c.Gateway.Address, text, start.Add(patience+grace+time.Second))
		whole = whole && sent
	}
	took := time.Since(start)
	outcome := answer.Outcome()
	switch {
	case err != nil && !whole:
		outcome = "not sent whole"
	case err != nil && answer.Begun:
		outcome = "cut in the middle"
	case err != nil:
		outcome = "LOST"
	case took > patience+grace && tries == 1:
		outcome = "LOST (late)"
	}
	c.Printf("%s %s after %d ms, %d connections, %s %v", id, outcome, took.Milliseconds(), tries, answer.SQLState, errText(err))
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts[class+" "+outcome]++
	if strings.HasPrefix(outcome, "LOST") {
		t.lost++
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// writeText returns a control-write with a value of 64 KiB.
func writeText(id string, n int) string {
	return fmt.Sprintf(`INSERT INTO records (k, v) VALUES ('k%d', '\x%s') RETURNING v /* id=%s,c=control-write,t=ipparina,d=2000,k=%s,cluster=11 */`,
		n, strings.Repeat("9f", valueBytes), id, id)
}

// sendBadClients starts the waves of bad clients.
func sendBadClients(c *standin.Case) {
	for wave, at := range waves {
		c.WaitUntil(at)
		c.Printf("wave %d: %d clients stop in the middle of a request and stay", wave+1, badClients)
		for k := range badClients {
			go stopMidway(c, fmt.Sprintf("bad%d-%d", wave+1, k))
		}
	}
}

// stopMidway sends the startup message and a request but for its last 20 bytes, and then waits for an error or a close.
func stopMidway(c *standin.Case, name string) {
	conn, err := net.Dial("tcp4", c.Gateway.Address)
	if err != nil {
		return
	}
	defer stubserver.CloseQuietly(conn)
	out := pg.AppendMessage(nil, 0, append([]byte{0, 3, 0, 0}, "user\x00svc\x00database\x00main\x00\x00"...)...)
	out = pg.AppendStrings(out, pg.MsgQuery, writeText(name, 0))
	start := time.Now()
	_, _ = conn.Write(out[:len(out)-20])
	var buffer [4096]byte
	for {
		if _, err := conn.Read(buffer[:]); err != nil {
			c.Printf("%s closed after %d ms", name, time.Since(start).Milliseconds())
			return
		}
	}
}
