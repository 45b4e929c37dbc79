// Package platform is the thin front for the platform's own protocol: simple queries that say in a comment what
// they are.
package platform

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

const (
	longestWord = 64 // an id or idempotency key
	mostTurns   = 32 // queries of one client in hand
)

// Frontend turns queries into requests to the core.
type Frontend struct {
	Core    *proxy.Core
	Ready   func() bool
	classes map[string]int
	tenants map[string]int
	kinds   []routing.Class
	open    map[string]bool // the ids of requests without a final answer
}

// New returns a Front for the classes and tenants of the settings.
func New(core *proxy.Core, set routing.Settings, ready func() bool) *Frontend {
	f := &Frontend{Core: core, Ready: ready, classes: map[string]int{}, tenants: map[string]int{},
		kinds: set.Classes, open: map[string]bool{}}
	for i, c := range set.Classes {
		f.classes[c.Name] = i
	}
	for i, t := range set.Tenants {
		f.tenants[t.Name] = i
	}
	return f
}

var (
	_ pg.StreamingCommand = (*statement)(nil)
	_ proxy.Streamer      = (*turn)(nil)
	_ pg.Flusher          = (*session)(nil)
)

// NewSession starts the session of a client.
func (f *Frontend) NewSession(c *pg.Client) pg.Session { return &session{front: f, client: c} }

// session is one client's. Its queries are worked on side by side and answered in the order they came: a query waits
// only for those before it that write its key, or that it would write to.
type session struct {
	front  *Frontend
	client *pg.Client
	turns  []*turn // in the order of their answers
	skip   bool    // until Sync: a message of the extended protocol was refused
}

// turn is the place of one answer in a session's order.
type turn struct {
	session *session
	st      *statement // nil where no host is asked
	request proxy.Request
	since   float64
	number  uint64 // in the core, once it is submitted
	sent    bool
	answer  []byte // all of it, once it is known; the end of it, of one that is passed on as it comes
	resume  func() // goes on with one that is
}

func (s *session) Busy() bool { return len(s.turns) > 0 }

// Accepts lets queries in while others are in hand; whatever else there is waits for them.
func (s *session) Accepts(kind byte) bool {
	return len(s.turns) == 0 || kind == pg.MsgQuery && len(s.turns) < mostTurns
}

// InPipeline is never true: each query stands alone.
func (s *session) InPipeline() bool { return false }

func (s *session) ClientGone() {
	turns := s.turns
	s.turns = nil
	for _, t := range turns {
		if t.st != nil && t.answer == nil {
			delete(s.front.open, t.st.id)
			if t.sent {
				s.front.Core.ClientGone(t.number)
			}
		}
	}
}

// say puts an answer that is known at once into its place.
func (s *session) say(answer []byte) { s.add(&turn{answer: answer}) }

func (s *session) add(t *turn) {
	t.session = s
	s.turns = append(s.turns, t)
	s.proceed()
}

// proceed submits the queries that need not wait any more, and sends the answers whose turn has come.
func (s *session) proceed() {
	for i, t := range s.turns {
		if !t.sent && t.answer == nil && !t.waits(s.turns[:i]) {
			t.submit()
		}
	}
	for len(s.turns) > 0 && s.turns[0].answer != nil {
		t := s.turns[0]
		s.turns = s.turns[1:]
		s.client.Send(t.answer)
	}
	s.Flushed()
	s.client.Resume()
}

// Flushed goes on with a large answer whose turn it is.
func (s *session) Flushed() {
	if len(s.turns) > 0 && s.turns[0].resume != nil && s.turns[0].answer == nil {
		s.turns[0].resume()
	}
}

// waits tells whether an unanswered query before this one must be answered first: a read sees the writes that its
// own connection has asked for before it.
func (t *turn) waits(before []*turn) bool {
	for _, o := range before {
		if o.answer == nil && o.st.key == t.st.key && (o.st.write || t.st.write) {
			return true
		}
	}
	return false
}

func (t *turn) submit() {
	core := t.session.front.Core
	t.sent = true
	t.request.TimeLeftMs -= core.Now() - t.since
	var ok bool
	if t.number, ok = core.Submit(t.request); !ok {
		t.settle(pg.RejectionError(0).Append(nil))
	}
}

// settle takes in the answer.
func (t *turn) settle(body []byte) {
	delete(t.session.front.open, t.st.id)
	t.answer = pg.AppendReadyForQuery(body)
}

// BeginStream takes a large answer as it comes.
func (t *turn) BeginStream(resume func()) bool {
	t.resume = resume
	return true
}

// StreamPart passes on as much as the client has room for, once the answers before this one are out.
func (t *turn) StreamPart(p []byte) int {
	s := t.session
	if len(s.turns) == 0 || s.turns[0] != t {
		return 0
	}
	return s.client.SendPart(p)
}

// AbortStream ends the connection: an answer that breaks off midway can't be told from a whole one otherwise.
func (t *turn) AbortStream() {
	delete(t.session.front.open, t.st.id)
	t.session.client.Abort()
}

// Succeed passes a host's answer on.
func (t *turn) Succeed(body []byte) {
	t.settle(body)
	t.session.proceed()
}

// Reject says that trying again is harmless.
func (t *turn) Reject(afterMs float64) { t.Succeed(pg.RejectionError(afterMs).Append(nil)) }

// Fail passes a host's error on, or says that nothing is known.
func (t *turn) Fail(body []byte) {
	if body == nil {
		body = pg.UnknownOutcomeError().Append(nil)
	}
	t.Succeed(body)
}

func (s *session) HandleMessage(kind byte, body []byte) {
	switch kind {
	case pg.MsgQuery:
		s.query(body)
	case pg.MsgSync:
		s.skip = false
		s.say(pg.AppendReadyForQuery(nil))
	case pg.MsgParse, pg.MsgBind, pg.MsgDescribe, pg.MsgExecute, pg.MsgClose, pg.MsgFlush:
		if !s.skip {
			s.skip = true
			s.say(pg.ErrorResponse{State: pg.StateNotSupported, Text: "only simple queries are taken here"}.Append(nil))
		}
	case 'd', 'c', 'f': // left over from a COPY that was refused
	default:
		s.client.Fatal(pg.StateProtocol, fmt.Sprintf("unknown message type %q", kind))
	}
}

func (s *session) query(body []byte) {
	fields := pg.NewFieldReader(body)
	text := fields.Text()
	if !fields.End() {
		s.client.Fatal(pg.StateProtocol, "the query is no text")
		return
	}
	if strings.Trim(text, " \t\r\n;") == "" {
		if s.front.Ready() {
			s.say(pg.AppendReadyForQuery(pg.AppendMessage(nil, pg.MsgEmptyQuery)))
		} else {
			s.fail(pg.ErrorResponse{State: pg.StateCannotConnectNow, Text: "no clients are taken now"})
		}
		return
	}
	if word, ok := setting(text); ok {
		s.say(pg.AppendReadyForQuery(pg.AppendStrings(nil, pg.MsgComplete, word)))
		return
	}
	st, err := parse(text)
	if err != nil {
		s.fail(pg.ErrorResponse{State: pg.StateSyntax, Text: err.Error()})
		return
	}
	r, err := s.front.request(st)
	if err != nil {
		s.fail(pg.ErrorResponse{State: pg.StateBadParameter, Text: err.Error()})
		return
	}
	t := &turn{st: st, request: r, since: s.front.Core.Now()}
	t.request.Responder = t
	s.front.open[st.id] = true
	s.add(t)
}

// request checks a query against the settings and turns it into a request to the core. Guards hosts against what
// they turn away as 08P01 or close the connection on, and other clients' requests against a second one of their id:
// an answer to either could be taken for the other's.
func (f *Frontend) request(st *statement) (proxy.Request, error) {
	class, known := f.classes[st.class]
	tenant, member := f.tenants[st.tenant]
	switch {
	case !known:
		return proxy.Request{}, fmt.Errorf("unknown class %q", st.class)
	case !member && len(f.tenants) > 0:
		return proxy.Request{}, fmt.Errorf("unknown tenant %q", st.tenant)
	case st.write != (f.kinds[class].Consistency == routing.ConsistencyWrite):
		return proxy.Request{}, fmt.Errorf("class %q takes no statement of this form", st.class)
	case f.kinds[class].Idempotency == routing.IdempotentWithKey && st.once == "":
		return proxy.Request{}, fmt.Errorf("class %q needs the idempotency key k", st.class)
	case f.open[st.id]:
		return proxy.Request{}, fmt.Errorf("a request with the id %q is in hand", st.id)
	}
	r := proxy.Request{Class: class, Tenant: -1, Group: st.cluster, TimeLeftMs: st.left, ClientRetry: st.repeat, Command: st}
	if member {
		r.Tenant = tenant
	}
	if n := f.kinds[class].Consistency; n == routing.ConsistencyWrite || n == routing.ConsistencySession {
		r.Session = st.key
	}
	return r, nil
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

func (s *session) fail(f pg.ErrorResponse) { s.say(pg.AppendReadyForQuery(f.Append(nil))) }

// statement is a query and what its comment says.
type statement struct {
	text, key         string
	write             bool
	from, to          int // where the value of d stands
	id, class, tenant string
	once              string // the idempotency key
	left              float64
	cluster           int
	repeat            bool
}

// AppendTo writes the query as it came, with the time that is left now.
func (st *statement) AppendTo(buf []byte, leftMs float64) []byte {
	buf, m := pg.BeginMessage(buf, pg.MsgQuery)
	buf = append(buf, st.text[:st.from]...)
	buf = strconv.AppendInt(buf, int64(max(1, leftMs)), 10)
	buf = append(buf, st.text[st.to:]...)
	return pg.EndMessage(append(buf, 0), m)
}

// Forwards passes on the parts of a result.
func (st *statement) Forwards(kind byte) bool {
	return bytes.IndexByte([]byte{pg.MsgRowDescription, pg.MsgDataRow, pg.MsgComplete}, kind) >= 0
}

// CanStream asks for the description alone, before a row of one value.
func (st *statement) CanStream(answer []byte, columns int) bool {
	return pg.MessageTypes(answer) == "T" && pg.ColumnCount(answer) == 1 && columns == 1
}

// IsStreamComplete asks for the end of a statement of this kind.
func (st *statement) IsStreamComplete(answer []byte) bool {
	return pg.MessageTypes(answer) == "C" && strings.HasPrefix(pg.CommandTag(answer), st.verb())
}

func (st *statement) verb() string {
	if st.write {
		return "INSERT"
	}
	return "SELECT"
}

// IsComplete asks for one row of one value and the end of a statement of this kind.
func (st *statement) IsComplete(answer []byte) bool {
	if pg.MessageTypes(answer) != "TDC" {
		return false
	}
	values := 0
	for range 2 {
		values += pg.ColumnCount(answer)
		_, _, size, _ := pg.SplitMessage(answer, pg.MaxMessage)
		answer = answer[size:]
	}
	return values == 2 && strings.HasPrefix(pg.CommandTag(answer), st.verb())
}

// parse reads a query in one of the two forms that hosts take, and its comment.
func parse(text string) (*statement, error) {
	st := &statement{text: text, cluster: -1}
	sql, comment, ok := cutComment(text)
	if !ok {
		return nil, fmt.Errorf("the query ends in no comment that says what it is")
	}
	if st.key, st.write, ok = form(strings.TrimRight(sql, " ")); !ok {
		return nil, fmt.Errorf("only SELECT v FROM records WHERE k = '...' and INSERT INTO records (k, v)" +
			" VALUES ('...', '\\x...') RETURNING v are taken here")
	}
	at := len(sql) + len("/*")
	seen := map[string]bool{}
	for part := range strings.SplitSeq(comment, ",") {
		trimmed := strings.TrimLeft(part, " ")
		name, value, _ := strings.Cut(strings.TrimRight(trimmed, " "), "=")
		if seen[name] {
			return nil, fmt.Errorf("the comment has two values of %s", name)
		}
		seen[name] = true
		if name == "d" {
			st.from = at + len(part) - len(trimmed) + len("d=")
			st.to = st.from + len(value)
		}
		if !st.set(name, value) {
			return nil, fmt.Errorf("the comment's %s has the value %q", name, value)
		}
		at += len(part) + 1
	}
	if st.id == "" || st.class == "" || st.cluster < 0 || st.left == 0 {
		return nil, fmt.Errorf("the comment lacks id, c, cluster or d")
	}
	return st, nil
}

// set takes in one value of the comment; false when it can't be used. Names not known here are the hosts' business.
func (st *statement) set(name, value string) bool {
	switch name {
	case "id":
		st.id = value
		return word(value)
	case "k":
		st.once = value
		return word(value)
	case "c":
		st.class = value
	case "t":
		st.tenant = value
	case "r":
		st.repeat = value == "1"
	case "cluster":
		n, err := strconv.ParseUint(value, 10, 31)
		st.cluster = int(n)
		return err == nil
	case "d":
		v, err := strconv.ParseFloat(value, 64)
		st.left = v
		return err == nil && strings.Trim(value, "0123456789.") == "" && v > 0 && v <= math.MaxInt32
	}
	return true
}

// word tells whether a text can be an id or an idempotency key.
func word(s string) bool {
	return s != "" && len(s) <= longestWord && !strings.ContainsFunc(s, func(c rune) bool {
		return !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_')
	})
}

// form reads a statement without its comment: its quoted key, and whether it is a write.
func form(sql string) (key string, write, ok bool) {
	if rest, found := strings.CutPrefix(sql, "SELECT v FROM records WHERE k = '"); found {
		key, rest, ok = strings.Cut(rest, "'")
		return key, false, ok && rest == "" && key != ""
	}
	rest, found := strings.CutPrefix(sql, "INSERT INTO records (k, v) VALUES ('")
	if !found {
		return "", false, false
	}
	key, rest, found = strings.Cut(rest, "', '\\x")
	value, rest, also := strings.Cut(rest, "'")
	hexadecimal := len(value)%2 == 0 && strings.Trim(value, "0123456789abcdefABCDEF") == ""
	return key, true, found && also && hexadecimal && rest == ") RETURNING v" && key != "" && !strings.Contains(key, "'")
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
