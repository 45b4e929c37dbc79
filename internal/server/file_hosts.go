package server

import (
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// An operator's file can list hosts beside a discovery. What discovery has told stands until the file says something else
// about a host than it did before.

// discoveredStates are the states that discovery has told, by host ID. Hosts that are gone are left out.
type discoveredStates map[string]routing.EndpointState

// apply records an update of the endpoint list and returns the states after it.
func (d discoveredStates) apply(complete bool, hosts []proxy.Host) discoveredStates {
	if complete || d == nil {
		d = discoveredStates{}
	}
	for _, host := range hosts {
		if host.State == routing.StateGone {
			delete(d, host.ID)
		} else {
			d[host.ID] = host.State
		}
	}
	return d
}

// reloadFileHosts applies the host list of an operator's file that was read again.
func (s *Server) reloadFileHosts(hosts []proxy.Host) {
	if len(hosts) == 0 {
		return
	}
	previous := s.config.KnownHosts
	s.config.KnownHosts = hosts
	if s.config.Discovery == "" {
		s.core.UpdateHosts(true, hosts)
		return
	}
	s.core.UpdateHosts(false, changedFileHosts(previous, hosts, s.discovered))
}

// changedFileHosts returns the entries of a file's host list that differ from its previous one, and those that are missing
// from it, which are gone unless discovery lists them. A state that the file doesn't change is the one that discovery has
// told, if it has.
func changedFileHosts(previous, current []proxy.Host, discovered discoveredStates) (changed []proxy.Host) {
	missing := map[string]proxy.Host{}
	for _, host := range previous {
		missing[host.ID] = host
	}
	for _, host := range current {
		before, wasListed := missing[host.ID]
		delete(missing, host.ID)
		if wasListed && before == host {
			continue
		}
		stateUnchanged := before.State == host.State || !wasListed && host.State == routing.StateReady
		if told, ok := discovered[host.ID]; ok && stateUnchanged {
			host.State = told
		}
		changed = append(changed, host)
	}
	for _, host := range previous {
		_, isMissing := missing[host.ID]
		if _, ok := discovered[host.ID]; isMissing && !ok {
			host.State = routing.StateGone
			changed = append(changed, host)
		}
	}
	return changed
}
