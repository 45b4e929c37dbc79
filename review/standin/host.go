package standin

import (
	"errors"
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

// reportPeriod is how often a host refreshes the report that a probe gets. The accounts of both deployments name 44 to 250 ms
// and 72 to 220 ms.
const reportPeriod = 75 * time.Millisecond

// Behaviour is how a host acts. Its functions may be called at the same time from several connections.
type Behaviour struct {
	// GreetAfter returns how long a new connection takes to come up.
	GreetAfter func() time.Duration
	// Work returns how long the host works on a statement.
	Work func(Statement) time.Duration
	// Value returns the value of the row that answers a statement.
	Value func(Statement) []byte
	// Position returns the time up to which the host has applied the log.
	Position func(at time.Time) time.Time
	// Repeat says that the host sends the answer to a statement a second time right after, when nothing else waits on the
	// connection. Repeated is called when it has done so; waits says that a statement had arrived by then, which may have
	// been sent before the copy came. nil: no answer is sent twice.
	Repeat   func(Statement) bool
	Repeated func(s Statement, waits bool)
	// SentBeforeCopy is called for the statement that may have been sent before the copy came.
	SentBeforeCopy func(Statement)
	// StampedAnswers says that every answer tells the position; otherwise only a write tells its commit.
	StampedAnswers bool
	// TooFarBehind says that the host is too far behind for a read: it then waits for 50 ms and turns the read away. nil: it
	// answers from what it has, however old.
	TooFarBehind func(Statement) bool
	// CloseAfter says that the host closes a connection after its answer, as it may after each statement that is not empty.
	CloseAfter bool
	// Arrived is called when the last byte of a statement has arrived, with the host's position at that time.
	Arrived func(Statement, time.Time)
	// Ran is called when a statement has run.
	Ran func(Statement)
}

// Host is a database host.
type Host struct {
	ID, Zone string
	Group    int
	Behaviour
	listener *stubserver.Listener

	mutex     sync.Mutex
	primary   bool
	report    string
	refreshed time.Time
}

// Statement is a request that a host has received.
type Statement struct {
	Host  *Host
	Text  string
	ID    string
	Class string
	Write bool
}

// Open starts to listen on a free port.
func (h *Host) Open() error {
	h.listener = stubserver.NewListener(h.serve)
	return h.listener.Open()
}

// Address returns the address that the host listens on.
func (h *Host) Address() string { return h.listener.Address() }

// Primary reports whether the host is the primary.
func (h *Host) Primary() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.primary
}

// SetPrimary makes the host the primary or a replica.
func (h *Host) SetPrimary(primary bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.primary = primary
}

// connection is one connection of a gateway to a host.
type connection struct {
	host *Host
	conn net.Conn
	out  []byte

	ambiguous bool // the next statement may have been sent before the copy of the last answer came
}

// serve serves one connection until it ends.
func (h *Host) serve(conn net.Conn) {
	time.Sleep(h.GreetAfter())
	greeting, err := stubserver.AcceptStartup(conn)
	if err != nil {
		return
	}
	c := &connection{host: h, conn: conn, out: greeting}
	if !c.ready(time.Time{}) {
		return
	}
	for {
		messageType, body, err := stubserver.ReadMessage(conn, maxMessageBody)
		if err != nil || messageType != pg.MsgQuery {
			return
		}
		if text := strings.TrimSuffix(string(body), "\x00"); !c.query(text) || h.CloseAfter && text != "" {
			return
		}
	}
}

// ready sends what was collected, with the role, the position unless it is zero, and ReadyForQuery.
func (c *connection) ready(position time.Time) bool {
	c.status(position)
	return c.finish()
}

// status appends the role, and the position unless it is zero.
func (c *connection) status(position time.Time) {
	role := "follower"
	if c.host.Primary() {
		role = "leader"
	}
	c.out = pg.AppendStrings(c.out, pg.MsgParameterStatus, "node_role", role)
	if !position.IsZero() {
		c.out = pg.AppendStrings(c.out, pg.MsgParameterStatus, "replay_position", strconv.FormatInt(position.UnixMilli(), 10))
	}
}

// finish appends ReadyForQuery and sends what was collected.
func (c *connection) finish() bool {
	c.out = pg.AppendReadyForQuery(c.out)
	_, err := c.conn.Write(c.out)
	c.out = nil
	return err == nil
}

// fail answers with an error.
func (c *connection) fail(sqlstate string) bool {
	c.out = pg.ErrorResponse{SQLState: sqlstate, Message: "stand-in"}.AppendTo(c.out)
	return c.ready(c.stamp())
}

// stamp returns the position that an answer tells, or zero.
func (c *connection) stamp() time.Time {
	if c.host.StampedAnswers {
		return c.host.Position(time.Now())
	}
	return time.Time{}
}

// row appends a result with one row.
func (c *connection) row(value []byte, tag string) {
	c.out = stubserver.AppendColumnDescription(c.out)
	body := []byte{0, 1, byte(len(value) >> 24), byte(len(value) >> 16), byte(len(value) >> 8), byte(len(value))}
	c.out = pg.AppendMessage(c.out, pg.MsgDataRow, append(body, value...)...)
	c.out = pg.AppendStrings(c.out, pg.MsgCommandComplete, tag)
}

var form = regexp.MustCompile(`^(SELECT v FROM records WHERE k = '[^']+'|INSERT INTO records \(k, v\) VALUES \('[^']+', '\\x[0-9a-f]*'\) ` +
	`RETURNING v) /\* id=([^,]+),c=([^,]+),(?:[^*]*,)?d=[0-9]+`)

// query answers one statement. It returns false if the connection ends.
func (c *connection) query(text string) bool {
	switch text {
	case "":
		c.out = pg.AppendMessage(c.out, pg.MsgEmptyQueryResponse)
		return c.ready(time.Time{})
	case "SHOW server_load":
		c.row([]byte(c.host.loadReport()), "SHOW")
		return c.ready(time.Time{})
	case "SELECT 1":
		c.row([]byte("1"), "SELECT 1")
		return c.ready(time.Time{})
	}
	match := form.FindStringSubmatch(text)
	if match == nil {
		return c.fail(pg.StateProtocol)
	}
	statement := Statement{
		Host: c.host, Text: text, ID: match[2], Class: match[3], Write: strings.HasPrefix(text, "INSERT"),
	}
	if c.ambiguous {
		c.host.SentBeforeCopy(statement)
		return false
	}
	return c.request(statement)
}

// request answers a request. It returns false if the connection ends.
func (c *connection) request(statement Statement) bool {
	c.host.Arrived(statement, c.host.Position(time.Now()))
	if statement.Write && !c.host.Primary() {
		return c.fail(stubserver.StateReadOnly)
	}
	if !statement.Write && c.host.TooFarBehind != nil && c.host.TooFarBehind(statement) {
		time.Sleep(50 * time.Millisecond)
		if c.host.TooFarBehind(statement) {
			return c.fail("72000")
		}
	}
	time.Sleep(c.host.Work(statement))
	if statement.Write && !c.host.Primary() {
		return c.fail("XX000") // it has lost its role while it held the write
	}
	c.host.Ran(statement)
	tag, position := "SELECT 1", c.stamp()
	if statement.Write {
		tag, position = "INSERT 0 1", time.Now().Add(time.Millisecond) // the commit, rounded up
	}
	c.status(position) // at the beginning of the answer
	c.row(c.host.Value(statement), tag)
	if c.host.Repeat == nil {
		return c.finish()
	}
	again := append([]byte(nil), c.out...)
	if !c.finish() {
		return false
	}
	if !c.host.Repeat(statement) || c.waits() {
		return true
	}
	c.out = again
	if !c.finish() {
		return false
	}
	c.ambiguous = c.waits()
	c.host.Repeated(statement, c.ambiguous)
	return true
}

// waits reports whether bytes of the gateway wait on the connection.
func (c *connection) waits() bool {
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	size := 0
	_ = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		size, _, err = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return size > 0 || !errors.Is(err, unix.EAGAIN)
}

// loadReport returns the report, which is refreshed every reportPeriod.
func (h *Host) loadReport() string {
	now := time.Now()
	position, primary := h.Position(now), 0
	if h.Primary() {
		primary = 1
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if now.Sub(h.refreshed) >= reportPeriod {
		h.refreshed = now
		h.report = fmt.Sprintf("x0=%.3f,x1=%d", float64(position.UnixMilli())/1000, primary)
	}
	return h.report
}
