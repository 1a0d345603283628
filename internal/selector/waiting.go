package selector

// waitingList is the requests of a service that wait, the first to wait first. Those that wait no more are left out lazily.
type waitingList struct {
	requests []*Request
	live     int
}

// compactAt is the length from which a list with few live requests is packed.
const compactAt = 64

// startWaiting enters a request in the list of its service.
func (s *Selector) startWaiting(request *Request) {
	if request.Waiter == nil {
		return
	}
	list := &request.service().waiting
	request.waiting = true
	list.live++
	if request.listed {
		return
	}
	request.listed = true
	list.requests = append(list.requests, request)
	if len(list.requests) >= compactAt && len(list.requests) > 2*list.live {
		list.compact()
	}
}

// stopWaiting takes a request off the list.
func (s *Selector) stopWaiting(request *Request) {
	if !request.waiting {
		return
	}
	request.waiting = false
	request.service().waiting.live--
}

// Abandon takes a request off that its caller will not ask for again.
func (s *Selector) Abandon(request *Request) { s.stopWaiting(request) }

func (l *waitingList) compact() {
	kept := l.requests[:0]
	for _, request := range l.requests {
		if request.waiting {
			kept = append(kept, request)
			continue
		}
		request.listed = false
	}
	clear(l.requests[len(kept):])
	l.requests = kept
}

// wakeFor has the first request that waits for a service ask again.
func (s *Selector) wakeFor(service *service) {
	list := &service.waiting
	for len(list.requests) > 0 {
		first := list.requests[0]
		list.requests[0] = nil
		list.requests = list.requests[1:]
		first.listed = false
		if first.waiting {
			first.waiting = false
			list.live--
			s.woken = append(s.woken, first)
			return
		}
	}
	list.requests = nil
}

// wakeTier has all requests that wait for a service ask again.
func (s *Selector) wakeTier(service *service) {
	for service.waiting.live > 0 {
		s.wakeFor(service)
	}
}

// wakeAll has all requests that wait ask again.
func (s *Selector) wakeAll() {
	for _, service := range s.sorted() {
		s.wakeTier(service)
	}
}

// Woken returns the requests that should ask again since something has changed, and forgets them. The caller wakes them once it
// has released its lock. It is asked for after Done, SetConfig, SetInstances, SetEvacuated and SetPeers.
func (s *Selector) Woken() []*Request {
	woken := s.woken
	s.woken = nil
	return woken
}
