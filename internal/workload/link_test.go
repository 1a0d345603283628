package workload

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// busyZone is a zone of many relays on slow links, whose loads change all the time.
type busyZone struct {
	*network
	random    *rand.Rand
	endpoints int
	sent      map[string]int // bytes by sender, with what a message takes beside itself
}

func newBusyZone(t *testing.T, relays, endpoints int, link float64) *busyZone {
	z := &busyZone{network: newNetworkOf(t, 1, relays, link), random: rand.New(rand.NewPCG(5, 6)), endpoints: endpoints, sent: map[string]int{}}
	z.onSend = func(from string, send Send) { z.sent[from] += proto.Size(send.Message) + messageOverhead }
	return z
}

// churn changes the loads of all relays for a while: each has some six requests a second, most of them small.
func (z *busyZone) churn(span time.Duration) {
	for range int(span / LocalEvery) {
		for index := range z.own {
			loads := make(Loads, 4)
			for range 4 {
				loads[Key(z.random.IntN(z.endpoints))] = Load{Requests: 1, Unread: 300, Held: 400}
			}
			z.own[index].Loads = loads
		}
		z.run(LocalEvery)
	}
}

// The words of a hub take no more than their share of its link, however many relays and endpoints there are. One that took more would
// be late with everything else, and so count as gone.
func TestWordsStayWithinTheLink(t *testing.T) {
	const link = 1.25e6 // 10 Mbit/s
	for _, size := range []struct{ relays, endpoints int }{{50, 160}, {100, 400}, {30, 3000}} {
		z := newBusyZone(t, size.relays, size.endpoints, link)
		z.churn(2 * time.Second)
		clear(z.sent)
		z.churn(4 * time.Second)
		for sender, bytes := range z.sent {
			assert.Assert(t, float64(bytes) <= 1.1*linkShare*link*4, "%d relays: %s sent %d bytes in 4 s", size.relays, sender, bytes)
		}
	}
}

// A large prompt at an endpoint is known to all relays of a busy zone soon, though the words are bounded: what changed most goes first.
func TestLargeChangesGoFirst(t *testing.T) {
	z := newBusyZone(t, 50, 160, 1.25e6)
	z.churn(2 * time.Second)
	const endpoint = Key(1_000_000)
	z.own[0].Loads = Loads{endpoint: {Requests: 1, Unread: 30_000, Held: 31_000}}
	z.run(400 * time.Millisecond)
	for index, node := range z.nodes[1:] {
		others, _, _ := node.Others(z.now)
		assert.Equal(t, others[endpoint].Unread, 30_000, "relay %d", index+1)
	}
}

// What has ended is forgotten everywhere.
func TestEndedLoadsAreForgotten(t *testing.T) {
	z := newBusyZone(t, 20, 160, 1.25e6)
	z.churn(2 * time.Second)
	for index := range z.own {
		z.own[index].Loads = nil
	}
	z.run(4 * time.Second)
	for index, node := range z.nodes {
		others, _, known := node.Others(z.now)
		assert.Assert(t, known)
		assert.Equal(t, len(others), 0, "relay %d: %v", index, others)
	}
}
