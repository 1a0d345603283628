// Package proxy is the data plane of the system: it takes requests from clients, has the selector choose an endpoint for each,
// sends them on through the upstream pool, and passes answers and streams back without change.
//
// What binds it: a request that is not idempotent is sent again only after proof that it did not run; 503 promises that a request
// did not run and never will, so one that may have run gets 502 or 504; an answer that ends early never looks complete; and every
// request that was read is answered, also when the process is told to stop.
//
// Clients are served by net/http without a router, since any path is theirs and none may be cleaned or redirected; the platform's
// own address has one. Each connection's goroutine does the whole work of its requests.
package proxy
