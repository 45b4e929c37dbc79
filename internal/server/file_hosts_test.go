package server

import (
	"reflect"
	"testing"

	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// Guards against requests that were sent to a draining host, because a reload of an operator's file undid what discovery
// had told.
func TestReloadedFileKeepsWhatDiscoveryHasTold(t *testing.T) {
	host := func(id string, state routing.EndpointState) proxy.Host {
		return proxy.Host{Address: id + ":1", Endpoint: routing.Endpoint{ID: id, State: state}}
	}
	const ready, draining, gone = routing.StateReady, routing.StateDraining, routing.StateGone
	moved := host("a", ready)
	moved.Address = "a:2"
	movedDraining := host("a", draining)
	movedDraining.Address = "a:2"
	discovered := discoveredStates{}.apply(true, []proxy.Host{host("a", draining), host("b", ready), host("d", draining)})
	discovered = discovered.apply(false, []proxy.Host{host("b", gone), host("e", ready)})
	for name, test := range map[string]struct{ previous, current, want []proxy.Host }{
		"unchanged":        {[]proxy.Host{host("a", ready)}, []proxy.Host{host("a", ready)}, nil},
		"one more":         {[]proxy.Host{host("a", ready)}, []proxy.Host{host("a", ready), host("c", ready)}, []proxy.Host{host("c", ready)}},
		"drained by file":  {[]proxy.Host{host("b", ready)}, []proxy.Host{host("b", draining)}, []proxy.Host{host("b", draining)}},
		"readied by file":  {[]proxy.Host{host("a", draining)}, []proxy.Host{host("a", ready)}, []proxy.Host{host("a", ready)}},
		"other address":    {[]proxy.Host{host("a", ready)}, []proxy.Host{moved}, []proxy.Host{movedDraining}},
		"discovered":       {nil, []proxy.Host{host("d", ready)}, []proxy.Host{host("d", draining)}},
		"removed":          {[]proxy.Host{host("c", ready)}, nil, []proxy.Host{host("c", gone)}},
		"still discovered": {[]proxy.Host{host("e", ready)}, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if got := changedFileHosts(test.previous, test.current, discovered); !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
