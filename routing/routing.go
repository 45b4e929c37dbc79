// Package routing decides, for one gateway, which database host serves each request, and when a request is
// admitted, retried, rejected or failed. It is a pure module: it has no goroutines, clock, I/O or global
// state.
//
// # Messages
//
// The embedding program creates a Router with New, passes Events to Router.Step, and carries out the
// Actions that Step returns, in order. It calls Step whenever it has events and whenever the time of the
// last SetTimer has come. All times are clock times of the embedding program.
//
// # Model
//
// The hosts are divided into groups. A group consists of one primary and its replicas. As in Harmonia, a
// gateway keeps a dirty set, which holds the writes in flight, and the position of the last completed
// write. Here both are kept per session (see consistency.go). A read whose session has no write in the
// dirty set goes to any replica that has applied the required position. A read of a session with such
// writes, and every write, goes to the primary. Gateways share no state. What a gateway doesn't know about
// a replica it decides conservatively, or the replica checks it itself (see StalenessCheck).
//
// # Files
//
// Each rule is in a file named after it: consistency.go (session consistency), replica.go and lag.go
// (replica selection), primary.go (primary discovery), outlier.go (outlier detection and ejection),
// attempt_timeout.go, latency.go, concurrency.go (adaptive concurrency limit), admission.go (load shedding
// by priority), retry.go (retries, deduplication window, giving up), slowstart.go, subset.go, endpoints.go
// (endpoint list and draining), exclusion.go (exclusions by operators), maintenance.go and timer.go.
// router.go and dispatch.go connect them.
//
// # Where requests are rejected
//
// Load is shed, and requests that can't get a useful answer are rejected, in the following places. The last
// three are in this package. There, giveUp (retry.go) rejects the request, or fails it if sending it again
// may do harm.
//
//   - The client's connection, before there is a request: ClientPool.MaxClients of package pg is reached.
//   - Core.Submit of package proxy: Limits.MaxRequests is reached, or no time is left.
//   - mayAttempt (retry.go): no time or no attempt is left, sending the request again may do harm, or the
//     request itself causes its errors.
//   - Slow start (dispatch.go, replica.go): the request failed the random draw for a warming host.
//   - The admission gate (dispatch.go, admission.go): answers are late, and the request failed the draw at
//     the gate.
//
// # Invariants
//
//   - A request has at most one attempt in flight and gets at most one final answer: Reject, Fail, or the
//     result of an attempt with RequestDone.
//   - A request that may have run is sent again only if it is idempotent or within its deduplication
//     window.
//   - A host that is draining, gone or excluded gets no new request, except for the primary during the
//     drain grace period. (If Settings.UseUnlistedHosts is set, a host that is no longer listed stays in
//     service.)
//   - The same seed and the same events lead to the same actions: no decision depends on the order of a
//     map.
//   - Events about unknown requests, attempts or hosts, and late or duplicate events, are ignored. If the
//     clock goes back, the Router assumes that it stands still.
//   - A Router that has nothing to do sets no timer.
//
// After a restart the program creates a new Router with a new seed. This Router has no information about
// the sessions of the previous one. Settings.SessionTokensCarried and SiblingProcess provide the
// consistency that clients may expect across a restart.
package routing
