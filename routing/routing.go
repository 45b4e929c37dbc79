// Package routing decides, for one gateway, which database host serves each request, and when a request is
// admitted, retried, rejected or failed. It is a pure module: no goroutine, no clock, no I/O, no global
// state.
//
// # Messages
//
// The embedding program builds a Router with New, passes what has happened as Events to Router.Step and
// carries out the Actions that Step returns, in order. It calls Step whenever it has events and whenever
// the time of the last SetTimer has come. All times are clock times of the embedding program.
//
// # Model
//
// The hosts are divided into groups; a group is one primary and its replicas. As in Harmonia, a gateway
// keeps a dirty set, the writes that are in flight, and the position of the last completed write, here for
// each session (see consistency.go). A read whose session has nothing in the dirty set goes to any replica
// that has applied the position it needs; a read of a dirty session, and every write, goes to the primary.
// Nothing is shared between gateways: what a gateway doesn't know about a replica is decided on the safe
// side, or checked by the replica itself (see StalenessCheck).
//
// # Files
//
// Each rule stands in a file named after it: consistency.go (session consistency), replica.go and lag.go
// (choice of a replica), primary.go (primary discovery), outlier.go (outlier detection and ejection),
// attempt_timeout.go, latency.go, concurrency.go (adaptive concurrency limit), admission.go (load shedding
// by priority), retry.go (retry, deduplication window, giving up), slowstart.go, subset.go, endpoints.go
// (endpoint list and draining), exclusion.go (exclusion by hand), maintenance.go and timer.go. router.go
// and dispatch.go connect them.
//
// # Where requests are rejected
//
// Load is shed, and requests without a chance of a good answer are turned away, at these places. The last
// three are in this package; giveUp (retry.go) then rejects the request, or fails it where a repeat may do
// harm.
//
//   - the client's connection, before there is a request: ClientPool.MaxClients of package pg is reached
//   - Core.Submit of package proxy: Limits.MaxRequests is reached, or no time is left
//   - mayAttempt (retry.go): no time or no attempt is left, a repeat may do harm, or the request itself
//     causes its errors
//   - slow start (dispatch.go, replica.go): the draw for a warming host failed
//   - the admission gate (dispatch.go, admission.go): answers are late, and the draw at the gate failed
//
// # Invariants
//
//   - A request has at most one attempt in flight, and gets at most one final answer: Reject, Fail, or the
//     result of an attempt with RequestDone.
//   - A request that may have run is sent again only if it is idempotent, or inside its deduplication window.
//   - A host that is draining, gone or excluded gets no new request, except the primary during the drain
//     grace period. (Where Settings.UseUnlistedHosts is set, a host that the list drops stays in service.)
//   - The same seed and the same events lead to the same actions: no decision depends on the order of a map.
//   - Events about requests, attempts or hosts that the Router doesn't know, and events that come late or
//     twice, are ignored. A clock that goes back is taken to stand still.
//   - A Router that has nothing to do sets no timer.
//
// After a restart the program builds a new Router with a new seed. It knows nothing of the previous one's
// sessions; Settings.SessionTokensCarried and SiblingProcess cover what clients may expect across a
// restart.
package routing
