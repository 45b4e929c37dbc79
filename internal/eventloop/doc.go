// Package eventloop implements the program's single event loop on top of epoll. It provides the clock, timers, and
// non-blocking connections, listeners and datagram sockets. It is independent of the protocols that use them.
//
// Loop.Run works in rounds. A round waits until a descriptor is ready, a timer is due or a function was posted. Then it
// runs, in this order, the functions that were queued by Loop.NextRound, the handlers of the ready descriptors (posted
// functions among them), the timers that are due, and the caller's step function.
//
// Everything runs on the goroutine that calls Loop.Run, and all functions and methods must be called from it, except
// Loop.Post. Times are in milliseconds.
package eventloop
