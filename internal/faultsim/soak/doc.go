// Package soak runs the real gateway program against stub database hosts, a stub discovery service and clients. A run
// injects faults, sends signals to the gateway's process, and checks the rules of the service by what the hosts and the
// clients observed. A seed determines the deployment, the load, the faults and the signals of a run. The timing of real
// processes differs from one run of a seed to the next, so a seed does not reproduce the interleaving of events.
package soak
