package testkit

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"merlinjunction/internal/protocol/pg"
)

const patience = 10 * time.Second // generous: a slow machine must not turn a verdict

// Gateway is the program under test.
type Gateway interface {
	Addrs() (clients, agent, http string)
	Stop()
	Wait() error
}

// Play plays each scenario file of a folder: a line a step, # for comments, \ joins lines.
//
//	send C MESSAGES      expect C ANSWERS     close C | half C | reset C     wait MS
//	send C FLOOD MESSAGES    sends them 5,000 times
//	manage STATUS METHOD PATH [TEXT]    TEXT is the body of a PUT (BIG: 64 KiB), and must be in the answer to a GET
//	host H WORD          ran VALUE HOSTS...   count VALUE N   agent TEXT    http STATUS PATH     stop     exit
//	all WORD             does that to each host       idle MS: nothing is in hand any more, within that time
//
// MESSAGES are divided by " | " and go out in one packet; ANSWERS are the types of the messages that must come,
// some with what is in them: E:SQLSTATE[:DETAIL], C:TAG_WITH_SCORES, D:VALUE, eof, broken (the end in the
// middle of a message, or a reset), cut (broken, or the end after a row).
func Play(t *testing.T, folder string, start func(*testing.T, *Cluster) Gateway) {
	PlayWith(t, folder, nil, start)
}

// PlayWith plays them with words of the deployment's own: each $NAME stands for its word.
func PlayWith(t *testing.T, folder string, words map[string]string, start func(*testing.T, *Cluster) Gateway) {
	files, err := filepath.Glob(filepath.Join(folder, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios in %s: %v", folder, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p := NewPlayer(t, start, "a", "b", "c")
			p.words = words
			lines := strings.Split(strings.ReplaceAll(string(text), "\\\n", " "), "\n")
			for i, line := range lines {
				if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
					continue
				}
				if err := p.Step(line); err != nil {
					t.Fatalf("%s, step %d, %s: %v", file, i+1, line, err)
				}
			}
		})
	}
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
			conn.Close()
		}
		p.Gateway.Stop()
		if err := p.Gateway.Wait(); err != nil {
			t.Error(err)
		}
	})
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
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
		text, times = rest, 5000
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

// Encode appends a client's message.
func Encode(out []byte, text string) ([]byte, error) {
	word, rest, _ := strings.Cut(text, " ")
	f := strings.Fields(rest)
	arg := func(i int) string {
		if i < len(f) && f[i] != "-" { // - is the unnamed one
			return f[i]
		}
		return ""
	}
	switch word {
	case "startup":
		database := "main"
		if arg(0) != "" {
			database = arg(0)
		}
		out, m := pg.BeginMessage(out, 0)
		out = append(out, 0, 3, 0, 0)
		for _, s := range []string{"user", "svc", "database", database, ""} {
			out = append(append(out, s...), 0)
		}
		return pg.EndMessage(out, m), nil
	case "raw":
		b, err := hex.DecodeString(strings.Join(f, ""))
		return append(out, b...), err
	case "query":
		return pg.AppendStrings(out, pg.MsgQuery, rest), nil
	case "parse":
		_, sql, _ := strings.Cut(rest, " ")
		out, m := pg.BeginMessage(out, pg.MsgParse)
		out = append(append(out, arg(0)+"\x00"+sql...), 0, 0, 0)
		return pg.EndMessage(out, m), nil
	case "bind":
		out, m := pg.BeginMessage(out, pg.MsgBind)
		out = append(out, arg(0)+"\x00"+arg(1)+"\x00\x00\x00"...)
		values := f[min(2, len(f)):]
		out = append(out, 0, byte(len(values)))
		for _, v := range values {
			if v == "NULL" {
				out = append(out, 255, 255, 255, 255)
				continue
			}
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(v))), v...)
		}
		return pg.EndMessage(append(out, 0, 0), m), nil
	case "execute":
		most, _ := strconv.Atoi(arg(1))
		out, m := pg.BeginMessage(out, pg.MsgExecute)
		return pg.EndMessage(binary.BigEndian.AppendUint32(append(out, arg(0)+"\x00"...), uint32(most)), m), nil
	case "describe", "close":
		kind := map[string]byte{"describe": pg.MsgDescribe, "close": pg.MsgClose}[word]
		return pg.AppendStrings(out, kind, arg(0)+arg(1)), nil
	case "sync":
		return pg.AppendMessage(out, pg.MsgSync), nil
	case "flush":
		return pg.AppendMessage(out, pg.MsgFlush), nil
	case "terminate":
		return pg.AppendMessage(out, pg.MsgEnd), nil
	}
	return nil, fmt.Errorf("unknown message %q", word)
}

func (p *Player) expect(name string, want []string) error {
	conn := p.clients[name]
	if conn == nil {
		return fmt.Errorf("no client %q", name)
	}
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	for i, w := range want {
		got, err := Answer(conn)
		if err == io.EOF {
			got, err = "eof", nil
		}
		if w == "cut" && err == nil && got[0] == 'D' { // the row before the end may come whole or not
			got, err = Answer(conn)
			if err == io.EOF {
				got, err = "cut", nil
			}
		}
		if err == io.ErrUnexpectedEOF || errors.Is(err, syscall.ECONNRESET) {
			got, err = "broken", nil
			if w == "cut" {
				got = w
			}
		}
		if err != nil {
			return fmt.Errorf("after %v: %w", want[:i], err)
		}
		if key, ok := strings.CutPrefix(got, "K:"); ok {
			p.keys[name] = key
		}
		if got != w && !strings.HasPrefix(got, w+":") {
			return fmt.Errorf("after %v: want %s, got %s", want[:i], w, got)
		}
	}
	return nil
}

// Answer reads one message and names it as scenarios do.
func Answer(r io.Reader) (string, error) {
	for {
		kind, body, err := readMessage(r)
		if err != nil {
			return "", err
		}
		f := pg.NewFieldReader(body)
		switch kind {
		case pg.MsgParameterStatus, pg.MsgNotice:
			continue
		case pg.MsgBackendKeyData:
			return "K:" + hex.EncodeToString(body), nil
		case pg.MsgComplete:
			return "C:" + strings.ReplaceAll(f.Text(), " ", "_"), nil
		case pg.MsgDataRow:
			f.Int16()
			return "D:" + string(f.Value()), nil
		case pg.MsgError:
			parts := map[byte]string{}
			for k := f.Byte(); k != 0; k = f.Byte() {
				parts[k] = f.Text()
			}
			if parts['D'] != "" {
				return "E:" + parts['C'] + ":" + parts['D'], nil
			}
			return "E:" + parts['C'], nil
		}
		return string(kind), nil
	}
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
	ms, err := strconv.Atoi(name)
	if !ok || err != nil {
		return fmt.Errorf("the gateway doesn't tell, or %w", err)
	}
	for end := time.Now().Add(time.Duration(ms) * time.Millisecond); g.InHand() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%d are in hand", g.InHand())
		}
	}
	return nil
}

func (p *Player) agent(want string) error {
	_, addr, _ := p.Gateway.Addrs()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	got, err := io.ReadAll(conn)
	if err != nil || strings.TrimSpace(string(got)) != want {
		return fmt.Errorf("got %q, %v", got, err)
	}
	return nil
}

func (p *Player) http(status, path string) error {
	_, _, addr := p.Gateway.Addrs()
	r, err := http.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if strconv.Itoa(r.StatusCode) != status {
		return fmt.Errorf("got %s", r.Status)
	}
	return nil
}

// manage makes a call at the management address.
func (p *Player) manage(status string, call []string) error {
	g, ok := p.Gateway.(interface{ Management() string })
	if !ok || len(call) < 2 {
		return fmt.Errorf("no management address, or no call")
	}
	text := append(call, "")[2]
	if text == "BIG" {
		text = strings.Repeat("x", 1<<16)
	}
	r, err := http.NewRequest(call[0], "http://"+g.Management()+call[1], strings.NewReader(text))
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	if err != nil || strconv.Itoa(a.StatusCode) != status || call[0] == "GET" && !strings.Contains(string(got), text) {
		return fmt.Errorf("got %s, %q, %v", a.Status, got, err)
	}
	return nil
}

var listening = regexp.MustCompile(`"listen":"([^"]+)","management":"([^"]*)"`)

// Listening finds the clients' and the management address in a line of the program's log; "" where it is none of the kind.
func Listening(line string) (clients, management string) {
	if m := listening.FindStringSubmatch(line); m != nil {
		return m[1], m[2]
	}
	return "", ""
}
