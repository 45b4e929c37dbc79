package pg

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"strings"
)

// Version3 is the version of the protocol in a startup message: major version 3, minor version 0.
const Version3 = 3 << 16

// Request codes, sent in place of the protocol version of a startup message.
const (
	codeCancel = 80877102
	codeSSL    = 80877103
	codeGSS    = 80877104
)

const (
	startupHeaderSize = 8 // length field, and protocol version or request code
	maxStartupBytes   = 10_000
	// maxStartupParameters bounds the work for one startup message. Drivers send fewer than twenty.
	maxStartupParameters = 128
	cancelBodySize       = 8 // process ID and secret key
	majorVersion         = 3
	minorVersionMask     = 0xffff

	authenticationOK     = 0
	encryptionRejected   = 'N' // the answer to an SSLRequest or GSSENCRequest
	serverVersion        = "16.0 (merlinjunction)"
	protocolOptionPrefix = "_pq_."
)

// startupMessage holds the fields of a client's startup message that the gateway uses.
type startupMessage struct {
	user, database string
	minorVersion   uint32
	unknownOptions []string // protocol options that the gateway doesn't support
}

// processStartup processes a startup message, or an SSLRequest, GSSENCRequest or CancelRequest sent in its place. It
// returns false if the message is incomplete or the connection is being closed.
func (c *Client) processStartup() bool {
	input := c.conn.In()
	if len(input) < startupHeaderSize {
		return false
	}
	length, code := binary.BigEndian.Uint32(input), binary.BigEndian.Uint32(input[4:])
	if length < startupHeaderSize || length > maxStartupBytes {
		c.Fatal(StateProtocol, "the startup message has an impossible length")
		return false
	}
	size := int(length)
	if len(input) < size {
		return false
	}
	body := input[startupHeaderSize:size]
	switch {
	case code == codeSSL || code == codeGSS:
		c.Send([]byte{encryptionRejected})
		c.conn.Consume(size)
		return true
	case code == codeCancel: // a CancelRequest gets no answer, whether or not it has an effect
		if len(body) == cancelBodySize {
			c.pool.cancel(binary.BigEndian.Uint64(body))
		}
		c.close()
		return false
	case code>>16 != majorVersion:
		c.Fatal(StateNotSupported, "only version 3 of the protocol is spoken here")
		return false
	}
	startup, err := parseStartup(body, code&minorVersionMask)
	if err != nil {
		c.Fatal(StateProtocol, err.Error())
		return false
	}
	c.conn.Consume(size)
	c.startSession(startup)
	return !c.closing
}

// startSession creates a client's session and answers its startup message. The new session may close the connection at
// once.
func (c *Client) startSession(startup *startupMessage) {
	c.User, c.Database = startup.user, startup.database
	c.cancelKey = rand.Uint64()
	c.session = c.pool.NewSession(c)
	c.User, c.Database = "", ""
	c.Send(startup.response(c.cancelKey))
}

// parseStartup parses the parameters of a startup message.
func parseStartup(body []byte, minorVersion uint32) (*startupMessage, error) {
	startup := &startupMessage{minorVersion: minorVersion}
	if bytes.Count(body, []byte{0}) > 2*maxStartupParameters+1 { // a name and a value each, and the empty name at the end
		return nil, errTooManyParameters
	}
	fields := NewFieldReader(body)
	for {
		name := fields.Text()
		if fields.Malformed {
			return nil, ErrMalformed
		}
		if name == "" {
			break
		}
		value := fields.Text()
		switch {
		case name == "user":
			startup.user = value
		case name == "database":
			startup.database = value
		case strings.HasPrefix(name, protocolOptionPrefix):
			startup.unknownOptions = append(startup.unknownOptions, name)
		}
	}
	if !fields.AtEnd() || startup.user == "" {
		return nil, ErrMalformed
	}
	if startup.database == "" {
		startup.database = startup.user
	}
	return startup, nil
}

// response returns the messages that answer a startup message, up to and including ReadyForQuery.
func (m *startupMessage) response(cancelKey uint64) []byte {
	var buf []byte
	if m.minorVersion > 0 || len(m.unknownOptions) > 0 {
		buf = m.appendNegotiation(buf)
	}
	buf = AppendMessage(buf, MsgAuthentication, 0, 0, 0, authenticationOK)
	for _, parameter := range [...]struct{ name, value string }{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"session_authorization", m.user},
		{"is_superuser", "off"},
		{"in_hot_standby", "off"}, // the gateway accepts reads and writes
		{"default_transaction_read_only", "off"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		buf = AppendStrings(buf, MsgParameterStatus, parameter.name, parameter.value)
	}
	buf = AppendMessage(buf, MsgBackendKeyData, binary.BigEndian.AppendUint64(nil, cancelKey)...)
	return AppendReadyForQuery(buf)
}

// appendNegotiation appends a NegotiateProtocolVersion message. The gateway supports minor version 0 and no protocol
// options.
func (m *startupMessage) appendNegotiation(buf []byte) []byte {
	buf, lengthOffset := BeginMessage(buf, MsgNegotiateProtocolVersion)
	buf = binary.BigEndian.AppendUint32(buf, 0)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(m.unknownOptions)))
	for _, name := range m.unknownOptions {
		buf = appendString(buf, name)
	}
	return EndMessage(buf, lengthOffset)
}
