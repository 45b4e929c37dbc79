package faultsim

import (
	"reflect"
	"testing"
	"time"
)

// Checks that one seed always gives the same arrivals, and that they have the load's rate and write share and are in order.
func TestDrawArrivals(t *testing.T) {
	load := &Load{Rate: 200, WriteShare: 0.25}
	arrivals, redrawn := load.drawArrivals(50, 3), load.drawArrivals(50, 3)
	if !reflect.DeepEqual(arrivals, redrawn) || len(arrivals) < 9500 || len(arrivals) > 10500 {
		t.Fatalf("%d arrivals, expected 9500 to 10500 that are the same for one seed", len(arrivals))
	}
	writes := 0
	for i, arrival := range arrivals {
		if arrival.write {
			writes++
		}
		if i > 0 && arrival.at < arrivals[i-1].at {
			t.Fatalf("arrival %d is earlier than the one before it", i)
		}
	}
	if share := float64(writes) / float64(len(arrivals)); share < 0.22 || share > 0.28 {
		t.Errorf("the share of writes is %v, expected 0.22 to 0.28", share)
	}
}

// Guards against coordinated omission: the recorded latency must contain a host's whole stall. Latency is therefore measured
// from the intended send time, and a request is sent even if earlier ones have no answer yet.
func TestLatencyFromIntendedTime(t *testing.T) {
	hosts, err := newStubHosts(1, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer hosts.close()
	relay, err := newHostRelay(func() string { return hosts.hosts[0].listener.Address() })
	if err != nil {
		t.Fatal(err)
	}
	defer relay.close()
	endpoint := gatewayEndpoint{
		address:     relay.address(),
		process:     "x",
		interrupted: func(time.Time) bool { return false },
	}
	generator := newLoadGenerator(func(int) (gatewayEndpoint, bool) { return endpoint, true })
	var arrivals []arrival
	for i := range 100 {
		arrivals = append(arrivals, arrival{at: time.Duration(i) * 10 * time.Millisecond, session: i})
	}
	go func() {
		time.Sleep(300 * time.Millisecond)
		relay.setCut(true)
		time.Sleep(400 * time.Millisecond)
		relay.mutex.Lock()
		close(relay.healed) // heals the relay without resetting its connections, unlike setCut
		relay.mutex.Unlock()
	}()
	generator.sendRequests(time.Now(), arrivals, make(chan struct{}))
	counts := &generator.counts
	if counts.Sent != 100 || counts.Served != 100 {
		t.Fatalf("counts %+v, expected 100 sent and 100 served", counts)
	}
	// 40 of the 100 requests were due during the stall and waited 200 ms on average. The slowest 20 of them waited for more
	// than half of the stall, which the 80th percentile must show.
	at80, at99 := counts.Latency.ValueAtQuantile(80)/1000, counts.Latency.ValueAtQuantile(99)/1000
	if at80 < 100 || at99 < 300 {
		t.Errorf("80th percentile %d ms and 99th %d ms, expected at least 100 and 300", at80, at99)
	}
}
