// Package fleet decides how the gateways of a fleet use a shared set of hosts. It computes which hosts a gateway uses,
// its share of each host's capacity, and when it makes the calls that all gateways make, such as polls of discovery.
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
