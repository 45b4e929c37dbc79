// Package proxy is the proxy core between the frontends, which serve the clients, and the database hosts.
//
// A frontend submits requests to the Core. The Core reports events to a routing.Router, which makes every decision, and
// executes the actions that the router returns: it starts and cancels attempts, sends health checks and gives each
// request its final answer. The package is independent of wire protocols. Responder and Streamer represent a client,
// Dialer and UpstreamConn represent a host.
//
// All calls and callbacks come from the goroutine of the event loop; nothing here is safe for concurrent use. Unless
// stated otherwise, times are in milliseconds of the clock of eventloop.Timers.
//
// Ownership:
//   - The Core keeps a request from Submit until it has its final answer and no attempt of it is open.
//   - A host holds the queue of attempts that wait for a connection. It also holds its upstream connections (pooledConn)
//     that carry no command: the list dialing has those that are not yet established, and the list idle has the
//     established ones.
//   - A connection that carries the command of an attempt or a health check is in no list. Only the hostAttempt refers
//     to it (hostAttempt.conn). An attempt has at most one connection, from the time it is sent until its result.
//     So an open connection is always in one of the two lists or carries an attempt. Tests and the fault simulator check
//     that with CheckAccounting.
//   - The Core counts all connections (openConns). Only pooledConn.close decrements that count. It is called at the
//     connect timeout, for an idle connection, when the attempt on the connection is aborted, after a response that ends
//     the connection, when the address of the host has changed, when the connection is released to a host that is gone,
//     and after the host has closed the connection.
//
// Invariants:
//   - A request gets at most one final answer, and has at most one open attempt.
//   - The router gets the result of each attempt exactly once.
//   - An attempt whose last byte was not handed to the system can't have run, and its outcome is one that says so.
//   - An operation on several hosts processes them in the order of their IDs, so that runs with the same seed are equal.
package proxy
