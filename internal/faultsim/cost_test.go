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

// timedNode measures the time that a Node takes for its steps and for opening and sealing its datagrams.
type timedNode struct {
	Node
	t       testing.TB
	sealer  *transport.Sealer
	others  *transport.Sealer // seals the datagrams of the other gateways
	elapsed time.Duration
}

func (n *timedNode) Step(ms float64, events []membership.Event) []membership.Action {
	for _, event := range events {
		if received, ok := event.(membership.Received); ok {
			n.open(&received.Message)
		}
	}
	begun := time.Now()
	actions := n.Node.Step(ms, events)
	for _, action := range actions {
		if send, ok := action.(membership.Send); ok {
			if _, err := n.sealer.Seal(&send.Message); err != nil {
				n.t.Fatal(err)
			}
		}
	}
	n.elapsed += time.Since(begun)
	return actions
}

// open measures the time to open a datagram. Sealing it first, as the sender does, is not measured.
func (n *timedNode) open(message *membership.Message) {
	data, err := n.others.Seal(message)
	if err != nil {
		n.t.Fatal(err)
	}
	begun := time.Now()
	if _, _, err := n.sealer.Open(data); err != nil {
		n.t.Fatal(err)
	}
	n.elapsed += time.Since(begun)
}

// timeLastNode returns a NodeFactory that wraps the last of count nodes in a timedNode, and stores that in timed.
func timeLastNode(tb testing.TB, count int, timed **timedNode) NodeFactory {
	tb.Helper()
	keys := [][]byte{[]byte("sixteen bytes of key")}
	made := 0
	return func(config membership.Config, seed uint64) (Node, error) {
		view, err := membership.New(config, seed)
		if made++; made != count || err != nil {
			return view, err
		}
		*timed = &timedNode{Node: view, t: tb}
		(*timed).sealer, _ = transport.NewSealer("f", keys)
		(*timed).others, _ = transport.NewSealer("f", keys)
		return *timed, nil
	}
}

// BenchmarkMember measures the processor time that one gateway spends on membership per second, without system calls, in a
// fleet without faults.
func BenchmarkMember(b *testing.B) {
	for _, size := range []int{30, 300, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			experiment := &Experiment{Name: "calm", Seconds: 60, Fleet: Fleet{Gateways: size, Spread: 2, Settle: 15}}
			if err := experiment.complete(); err != nil {
				b.Fatal(err)
			}
			for range b.N {
				var node *timedNode
				var elapsedAtStart time.Duration
				progress := func(progress Progress) {
					if progress.Seconds <= 0 && node != nil {
						elapsedAtStart = node.elapsed
					}
				}
				options := Options{Seed: 1, NewNode: timeLastNode(b, size, &node), Progress: progress}
				if _, err := Emulate(experiment, options); err != nil {
					b.Fatal(err)
				}
				elapsed := node.elapsed - elapsedAtStart
				b.ReportMetric(float64(elapsed.Microseconds())/experiment.Seconds, "µs/s")
			}
		})
	}
}

// heapBytes returns the size of the live heap. It collects garbage first.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// A View needs at most 400 bytes of memory for each member that it knows.
func TestViewMemoryPerMember(t *testing.T) {
	const members, maxBytes = 2000, 400
	config := membership.Config{Name: "g", Addr: netip.MustParseAddrPort("10.9.9.9:1"), BootID: 1}
	view, err := membership.New(config, 1)
	if err != nil {
		t.Fatal(err)
	}
	before := heapBytes()
	first := membership.Record{
		Name:        "gateway-0000",
		Addr:        netip.MustParseAddrPort("10.0.0.1:7946"),
		BootID:      7,
		Incarnation: 1,
		State:       membership.Alive,
	}
	join := membership.Message{Kind: membership.Join, From: membership.IDOf(first.Name), BootID: 7, Incarnation: 1}
	page := join
	page.Kind = membership.SyncResponse
	join.Records = []membership.Record{first}
	view.Step(1, []membership.Event{membership.Received{Message: join}})
	for i := 1; i < members; i++ {
		record := first
		record.Name, record.Zone = fmt.Sprintf("gateway-%04d", i), string([]byte("zone-a"))
		record.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7946)
		record.BootID = uint64(i)
		page.Records = append(page.Records, record)
	}
	view.Step(2, []membership.Event{membership.Received{Message: page}})
	page.Records = nil
	if got := view.Summary().Alive; got != members+1 {
		t.Fatalf("%d members are alive, want %d", got, members+1)
	}
	for ms := 3.0; ms < 200; ms++ { // until all rumors of joins have been gossiped
		view.Step(ms, nil)
	}
	each := float64(heapBytes()-before) / members
	t.Logf("%.0f bytes per member", each)
	if each > maxBytes {
		t.Errorf("%.0f bytes per member, want at most %d", each, maxBytes)
	}
	runtime.KeepAlive(view)
}
