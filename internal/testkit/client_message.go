package testkit

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

// messageText is a client's message as scenarios write it, divided into its kind and its arguments.
type messageText struct {
	kind      string
	rest      string   // everything after the kind
	arguments []string // the words of rest; "-" stands for an empty name
}

func parseMessageText(text string) messageText {
	kind, rest, _ := strings.Cut(text, " ")
	return messageText{kind: kind, rest: rest, arguments: strings.Fields(rest)}
}

// argument returns the argument at an index. It returns an empty string if the argument is missing or "-".
func (m *messageText) argument(i int) string {
	if i < len(m.arguments) && m.arguments[i] != "-" {
		return m.arguments[i]
	}
	return ""
}

// EncodeMessage appends a client's message, which is written as in scenarios:
//
//	startup [DATABASE]                      for the user svc; the default database is main
//	query SQL
//	parse STATEMENT[:OID,...] SQL           the OIDs are the types of the parameters
//	bind PORTAL STATEMENT [VALUES...]       NULL is the null value; int4:NUMBER is in binary format
//	describe KIND NAME                      KIND is S for a statement, P for a portal
//	execute PORTAL [ROW_LIMIT]
//	close KIND NAME                         KIND as for describe
//	sync, flush, terminate
//	raw HEX...                              the bytes of the hex digits, without framing
//
// A "-" stands for an empty name. EncodeMessage returns an error if the kind is unknown or if hex digits are invalid.
func EncodeMessage(out []byte, text string) ([]byte, error) {
	message := parseMessageText(text)
	switch message.kind {
	case "startup":
		return message.appendStartup(out), nil
	case "raw":
		raw, err := hex.DecodeString(strings.Join(message.arguments, ""))
		return append(out, raw...), err
	case "query":
		return pg.AppendStrings(out, pg.MsgQuery, message.rest), nil
	case "parse":
		return message.appendParse(out), nil
	case "bind":
		return message.appendBind(out), nil
	case "execute":
		return message.appendExecute(out), nil
	case "describe":
		return pg.AppendStrings(out, pg.MsgDescribe, message.argument(0)+message.argument(1)), nil
	case "close":
		return pg.AppendStrings(out, pg.MsgClose, message.argument(0)+message.argument(1)), nil
	case "sync":
		return pg.AppendMessage(out, pg.MsgSync), nil
	case "flush":
		return pg.AppendMessage(out, pg.MsgFlush), nil
	case "terminate":
		return pg.AppendMessage(out, pg.MsgTerminate), nil
	}
	return nil, fmt.Errorf("unknown message kind %q", message.kind)
}

// appendStartup appends the startup message of the user svc. Its argument is the database; the default is main.
func (m *messageText) appendStartup(out []byte) []byte {
	database := "main"
	if m.argument(0) != "" {
		database = m.argument(0)
	}
	out, mark := pg.BeginMessage(out, 0)
	out = binary.BigEndian.AppendUint32(out, pg.Version3)
	for _, text := range []string{"user", "svc", "database", database, ""} {
		out = append(append(out, text...), 0)
	}
	return pg.EndMessage(out, mark)
}

// appendParse appends a Parse with the statement's name, its text and the given types of its parameters.
func (m *messageText) appendParse(out []byte) []byte {
	_, sql, _ := strings.Cut(m.rest, " ")
	name, typeOIDs, typed := strings.Cut(m.argument(0), ":")
	out, mark := pg.BeginMessage(out, pg.MsgParse)
	out = append(out, name+"\x00"+sql+"\x00"...)
	if !typed {
		return pg.EndMessage(append(out, 0, 0), mark)
	}
	oids := strings.Split(strings.TrimSuffix(typeOIDs, ","), ",")
	out = binary.BigEndian.AppendUint16(out, uint16(len(oids)))
	for _, text := range oids {
		oid, _ := strconv.Atoi(text)
		out = binary.BigEndian.AppendUint32(out, uint32(oid))
	}
	return pg.EndMessage(out, mark)
}

// binaryInt4Prefix begins a value that a Bind has in binary format.
const binaryInt4Prefix = "int4:"

// appendBind appends a Bind with the portal, the statement and the values.
func (m *messageText) appendBind(out []byte) []byte {
	out, mark := pg.BeginMessage(out, pg.MsgBind)
	out = append(out, m.argument(0)+"\x00"+m.argument(1)+"\x00"...)
	values := m.arguments[min(2, len(m.arguments)):]
	out = appendFormats(out, values)
	out = binary.BigEndian.AppendUint16(out, uint16(len(values)))
	for _, value := range values {
		out = appendValue(out, value)
	}
	return pg.EndMessage(append(out, 0, 0), mark)
}

// appendFormats appends the format codes of the values of a Bind, or none if all are text.
func appendFormats(out []byte, values []string) []byte {
	isBinary := func(value string) bool { return strings.HasPrefix(value, binaryInt4Prefix) }
	if !slices.ContainsFunc(values, isBinary) {
		return append(out, 0, 0)
	}
	out = binary.BigEndian.AppendUint16(out, uint16(len(values)))
	for _, value := range values {
		format := byte(0)
		if isBinary(value) {
			format = 1
		}
		out = append(out, 0, format)
	}
	return out
}

// appendValue appends a value of a Bind with its length.
func appendValue(out []byte, value string) []byte {
	if value == "NULL" {
		return append(out, 255, 255, 255, 255)
	}
	if number, ok := strings.CutPrefix(value, binaryInt4Prefix); ok {
		int4, _ := strconv.Atoi(number)
		value = string(binary.BigEndian.AppendUint32(nil, uint32(int32(int4))))
	}
	return append(binary.BigEndian.AppendUint32(out, uint32(len(value))), value...)
}

// appendExecute appends an Execute with the portal and the row limit. The default limit 0 means no limit.
func (m *messageText) appendExecute(out []byte) []byte {
	rowLimit, _ := strconv.Atoi(m.argument(1))
	out, mark := pg.BeginMessage(out, pg.MsgExecute)
	out = append(out, m.argument(0)+"\x00"...)
	return pg.EndMessage(binary.BigEndian.AppendUint32(out, uint32(rowLimit)), mark)
}

// backendKeyPrefix is the prefix of a BackendKeyData in the name that ReadAnswer returns. The body in hex follows.
const backendKeyPrefix = "K:"

// ReadAnswer reads one message of the gateway and names it as scenarios do. It skips messages of the types ParameterStatus
// and NoticeResponse. At the end of the connection it returns io.EOF, or io.ErrUnexpectedEOF in the middle of a message.
func ReadAnswer(r io.Reader) (string, error) {
	for {
		messageType, body, err := stubserver.ReadMessage(r, maxMessageBody)
		if err != nil {
			return "", err
		}
		fields := pg.NewFieldReader(body)
		switch messageType {
		case pg.MsgParameterStatus, pg.MsgNoticeResponse:
			continue
		case pg.MsgBackendKeyData:
			return backendKeyPrefix + hex.EncodeToString(body), nil
		case pg.MsgCommandComplete:
			return "C:" + strings.ReplaceAll(fields.Text(), " ", "_"), nil
		case pg.MsgDataRow:
			fields.Int16()
			return "D:" + string(fields.Value()), nil
		case pg.MsgErrorResponse:
			return errorName(fields), nil
		}
		return string(messageType), nil
	}
}

// errorName returns the name of an ErrorResponse, which consists of its SQLSTATE and, if it has one, its detail.
func errorName(fields *pg.FieldReader) string {
	parts := map[byte]string{}
	for part := fields.Byte(); part != 0; part = fields.Byte() {
		parts[part] = fields.Text()
	}
	if parts['D'] != "" {
		return "E:" + parts['C'] + ":" + parts['D']
	}
	return "E:" + parts['C']
}
