package proxy

import (
	"fmt"
	"testing"

	"merlinjunction/routing"
)

// 300 gateways that check each host once a second would be 300 health checks a second at every host: in a large fleet
// the interval grows, so that a host gets a hundred. A host that is new is checked at once.
func TestHealthChecksOfAFleetAreBounded(t *testing.T) {
	for _, test := range []struct{ gateways, least, most int }{{1, 9, 11}, {300, 3, 5}} {
		t.Run(fmt.Sprintf("%d gateways", test.gateways), func(t *testing.T) {
			settings := benchSettings()
			settings.Classes = settings.Classes[:1]
			settings.GatewayCount, settings.CancelAllowed, settings.DrainGrace = test.gateways, false, 0
			b := newBenchWith(t, settings, Limits{
				ConnectTimeoutMs: 250, HostIdleTimeoutMs: 60_000, MaxConns: 4, MaxRequests: 3, HealthCheckIntervalMs: 1000,
			}, "health check")
			b.updateHosts(routing.StateReady, "a")
			for range 1000 {
				for _, conn := range b.conns {
					if !conn.closed && len(conn.sent) == 0 {
						conn.handler.Established()
					}
				}
				b.nowMs += 10
				b.timers.Fire()
				b.Step()
			}
			if sent := b.sentCount(); sent < test.least || sent > test.most {
				t.Errorf("checked %d times in 10 s, want %d to %d", sent, test.least, test.most)
			}
		})
	}
}
