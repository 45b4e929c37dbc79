// Package membership decides which gateways of a fleet are alive.
//
// The package is pure: it has no goroutine, clock, I/O or global state. A driver makes one View with New, feeds it
// events and the time with Step, and carries out the actions that Step returns. One seed and one sequence of steps give
// one sequence of actions.
//
// Probes, indirect probes, suspicion, incarnations and gossip on probes come from SWIM (Das, Gupta, Motivala 2002). A
// member that measures its own health and slows down when it is at fault comes from Lifeguard (Dadgar, Phillips, Currey
// 2018). That several observers must agree before a member is dead comes from Rapid (Suresh and others 2018).
// docs/membership.md compares them with other methods.
//
// All times and durations are milliseconds. Step takes the driver's clock. Time in which the driver did not call Step
// although a Wake was due doesn't count: a process that was stopped has observed nothing in the meantime. A clock that
// goes back stands still.
package membership
