package main

import (
	"sync"
	"time"
)

const (
	drainRelay     = 2                      // index in the relays; the leaving endpoint is in its zone
	drainSettle    = 22 * time.Second       // until every relay is fed by the control process of its zone
	drainAfterKill = 200 * time.Millisecond // from the kill of one control process until the endpoint leaves
	drainUntilAll  = 300 * time.Millisecond // from the acknowledgement until all control processes are killed
	drainDown      = 600 * time.Millisecond // from the kill of the control processes until they start again
	drainBound     = 3 * time.Second        // drainMs of the settings
	drainServes    = 11 * time.Second       // how long the endpoint serves on after the acknowledgement
	drainClients   = 6
)

// drainCase has an endpoint leave with DELETE and serve on. Meanwhile the control process next to it is down, and all control
// processes are killed at once after the acknowledgement and come back with their disks. Without the disruption nothing is killed.
func drainCase(root string, trouble bool, r *record) int {
	s, err := newSystem(root, 3)
	if err != nil {
		r.say("not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	if err := s.startAll(); err != nil {
		r.say("not run: %v", err)
		return exitNotRun
	}
	var endpoints []*endpoint
	for i := range len(places) { // one in each zone, as the service `slot-register` has
		e, err := startEndpoint(s, i, "register", places[i%len(places)], plainAnswer)
		if err != nil {
			r.say("not run: %v", err)
			return exitNotRun
		}
		defer e.close()
		endpoints = append(endpoints, e)
	}
	leaving := endpoints[drainRelay]
	o := newOperator(s)
	if status, err := o.order("PUT", "/config", "0", evacDocument(), 15*time.Second); err != nil || status != 200 {
		r.say("not run: first configuration: %d %v", status, err)
		return exitNotRun
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		r.say("not run: %v", err)
		return exitNotRun
	}
	time.Sleep(drainSettle)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	served := 0
	sentAt := map[string]time.Time{}
	for i := range drainClients {
		clients.Go(func() {
			var k *kept
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if k == nil {
					if k, err = open(s.relays[drainRelay].at(portFront)); err != nil {
						k = nil
						continue
					}
				}
				a, closing := k.send("ficu95.example", "/gate/2f", "", []byte("{}"), 3*time.Second)
				r.note("client %d: %s: status %d complete %t", i, a.id, a.status, a.complete)
				mu.Lock()
				sentAt[a.id] = a.sentAt
				if a.status == 200 && a.complete {
					served++
				}
				mu.Unlock()
				if closing {
					k.conn.Close()
					k = nil
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	before := len(allRuns([]*endpoint{leaving}))
	nearby := s.controls[drainRelay] // feeds the relay
	if trouble {
		r.note("%s is killed", nearby.name)
		killAll([]*machine{nearby})
	}
	time.Sleep(drainAfterKill)
	acked, ok := leaving.leave(r, 5*time.Second)
	if !ok {
		r.say("not run: the departure got no acknowledgement")
		return exitNotRun
	}
	if trouble {
		time.Sleep(drainUntilAll)
		r.note("all control processes are killed")
		killAll(s.controls)
		time.Sleep(drainDown)
		if err := s.startAgain(s.controls); err != nil {
			r.say("not run: %v", err)
			return exitNotRun
		}
		r.note("all control processes are started again")
	}
	binds := acked.Add(drainBound)
	if inTouch := time.Now().Add(contactBound); trouble && inTouch.After(binds) {
		binds = inTouch
	}
	time.Sleep(time.Until(acked.Add(drainServes)))
	close(stop)
	clients.Wait()
	late, last := 0, time.Duration(0)
	mu.Lock()
	defer mu.Unlock()
	for _, each := range allRuns([]*endpoint{leaving}) {
		last = max(last, each.at.Sub(acked))
		if sent, known := sentAt[each.id]; known && sent.After(binds) {
			late++
			r.note("%s ran %s %.3f s after its departure was acknowledged", each.endpoint, each.id, each.at.Sub(acked).Seconds())
		}
	}
	r.say("requests %d, served %d, run by the leaving endpoint before its departure %d", len(sentAt), served, before)
	r.say("the last request reached it %.3f s after the acknowledgement; the rule binds from %.3f s on", last.Seconds(), binds.Sub(acked).Seconds())
	r.say("requests that reached the leaving endpoint more than drainMs after the acknowledgement, with all machines in touch: %d", late)
	if late > 0 {
		r.say("DRAIN is broken")
		return exitBroken
	}
	if served < len(sentAt)*8/10 || before < 20 {
		r.say("not run: too few requests were served")
		return exitNotRun
	}
	return exitHeld
}
