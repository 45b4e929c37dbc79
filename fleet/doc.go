// Package fleet computes which part of a shared set of hosts one gateway of many uses, and when it does what every
// gateway of the fleet does: subsets of hosts, shares of a host's capacity, time slots, polls of discovery.
//
// The package is pure: it has no goroutine, clock, I/O or global state. Every gateway computes the same result from the
// same facts, so the gateways' shares add up without any coordination between them. Where the gateways' facts differ,
// the sums are wrong by as much as the facts are.
//
// Subsets use rendezvous hashing (Thaler and Ravishankar 1998) with the bound of consistent hashing with bounded loads
// (Mirrokni, Thorup, Zadimoghaddam 2016). docs/fleet.md compares them with other methods.
//
// All times and durations are milliseconds on the caller's clock where their names give no other unit, all rates are
// per second.
package fleet
