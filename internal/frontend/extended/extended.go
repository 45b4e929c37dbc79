// Package extended is the front for clients of the extended query protocol, and of plain simple queries. A
// statement and its parameters stay here until Execute, which is one request to the core: only then is a host
// chosen. Each statement of a pipeline commits singly; transactions are refused.
package extended

import (
	"fmt"
	"strconv"
	"strings"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

const (
	mostEach  = 1 << 20  // bytes of statements, portals and rows kept for one client
	mostTotal = 48 << 20 // and for all
	mostNames = 1000     // statements of one client, and portals
	flushAt   = 8 << 10  // bytes of answers kept back: a client that never asks for them must not fill the memory
	bookkeep  = 200      // bytes that a statement or portal costs beyond its text
)

const stateUsed = "55000" // object_not_in_prerequisite_state

// Frontend turns executes into requests to the core.
type Frontend struct {
	Core  *proxy.Core
	Rules *Rules
	Ready func() bool

	opened uint64
	held   int // bytes, of all clients
}

// NewSession starts the session of a client.
func (f *Frontend) NewSession(c *pg.Client) pg.Session {
	f.opened++
	s := &session{front: f, client: c, id: f.opened, statements: map[string]*statement{}, portals: map[string]*portal{}}
	if group, ok := f.Rules.Databases[c.Database]; ok {
		s.group = group
	} else {
		c.Fatal(pg.StateNoDatabase, "no database of the name "+strconv.Quote(c.Database)+" is set up")
	}
	return s
}

// statement is what a Parse left here.
type statement struct {
	text, bare string
	types      []byte // the parameter types, as they stood in the message
	rule       *Rule  // nil: an empty statement, or a command that is answered here
	command    func() pg.ErrorResponse
	tag        string
	live       bool   // it has its name still: what is kept of it is booked
	described  []byte // ParameterDescription and RowDescription or NoData, once a host has told
	size       int
}

// portal is what a Bind left here.
type portal struct {
	*statement
	params  [][]byte
	bind    []byte // formats, parameters and result formats, as they stood in the message
	results []uint16
	run     bool     // it has been executed: never twice
	rows    [][]byte // of its answer, what the client has not asked for yet
	last    []byte   // and the message after them
	size    int
}

type session struct {
	front      *Frontend
	client     *pg.Client
	id         uint64
	group      int
	statements map[string]*statement
	portals    map[string]*portal
	held       int
	out        []byte
	skip       bool // to the next Sync
	midway     bool // a pipeline has begun, and its Sync has not come
	busy       bool
	request    uint64
	then       func(body []byte) // what follows when the request in hand has been served
	simple     bool              // it came as a simple query: ReadyForQuery follows
	limited    bool              // its rows are given out here, so many at a time
	resume     func()            // goes on with a large answer, of which some is out
}

func (s *session) Busy() bool { return s.busy }

// Accepts keeps a pipeline in order: one message at a time.
func (s *session) Accepts(byte) bool { return !s.busy }

func (s *session) InPipeline() bool { return s.midway }

func (s *session) ClientGone() {
	s.front.held -= s.held
	s.held = 0
	if s.busy {
		s.busy = false
		s.front.Core.ClientGone(s.request)
	}
}

// keep books bytes; false when that is too much.
func (s *session) keep(n int) bool {
	if n > 0 && (s.held+n > mostEach || s.front.held+n > mostTotal) {
		return false
	}
	s.held += n
	s.front.held += n
	return true
}

var errTooMuch = pg.ErrorResponse{State: pg.StateTooLarge, Text: "too much is prepared or bound at a time"}

// fail reports an error; all up to the next Sync is passed over, so that no host sees what stands behind it.
func (s *session) fail(f pg.ErrorResponse) { s.failed(f.Append(nil)) }

func (s *session) failed(body []byte) {
	s.out = append(s.out, body...)
	if s.simple {
		s.out = pg.AppendReadyForQuery(s.out)
	} else {
		s.skip = true
	}
	s.flush()
}

func (s *session) flush() {
	s.client.Send(s.out)
	s.out = nil
}

func (s *session) HandleMessage(kind byte, body []byte) {
	s.simple = kind == pg.MsgQuery
	if strings.ContainsRune("PBDECH", rune(kind)) {
		s.midway = true
	} else if kind == pg.MsgSync {
		s.midway = false
	}
	if s.skip && kind != pg.MsgSync {
		if !strings.ContainsRune("PBDECHQFdcf", rune(kind)) {
			s.client.Fatal(pg.StateProtocol, fmt.Sprintf("unknown message type %q", kind))
		}
		return
	}
	f := pg.NewFieldReader(body)
	ok := true
	switch kind {
	case pg.MsgQuery:
		ok = s.query(f)
	case pg.MsgParse:
		ok = s.parse(f)
	case pg.MsgBind:
		ok = s.bind(f, body)
	case pg.MsgDescribe:
		ok = s.describe(f)
	case pg.MsgExecute:
		ok = s.execute(f)
	case pg.MsgClose:
		ok = s.closeName(f)
	case pg.MsgFlush:
		if ok = f.End(); ok {
			s.flush()
		}
	case pg.MsgSync:
		if ok = f.End(); ok {
			s.sync()
		}
	case 'F':
		s.simple = true // it is answered like a query
		s.fail(pg.ErrorResponse{State: pg.StateNotSupported, Text: "function calls are not taken here"})
	case 'd', 'c', 'f': // left over from a COPY that was refused
	default:
		s.client.Fatal(pg.StateProtocol, fmt.Sprintf("unknown message type %q", kind))
	}
	if len(s.out) > flushAt {
		s.flush()
	}
	if !ok {
		s.flush()
		s.client.Fatal(pg.StateProtocol, fmt.Sprintf("malformed message of type %q", kind))
	}
}

// sync ends a pipeline: its portals are gone, and what went wrong in it is forgotten.
func (s *session) sync() {
	s.skip = false
	for name := range s.portals {
		s.dropPortal(name)
	}
	s.out = pg.AppendReadyForQuery(s.out)
	s.flush()
}

func (s *session) dropPortal(name string) {
	if p := s.portals[name]; p != nil {
		s.keep(-p.size)
		delete(s.portals, name)
	}
}

// dropStatement forgets a statement. Portals bound to it go on: only a Close ends them too.
func (s *session) dropStatement(name string) *statement {
	st := s.statements[name]
	if st != nil {
		st.live = false
		s.keep(-st.size)
		delete(s.statements, name)
	}
	return st
}

func (s *session) closeStatement(name string) {
	st := s.dropStatement(name)
	if st == nil {
		return
	}
	for n, p := range s.portals {
		if p.statement == st {
			s.dropPortal(n)
		}
	}
}

// prepare finds out what a statement is.
func (s *session) prepare(text string) (*statement, *pg.ErrorResponse) {
	bare, n := scan(text)
	st := &statement{text: text, bare: bare, size: len(text) + len(bare) + bookkeep}
	if n > 1 {
		return nil, &pg.ErrorResponse{State: pg.StateNotSupported,
			Text: "several statements in one text are not taken here, as each commits singly"}
	}
	if n == 0 {
		return st, nil
	}
	if refusal := s.local(st); refusal != nil || st.command != nil {
		return st, refusal
	}
	if st.rule = s.front.Rules.find(bare); st.rule == nil {
		return nil, &pg.ErrorResponse{State: pg.StateNotSupported, Text: "no class is set up for this statement"}
	}
	return st, nil
}

// settable are the settings that change nothing here, which drivers set on their own.
var settable = map[string]bool{"APPLICATION_NAME": true, "EXTRA_FLOAT_DIGITS": true}

// local sets up the commands that are answered here, and refuses those that would need a host of their own.
func (s *session) local(st *statement) *pg.ErrorResponse {
	w := words(st.bare, 3)
	none := func() pg.ErrorResponse { return pg.ErrorResponse{} }
	switch w[0] {
	case "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT", "RELEASE":
		return &pg.ErrorResponse{State: pg.StateNotSupported,
			Text: "explicit transactions are not supported: each statement commits singly"}
	case "PREPARE", "EXECUTE", "DECLARE", "FETCH", "MOVE", "CLOSE", "COPY", "LISTEN", "UNLISTEN", "LOCK":
		return &pg.ErrorResponse{State: pg.StateNotSupported, Text: w[0] + " needs a host of its own, which nobody has here"}
	case "SET":
		utf8 := len(w) == 3 && w[1] == "CLIENT_ENCODING" && strings.Contains(strings.ToUpper(st.bare), "UTF8")
		if len(w) < 3 || !settable[w[1]] && !utf8 {
			return &pg.ErrorResponse{State: pg.StateNotSupported, Text: "this setting can't be changed here"}
		}
		st.tag, st.command = "SET", none
	case "RESET":
		st.tag, st.command = "RESET", none
	case "DISCARD":
		st.tag, st.command = strings.Join(w, " "), none
		if len(w) == 2 && w[1] == "ALL" {
			st.command = func() pg.ErrorResponse { s.forgetAll(); return pg.ErrorResponse{} }
		}
	case "DEALLOCATE":
		st.tag, st.command = "DEALLOCATE", func() pg.ErrorResponse { return s.deallocate(st.bare) }
	}
	return nil
}

func (s *session) forgetAll() {
	for name := range s.statements {
		s.closeStatement(name)
	}
}

func (s *session) deallocate(bare string) pg.ErrorResponse {
	w := strings.Fields(bare)
	name := strings.Trim(w[len(w)-1], `"`)
	if strings.EqualFold(name, "ALL") {
		s.forgetAll()
		return pg.ErrorResponse{}
	}
	if s.statements[name] == nil {
		return pg.ErrorResponse{State: pg.StateNoStatement, Text: "no prepared statement " + strconv.Quote(name)}
	}
	s.closeStatement(name)
	return pg.ErrorResponse{}
}

func (s *session) parse(f *pg.FieldReader) bool {
	name, text := f.Text(), f.Text()
	types := f.Bytes(4 * f.Int16())
	if !f.End() {
		return false
	}
	if name == "" {
		s.dropStatement("")
	}
	st, refusal := s.prepare(text)
	switch {
	case s.statements[name] != nil:
		s.fail(pg.ErrorResponse{State: pg.StateDupStatement, Text: "prepared statement " + strconv.Quote(name) + " exists"})
	case refusal != nil:
		s.fail(*refusal)
	case len(s.statements) >= mostNames || !s.keep(st.size):
		s.fail(errTooMuch)
	default:
		st.types = append([]byte(nil), types...)
		s.statements[name], st.live = st, true
		s.out = pg.AppendMessage(s.out, pg.MsgParseComplete)
	}
	return true
}

// formats reads a list of format codes.
func formats(f *pg.FieldReader) (list []uint16, ok bool) {
	n := f.Int16()
	for range n {
		v := f.Int16()
		if f.Malformed || v > 1 {
			return nil, false
		}
		list = append(list, uint16(v))
	}
	return list, !f.Malformed
}

func (s *session) bind(f *pg.FieldReader, body []byte) bool {
	name, from := f.Text(), f.Text()
	start := len(name) + len(from) + 2
	codes, ok := formats(f)
	if !ok {
		return false
	}
	n := f.Int16()
	params := make([][]byte, 0, min(n, 1<<10))
	for range n {
		params = append(params, f.Value())
		if f.Malformed {
			return false
		}
	}
	results, ok := formats(f)
	if !ok || !f.End() || len(codes) > 1 && len(codes) != n {
		return false
	}
	if name == "" {
		s.dropPortal("")
	}
	st := s.statements[from]
	p := &portal{statement: st, params: params, results: results, size: len(body) + bookkeep}
	switch {
	case st == nil:
		s.fail(pg.ErrorResponse{State: pg.StateNoStatement, Text: "no prepared statement " + strconv.Quote(from)})
	case s.portals[name] != nil:
		s.fail(pg.ErrorResponse{State: pg.StateDupPortal, Text: "portal " + strconv.Quote(name) + " exists"})
	case len(s.portals) >= mostNames || !s.keep(p.size):
		s.fail(errTooMuch)
	default:
		p.bind = append([]byte(nil), body[start:]...)
		for i, v := range params { // the message's bytes are not kept
			if v != nil {
				params[i] = append([]byte{}, v...)
			}
		}
		s.portals[name] = p
		s.out = pg.AppendMessage(s.out, pg.MsgBindComplete)
	}
	return true
}

func (s *session) closeName(f *pg.FieldReader) bool {
	kind, name := f.Byte(), f.Text()
	if !f.End() || kind != 'S' && kind != 'P' {
		return false
	}
	if kind == 'S' {
		s.closeStatement(name)
	} else {
		s.dropPortal(name)
	}
	s.out = pg.AppendMessage(s.out, pg.MsgCloseComplete)
	return true
}

func noPortal(name string) pg.ErrorResponse {
	return pg.ErrorResponse{State: pg.StateNoPortal, Text: "no portal " + strconv.Quote(name)}
}

func (s *session) describe(f *pg.FieldReader) bool {
	kind, name := f.Byte(), f.Text()
	if !f.End() || kind != 'S' && kind != 'P' {
		return false
	}
	st, p := s.statements[name], s.portals[name]
	if kind == 'P' {
		if p == nil {
			s.fail(noPortal(name))
			return true
		}
		st = p.statement
	} else if st == nil {
		s.fail(pg.ErrorResponse{State: pg.StateNoStatement, Text: "no prepared statement " + strconv.Quote(name)})
		return true
	}
	switch {
	case st.rule == nil:
		st.described = pg.AppendMessage(pg.AppendMessage(nil, pg.MsgParamDesc, 0, 0), pg.MsgNoData)
		fallthrough
	case st.described != nil:
		s.tell(st, kind, p)
		return true
	}
	class := s.front.Rules.DescribeClass
	s.submit(class, "", describeCommand{st}, func(body []byte) {
		st.described = body
		s.tell(st, kind, p)
		if st.live && s.keep(len(body)) {
			st.size += len(body)
		} else {
			st.described = nil
		}
	})
	return true
}

// tell answers a Describe by what a host told of the statement; a portal's columns come in the formats bound.
func (s *session) tell(st *statement, kind byte, p *portal) {
	for rest := st.described; len(rest) > 0; {
		k, body, size, err := pg.SplitMessage(rest, pg.MaxMessage)
		if err != nil || size == 0 {
			s.fail(pg.UnknownOutcomeError())
			return
		}
		switch {
		case kind == 'P' && k == pg.MsgParamDesc:
		case kind == 'P' && k == pg.MsgRowDescription:
			s.out = pg.AppendMessage(s.out, k, withFormats(body, p.results)...)
		default:
			s.out = append(s.out, rest[:size]...)
		}
		rest = rest[size:]
	}
}

// withFormats sets the format codes in the body of a RowDescription.
func withFormats(body []byte, codes []uint16) []byte {
	f := pg.NewFieldReader(body)
	out := append([]byte(nil), body...)
	at := 2
	for i := range f.Int16() {
		name := f.Text()
		f.Bytes(16)
		if f.Malformed {
			return body
		}
		at += len(name) + 1 + 18
		f.Bytes(2)
		code := uint16(0)
		switch {
		case len(codes) == 1:
			code = codes[0]
		case i < len(codes):
			code = codes[i]
		}
		out[at-2], out[at-1] = byte(code>>8), byte(code)
	}
	return out
}

func (s *session) execute(f *pg.FieldReader) bool {
	name, most := f.Text(), f.Int32()
	if !f.End() {
		return false
	}
	p := s.portals[name]
	switch {
	case p == nil:
		s.fail(noPortal(name))
	case p.last != nil:
		s.rows(p, most)
	case p.run: // a second run could repeat a write
		s.fail(pg.ErrorResponse{State: stateUsed, Text: "portal " + strconv.Quote(name) + " has been run"})
	case p.command != nil:
		p.run = true
		s.command(p.statement)
	case p.rule == nil:
		s.out = pg.AppendMessage(s.out, pg.MsgEmptyQuery)
	default:
		p.run, s.limited = true, most > 0
		s.run(p.rule, p.statement, p.params, executeCommand{p}, func(body []byte) { s.take(p, body, most) })
	}
	return true
}

// run hands a statement to the core as one request.
func (s *session) run(r *Rule, st *statement, params [][]byte, command any, then func([]byte)) {
	c := s.front.Rules.Classes[r.Class]
	name, key := r.names(st.bare, params, s.id)
	if c.Idempotency == routing.IdempotentWithKey && key == "" {
		s.fail(pg.ErrorResponse{State: pg.StateBadParameter, Text: "the class " + c.Name + " needs an idempotency key"})
		return
	}
	if c.Consistency != routing.ConsistencyWrite && c.Consistency != routing.ConsistencySession {
		name = ""
	}
	s.submit(r.Class, name, command, then)
}

func (s *session) submit(class int, name string, command any, then func([]byte)) {
	r := proxy.Request{
		Class: class, Tenant: -1, Group: s.group, Session: name, Command: command, Responder: s,
		TimeLeftMs: s.front.Rules.Classes[class].Deadline.Seconds() * 1000,
	}
	if t, ok := s.front.Rules.Tenants[s.client.User]; ok {
		r.Tenant = t
	}
	id, ok := s.front.Core.Submit(r)
	if !ok {
		s.fail(pg.RejectionError(0))
		return
	}
	s.busy, s.request, s.then = true, id, then
}

// take takes in a whole answer and gives the rows that were asked for.
func (s *session) take(p *portal, body []byte, most int) {
	if most <= 0 {
		s.out = append(s.out, body...)
		return
	}
	for rest := body; len(rest) > 0; {
		k, _, size, err := pg.SplitMessage(rest, pg.MaxMessage)
		if err != nil || size == 0 {
			s.fail(pg.UnknownOutcomeError())
			return
		}
		if k == pg.MsgDataRow {
			p.rows = append(p.rows, rest[:size])
		} else {
			p.last = rest[:size]
		}
		rest = rest[size:]
	}
	if !s.keep(len(body)) {
		p.rows, p.last = nil, nil
		s.fail(errTooMuch)
		return
	}
	p.size += len(body)
	s.rows(p, most)
}

// rows gives up to so many rows of an answer that is kept here; the portal is suspended while some are left.
func (s *session) rows(p *portal, most int) {
	n := len(p.rows)
	if most > 0 {
		n = min(n, most)
	}
	for _, row := range p.rows[:n] {
		s.out = append(s.out, row...)
	}
	p.rows = p.rows[n:]
	if len(p.rows) > 0 {
		s.out = pg.AppendMessage(s.out, pg.MsgSuspended)
		return
	}
	s.out = append(s.out, p.last...)
	p.last = nil
}

func (s *session) command(st *statement) {
	if f := st.command(); f.State != "" {
		s.fail(f)
		return
	}
	s.out = pg.AppendStrings(s.out, pg.MsgComplete, st.tag)
	s.ready()
}

// ready ends a simple query.
func (s *session) ready() {
	if s.simple {
		s.out = pg.AppendReadyForQuery(s.out)
		s.flush()
	}
}

func (s *session) query(f *pg.FieldReader) bool {
	text := f.Text()
	if !f.End() {
		return false
	}
	s.dropStatement("") // as the specification has it
	s.dropPortal("")
	st, refusal := s.prepare(text)
	switch {
	case refusal != nil:
		s.fail(*refusal)
	case st.command != nil:
		s.command(st)
	case st.rule != nil:
		s.limited = false
		s.run(st.rule, st, nil, queryCommand(text), func(body []byte) {
			s.out = append(s.out, body...)
			s.ready()
		})
	case s.front.Ready():
		s.out = pg.AppendMessage(s.out, pg.MsgEmptyQuery)
		s.ready()
	default:
		s.fail(pg.ErrorResponse{State: pg.StateCannotConnectNow, Text: "no database host can be reached"})
	}
	return true
}

// BeginStream takes a large answer as it comes, where its rows are not kept here for a portal.
func (s *session) BeginStream(resume func()) bool {
	if s.limited {
		return false
	}
	s.resume = resume
	return true
}

// StreamPart passes on as much as the client has room for, after what stands before it in the pipeline.
func (s *session) StreamPart(p []byte) int {
	if !s.busy {
		return 0
	}
	s.flush()
	return s.client.SendPart(p)
}

// Flushed goes on with a large answer.
func (s *session) Flushed() {
	if s.resume != nil {
		s.resume()
	}
}

// AbortStream ends the connection: an error in the middle of a row could not be told from the row.
func (s *session) AbortStream() {
	s.busy, s.resume = false, nil
	s.client.Abort()
}

// Cancel calls off the statement in hand. Whether it has run is not known.
func (s *session) Cancel() {
	s.front.Core.CancelRequest(s.request)
	if s.resume != nil {
		s.AbortStream()
		return
	}
	s.Fail(pg.ErrorResponse{State: pg.StateCanceled, Text: "called off by the client; the statement may have run"}.Append(nil))
}

// Succeed goes on with a host's answer.
func (s *session) Succeed(body []byte) {
	s.busy, s.resume = false, nil
	s.then(body)
	s.flush()
	s.client.Resume()
}

// Reject says that trying again is harmless.
func (s *session) Reject(afterMs float64) { s.Fail(pg.RejectionError(afterMs).Append(nil)) }

// Fail passes a host's error on, or says that nothing is known.
func (s *session) Fail(body []byte) {
	if body == nil {
		body = pg.UnknownOutcomeError().Append(nil)
	}
	s.busy = false
	s.failed(body)
	s.client.Resume()
}
