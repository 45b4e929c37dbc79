// Package proxy is the proxy core between the frontends, which speak to clients, and the database hosts.
//
// A frontend submits requests to the Core. The Core passes what happened as events to a routing.Router, which makes
// every decision, and carries out the actions that come back: it starts and cancels attempts, sends health checks and
// gives each request its final answer. The package knows no wire protocol: clients are behind Responder and Streamer,
// hosts are behind Dialer and UpstreamConn.
//
// All calls and callbacks come from the goroutine of the event loop; nothing here is safe for concurrent use. Times
// are in milliseconds of the clock of eventloop.Timers, except where a type says otherwise.
//
// Ownership:
//   - The Core owns each request from Submit until its final answer, and the record of it until no attempt is open.
//   - A host holds the queue of attempts that wait for a connection, and its upstream connections (pooledConn) while no
//     command is on them: in the list dialing until they are established, and in the list idle between two commands.
//   - While an attempt or a health check runs on a connection, only its hostAttempt refers to it (hostAttempt.conn) and
//     it is in no list. An attempt has at most one connection, from the time it is sent until its result.
//     The exception is the known fault at assignConn: a connection that neither a list nor an attempt refers to.
//   - The Core counts all connections (openConns). Only pooledConn.close takes one out of that count: at the connect
//     timeout, while it is idle, at the abort of the attempt on it, when it is released to a host that is gone, or
//     after its host has ended it.
//
// Invariants:
//   - A request gets at most one final answer, and has at most one open attempt.
//   - The router learns the result of each attempt exactly once.
//   - An attempt whose last byte was not handed to the system can't have run; its outcome says so.
//   - What happens to several hosts at one time happens in the order of their IDs, so that one seed gives one run.
package proxy
