package fleet

import "fmt"

// newHosts returns hosts that are spread over the given number of zones. With 0 zones, their zones are unknown.
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

// newGateways returns gateways that are spread over the given number of zones. With 0 zones, their zones are unknown. If
// load is nil, their loads are unknown.
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
