// Package platform is the thin front for the platform's own protocol: simple queries that say in a comment what
// they are.
package platform

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"

	"merlinjunction/decide"
	"merlinjunction/internal/state"
	"merlinjunction/internal/wire/pg"
)

// Front turns queries into requests to the core.
type Front struct {
	Core    *state.Core
	Ready   func() bool
	classes map[string]int
	tenants map[string]int
	needs   []decide.Need
}

// New returns a Front for the classes and tenants of the settings.
func New(core *state.Core, set decide.Settings, ready func() bool) *Front {
	f := &Front{Core: core, Ready: ready, classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range set.Classes {
		f.classes[c.Name] = i
		f.needs = append(f.needs, c.Need)
	}
	for i, t := range set.Tenants {
		f.tenants[t.Name] = i
	}
	return f
}

// Open starts the session of a client.
func (f *Front) Open(c *pg.Client) pg.Session { return &session{front: f, client: c} }

type session struct {
	front   *Front
	client  *pg.Client
	busy    bool
	request uint64
	skip    bool // until Sync: a message of the extended protocol was refused
}

func (s *session) Busy() bool { return s.busy }

// Midway is never true: each query stands alone.
func (s *session) Midway() bool { return false }

func (s *session) Gone() {
	if s.busy {
		s.busy = false
		s.front.Core.Gone(s.request)
	}
}

func (s *session) Message(kind byte, body []byte) {
	switch kind {
	case pg.MsgQuery:
		s.query(body)
	case pg.MsgSync:
		s.skip = false
		s.client.Send(pg.Ready(nil))
	case pg.MsgParse, pg.MsgBind, pg.MsgDescribe, pg.MsgExecute, pg.MsgClose, pg.MsgFlush:
		if !s.skip {
			s.skip = true
			s.client.Send(pg.Failure{State: pg.StateNotSupported, Text: "only simple queries are taken here"}.Append(nil))
		}
	case 'd', 'c', 'f': // left over from a COPY that was refused
	default:
		s.client.Fatal(pg.StateProtocol, fmt.Sprintf("unknown message type %q", kind))
	}
}

func (s *session) query(body []byte) {
	fields := pg.Read(body)
	text := fields.Text()
	if !fields.End() {
		s.client.Fatal(pg.StateProtocol, "the query is no text")
		return
	}
	if strings.Trim(text, " \t\r\n;") == "" {
		if s.front.Ready() {
			s.client.Send(pg.Ready(pg.Message(nil, pg.MsgEmptyQuery)))
		} else {
			s.fail(pg.Failure{State: pg.StateCannotConnectNow, Text: "no database host is known yet"})
		}
		return
	}
	if word, ok := setting(text); ok {
		s.client.Send(pg.Ready(pg.Texts(nil, pg.MsgComplete, word)))
		return
	}
	st, err := parse(text)
	if err != nil {
		s.fail(pg.Failure{State: pg.StateSyntax, Text: err.Error()})
		return
	}
	class, known := s.front.classes[st.class]
	if !known {
		s.fail(pg.Failure{State: pg.StateBadParameter, Text: "unknown class " + strconv.Quote(st.class)})
		return
	}
	r := state.Request{
		Class: class, Tenant: -1, Group: st.cluster, LeftMs: st.left, Repeat: st.repeat, Command: st, Reply: s,
	}
	if i, ok := s.front.tenants[st.tenant]; ok {
		r.Tenant = i
	}
	if n := s.front.needs[class]; n == decide.NeedPrimary || n == decide.NeedSession {
		r.Session = st.key
	}
	id, ok := s.front.Core.Submit(r)
	if !ok {
		s.fail(pg.Refusal(0))
		return
	}
	s.busy, s.request = true, id
}

// setting tells the commands that change the connection only; they are answered here.
func setting(text string) (string, bool) {
	word, _, _ := strings.Cut(strings.TrimRight(strings.TrimSpace(text), ";"), " ")
	switch word = strings.ToUpper(word); word {
	case "SET", "RESET", "DISCARD":
		return word, true
	}
	return "", false
}

func (s *session) fail(f pg.Failure) { s.client.Send(pg.Ready(f.Append(nil))) }

func (s *session) answer(body []byte) {
	s.busy = false
	s.client.Send(pg.Ready(body))
	s.client.Resume()
}

// Served passes a host's answer on.
func (s *session) Served(body []byte) { s.answer(body) }

// Refused says that trying again is harmless.
func (s *session) Refused(afterMs float64) { s.answer(pg.Refusal(afterMs).Append(nil)) }

// Failed passes a host's error on, or says that nothing is known.
func (s *session) Failed(body []byte) {
	if body == nil {
		body = pg.Lost().Append(nil)
	}
	s.answer(body)
}

// statement is a query and what its comment says.
type statement struct {
	text               string
	from, to           int // where the value of d stands
	class, tenant, key string
	left               float64
	cluster            int
	repeat             bool
}

// AppendTo writes the query as it came, with the time that is left now.
func (st *statement) AppendTo(buf []byte, leftMs float64) []byte {
	buf, m := pg.Begin(buf, pg.MsgQuery)
	buf = append(buf, st.text[:st.from]...)
	buf = strconv.AppendInt(buf, int64(max(1, leftMs)), 10)
	buf = append(buf, st.text[st.to:]...)
	return pg.End(append(buf, 0), m)
}

// Relays passes on the parts of a result.
func (st *statement) Relays(kind byte) bool {
	return bytes.IndexByte([]byte{pg.MsgRowDescription, pg.MsgDataRow, pg.MsgComplete}, kind) >= 0
}

// parse reads the key and the comment of a query.
func parse(text string) (*statement, error) {
	st := &statement{text: text, cluster: -1}
	sql, comment, ok := cutComment(text)
	if !ok {
		return nil, fmt.Errorf("the query ends in no comment that says what it is")
	}
	start := len(sql) + len("/*")
	if st.key, ok = quoted(sql); !ok {
		return nil, fmt.Errorf("the query has no quoted key")
	}
	at := start
	for part := range strings.SplitSeq(comment, ",") {
		trimmed := strings.TrimLeft(part, " ")
		name, value, _ := strings.Cut(strings.TrimRight(trimmed, " "), "=")
		bad := false
		switch name {
		case "c":
			st.class = value
		case "t":
			st.tenant = value
		case "r":
			st.repeat = value == "1"
		case "cluster":
			n, err := strconv.ParseUint(value, 10, 31)
			st.cluster, bad = int(n), err != nil
		case "d":
			v, err := strconv.ParseFloat(value, 64)
			st.left, bad = v, err != nil || !(v > 0 && v <= math.MaxInt32)
			st.from = at + len(part) - len(trimmed) + len("d=")
			st.to = st.from + len(value)
		}
		if bad {
			return nil, fmt.Errorf("the comment's %s has the value %q", name, value)
		}
		at += len(part) + 1
	}
	if st.class == "" || st.cluster < 0 || st.left == 0 {
		return nil, fmt.Errorf("the comment lacks c, cluster or d")
	}
	return st, nil
}

// cutComment splits off the comment that a query ends in.
func cutComment(text string) (sql, comment string, ok bool) {
	i := strings.LastIndex(text, "/*")
	if i < 0 {
		return "", "", false
	}
	body, rest, ok := strings.Cut(text[i+2:], "*/")
	return text[:i], body, ok && strings.Trim(rest, " \t\r\n;") == ""
}

// quoted is the first quoted text; a quote inside it is doubled.
func quoted(sql string) (string, bool) {
	_, rest, ok := strings.Cut(sql, "'")
	if !ok {
		return "", false
	}
	for i := 0; i < len(rest); i++ {
		if rest[i] != '\'' {
			continue
		}
		if i+1 < len(rest) && rest[i+1] == '\'' {
			i++
			continue
		}
		return strings.ReplaceAll(rest[:i], "''", "'"), true
	}
	return "", false
}
