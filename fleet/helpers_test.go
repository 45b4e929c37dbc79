package fleet

import "fmt"

// newHosts makes hosts in so many zones; 0: without zones.
func newHosts(count, zones int) (hosts []Host) {
	for i := range count {
		host := Host{ID: fmt.Sprintf("h%d", i)}
		if zones > 0 {
			host.Zone = string(rune('a' + i%zones))
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// newGateways makes gateways in so many zones; 0: without zones. A nil load leaves loads unknown.
func newGateways(count, zones int, load func(int) float64) (gateways []Gateway) {
	for i := range count {
		gateway := Gateway{Name: fmt.Sprintf("g%d", i)}
		if zones > 0 {
			gateway.Zone = string(rune('a' + i%zones))
		}
		if load != nil {
			gateway.Load = load(i)
		}
		gateways = append(gateways, gateway)
	}
	return gateways
}
