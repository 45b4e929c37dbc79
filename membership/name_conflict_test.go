package membership

import (
	"net/netip"
	"testing"
)

// A process under the name of a live member is rejected from another address. After the other's death it is accepted.
func TestNameTaken(t *testing.T) {
	c := newCluster(t, 4)
	c.addSlot()
	v := newView(t, Config{Name: "g2", Addr: addrOf(4), BootID: 99, Seeds: []netip.AddrPort{addrOf(0)}}, 9)
	c.views[4] = v
	c.run(3000)
	if got := v.Summary().Status; got != StatusNameTaken || len(c.memberChanges) > 0 {
		t.Errorf("its status is %v; %v", got, c.memberChanges)
	}
	c.stop(2)
	c.run(9000)
	if got := v.Summary(); got.Status != StatusHealthy || got.Alive != 4 {
		t.Errorf("after the other's death: %+v", got)
	}
	if m := c.member(0, "g2"); m.BootID != 99 || m.Addr != addrOf(4) || m.State != Alive {
		t.Errorf("g0 knows %+v", m.Member)
	}
}

// Of two processes that were accepted under one name by parts that were apart, one stays.
func TestNameConflict(t *testing.T) {
	c := newCluster(t, 4)
	c.addSlot()
	c.addSlot()
	v := newView(t, Config{Name: "g2", Addr: addrOf(5), BootID: 99, Seeds: []netip.AddrPort{addrOf(5)}}, 9)
	c.views[5] = v
	c.run(100)
	c.step(5, Received{addrOf(1), Message{
		Kind: Ping, From: IDOf("g1"), BootID: c.bootID(1), Incarnation: 1, Target: IDOf("g2"), Seq: 7,
	}})
	c.run(3000)
	if got := v.Summary().Status; got != StatusNameTaken {
		t.Errorf("the status of the later one is %v", got)
	}
	c.wantState(Alive, "g2", 0, 1, 3)
	if m := c.member(0, "g2"); m.Addr != addrOf(2) {
		t.Errorf("g0 knows %+v", m.Member)
	}
}
