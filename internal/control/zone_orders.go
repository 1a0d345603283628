package control

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"wallflow/internal/config"
	"wallflow/internal/httpapi"
)

// Orders about zones have no version, unlike configurations. So that one that was delayed does not undo a newer one, each carries the
// number of changes that this process knew of when the operator still waited for it (config.Order.KnownChanges). The chain refuses an
// order whose zone has changed since. The number is therefore taken first, and submit checks afterwards that the caller is still there.

// changesAtAcceptKey is the context key for the number of changes that were known when the connection of a request was accepted.
type changesAtAcceptKey struct{}

// OnAccept records the number of changes that are known now with a new connection. It is the httpapi.Options.OnAccept of ControlHandler.
func (p *Process) OnAccept(ctx context.Context) context.Context {
	return context.WithValue(ctx, changesAtAcceptKey{}, p.knownChanges.Load())
}

// changesKnownAtSending returns a number of changes that this process knew of before the caller of a request could have given it up. For
// the first request on a connection that is the number at the time when the connection was accepted, since the request itself may have
// been delayed in the network. A later request may be much younger than its connection; its number is that of now.
func (p *Process) changesKnownAtSending(r *http.Request) uint64 {
	if changes, ok := r.Context().Value(changesAtAcceptKey{}).(uint64); ok && httpapi.IsFirstOnConnection(r) {
		return changes
	}
	return p.knownChanges.Load()
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
	p.submit(w, r, zoneOrder(kind, zone, p.changesKnownAtSending(r)))
}

// zoneOrder returns an order to evacuate or restore a zone.
func zoneOrder(kind config.OrderKind, zone string, knownChanges uint64) config.Order {
	return config.Order{Kind: kind, Zone: zone, HasKnownChanges: true, KnownChanges: knownChanges}
}
