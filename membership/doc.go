// Package membership decides which gateways of a fleet are alive.
//
// The package has no goroutines, clock, I/O or global state. A driver creates a View with New, passes events and the
// time to Step, and carries out the actions that Step returns. The same seed and the same sequence of steps always
// produce the same sequence of actions.
//
// Direct and indirect probes, suspicion, incarnations and updates piggybacked on probes follow SWIM (Das, Gupta,
// Motivala 2002). Local health awareness follows Lifeguard (Dadgar, Phillips, Currey 2018): a member that may be at fault
// itself probes and accuses more slowly. The quorum of observers that declares a member dead follows Rapid (Suresh and
// others 2018). docs/membership.md compares these protocols with others.
//
// All times and durations are in milliseconds. Step takes the time of the driver's clock. If Step is called much later
// than Wake, the View's own clock advances only to the time of Wake: a process that was stopped has observed nothing in
// the meantime. If the driver's clock goes back, the View's clock stands still.
package membership
