package main

import (
	"encoding/binary"
	"net"
	"strconv"
	"strings"
	"time"

	"merlinjunction/internal/protocol/pg"
)

// Layouts of the extended query protocol.
const (
	binaryFormat = 1
	int4Size     = 4
	int4TypeOID  = 23
	textTypeOID  = 25
)

// extendedUnit is the unnamed statement of a connection to a host, with the parameters that were bound last.
type extendedUnit struct {
	host       *host
	text       string
	parameters []string // as text, whatever the format was
	out        []byte
}

// handle handles a message of the extended query protocol. It returns false if the connection has ended.
func (u *extendedUnit) handle(conn net.Conn, messageType byte, body []byte) bool {
	switch messageType {
	case pg.MsgParse:
		fields := pg.NewFieldReader(body)
		fields.Text()
		u.text = fields.Text()
		u.out = pg.AppendMessage(u.out, pg.MsgParseComplete)
	case pg.MsgBind:
		u.bind(body)
		u.out = pg.AppendMessage(u.out, pg.MsgBindComplete)
	case pg.MsgExecute:
		u.execute()
	case pg.MsgSync:
		out := pg.AppendReadyForQuery(u.out)
		u.out = nil
		_, err := conn.Write(out)
		return err == nil
	default:
		return false
	}
	return true
}

// bind reads the parameters. A binary one is an int4, as the statements' first parameter is.
func (u *extendedUnit) bind(body []byte) {
	fields := pg.NewFieldReader(body)
	fields.Text()
	fields.Text()
	var formats []int
	for range fields.Int16() {
		formats = append(formats, fields.Int16())
	}
	u.parameters = nil
	for i := range fields.Int16() {
		value, format := fields.Value(), 0
		switch {
		case len(formats) == 1:
			format = formats[0]
		case i < len(formats):
			format = formats[i]
		}
		if format == binaryFormat && len(value) == int4Size {
			u.parameters = append(u.parameters, strconv.Itoa(int(int32(binary.BigEndian.Uint32(value)))))
			continue
		}
		u.parameters = append(u.parameters, string(value))
	}
}

// execute runs the statement: INSERT INTO setpoints has a greenhouse, a key and a value, SELECT has a greenhouse.
func (u *extendedUnit) execute() {
	h := u.host
	isWrite := strings.HasPrefix(u.text, "INSERT")
	r := run{key: u.parameters[0], class: "read", atMs: nowMs(), outcome: "served"}
	if isWrite {
		r.class = "write"
	}
	if s := h.now(); isWrite && !s.leads {
		r.outcome, r.positionMs = "25006", s.positionMs
		h.note(r)
		u.out = h.appendStatus(pg.ErrorResponse{SQLState: "25006", Message: "this host is a replica"}.AppendTo(u.out), s)
		return
	}
	time.Sleep(time.Duration(h.workMs * float64(time.Millisecond)))
	s := h.now()
	r.leads = s.leads
	value, tag := "", "SELECT 1"
	if isWrite {
		value, tag = u.parameters[2], "INSERT 0 1"
		s.positionMs, _ = h.cluster.write(r.key, value, u.parameters[1])
	} else {
		value = h.cluster.read(r.key, s.positionMs)
	}
	r.positionMs = s.positionMs
	h.note(r)
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	u.out = pg.AppendMessage(u.out, pg.MsgDataRow, append(row, value...)...)
	u.out = h.appendStatus(pg.AppendStrings(u.out, pg.MsgCommandComplete, tag), s)
}

// parameter is a parameter of a statement as a client binds it.
type parameter struct {
	value  []byte
	format uint16
	typeID uint32
}

func textParameter(value string) parameter { return parameter{[]byte(value), 0, textTypeOID} }

// numberParameter returns an int4 in text or binary format.
func numberParameter(value int, inBinary bool) parameter {
	if inBinary {
		return parameter{binary.BigEndian.AppendUint32(nil, uint32(value)), binaryFormat, int4TypeOID}
	}
	return parameter{[]byte(strconv.Itoa(value)), 0, int4TypeOID}
}

// execute runs a statement with the extended query protocol and reads its answer.
func (c *client) execute(text string, patience time.Duration, parameters ...parameter) (answer, error) {
	count := uint16(len(parameters))
	parse := append(append([]byte{0}, text...), 0)
	parse = binary.BigEndian.AppendUint16(parse, count)
	bind := binary.BigEndian.AppendUint16([]byte{0, 0}, count)
	values := binary.BigEndian.AppendUint16(nil, count)
	for _, p := range parameters {
		parse = binary.BigEndian.AppendUint32(parse, p.typeID)
		bind = binary.BigEndian.AppendUint16(bind, p.format)
		values = append(binary.BigEndian.AppendUint32(values, uint32(len(p.value))), p.value...)
	}
	bind = append(append(bind, values...), 0, 0) // the results in text
	out := pg.AppendMessage(nil, pg.MsgParse, parse...)
	out = pg.AppendMessage(out, pg.MsgBind, bind...)
	out = pg.AppendMessage(out, pg.MsgExecute, 0, 0, 0, 0, 0)
	out = pg.AppendMessage(out, pg.MsgSync)
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	if _, err := c.conn.Write(out); err != nil {
		return answer{}, err
	}
	return c.readAnswer()
}
