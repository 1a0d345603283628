package selector

// waitingList holds the requests of a service that wait, in the order in which they began to wait. Requests that no
// longer wait are removed lazily.
type waitingList struct {
	requests []*Request
	count    int // requests that still wait
}

// minCompactLength is the minimum length at which a list is compacted, if most of its requests no longer wait.
const minCompactLength = 64

// startWaiting adds a request to the waiting list of its service.
func (s *Selector) startWaiting(request *Request) {
	if request.Waiter == nil {
		return
	}
	list := &request.service().waiting
	request.waiting = true
	list.count++
	if request.listed {
		return
	}
	request.listed = true
	list.requests = append(list.requests, request)
	if len(list.requests) >= minCompactLength && len(list.requests) > 2*list.count {
		list.compact()
	}
}

// stopWaiting marks a request as no longer waiting.
func (s *Selector) stopWaiting(request *Request) {
	if !request.waiting {
		return
	}
	request.waiting = false
	request.service().waiting.count--
}

// Abandon ends the wait of a request for which the caller will not call Choose again.
func (s *Selector) Abandon(request *Request) { s.stopWaiting(request) }

// compact removes the requests that no longer wait.
func (l *waitingList) compact() {
	remaining := l.requests[:0]
	for _, request := range l.requests {
		if request.waiting {
			remaining = append(remaining, request)
			continue
		}
		request.listed = false
	}
	clear(l.requests[len(remaining):])
	l.requests = remaining
}

// wakeFirst wakes the request that has waited longest for a service: it is added to the list that Woken returns.
func (s *Selector) wakeFirst(service *service) {
	list := &service.waiting
	for len(list.requests) > 0 {
		first := list.requests[0]
		list.requests[0] = nil
		list.requests = list.requests[1:]
		first.listed = false
		if first.waiting {
			first.waiting = false
			list.count--
			s.woken = append(s.woken, first)
			return
		}
	}
	list.requests = nil
}

// wakeService wakes all requests that wait for a service.
func (s *Selector) wakeService(service *service) {
	for service.waiting.count > 0 {
		s.wakeFirst(service)
	}
}

// wakeAll wakes all waiting requests.
func (s *Selector) wakeAll() {
	for _, service := range s.sortedServices() {
		s.wakeService(service)
	}
}

// Woken returns the requests that should call Choose again since something has changed, and clears the list. The
// caller wakes them after it has released its lock. It calls Woken after Done, SetConfig, SetInstances, SetEvacuated
// and SetPeers.
func (s *Selector) Woken() []*Request {
	woken := s.woken
	s.woken = nil
	return woken
}
