// Package proxy is the HTTP data plane of a relay: it accepts requests from clients, has the selector choose an endpoint for each,
// forwards them through the upstream connection pool, and returns responses and event streams unchanged.
//
// It guarantees the following. A request that is not idempotent is sent again only after proof that it did not run. Status 503
// promises that a request did not run and never will, so a request that may have run gets 502 or 504 instead. A response that
// ends early never looks complete. Every request that was read gets a response, also while the process drains.
//
// Clients are served by net/http without a router, because every path belongs to the clients and must be neither cleaned nor
// redirected. Only the listener for readiness probes and metrics has a router. The goroutine of a connection does all the work on
// its requests.
package proxy
