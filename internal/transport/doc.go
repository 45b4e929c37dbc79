// Package transport carries the membership protocol's datagrams. It encodes and authenticates the messages of a
// membership.View and drives the View on the program's event loop; what the messages say is decided in package
// membership.
//
// A datagram that arrives passes through, in this order: the allowed networks (Transport), the message authentication
// code (Sealer), the decoder (Decode) and the ReplayFilter. One that fails a check is dropped, counted by reason and
// logged at most once a second.
//
// All calls come from the goroutine of the event loop; nothing here is safe for concurrent use.
package transport
