// Package fleet divides a shared set of hosts among the gateways of a fleet. It computes subsets of hosts, shares of a
// host's capacity, and when a gateway makes the calls that every gateway makes: time slots and polls of discovery.
//
// The package is pure: it has no goroutine, clock, I/O or global state. All gateways compute the same result from the
// same input, so their shares add up to the whole without any coordination between them. If their inputs differ, the
// sums are wrong by as much as the inputs differ.
//
// Subsets use rendezvous hashing (Thaler and Ravishankar 1998) with the bound of consistent hashing with bounded loads
// (Mirrokni, Thorup, Zadimoghaddam 2016). docs/fleet.md compares them with other methods.
//
// Times and durations are in milliseconds on the caller's clock unless their names give another unit. Rates are per
// second.
package fleet
