package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "merlinjunction/internal/testkit/seed" // makes rapid draw the same cases in each run
)

// checkInvariants checks the invariants of a View, which must hold after each step.
func (v *View) checkInvariants() error {
	var counts [Left + 1]int
	var digest uint64
	for id, m := range v.members {
		if id != m.id || id != IDOf(m.Name) {
			return fmt.Errorf("%s is stored under a wrong ID", m.Name)
		}
		if m.State.isLive() {
			digest ^= mix64(uint64(m.id)^mix64(m.Incarnation)) ^ mix64(m.BootID)
		}
		if m == v.self {
			continue
		}
		counts[m.State]++
		list := *v.listOf(m.State)
		if m.listIndex >= len(list) || list[m.listIndex] != m {
			return fmt.Errorf("%s (%s) is not in its list", m.Name, m.State)
		}
		if (m.suspicion != nil) != (m.State == Suspect) {
			return fmt.Errorf("%s is %s but has the suspicion %v", m.Name, m.State, m.suspicion)
		}
	}
	if counts != v.counts {
		return fmt.Errorf("counts are %v, want %v", v.counts, counts)
	}
	if len(v.suspects) != counts[Suspect] || len(v.live)+len(v.dead)+len(v.left)+1 != len(v.members) {
		return fmt.Errorf("%d suspects, %d live, %d dead, %d left of %d members",
			len(v.suspects), len(v.live), len(v.dead), len(v.left), len(v.members))
	}
	if v.status != StatusLeft && digest != v.digest {
		return fmt.Errorf("the digest is %x, want %x", v.digest, digest)
	}
	if len(v.rumors.entries) != len(v.rumors.byMember) {
		return fmt.Errorf("%d rumors in the queue, %d in the index by member", len(v.rumors.entries), len(v.rumors.byMember))
	}
	return nil
}

func drawID(t *rapid.T) ID {
	return IDOf(fmt.Sprintf("g%d", rapid.IntRange(0, 5).Draw(t, "name")))
}

func drawState(t *rapid.T) State { return State(rapid.IntRange(1, 5).Draw(t, "state")) }

func drawMessage(t *rapid.T) Message {
	m := Message{
		Kind:        Kind(rapid.IntRange(1, int(kindCount)-1).Draw(t, "kind")),
		Version:     uint8(rapid.IntRange(0, 3).Draw(t, "version")),
		From:        drawID(t),
		BootID:      uint64(rapid.IntRange(1, 3).Draw(t, "boot")),
		Incarnation: uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")),
		Seq:         uint32(rapid.IntRange(0, 6).Draw(t, "seq")),
		Attempt:     uint8(rapid.IntRange(0, 2).Draw(t, "attempt")),
		Digest:      uint64(rapid.IntRange(0, 1).Draw(t, "digest")),
		Addr:        addrOf(rapid.IntRange(0, 6).Draw(t, "addr")),
	}
	if rapid.Bool().Draw(t, "has target") {
		m.Target = drawID(t)
	}
	if rapid.Bool().Draw(t, "has buckets") {
		m.Buckets = make([]uint64, bucketCount)
	}
	for range rapid.IntRange(0, 3).Draw(t, "rumors") {
		m.Rumors = append(m.Rumors, drawRumor(t))
	}
	for range rapid.IntRange(0, 2).Draw(t, "records") {
		m.Records = append(m.Records, drawRecord(t))
	}
	return m
}

func drawRumor(t *rapid.T) Rumor {
	r := Rumor{
		Subject:     drawID(t),
		BootTag:     uint32(rapid.IntRange(1, 3).Draw(t, "tag")),
		Incarnation: uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")),
		State:       drawState(t),
	}
	for range rapid.IntRange(0, 5).Draw(t, "accusers") {
		r.Accusers = append(r.Accusers, drawID(t))
	}
	return r
}

func drawRecord(t *rapid.T) Record {
	return Record{
		Name:           fmt.Sprintf("g%d", rapid.IntRange(0, 5).Draw(t, "name")),
		Addr:           addrOf(rapid.IntRange(0, 6).Draw(t, "addr")),
		BootID:         uint64(rapid.IntRange(1, 3).Draw(t, "boot")),
		Incarnation:    uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")),
		State:          drawState(t),
		Version:        uint8(rapid.IntRange(0, 2).Draw(t, "version")),
		PayloadVersion: uint64(rapid.IntRange(0, 2).Draw(t, "payload version")),
	}
}

// With arbitrary messages in arbitrary order, the invariants hold after each step, the incarnation of a process never
// decreases, this member's own state stays Alive, two Views with the same seed return the same actions, and Wake is
// always later than the current time.
func TestInvariantsWithArbitraryMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Name: "g0", Addr: addrOf(0), BootID: 1, Seeds: nil}
		if rapid.Bool().Draw(t, "has seeds") {
			cfg.Seeds = append(cfg.Seeds, addrOf(1), addrOf(2))
		}
		v, err := New(cfg, 5)
		if err != nil {
			t.Fatal(err)
		}
		twin, _ := New(cfg, 5)
		now := 0.0
		previous := map[ID]Member{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 1, 50, 90, 400, 5000, -700}).Draw(t, "ms")
			var events []Event
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				events = append(events, Received{addrOf(rapid.IntRange(0, 6).Draw(t, "from")), drawMessage(t)})
			}
			if a, b := fmt.Sprint(v.Step(now, events)), fmt.Sprint(twin.Step(now, events)); a != b {
				t.Fatalf("two views with the same seed returned %s and %s", a, b)
			}
			if err := v.checkInvariants(); err != nil {
				t.Fatal(err)
			}
			if v.self.State != Alive || v.Wake() <= now {
				t.Fatalf("own state is %v, want alive; Wake is %v, want later than %v", v.self.State, v.Wake(), now)
			}
			for id, m := range v.members {
				old, known := previous[id]
				if known && old.BootID == m.BootID && m.Incarnation < old.Incarnation {
					t.Fatalf("the incarnation of %s decreased from %d to %d", m.Name, old.Incarnation, m.Incarnation)
				}
				previous[id] = m.Member
			}
		}
	})
}
