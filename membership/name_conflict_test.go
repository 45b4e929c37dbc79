package membership

import (
	"net/netip"
	"testing"
)

// A process with the name of a live member at another address is rejected. After the member's death it is accepted.
func TestNameTaken(t *testing.T) {
	c := newCluster(t, 4)
	c.addStoppedView()
	v := newView(t, Config{Name: "g2", Addr: addrOf(4), BootID: 99, Seeds: []netip.AddrPort{addrOf(0)}}, 9)
	c.views[4] = v
	c.run(3000)
	if got := v.Summary().Status; got != StatusNameTaken || len(c.memberChanges) > 0 {
		t.Errorf("the status of the second g2 is %v, want taken; member changes: %v", got, c.memberChanges)
	}
	c.stop(2)
	c.run(9000)
	if got := v.Summary(); got.Status != StatusHealthy || got.Alive != 4 {
		t.Errorf("after the death of the first g2, the second sees %+v, want the status fine and 4 alive", got)
	}
	if m := c.member(0, "g2"); m.BootID != 99 || m.Addr != addrOf(4) || m.State != Alive {
		t.Errorf("g0 knows %+v, want the second g2 as alive: boot ID 99 at %v", m.Member, addrOf(4))
	}
}

// If separate parts of a fleet accepted two processes under one name, only one of them keeps it. Here that is the earlier
// one, which has the lower boot ID.
func TestNameConflict(t *testing.T) {
	c := newCluster(t, 4)
	c.addStoppedView()
	c.addStoppedView()
	v := newView(t, Config{Name: "g2", Addr: addrOf(5), BootID: 99, Seeds: []netip.AddrPort{addrOf(5)}}, 9)
	c.views[5] = v
	c.run(100)
	c.step(5, Received{addrOf(1), Message{
		Kind: Ping, From: IDOf("g1"), BootID: c.bootID(1), Incarnation: 1, Target: IDOf("g2"), Seq: 7,
	}})
	c.run(3000)
	if got := v.Summary().Status; got != StatusNameTaken {
		t.Errorf("the status of the later g2 is %v, want taken", got)
	}
	c.wantState(Alive, "g2", 0, 1, 3)
	if m := c.member(0, "g2"); m.Addr != addrOf(2) {
		t.Errorf("g0 knows %+v, want the earlier g2, at %v", m.Member, addrOf(2))
	}
}
