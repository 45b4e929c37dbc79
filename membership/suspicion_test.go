package membership

import "testing"

// A crashed member is declared dead by more than one accuser, and all members learn of its death.
func TestCrash(t *testing.T) {
	c := newCluster(t, 6)
	c.stop(3)
	c.run(3000)
	c.wantState(Dead, "g3", 0, 1, 2, 4, 5)
	if c.countChanges("dead no answer to") == 0 || c.countChanges("dead no answer to one") > 0 {
		t.Errorf("member changes: %v, want deaths with more than one accuser only", c.memberChanges)
	}
}

// The accusation of a single member doesn't make the suspect dead: the suspect refutes it.
func TestOneAccuserIsNotEnough(t *testing.T) {
	c := newCluster(t, 6)
	c.deliverRumor(2, 1, c.bootID(1), Rumor{
		Subject: IDOf("g4"), BootTag: uint32(c.bootID(4)), Incarnation: 1, State: Suspect, Accusers: []ID{IDOf("g1")},
	})
	c.wantState(Suspect, "g4", 2)
	c.run(2000)
	c.wantState(Alive, "g4", 0, 1, 2, 3, 5)
	if c.countChanges("dead") > 0 || c.member(2, "g4").Incarnation != 2 {
		t.Errorf("want g4 to refute with incarnation 2 and no deaths, got member changes %v", c.memberChanges)
	}
}

// Accusations and declarations of death from a member that is Dead in the receiver's view are ignored: the sender may be
// the one that was cut off.
func TestAccusationsOfDeadMemberAreIgnored(t *testing.T) {
	c := newCluster(t, 6)
	c.stop(1)
	c.run(3000)
	for _, state := range []State{Suspect, Dead} {
		c.deliverRumor(2, 1, 2, Rumor{
			Subject: IDOf("g4"), BootTag: uint32(c.bootID(4)), Incarnation: 1, State: state,
			Accusers: []ID{IDOf("g1"), IDOf("g0"), IDOf("g3"), IDOf("g5")},
		})
		c.wantState(Alive, "g4", 2)
	}
}

// A rumor about an earlier process of a name doesn't change the state of the current one.
func TestRumorAboutEarlierProcessIsIgnored(t *testing.T) {
	c := newCluster(t, 4)
	oldBootID := c.bootID(2)
	c.stop(2)
	c.run(500)
	c.start(2, Config{BootID: 1000})
	c.run(3000)
	c.wantState(Alive, "g2", 0, 1, 3)
	m := c.member(0, "g2")
	if m.BootID == oldBootID || m.Incarnation < 2 {
		t.Fatalf("g0 knows %+v, want the new process in incarnation 2 or newer", m.Member)
	}
	c.deliverRumor(0, 1, c.bootID(1), Rumor{Subject: IDOf("g2"), BootTag: uint32(oldBootID), Incarnation: 90, State: Dead})
	c.wantState(Alive, "g2", 0)
}
