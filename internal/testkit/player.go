package testkit

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"merlinjunction/internal/stubserver"
)

// stepTimeout bounds each wait of a scenario. It is generous: a slow machine must not change a verdict.
const stepTimeout = 10 * time.Second

// floodTimes is how often a message is sent with the word FLOOD.
const floodTimes = 5000

// Gateway is the program under test.
type Gateway interface {
	Addrs() (clients, agent, http string)
	Stop()
	Wait() error
}

// Player plays scenarios against a gateway.
type Player struct {
	Cluster *Cluster
	Gateway Gateway
	clients map[string]*net.TCPConn
	words   map[string]string
	keys    map[string]string // of each client's BackendKeyData; $NAME stands for it in raw bytes
}

// NewPlayer starts hosts and the gateway and waits until it serves.
func NewPlayer(t *testing.T, start func(*testing.T, *Cluster) Gateway, hosts ...string) *Player {
	t.Helper()
	c, err := NewCluster(hosts...)
	if err != nil {
		t.Fatal(err)
	}
	p := &Player{Cluster: c, Gateway: start(t, c)}
	p.Init()
	t.Cleanup(func() {
		for _, conn := range p.clients {
			stubserver.CloseQuietly(conn)
		}
		p.Gateway.Stop()
		if err := p.Gateway.Wait(); err != nil {
			t.Error(err)
		}
	})
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p.Step("send ready startup | query") == nil && p.Step("expect ready R K Z I Z") == nil {
			return p
		}
		_ = p.Step("close ready")
	}
	t.Fatal("the gateway never got ready")
	return nil
}

// Init makes a Player ready that is not from NewPlayer.
func (p *Player) Init() { p.clients, p.keys = map[string]*net.TCPConn{}, map[string]string{} }

// Step plays one line.
func (p *Player) Step(line string) error {
	for name, to := range p.words {
		line = strings.ReplaceAll(line, "$"+name, to)
	}
	word, rest, _ := strings.Cut(line, " ")
	name, rest, _ := strings.Cut(rest, " ")
	switch word {
	case "send":
		return p.send(name, rest)
	case "expect":
		return p.expect(name, strings.Fields(rest))
	case "close", "half", "reset":
		return p.end(word, name)
	case "wait":
		ms, err := strconv.Atoi(name)
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return err
	case "host":
		return p.Cluster.Do(name, rest)
	case "all":
		for _, h := range p.Cluster.order {
			if err := p.Cluster.Do(h, name); err != nil {
				return err
			}
		}
		return nil
	case "ran":
		return same(strings.Fields(rest), p.Cluster.Runs(name))
	case "count":
		if n := strconv.Itoa(len(p.Cluster.Runs(name))); n != rest {
			return fmt.Errorf("got %s", n)
		}
		return nil
	case "agent":
		return p.agent(strings.TrimSpace(name + " " + rest))
	case "http":
		return p.http(name, rest)
	case "idle":
		return p.idle(name)
	case "manage":
		return p.manage(name, strings.SplitN(rest, " ", 3))
	case "stop":
		p.Gateway.Stop()
		return nil
	case "exit":
		return p.Gateway.Wait()
	}
	return fmt.Errorf("unknown word %q", word)
}

func same[T comparable](want, got []T) error {
	if !slices.Equal(want, got) {
		return fmt.Errorf("got %v", got)
	}
	return nil
}

func (p *Player) send(name, text string) error {
	conn := p.clients[name]
	if conn == nil {
		addr, _, _ := p.Gateway.Addrs()
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			return err
		}
		conn = c.(*net.TCPConn)
		p.clients[name] = conn
	}
	var out []byte
	for c, key := range p.keys {
		text = strings.ReplaceAll(text, "$"+c+" ", key+" ")
	}
	times := 1
	if rest, ok := strings.CutPrefix(text, "FLOOD "); ok {
		text, times = rest, floodTimes
	}
	for part := range strings.SplitSeq(strings.Repeat(text+" | ", times-1)+text, " | ") {
		var err error
		if out, err = Encode(out, strings.TrimSpace(part)); err != nil {
			return err
		}
	}
	_, err := conn.Write(out)
	return err
}

func (p *Player) expect(name string, want []string) error {
	conn := p.clients[name]
	if conn == nil {
		return fmt.Errorf("no client %q", name)
	}
	_ = conn.SetReadDeadline(time.Now().Add(stepTimeout))
	for i, wanted := range want {
		got, err := receive(conn, wanted)
		if err != nil {
			return fmt.Errorf("after %v: %w", want[:i], err)
		}
		if key, ok := strings.CutPrefix(got, "K:"); ok {
			p.keys[name] = key
		}
		if got != wanted && !strings.HasPrefix(got, wanted+":") {
			return fmt.Errorf("after %v: want %s, got %s", want[:i], wanted, got)
		}
	}
	return nil
}

// receive reads a message, or the end of the connection, and names it as scenarios do.
func receive(conn net.Conn, wanted string) (string, error) {
	got, err := Answer(conn)
	if errors.Is(err, io.EOF) {
		got, err = "eof", nil
	}
	if wanted == "cut" && err == nil && got[0] == 'D' { // the row before the end may come whole or not
		got, err = Answer(conn)
		if errors.Is(err, io.EOF) {
			got, err = "cut", nil
		}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		got, err = "broken", nil
		if wanted == "cut" {
			got = wanted
		}
	}
	return got, err
}

func (p *Player) end(how, name string) error {
	conn := p.clients[name]
	if conn == nil {
		return fmt.Errorf("no client %q", name)
	}
	if how == "half" {
		return conn.CloseWrite()
	}
	delete(p.clients, name)
	if how == "reset" {
		_ = conn.SetLinger(0)
	}
	return conn.Close()
}

// idle waits until the gateway has no request without an answer.
func (p *Player) idle(name string) error {
	g, ok := p.Gateway.(interface{ InHand() int })
	if !ok {
		return errors.New("the gateway doesn't tell what is in flight")
	}
	ms, err := strconv.Atoi(name)
	if err != nil {
		return err
	}
	for end := time.Now().Add(time.Duration(ms) * time.Millisecond); g.InHand() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%d requests are in flight", g.InHand())
		}
	}
	return nil
}
