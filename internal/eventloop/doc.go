// Package eventloop is the program's one event loop: epoll, the clock, timers, and connections, listeners and datagram
// sockets that never block. It knows nothing of the protocols spoken on them.
//
// Loop.Run works in rounds. A round waits until a descriptor is ready, a timer is due or a function was posted; then it
// runs, in this order, the functions for the round, the handlers of the ready descriptors, the timers that are due and
// the caller's step function.
//
// Everything runs on the goroutine that calls Loop.Run, and all functions and methods must be called from it, except
// Loop.Post. Times are in milliseconds.
package eventloop
