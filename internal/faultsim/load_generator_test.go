package faultsim

import (
	"reflect"
	"testing"
	"time"
)

// The arrivals are drawn from the seed at the rate of the load.
func TestDrawArrivals(t *testing.T) {
	load := &Load{Rate: 200, WriteShare: 0.25}
	arrivals, again := load.draw(50, 3), load.draw(50, 3)
	if !reflect.DeepEqual(arrivals, again) || len(arrivals) < 9500 || len(arrivals) > 10500 {
		t.Fatalf("%d arrivals", len(arrivals))
	}
	writes := 0
	for i, arrival := range arrivals {
		if arrival.write {
			writes++
		}
		if i > 0 && arrival.at < arrivals[i-1].at {
			t.Fatal("out of order")
		}
	}
	if share := float64(writes) / float64(len(arrivals)); share < 0.22 || share > 0.28 {
		t.Errorf("%v are writes", share)
	}
}

// A stall of a host shows in the latency in full: it counts from the intended time, and requests are sent whether or
// not earlier ones have been answered.
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
		address:   relay.address(),
		process:   "x",
		disturbed: func(time.Time) bool { return false },
	}
	client := newClient(func(int) (gatewayEndpoint, bool) { return endpoint, true })
	var arrivals []arrival
	for i := range 100 {
		arrivals = append(arrivals, arrival{at: time.Duration(i) * 10 * time.Millisecond, session: i})
	}
	go func() {
		time.Sleep(300 * time.Millisecond)
		relay.setCut(true)
		time.Sleep(400 * time.Millisecond)
		relay.mutex.Lock()
		close(relay.healed) // without the reset of setCut
		relay.mutex.Unlock()
	}()
	client.play(time.Now(), arrivals, make(chan struct{}))
	counts := &client.counts
	if counts.Sent != 100 || counts.Served != 100 {
		t.Fatalf("%+v", counts)
	}
	// 40 of 100 were due in the stall and waited 200 ms on average: the 80th percentile is past the middle of it.
	at80, at99 := counts.Latency.ValueAtQuantile(80)/1000, counts.Latency.ValueAtQuantile(99)/1000
	if at80 < 100 || at99 < 300 {
		t.Errorf("80 %% within %d ms, 99 %% within %d", at80, at99)
	}
}
