package control

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/julienschmidt/httprouter"

	"wallflow/internal/config"
	"wallflow/internal/httpapi"
)

// Orders about zones have no version, unlike configurations. So that one that was delayed does not undo a newer one, each carries a number
// of changes that this process knew of before the order was sent (config.Order.KnownChanges). The chain refuses an order whose zone has
// been ordered about since. submit also checks that the caller has not disconnected by then.

// orderDate is the number of changes that were known before a connection's next request was sent. That is when the connection was
// opened, for its first request, and when the request before was answered, for a later one: a request may be held up in the network
// for any time after it was sent, and the end of its connection arrives later still.
type orderDate struct {
	atAccept uint64        // before the connection was opened
	latest   atomic.Uint64 // when the last request was answered
}

// advance records a number of changes that were known when a request was answered.
func (d *orderDate) advance(changes uint64) {
	for {
		known := d.latest.Load()
		if changes <= known || d.latest.CompareAndSwap(known, changes) {
			return
		}
	}
}

// orderDateKey is the context key for the orderDate of the connection of a request.
type orderDateKey struct{}

// orderDateOf returns the date of a request's connection, or nil if the request did not come through a httpapi.Server.
func orderDateOf(r *http.Request) *orderDate {
	date, _ := r.Context().Value(orderDateKey{}).(*orderDate)
	return date
}

// OnAccept records the number of changes that were known before a new connection was opened. It is the httpapi.Options.OnAccept of ControlHandler.
func (p *Process) OnAccept(ctx context.Context) context.Context {
	date := &orderDate{atAccept: p.knownChanges.beforeAccept(p.clock())}
	date.latest.Store(date.atAccept)
	return context.WithValue(ctx, orderDateKey{}, date)
}

// datingConnections returns a handler that dates the connections of the requests to another handler.
func (p *Process) datingConnections(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		known := p.knownChanges.now() // before the answer: its caller may have it, and send the next request, at any time from then on
		handler.ServeHTTP(w, r)
		advanceDate(r, known)
	})
}

// advanceDate dates the requests after one that is being answered. One with a body does not, since it can't be seen whether the next one
// is read before its answer.
func advanceDate(r *http.Request, changes uint64) {
	if date := orderDateOf(r); date != nil && r.Body == http.NoBody {
		date.advance(changes)
	}
}

// changesKnownAtSending returns a number of changes that this process knew of before the caller sent the request. Requests that are sent
// ahead of answers may be as old as their connection.
func (p *Process) changesKnownAtSending(r *http.Request) uint64 {
	date := orderDateOf(r)
	switch {
	case date == nil:
		return p.knownChanges.now()
	case httpapi.IsPipelined(r):
		return date.atAccept
	}
	return date.latest.Load()
}

func (p *Process) evacuate(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.submitZoneOrder(w, r, config.Evacuate, params.ByName("zone"))
}

func (p *Process) restore(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.submitZoneOrder(w, r, config.Restore, params.ByName("zone"))
}

func (p *Process) submitZoneOrder(w http.ResponseWriter, r *http.Request, kind config.OrderKind, zone string) {
	if _, known := p.settings.Zones[zone]; !known {
		httpapi.Refuse(w, http.StatusNotFound, "no zone "+zone)
		return
	}
	if httpapi.IsPipelined(r) { // its connection is not dated any more, so the next order needs a new one
		w.Header().Set("Connection", "close")
	}
	p.submit(w, r, zoneOrder(kind, zone, p.changesKnownAtSending(r)))
}

// zoneOrder returns an order to evacuate or restore a zone.
func zoneOrder(kind config.OrderKind, zone string, knownChanges uint64) config.Order {
	return config.Order{Kind: kind, Zone: zone, HasKnownChanges: true, KnownChanges: knownChanges}
}
