package membership

import "testing"

// Members that use message version 1 take part in the fleet. They are sent rumors with at most one accuser, and records
// without a payload.
func TestOlderVersion(t *testing.T) {
	c := newCluster(t, 6)
	for i := 3; i < 6; i++ {
		c.stop(i)
	}
	c.run(40_000)
	for i := 3; i < 6; i++ {
		c.start(i, Config{Version: 1, BootID: 100})
	}
	c.run(3000)
	c.step(0, SetPayload{[]byte("payload")})
	c.isCut = func(from, to int, m *Message) bool {
		if to >= 3 || from >= 3 {
			wantVersion1(t, from, to, m)
		}
		return false
	}
	c.run(1000)
	c.stop(2)
	c.run(6000)
	c.wantState(Dead, "g2", 0, 1, 3, 4, 5)
	if got := string(c.member(1, "g0").Payload); got != "payload" {
		t.Errorf("g1 knows the payload %q of g0, want \"payload\"", got)
	}
}

func wantVersion1(t *testing.T, from, to int, message *Message) {
	t.Helper()
	for _, r := range message.Rumors {
		if len(r.Accusers) > 1 {
			t.Errorf("g%d sends g%d %d accusers in a rumor, want at most 1", from, to, len(r.Accusers))
		}
	}
	for _, r := range message.Records {
		if r.Payload != nil {
			t.Errorf("g%d sends g%d a payload, which version 1 doesn't have", from, to)
		}
	}
}
