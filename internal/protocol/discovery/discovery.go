// Package discovery follows the host list over HTTP/1.1: the whole list once, then one watch after another.
package discovery

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"merlinjunction/fleet"
	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

const (
	maxAnswer = 4 << 20
	maxHead   = 16 << 10
)

// Document is the list, or changes of it, as it is written.
type Document struct {
	Revision int64 `json:"revision"`
	Complete bool  `json:"complete"`
	Members  []struct {
		ID        string  `json:"id"`
		HostPort  string  `json:"host_port"`
		Locality  string  `json:"locality"`
		Cell      int     `json:"cell"`
		Phase     string  `json:"phase"`
		Role      string  `json:"role"`
		UpSinceMs float64 `json:"up_since_ms"`
	} `json:"members"`
}

var phases = map[string]routing.EndpointState{"active": routing.StateReady, "leaving": routing.StateDraining, "left": routing.StateGone}

// Hosts turns the entries into the core's. The error names the first one that can't be used; all others are returned.
func (d *Document) Hosts() (hosts []proxy.Host, bad error) {
	for _, m := range d.Members {
		phase, known := phases[m.Phase]
		_, noAddr := netip.ParseAddrPort(m.HostPort)
		var err error
		switch {
		case m.ID == "":
			err = fmt.Errorf("host list: the entry with host_port %q has no id", m.HostPort)
		case !known:
			err = fmt.Errorf("host list: entry %q: unknown phase %q", m.ID, m.Phase)
		case noAddr != nil && phase == routing.StateReady: // one that is to be left alone needs none
			err = fmt.Errorf("host list: entry %q: host_port %q is no address and port", m.ID, m.HostPort)
		case !(m.UpSinceMs >= 0 && m.UpSinceMs < math.MaxInt64/1e6):
			err = fmt.Errorf("host list: entry %q: up_since_ms is out of range", m.ID)
		}
		if err != nil {
			bad = cmp.Or(bad, err)
			continue
		}
		hosts = append(hosts, proxy.Host{Address: m.HostPort, Endpoint: routing.Endpoint{
			ID: m.ID, Group: m.Cell, Zone: m.Locality, Primary: m.Role == "leader", State: phase,
			StartedAt: time.Duration(m.UpSinceMs*1000) * time.Microsecond,
		}})
	}
	return hosts, bad
}

// UpdateFunc takes in the whole list, or changes of it, that count as told since some time.
type UpdateFunc func(full bool, hosts []proxy.Host, told float64)

// Watcher keeps asking.
type Watcher struct {
	loop    *eventloop.Loop
	log     *zap.Logger
	addr    string
	news    UpdateFunc
	rng     *rand.Rand
	calls   fleet.PollPolicy // when to call
	conn    *eventloop.Conn
	timer   *eventloop.Timer
	moving  *eventloop.Timer // to another address
	firstAt float64          // when the first call is made
	askedAt float64          // and the last one was
	since   int64            // the version that is held; None: none
	lines   bool             // an answer is awaited
	bad     string           // what was wrong with the last bad list, logged once
}

// None is the version of a list that is not there.
const NoRevision = -1

// Config is what a Watcher knows of its kind.
type Config struct {
	GatewayCount  int     // how many gateways there are
	GatewayNumber int     // which of them this one is, from 1; 0: nobody says
	DrainGraceMs  float64 // of a drain, in milliseconds
	Seed          uint64  // this one's, from which all that is random about it comes
	// Pushed says that an agent of this gateway's own has the list; else it is asked for, of a discovery that all share.
	Pushed   bool
	Revision int64 // the version of the list that is known already, or None
}

// Watch starts to follow the list at an address. A gateway that knows a list waits for its turn: guards discovery
// against a whole fleet that starts, or is killed, at one moment. One that has been overrun so serves nobody for long.
func Watch(l *eventloop.Loop, log *zap.Logger, addr string, f Config, news UpdateFunc) *Watcher {
	w := &Watcher{loop: l, log: log, addr: addr, news: news, since: f.Revision,
		calls: fleet.PollPolicy{SlotSchedule: fleet.SlotSchedule{GatewayCount: f.GatewayCount, Slot: f.GatewayNumber - 1}, DrainGraceMs: f.DrainGraceMs, Pushed: f.Pushed},
		rng:   rand.New(rand.NewPCG(f.Seed, f.Seed))}
	w.calls.Started(l.Clock.Now())
	if w.since < 0 {
		w.ask()
	} else {
		w.firstAt = l.Clock.Now() + w.calls.FirstDelay(true, w.rng.Float64())
		w.timer = l.At(w.firstAt, w.ask)
	}
	return w
}

// SetSchedule takes in which gateway of how many this one is.
func (w *Watcher) SetSchedule(t fleet.SlotSchedule) { w.calls.SlotSchedule = t }

// FirstCallLaterThan tells whether the first call is still more than some time away.
func (w *Watcher) FirstCallLaterThan(ms float64) bool {
	return !w.calls.HasAnswer() && w.firstAt > w.loop.Clock.Now()+ms
}

// SetAddress follows the list at another address, each gateway of a fleet from a moment of its own on. What is known of it
// holds until that address has told the whole list anew: its versions may be numbered otherwise.
func (w *Watcher) SetAddress(addr string) {
	w.moving.Stop()
	w.moving = w.loop.After(w.calls.MoveDelay(w.rng.Float64()), func() {
		w.addr, w.since = addr, NoRevision
		w.calls.Moved(w.loop.Clock.Now())
		w.hangUp()
		w.ask()
	})
}

// Address is where the list is followed.
func (w *Watcher) Address() string { return w.addr }

func (w *Watcher) ask() {
	w.askedAt = w.loop.Clock.Now()
	if w.conn == nil {
		var err error
		if w.conn, err = w.loop.Dial(w.addr, maxAnswer, w); err != nil {
			w.again(err)
			return
		}
	}
	path := "/v1/servers"
	wait, patience := w.calls.NextCall(w.since >= 0)
	if w.since >= 0 {
		path += fmt.Sprintf("?since=%d&timeout_ms=%d", w.since, int(wait))
	}
	w.lines = true
	w.conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + w.addr + "\r\nAccept: application/json\r\n\r\n"))
	w.timer.Stop()
	w.timer = w.loop.After(patience, func() { w.again(errSilent) })
}

// again starts over on a new connection. What is known of the list holds meanwhile.
func (w *Watcher) again(err error) {
	w.log.Debug("discovery", zap.Error(err))
	pause, now, draw := 0.0, w.loop.Clock.Now(), w.rng.Float64()
	if !w.lines { // no call was out
		w.askedAt = now
	}
	w.hangUp()
	w.timer.Stop()
	switch {
	case errors.Is(err, errSilent):
		pause = w.calls.TimedOut(w.askedAt, now, draw)
	case errors.Is(err, errRefused):
		pause = w.calls.Failed(now, draw)
	default:
		pause = w.calls.ConnectionLost(w.askedAt, now, draw)
	}
	w.timer = w.loop.After(pause, w.ask)
}

// hangUp ends the connection, and with it the call that is out on it.
func (w *Watcher) hangUp() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
	w.lines = false
}

var (
	errSilent  = errors.New("no answer")
	errRefused = errors.New("status")
)

// Connected does nothing: the request is written already.
func (w *Watcher) Connected() {}

// Flushed does nothing.
func (w *Watcher) Flushed() {}

// Ended starts over.
func (w *Watcher) Ended(err error) { w.again(err) }

// Data takes in an answer once it is whole.
func (w *Watcher) Data() {
	if !w.lines {
		w.again(errors.New("an answer that nobody asked for"))
		return
	}
	a, err := readAnswer(w.conn.In())
	if err != nil {
		w.again(err)
		return
	}
	if a == nil {
		return
	}
	held := w.since
	if err := w.take(a); err != nil {
		w.again(err)
		return
	}
	w.lines = false
	w.conn.Consume(a.size)
	if a.last {
		w.hangUp()
	}
	w.timer.Stop()
	if pause := w.calls.IdleDelay(w.since != held, w.askedAt, w.loop.Clock.Now()); pause > 0 {
		w.timer = w.loop.After(pause, w.ask)
		return
	}
	w.ask()
}

func (w *Watcher) take(a *answer) error {
	if a.status != 200 {
		if a.status/100 == 4 { // it does not know the version that was named; one that is short of room does
			w.since = NoRevision
		}
		return fmt.Errorf("%w %d", errRefused, a.status)
	}
	var d Document
	if err := json.Unmarshal(a.body, &d); err != nil {
		return err
	}
	hosts, err := d.Hosts()
	if err != nil {
		w.complain(err)
		if len(hosts) == 0 {
			return err
		}
		d.Complete = false // what the bad entries would have said is not known: nobody is gone for want of an entry
	}
	first, told := w.calls.Answered(w.loop.Clock.Now())
	w.since = d.Revision
	if d.Complete || len(hosts) > 0 || first {
		w.news(d.Complete, hosts, told)
	}
	return nil
}

// complain tells the operators once of a list that is not as it should be.
func (w *Watcher) complain(err error) {
	if w.bad != err.Error() {
		w.bad = err.Error()
		w.log.Warn("discovery", zap.String("address", w.addr), zap.Error(err))
	}
}

type answer struct {
	status int
	body   []byte
	size   int
	last   bool // the connection ends with it
}

var errHTTP = errors.New("not an HTTP answer")

// readAnswer reads an HTTP/1.1 response; nil while it is not whole.
func readAnswer(in []byte) (*answer, error) {
	end := bytes.Index(in, []byte("\r\n\r\n"))
	if end < 0 {
		if len(in) > maxHead {
			return nil, errHTTP
		}
		return nil, nil
	}
	lines := strings.Split(string(in[:end]), "\r\n")
	a := &answer{}
	words := strings.SplitN(lines[0], " ", 3)
	if len(words) < 2 || !strings.HasPrefix(words[0], "HTTP/1.") {
		return nil, errHTTP
	}
	var err error
	if a.status, err = strconv.Atoi(words[1]); err != nil {
		return nil, errHTTP
	}
	length, chunked := -1, false
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.Atoi(value); err != nil || length < 0 || length > maxAnswer {
				return nil, errHTTP
			}
		case "transfer-encoding":
			chunked = strings.EqualFold(value, "chunked")
		case "connection":
			a.last = strings.EqualFold(value, "close")
		}
	}
	rest := in[end+4:]
	switch {
	case chunked:
		n, ok, err := a.chunks(rest)
		if !ok || err != nil {
			return nil, err
		}
		a.size = end + 4 + n
	case length < 0:
		return nil, errHTTP
	case len(rest) < length:
		return nil, nil
	default:
		a.body, a.size = rest[:length], end+4+length
	}
	return a, nil
}

// chunks reads a chunked body; ok once it is whole.
func (a *answer) chunks(in []byte) (size int, ok bool, err error) {
	at := 0
	for {
		i := bytes.Index(in[at:], []byte("\r\n"))
		if i < 0 {
			return 0, false, nil
		}
		text, _, _ := strings.Cut(string(in[at:at+i]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if err != nil || n > maxAnswer {
			return 0, false, errHTTP
		}
		at += i + 2
		if len(in) < at+int(n)+2 {
			return 0, false, nil
		}
		if string(in[at+int(n):at+int(n)+2]) != "\r\n" {
			return 0, false, errHTTP
		}
		a.body = append(a.body, in[at:at+int(n)]...)
		at += int(n) + 2
		if n == 0 {
			return at, true, nil
		}
	}
}
