package proxy

import (
	"fmt"
	"testing"

	"merlinjunction/routing"
)

// If each of 300 gateways checked each host once a second, every host would get 300 health checks a second. In a large
// fleet the interval must grow, so that a host gets 100 a second. A new host must be checked at once.
func TestHealthCheckRatePerHostIsBounded(t *testing.T) {
	for _, test := range []struct{ gateways, least, most int }{{1, 9, 11}, {300, 3, 5}} {
		t.Run(fmt.Sprintf("%d gateways", test.gateways), func(t *testing.T) {
			settings := fixtureSettings()
			settings.Classes = settings.Classes[:1]
			settings.GatewayCount, settings.CancelAllowed, settings.DrainGrace = test.gateways, false, 0
			f := newFixtureWith(t, settings, Limits{
				ConnectTimeoutMs: 250, HostIdleTimeoutMs: 60_000, MaxConns: 4, MaxRequests: 3, HealthCheckIntervalMs: 1000,
			}, "health check")
			f.updateHosts(routing.StateReady, "a")
			for range 1000 {
				for _, conn := range f.conns {
					if !conn.closed && len(conn.sent) == 0 {
						conn.handler.Established()
					}
				}
				f.nowMs += 10
				f.timers.Fire()
				f.Step()
			}
			if sent := f.sentCount(); sent < test.least || sent > test.most {
				t.Errorf("host checked %d times in 10 s, want %d to %d", sent, test.least, test.most)
			}
		})
	}
}
