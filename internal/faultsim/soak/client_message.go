package soak

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

// result is the gateway's answer to one request.
type result struct {
	sqlstate  string // of the error; empty: no error
	answer    string // the value of the row; empty: no row
	completed bool   // whether CommandComplete was received
}

// readResult reads messages up to ReadyForQuery. If the connection ends or times out before that, it returns an error,
// unless an ErrorResponse was read: a fatal one is not followed by ReadyForQuery.
func (c *client) readResult() (read result, err error) {
	for {
		messageType, body, err := stubserver.ReadMessage(c.conn, maxMessageBody)
		if err != nil {
			if read.sqlstate != "" {
				return read, nil
			}
			return read, fmt.Errorf("reading the gateway's answer: %w", err)
		}
		switch messageType {
		case pg.MsgReadyForQuery:
			return read, nil
		case pg.MsgCommandComplete:
			read.completed = true
		case pg.MsgDataRow:
			fields := pg.NewFieldReader(body)
			fields.Int16() // the number of columns
			read.answer = string(fields.Value())
		case pg.MsgErrorResponse:
			read.sqlstate = stubserver.ReadSQLState(body)
		}
	}
}

// record stores the result and its outcome in the request that it answers.
func (r *result) record(answered *request, at time.Time) {
	answered.answeredAt, answered.sqlstate, answered.answer = at, r.sqlstate, r.answer
	switch {
	case r.sqlstate == pg.StateTooManyConnections || r.sqlstate == pg.StateCannotConnectNow:
		answered.outcome = rejected
	case r.sqlstate != "" || !r.completed:
		answered.outcome = failed
	default:
		answered.outcome = served
	}
}

// appendRequest appends the messages of a request.
func (c *client) appendRequest(out []byte, sent *request) []byte {
	if !c.run.deployment.Extended {
		return pg.AppendStrings(out, pg.MsgQuery, c.platformQuery(sent))
	}
	if c.draw.chance(0.3) {
		return pg.AppendStrings(out, pg.MsgQuery, extendedStatement(sent, "'"+sent.session+"'", "'k"+sent.id+"'", "'"+sent.id+"'"))
	}
	return c.appendExtended(out, sent)
}

// platformQuery returns the query text of a request for the platform's frontend.
func (c *client) platformQuery(sent *request) string {
	annotation := fmt.Sprintf("/* id=%s,c=%s,d=%.0f,cluster=%d", sent.id, sent.class.Name, sent.class.DeadlineMs, sent.group)
	if sent.class.Idempotency == idempotentWithKey {
		annotation += ",k=k" + sent.id
	}
	if sent.class.isWrite() {
		return fmt.Sprintf(`INSERT INTO records (k, v) VALUES ('%s', '\x%04x') RETURNING v %s */`,
			sent.session, sent.value&0xffff, annotation)
	}
	return fmt.Sprintf("SELECT v FROM records WHERE k = '%s' %s */", sent.session, annotation)
}

// extendedStatement returns the statement text of a request for the extended frontend. session, key and id are literals
// or placeholders.
func extendedStatement(sent *request, session, key, id string) string {
	if sent.class.isWrite() {
		return fmt.Sprintf("INSERT INTO %s VALUES (%s, %s, %s)", sent.class.Name, session, key, id)
	}
	return fmt.Sprintf("SELECT v FROM %s WHERE k = %s AND id = %s", sent.class.Name, session, id)
}

// appendExtended appends the Parse, Bind, Execute and Sync messages of a request. A request of the connection's prepared
// class uses the named statement and sends Parse only if that does not exist yet.
func (c *client) appendExtended(out []byte, sent *request) []byte {
	const preparedName = "prepared"
	values := []string{sent.session, sent.id}
	if sent.class.isWrite() {
		values = []string{sent.session, "k" + sent.id, sent.id}
	}
	name := ""
	if sent.class == c.preparedClass {
		name = preparedName
	}
	if name == "" || !c.prepared {
		text := extendedStatement(sent, "$1", "$2", "$"+strconv.Itoa(len(values)))
		if !sent.class.isWrite() {
			text = extendedStatement(sent, "$1", "", "$2")
		}
		var mark int
		out, mark = pg.BeginMessage(out, pg.MsgParse)
		out = pg.EndMessage(append(append(out, name+"\x00"+text...), 0, 0, 0), mark)
		c.prepared = c.prepared || name != ""
	}
	out, mark := pg.BeginMessage(out, pg.MsgBind)
	out = append(out, "\x00"+name+"\x00\x00\x00"...)
	out = append(out, 0, byte(len(values)))
	for _, value := range values {
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(value))), value...)
	}
	out = pg.EndMessage(append(out, 0, 0), mark)
	out = pg.AppendMessage(out, pg.MsgExecute, 0, 0, 0, 0, 0)
	return pg.AppendMessage(out, pg.MsgSync)
}

// answerValue returns the value in the answer. It returns false if the row does not name this request and its session.
func (r *request) answerValue() (int, bool) {
	rest, ok := strings.CutPrefix(r.answer, fmt.Sprintf("%s|%s|", r.id, r.session))
	if !ok {
		return 0, false
	}
	value, err := strconv.Atoi(rest)
	return value, err == nil
}
