package faultsim

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"merlinjunction/internal/transport"
	"merlinjunction/membership"
)

// timed is a member whose work is timed: the View's, and the proving and sealing of its datagrams.
type timed struct {
	Node
	t      testing.TB
	sealer *transport.Sealer
	others *transport.Sealer
	took   time.Duration
	steps  int
}

func (n *timed) Step(ms float64, events []membership.Event) []membership.Action {
	for _, e := range events {
		if r, ok := e.(membership.Received); ok {
			data, err := n.others.Seal(&r.Message)
			if err != nil {
				n.t.Fatal(err)
			}
			begun := time.Now()
			if _, _, err := n.sealer.Open(data); err != nil {
				n.t.Fatal(err)
			}
			n.took += time.Since(begun)
		}
	}
	begun := time.Now()
	actions := n.Node.Step(ms, events)
	for _, a := range actions {
		if s, ok := a.(membership.Send); ok {
			if _, err := n.sealer.Seal(&s.Message); err != nil {
				n.t.Fatal(err)
			}
		}
	}
	n.took += time.Since(begun)
	n.steps++
	return actions
}

// BenchmarkMember is the processor time that membership takes a gateway a second, system calls apart, in a calm fleet.
func BenchmarkMember(b *testing.B) {
	for _, size := range []int{30, 300, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			e := &Experiment{Name: "calm", Seconds: 60, Fleet: Fleet{Gateways: size, Spread: 2, Settle: 15}}
			if err := e.complete(); err != nil {
				b.Fatal(err)
			}
			for range b.N {
				var one *timed
				var at0 time.Duration
				keys := [][]byte{[]byte("sixteen bytes of key")}
				made := 0
				_, err := Emulate(e, Options{Seed: 1, Make: func(cfg membership.Config, seed uint64) (Node, error) {
					v, err := membership.New(cfg, seed)
					if made++; made != size || err != nil {
						return v, err
					}
					one = &timed{Node: v, t: b}
					one.sealer, _ = transport.NewSealer("f", keys)
					one.others, _ = transport.NewSealer("f", keys)
					return one, nil
				}, Progress: func(s float64, _ int, _ float64, _ int) {
					if s <= 0 && one != nil {
						at0 = one.took
					}
				}})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64((one.took-at0).Microseconds())/e.Seconds, "µs/s")
			}
		})
	}
}

// A View takes at most 400 bytes for each member that it knows.
func TestMemoryOfAMember(t *testing.T) {
	const n = 2000
	v, err := membership.New(membership.Config{Name: "g", Addr: netip.MustParseAddrPort("10.9.9.9:1"), BootID: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	page := membership.Message{Kind: membership.SyncResponse, From: membership.IDOf("gateway-0000"), BootID: 7, Incarnation: 1}
	first := membership.Record{Name: "gateway-0000", Addr: netip.MustParseAddrPort("10.0.0.1:7946"), BootID: 7, Incarnation: 1, State: membership.Alive}
	v.Step(1, []membership.Event{membership.Received{Message: membership.Message{Kind: membership.Join, From: page.From, BootID: 7, Incarnation: 1,
		Records: []membership.Record{first}}}})
	for i := 1; i < n; i++ {
		r := first
		r.Name, r.Zone = fmt.Sprintf("gateway-%04d", i), string([]byte("zone-a"))
		r.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7946)
		r.BootID = uint64(i)
		page.Records = append(page.Records, r)
	}
	v.Step(2, []membership.Event{membership.Received{Message: page}})
	page.Records = nil
	if got := v.Summary().Alive; got != n+1 {
		t.Fatalf("%d members are known", got)
	}
	for ms := 3.0; ms < 200; ms++ { // news of joins is passed on, or its target is lost
		v.Step(ms, nil)
	}
	each := float64(heap()-before) / n
	t.Logf("%.0f bytes a member", each)
	if each > 400 {
		t.Errorf("%.0f bytes a member", each)
	}
	runtime.KeepAlive(v)
}
