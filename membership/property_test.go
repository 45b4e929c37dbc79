package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "merlinjunction/internal/testkit/seed" // the same draws each time
)

// audit checks what has to hold of a View at any time.
func (v *View) audit() error {
	var counts [Left + 1]int
	var digest uint64
	for id, m := range v.members {
		if id != m.id || id != IDOf(m.Name) {
			return fmt.Errorf("%s is kept under a wrong ID", m.Name)
		}
		if living(m.State) {
			digest ^= mix(uint64(m.id)^mix(m.Incarnation)) ^ mix(m.BootID)
		}
		if m == v.self {
			continue
		}
		counts[m.State]++
		l := *v.list(m.State)
		if m.at >= len(l) || l[m.at] != m {
			return fmt.Errorf("%s (%s) is not in its list", m.Name, m.State)
		}
		if (m.doubt != nil) != (m.State == Suspect) {
			return fmt.Errorf("%s is %s with the accusation %v", m.Name, m.State, m.doubt)
		}
	}
	if counts != v.counts {
		return fmt.Errorf("counts are %v, not %v", v.counts, counts)
	}
	if len(v.suspects) != counts[Suspect] || len(v.live)+len(v.lost)+len(v.left)+1 != len(v.members) {
		return fmt.Errorf("%d suspects, %d live, %d lost, %d left of %d members", len(v.suspects), len(v.live), len(v.lost), len(v.left), len(v.members))
	}
	if v.standing != StatusLeft && digest != v.digest {
		return fmt.Errorf("the digest is %x, not %x", v.digest, digest)
	}
	if len(v.queue) != len(v.queued) {
		return fmt.Errorf("%d news in line, %d known", len(v.queue), len(v.queued))
	}
	return nil
}

func anyID(t *rapid.T) ID {
	return IDOf(fmt.Sprintf("g%d", rapid.IntRange(0, 5).Draw(t, "name")))
}

func anyState(t *rapid.T) State { return State(rapid.IntRange(1, 5).Draw(t, "state")) }

func anyMessage(t *rapid.T) Message {
	m := Message{
		Kind: Kind(rapid.IntRange(1, int(kinds)-1).Draw(t, "kind")), Version: uint8(rapid.IntRange(0, 3).Draw(t, "version")), From: anyID(t),
		BootID: uint64(rapid.IntRange(1, 3).Draw(t, "boot")), Incarnation: uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")),
		Seq: uint32(rapid.IntRange(0, 6).Draw(t, "seq")), Attempt: uint8(rapid.IntRange(0, 2).Draw(t, "try")),
		Digest: uint64(rapid.IntRange(0, 1).Draw(t, "digest")), Addr: addrOf(rapid.IntRange(0, 6).Draw(t, "addr")),
	}
	if rapid.Bool().Draw(t, "aimed") {
		m.Target = anyID(t)
	}
	if rapid.Bool().Draw(t, "digests") {
		m.Buckets = make([]uint64, buckets)
	}
	for range rapid.IntRange(0, 3).Draw(t, "rumors") {
		r := Rumor{Subject: anyID(t), BootTag: uint32(rapid.IntRange(1, 3).Draw(t, "tag")), Incarnation: uint64(rapid.IntRange(1, 4).Draw(t, "about")), State: anyState(t)}
		for range rapid.IntRange(0, 5).Draw(t, "observers") {
			r.Accusers = append(r.Accusers, anyID(t))
		}
		m.Rumors = append(m.Rumors, r)
	}
	for range rapid.IntRange(0, 2).Draw(t, "records") {
		m.Records = append(m.Records, Record{Name: fmt.Sprintf("g%d", rapid.IntRange(0, 5).Draw(t, "record")), Addr: addrOf(rapid.IntRange(0, 6).Draw(t, "at")),
			BootID: uint64(rapid.IntRange(1, 3).Draw(t, "its boot")), Incarnation: uint64(rapid.IntRange(1, 4).Draw(t, "its incarnation")), State: anyState(t),
			Version: uint8(rapid.IntRange(0, 2).Draw(t, "its version")), PayloadVersion: uint64(rapid.IntRange(0, 2).Draw(t, "edition"))})
	}
	return m
}

// Whatever comes in whatever order: the books stay right, no incarnation of one process goes back, this member never holds
// itself for anything but alive, one seed gives one sequence, and it always wants to be called again later than now.
func TestAnyMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Name: "g0", Addr: addrOf(0), BootID: 1, Seeds: nil}
		if rapid.Bool().Draw(t, "joins") {
			cfg.Seeds = append(cfg.Seeds, addrOf(1), addrOf(2))
		}
		v, err := New(cfg, 5)
		if err != nil {
			t.Fatal(err)
		}
		w, _ := New(cfg, 5)
		now := 0.0
		before := map[ID]Member{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 1, 50, 90, 400, 5000, -700}).Draw(t, "ms")
			var events []Event
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				events = append(events, Received{addrOf(rapid.IntRange(0, 6).Draw(t, "from")), anyMessage(t)})
			}
			if a, b := fmt.Sprint(v.Step(now, events)), fmt.Sprint(w.Step(now, events)); a != b {
				t.Fatalf("one seed gave %s and %s", a, b)
			}
			if err := v.audit(); err != nil {
				t.Fatal(err)
			}
			if v.self.State != Alive || v.Wake() <= now {
				t.Fatalf("it is %v and wants to be called at %v, now is %v", v.self.State, v.Wake(), now)
			}
			for id, m := range v.members {
				if old, ok := before[id]; ok && old.BootID == m.BootID && m.Incarnation < old.Incarnation {
					t.Fatalf("the incarnation of %s goes back from %d to %d", m.Name, old.Incarnation, m.Incarnation)
				}
				before[id] = m.Member
			}
		}
	})
}
