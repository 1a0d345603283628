package proxy

import (
	"sync/atomic"

	"wallflow/internal/upstream"
)

// Stats holds counters since the start, and current values.
type Stats struct {
	Requests       uint64 // requests read from clients
	Answered       uint64 // requests answered with the complete success response of an endpoint
	EndpointErrors uint64 // requests answered with the error response of an endpoint
	Refused        uint64 // requests answered with 503: did not run
	BadGateway     uint64 // requests answered with 502: may have run
	GatewayTimeout uint64 // requests answered with 504: may have run, and the deadline was reached
	NoRoute        uint64 // requests answered with 404: no route
	BadRequest     uint64 // requests answered with 400, 408 or 413
	Aborted        uint64 // responses that were begun and could not be completed
	ClientGone     uint64 // requests whose client disconnected
	Attempts       uint64 // attempts to send a request to an endpoint
	Resumed        uint64 // streams that were resumed at another endpoint
	NoStamp        uint64 // 2xx responses without X-Server-Stamp, which are not forwarded
	OutOfOrder     uint64 // streams with event ids that did not increase as expected
	Shed           uint64 // idle client connections closed to make room

	LateByCause [causeCount]uint64 // late and unanswered requests, by Cause

	Clients   int   // open client connections
	BodyBytes int64 // memory reserved for request bodies, without pooled buffers
	Upstream  upstream.Stats
}

// counters are the live counters behind Stats.
type counters struct {
	requests, answered, endpointErrors, refused, badGateway, gatewayTimeout, noRoute, badRequest atomic.Uint64
	aborted, clientGone, attempts, resumed, noStamp, outOfOrder                                  atomic.Uint64
}

// Stats returns the counters and current values.
func (s *Server) Stats() Stats {
	counts := &s.counters
	stats := Stats{
		Requests: counts.requests.Load(), Answered: counts.answered.Load(), EndpointErrors: counts.endpointErrors.Load(),
		Refused: counts.refused.Load(), BadGateway: counts.badGateway.Load(), GatewayTimeout: counts.gatewayTimeout.Load(),
		NoRoute: counts.noRoute.Load(), BadRequest: counts.badRequest.Load(), Aborted: counts.aborted.Load(),
		ClientGone: counts.clientGone.Load(), Attempts: counts.attempts.Load(), Resumed: counts.resumed.Load(),
		NoStamp: counts.noStamp.Load(), OutOfOrder: counts.outOfOrder.Load(),
		BodyBytes: s.bodies.used.Load(), Upstream: s.options.Pool.Stats(),
	}
	for cause := range stats.LateByCause {
		stats.LateByCause[cause] = s.causeCounts[cause].Load()
	}
	stats.Clients, stats.Shed = s.acceptor.count()
	return stats
}
