// Package transport sends and receives the membership protocol's datagrams. It encodes and authenticates the messages of
// a membership.View and runs the View on the program's event loop. Package membership decides what the messages contain.
//
// A received datagram is checked in this order: the source address against the allowed networks (Transport), the message
// authentication code (Sealer), the body (Decode) and the counter (ReplayFilter). A datagram that fails a check is
// dropped and counted by reason. Dropped datagrams are logged at most once a second.
//
// All calls must come from the goroutine of the event loop; nothing in this package is safe for concurrent use.
package transport
