package main

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

// statementForm is the form of the platform's two statements. The operator's clients leave the comment out.
var statementForm = regexp.MustCompile(`^(?:SELECT v FROM records WHERE k = '([^']*)'|` +
	`INSERT INTO records \(k, v\) VALUES \('([^']*)', '(?:\\x)?([0-9a-zA-Z]*)'\) RETURNING v) ?(?:/\* id=([^,]*),c=([^,]*),.*cluster=([0-9]*) \*/)?$`)

var idempotencyKeyForm = regexp.MustCompile(`,k=([^,]*)[, ]`)

// host is a stand-in for a database host.
type host struct {
	id, address string
	listener    *stubserver.Listener
	cluster     *cluster
	record      *record
	workMs      float64
	quiet       bool

	// beforeBigAnswer is called with the connection and the encoded answer of a big value. It returns true if it has
	// dealt with the answer.
	beforeBigAnswer func(conn net.Conn, answer []byte) bool

	positionMs, movedMs float64 // guarded by the cluster's mutex

	mutex          sync.Mutex
	hung           chan struct{} // closed when the host goes on; nil while it doesn't hang
	toldFollowerMs float64       // when it first answered a statement as a replica after it was the primary; 0: not yet
	wasLeader      bool
	runs           []run
	bigAnswers     int // large answers that were written whole
}

// run is one statement that reached the host.
type run struct {
	id, class, key, outcome string
	cluster                 string  // the group that the request names
	atMs                    float64 // when its last byte had come
	positionMs              float64 // position of the host when it answered
	leads                   bool
	toldBeforeMs            float64 // for how long the gateway had been told then that the host is a replica; 0: it had not
}

// startHost starts a host of a group.
func startHost(rec *record, id string, group *cluster) (*host, error) {
	h := &host{id: id, cluster: group, record: rec, workMs: 30, positionMs: nowMs(), movedMs: nowMs()}
	h.listener = stubserver.NewListener(h.serve)
	if err := h.listener.Open(); err != nil {
		return nil, err
	}
	h.address = h.listener.Address()
	return h, nil
}

// stop ends the host's process: its connections are reset and new ones are refused.
func (h *host) stop() {
	h.listener.Close()
	h.record.printf("host %s has stopped", h.id)
}

// restart starts the host's process at the same address, as a member of a group.
func (h *host) restart(group *cluster) error {
	h.cluster, h.positionMs, h.movedMs = group, nowMs(), nowMs()
	h.record.printf("host %s starts again", h.id)
	return h.listener.Open()
}

// hang stops the host until the returned function is called.
func (h *host) hang() (goOn func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.hung = make(chan struct{})
	h.record.printf("host %s hangs", h.id)
	return func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		close(h.hung)
		h.hung = nil
		h.record.printf("host %s goes on", h.id)
	}
}

// awaitEndOfHang returns once the host doesn't hang.
func (h *host) awaitEndOfHang() {
	h.mutex.Lock()
	hung := h.hung
	h.mutex.Unlock()
	if hung != nil {
		<-hung
	}
}

func (h *host) serve(conn net.Conn) {
	h.awaitEndOfHang()
	welcome, err := stubserver.AcceptStartup(conn)
	if err != nil {
		return
	}
	h.awaitEndOfHang()
	if _, err := conn.Write(pg.AppendReadyForQuery(h.appendStatus(welcome, h.now()))); err != nil {
		return
	}
	unit := extendedUnit{host: h}
	for {
		messageType, body, err := stubserver.ReadMessage(conn, 1<<20)
		if err != nil {
			return
		}
		h.awaitEndOfHang()
		if hasLeft(conn) {
			return
		}
		if messageType != pg.MsgQuery {
			if !unit.handle(conn, messageType, body) {
				return
			}
			continue
		}
		text := pg.NewFieldReader(body).Text()
		if !h.answer(conn, text) {
			return
		}
	}
}

// hasLeft reports whether the gateway has closed a connection. A host doesn't begin what nobody waits for any more.
func hasLeft(conn net.Conn) (left bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		size, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = size == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN)
	})
	return left || err != nil
}

// standing is what a host says about itself in an answer.
type standing struct {
	positionMs float64
	leads      bool
}

func (h *host) now() standing {
	position, leads := h.cluster.position(h)
	return standing{position, leads}
}

// appendStatus appends the parameters that stand before ReadyForQuery.
func (h *host) appendStatus(out []byte, s standing) []byte {
	role := "follower"
	if s.leads {
		role = "leader"
	}
	out = pg.AppendStrings(out, pg.MsgParameterStatus, "node_role", role)
	return pg.AppendStrings(out, pg.MsgParameterStatus, "replay_position", fmt.Sprintf("%.0f", math.Floor(s.positionMs)))
}

// answer answers one query. It returns false if the connection has ended.
func (h *host) answer(conn net.Conn, text string) bool {
	var out []byte
	switch text {
	case "":
		out = h.appendStatus(pg.AppendMessage(nil, pg.MsgEmptyQueryResponse), h.now())
	case "SHOW server_load":
		s, leads := h.now(), 0
		if s.leads {
			leads = 1
		}
		out = appendResult(nil, []byte(fmt.Sprintf("x0=%.4f,x1=%d", s.positionMs/1000, leads)), "SHOW")
		out = h.appendStatus(out, s)
	default:
		return h.answerStatement(conn, text)
	}
	_, err := conn.Write(pg.AppendReadyForQuery(out))
	return err == nil
}

// answerStatement runs a statement of a client.
func (h *host) answerStatement(conn net.Conn, text string) bool {
	parts := statementForm.FindStringSubmatch(text)
	if parts == nil {
		h.record.printf("host %s got an unknown statement %q", h.id, text)
		_, err := conn.Write(pg.AppendReadyForQuery(pg.ErrorResponse{SQLState: "08P01", Message: "unknown form"}.AppendTo(nil)))
		return err == nil
	}
	r := run{id: parts[4], class: parts[5], cluster: parts[6], key: parts[1], atMs: nowMs()}
	h.mutex.Lock()
	if h.toldFollowerMs > 0 {
		r.toldBeforeMs = r.atMs - h.toldFollowerMs
	}
	h.mutex.Unlock()
	isWrite := r.key == ""
	if isWrite {
		r.key = parts[2]
	}
	var out []byte
	if s := h.now(); isWrite && !s.leads {
		r.outcome, r.positionMs = "25006", s.positionMs
		rejection := pg.ErrorResponse{SQLState: "25006", Message: "this host is a replica"}
		out = h.appendStatus(rejection.AppendTo(nil), s)
	} else {
		time.Sleep(time.Duration(h.workMs * float64(time.Millisecond)))
		h.awaitEndOfHang()
		out = h.execute(&r, isWrite, parts[3], text)
	}
	h.note(r)
	out = pg.AppendReadyForQuery(out)
	if len(out) > 64<<10 && h.beforeBigAnswer != nil && h.beforeBigAnswer(conn, out) {
		return false
	}
	h.awaitEndOfHang()
	if hasLeft(conn) {
		return false
	}
	_, err := conn.Write(out)
	if len(out) > 64<<10 {
		h.countBig(err)
		h.record.printf("host %s has written the whole answer of %d bytes to %s, error %v", h.id, len(out), r.id, err)
	}
	h.noteTold(r, err)
	return err == nil
}

// execute runs a statement that the host takes and returns its answer without ReadyForQuery.
func (h *host) execute(r *run, isWrite bool, value, text string) []byte {
	s := h.now()
	r.leads, r.positionMs, r.outcome = s.leads, s.positionMs, "served"
	if !isWrite {
		stored := h.cluster.read(r.key, s.positionMs)
		if size, isBig := strings.CutPrefix(r.key, "big-"); isBig { // the key says how large its value is
			count, _ := strconv.Atoi(size)
			stored = strings.Repeat(".", count)
		}
		return h.appendStatus(appendResult(nil, []byte(stored), "SELECT 1"), s)
	}
	idempotencyKey := ""
	if match := idempotencyKeyForm.FindStringSubmatch(text); match != nil {
		idempotencyKey = match[1]
	}
	if !s.leads { // it has lost its role while it held the write
		r.outcome = "XX000"
		return h.appendStatus(pg.ErrorResponse{SQLState: "XX000", Message: "the role is lost"}.AppendTo(nil), s)
	}
	decoded, _ := hex.DecodeString(value)
	position, repeated := h.cluster.write(r.key, string(decoded), idempotencyKey)
	s.positionMs, r.positionMs = position, position
	if repeated {
		r.outcome = "repeat dropped"
	}
	return h.appendStatus(appendResult(nil, decoded, "INSERT 0 1"), s)
}

// note records a statement that has run or was turned away.
func (h *host) note(r run) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.wasLeader = h.wasLeader || r.leads
	h.runs = append(h.runs, r)
	if !h.quiet {
		h.record.printf("host %s got %s at %.3f, class %s key %s: %s, leads=%v position %.0f ms ago", h.id, r.id,
			(r.atMs-float64(started.UnixMicro())/1000)/1000, r.class, r.key, r.outcome, r.leads, nowMs()-r.positionMs)
	}
}

// countBig counts a large answer that was written whole.
func (h *host) countBig(err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err == nil {
		h.bigAnswers++
	}
}

// bigAnswerCount returns how many large answers were written whole so far.
func (h *host) bigAnswerCount() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.bigAnswers
}

// noteTold records when the host first told that it is a replica, after it was the primary.
func (h *host) noteTold(r run, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err == nil && h.wasLeader && !r.leads && h.toldFollowerMs == 0 && r.outcome != "XX000" {
		h.toldFollowerMs = nowMs()
		h.record.printf("host %s has told the gateway that it is a replica, in its answer to %s", h.id, r.id)
	}
}

// runsSince returns the statements that reached the host after a time.
func (h *host) runsSince(ms float64) (late []run) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, r := range h.runs {
		if r.atMs > ms {
			late = append(late, r)
		}
	}
	return late
}

// appendResult appends a row of one column and its CommandComplete.
func appendResult(out, value []byte, tag string) []byte {
	out = stubserver.AppendColumnDescription(out)
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	out = pg.AppendMessage(out, pg.MsgDataRow, append(row, value...)...)
	return pg.AppendStrings(out, pg.MsgCommandComplete, tag)
}
