package faultsim

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// holdUpInterval is the time between two checks of whether this process was held up.
	holdUpInterval = 10 * time.Millisecond
	// minHoldUp is the shortest delay of a check that counts as a hold-up.
	minHoldUp = 100 * time.Millisecond
)

// holdUpMonitor measures when this process was held up, because its machine or the process itself got no processor time. The
// processes engine runs clients, hosts and the network between them and the gateways in this process, so during a hold-up
// none of them acts while the gateways may go on. Times that limit them are extended by the hold-ups. A nil monitor has
// measured none.
type holdUpMonitor struct {
	mutex     sync.Mutex
	checkedAt time.Time
	holdUps   []holdUp
	stopped   chan struct{}
}

// holdUp is a time during which the process was held up.
type holdUp struct{ begin, end time.Time }

// newHoldUpMonitor returns a monitor that measures until stop is called.
func newHoldUpMonitor() *holdUpMonitor {
	m := &holdUpMonitor{checkedAt: time.Now(), stopped: make(chan struct{})}
	go m.run()
	return m
}

func (m *holdUpMonitor) run() {
	for {
		select {
		case <-m.stopped:
			return
		case <-time.After(holdUpInterval):
			m.check(time.Now())
		}
	}
}

func (m *holdUpMonitor) stop() { close(m.stopped) }

// check records a hold-up if the last check is too long ago.
func (m *holdUpMonitor) check(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if begin := m.checkedAt.Add(holdUpInterval); now.Sub(begin) >= minHoldUp {
		m.holdUps = append(m.holdUps, holdUp{begin, now})
	}
	m.checkedAt = now
}

// between returns for how long the process was held up from one time to another, which is not in the future.
func (m *holdUpMonitor) between(from, to time.Time) time.Duration {
	if m == nil {
		return 0
	}
	m.check(time.Now()) // the process may just have gone on
	m.mutex.Lock()
	defer m.mutex.Unlock()
	total := time.Duration(0)
	for _, h := range m.holdUps {
		begin, end := h.begin, h.end
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		total += max(0, end.Sub(begin))
	}
	return total
}

// extendedConn is a connection whose deadline is extended by the hold-ups since a time.
type extendedConn struct {
	net.Conn
	monitor  *holdUpMonitor
	since    time.Time
	deadline time.Time
	extended time.Duration
}

// Read reads data. After a hold-up it goes on reading where the deadline has passed only because of it.
func (c *extendedConn) Read(data []byte) (int, error) {
	for {
		count, err := c.Conn.Read(data)
		if count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extend() {
			return count, err
		}
	}
}

// extend extends the deadline by the hold-ups that it was not extended by before. It returns false if there are none.
func (c *extendedConn) extend() bool {
	heldUp := c.monitor.between(c.since, time.Now())
	if heldUp <= c.extended {
		return false
	}
	c.extended = heldUp
	return c.SetDeadline(c.deadline.Add(heldUp)) == nil
}
