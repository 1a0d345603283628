package control

import (
	"math/rand"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"wallflow/internal/swim"
)

// resolution is the answer of the directory.
type resolution struct {
	Addresses []string `json:"addresses"`
	TTLS      int      `json:"ttlS"`
}

// resolve answers a client with the relays near it: those of its zone, else of its region, else all.
func (p *Process) resolve(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	p.mu.Lock()
	members := p.members.Members()
	p.mu.Unlock()
	addresses := nearest(members, query.Get("zone"), query.Get("region"))
	if len(addresses) == 0 {
		refuse(w, http.StatusServiceUnavailable, "no relay is ready")
		return
	}
	answerJSON(w, http.StatusOK, resolution{Addresses: addresses, TTLS: p.directoryTTL()})
}

func (p *Process) directoryTTL() int {
	if most := int(p.settings.Bounds.TTLMax().Seconds()); most > 0 && most < directoryTTL {
		return most
	}
	return directoryTTL
}

// nearest lists the relays that take traffic, of the closest ring around the client that has any.
func nearest(members []swim.Member, zone, region string) []string {
	var inZone, inRegion, anywhere, suspected []string
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
			anywhere = append(anywhere, front)
		}
	}
	for _, ring := range [][]string{inZone, inRegion, anywhere, suspected} {
		if len(ring) > 0 {
			return sample(ring, directoryMost)
		}
	}
	return nil
}

// sample draws so many of the addresses at most.
func sample(addresses []string, most int) []string {
	if len(addresses) <= most {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:most]
}
