// Package directory tells clients which relays to go to. Control processes and relays serve it alike, from membership.
package directory

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"wallflow/internal/httpapi"
	"wallflow/internal/swim"
)

const (
	// holdFor is how long a client may hold an answer.
	holdFor = 2 * time.Second
	// mostAddresses is the largest number of addresses that a client takes.
	mostAddresses = 64
)

// Options are what a directory answers from.
type Options struct {
	Members func() []swim.Member // all that are believed to live; called from several goroutines
	HoldMax time.Duration        // the longest time that a client holds an answer; 0: no bound
}

// Resolution is the answer of the directory.
type Resolution struct {
	Addresses []string `json:"addresses"`
	TTLS      int      `json:"ttlS"`
}

// NewHandler serves GET /resolve.
func NewHandler(options Options) http.Handler {
	router := httpapi.NewRouter()
	router.GET("/resolve", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		query := r.URL.Query()
		addresses := Nearest(options.Members(), query.Get("zone"), query.Get("region"))
		if len(addresses) == 0 {
			httpapi.Refuse(w, http.StatusServiceUnavailable, "no relay is ready")
			return
		}
		httpapi.AnswerJSON(w, http.StatusOK, Resolution{Addresses: addresses, TTLS: options.holdSeconds()})
	})
	return router
}

func (o Options) holdSeconds() int {
	hold := holdFor
	if o.HoldMax > 0 {
		hold = min(hold, o.HoldMax)
	}
	return max(1, int(hold.Seconds()))
}

// Nearest lists the relays that take traffic, of the closest ring around the client that has any: its zone, its region, all, and
// for want of others those that are under suspicion.
func Nearest(members []swim.Member, zone, region string) []string {
	var inZone, inRegion, elsewhere, suspected []string
	for _, member := range members {
		front := member.Meta.Front
		switch {
		case front == "" || !member.Meta.Serving:
		case member.Status != swim.Alive:
			suspected = append(suspected, front)
		case member.Meta.Zone == zone:
			inZone = append(inZone, front)
		case member.Meta.Region == region:
			inRegion = append(inRegion, front)
		default:
			elsewhere = append(elsewhere, front)
		}
	}
	for _, ring := range [][]string{inZone, inRegion, elsewhere, suspected} {
		if len(ring) > 0 {
			return sample(ring)
		}
	}
	return nil
}

// sample draws as many of the addresses as a client takes.
func sample(addresses []string) []string {
	if len(addresses) <= mostAddresses {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:mostAddresses]
}
