package membership

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
)

// cluster simulates several Views on a common clock. A test can cut the links between them.
type cluster struct {
	t             *testing.T
	now           float64
	views         []*View                             // nil for a view that doesn't run
	isCut         func(from, to int, m *Message) bool // reports whether a message is lost; nil if none is
	memberChanges []string                            // "viewer member state cause"
	statusChanges []string                            // "viewer status"
	clockOffsets  []float64                           // offset of each view's driver clock from now
	paused        []bool
	inboxes       [][]Event
	lastBootID    uint64 // boot ID of the last process that was started
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7946)
}

// newCluster starts views named g0, g1, ... and runs until each knows all others.
func newCluster(t *testing.T, count int) *cluster {
	t.Helper()
	c := &cluster{t: t, now: 1000}
	for i := range count {
		c.addStoppedView()
		c.start(i, Config{})
	}
	c.run(3000)
	for i, v := range c.views {
		if got := v.Summary(); got.Alive != count || got.Status != StatusHealthy {
			t.Fatalf("g%d sees %+v after the start, want the status fine and %d alive", i, got, count)
		}
	}
	c.memberChanges, c.statusChanges = nil, nil
	return c
}

// addStoppedView adds a view that doesn't run yet.
func (c *cluster) addStoppedView() {
	c.views = append(c.views, nil)
	c.clockOffsets = append(c.clockOffsets, 0)
	c.paused = append(c.paused, false)
	c.inboxes = append(c.inboxes, nil)
}

// start starts a process under a view's name. Its seed is g0 unless cfg.Seeds is set. Boot IDs are consecutive numbers,
// to which cfg.BootID is added.
func (c *cluster) start(i int, cfg Config) {
	c.t.Helper()
	c.lastBootID++
	cfg.Name, cfg.Addr, cfg.BootID = fmt.Sprintf("g%d", i), addrOf(i), cfg.BootID+c.lastBootID
	if cfg.Seeds == nil {
		cfg.Seeds = []netip.AddrPort{addrOf(0)}
	}
	c.views[i] = newView(c.t, cfg, uint64(i+1))
}

func newView(t *testing.T, cfg Config, seed uint64) *View {
	t.Helper()
	v, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// run simulates ms milliseconds in rounds of 5 ms. A message is handled at the next turn of its receiver.
func (c *cluster) run(ms float64) {
	for end := c.now + ms; c.now < end; c.now += 5 {
		for i, v := range c.views {
			if v == nil || c.paused[i] || len(c.inboxes[i]) == 0 && v.started && v.Wake() > c.now+c.clockOffsets[i] {
				continue
			}
			events := c.inboxes[i]
			c.inboxes[i] = nil
			c.step(i, events...)
		}
	}
}

func (c *cluster) step(i int, events ...Event) {
	for _, action := range c.views[i].Step(c.now+c.clockOffsets[i], events) {
		switch action := action.(type) {
		case Send:
			c.deliver(i, &action)
		case MemberChanged:
			change := fmt.Sprintf("g%d %s %s %s", i, action.Member.Name, action.New, action.Cause)
			c.memberChanges = append(c.memberChanges, change)
		case StatusChanged:
			c.statusChanges = append(c.statusChanges, fmt.Sprintf("g%d %s", i, action.Status))
		}
	}
}

func (c *cluster) deliver(from int, send *Send) {
	to := int(send.To.Addr().As4()[3])
	if send.To.Port() != 7946 || to >= len(c.views) || c.views[to] == nil {
		return
	}
	if c.isCut == nil || !c.isCut(from, to, &send.Message) {
		c.inboxes[to] = append(c.inboxes[to], Received{addrOf(from), send.Message})
	}
}

// stop ends a view's process without notifying the other members.
func (c *cluster) stop(i int) { c.views[i] = nil }

// bootID returns the boot ID of a running view.
func (c *cluster) bootID(i int) uint64 { return c.views[i].cfg.BootID }

// deliverRumor delivers a Gossip message with one rumor from one view to another.
func (c *cluster) deliverRumor(to, from int, fromBootID uint64, rumor Rumor) {
	c.step(to, Received{addrOf(from), Message{
		Kind: Gossip, From: IDOf(fmt.Sprintf("g%d", from)), BootID: fromBootID, Incarnation: 1, Rumors: []Rumor{rumor},
	}})
}

// member returns a view's entry for a name.
func (c *cluster) member(viewer int, name string) *member { return c.views[viewer].members[IDOf(name)] }

// countChanges returns the number of member changes that contain a text.
func (c *cluster) countChanges(text string) (count int) {
	for _, change := range c.memberChanges {
		if strings.Contains(change, text) {
			count++
		}
	}
	return count
}

// wantState checks the state of a member in some views.
func (c *cluster) wantState(want State, name string, viewers ...int) {
	c.t.Helper()
	for _, viewer := range viewers {
		if got := c.views[viewer].State(name); got != want {
			c.t.Errorf("in the view of g%d, %s is %v, want %v", viewer, name, got, want)
		}
	}
}
