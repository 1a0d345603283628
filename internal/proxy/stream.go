package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"wallflow/internal/selector"
	"wallflow/internal/upstream"
)

const (
	initialEventBytes = 4 << 10 // capacity of a new event buffer
	maxEventBytes     = 1 << 20 // a larger event ends the attempt
)

var eventBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, initialEventBytes)
	return &buffer
}}

var (
	errEventTooLarge = errors.New("event exceeds the size limit")
	errOutOfOrder    = errors.New("event id is out of order")
	errClientWrite   = errors.New("write to the client failed")
	errPartialEvent  = errors.New("stream without a marked end breaks off within an event")
)

// streamState is the state of a stream across all attempts.
type streamState struct {
	headerSent    bool   // the response header was written
	lastID        int64  // id of the last event that the client has received
	hasID         bool   // lastID is set
	sentWithoutID bool   // an event without an id was forwarded, so that the stream cannot be resumed
	idStep        int64  // difference between the last two event ids; 0: unknown
	irregularStep bool   // idStep has changed within the stream
	version       string // version of the model weights at the last event
}

// resumeAt sets the id after which the client wants the stream to begin, from its Last-Event-Id header.
func (s *streamState) resumeAt(header string) {
	id, err := strconv.ParseInt(strings.TrimSpace(header), 10, 64)
	s.lastID, s.hasID = id, err == nil
}

// accept checks that an event may follow the previous ones, and records it. resumed tells that it is the first event from another
// endpoint: it must continue the regular sequence of ids without a gap.
func (s *streamState) accept(e event, resumed bool) error {
	if e.version != "" {
		s.version = e.version
	}
	if !e.hasID {
		s.sentWithoutID = s.sentWithoutID || e.hasData
		return nil
	}
	if s.hasID && e.id <= s.lastID {
		return errOutOfOrder
	}
	if resumed && s.hasID && s.idStep > 0 && !s.irregularStep && e.id != s.lastID+s.idStep {
		return errOutOfOrder
	}
	if s.hasID && s.headerSent {
		s.updateStep(e.id - s.lastID)
	}
	s.lastID, s.hasID = e.id, true
	return nil
}

// updateStep records the difference between two successive ids.
func (s *streamState) updateStep(step int64) {
	s.irregularStep = s.irregularStep || s.idStep > 0 && step != s.idStep
	s.idStep = step
}

// relayStream forwards a stream. Only complete events are forwarded, so that another endpoint can resume the stream after any of
// them.
func (e *exchange) relayStream(attempt *selector.Attempt, response *upstream.Response) stepResult {
	buffer := eventBuffers.Get().(*[]byte)
	defer eventBuffers.Put(buffer)
	segment := streamSegment{exchange: e, attempt: attempt, response: response, data: (*buffer)[:0], resumed: e.stream.headerSent}
	response.SetDeadline(earlier(e.outgoing.Deadline, e.respondBy)) // until the first event; onFirstEvent extends it
	err := segment.run()
	return e.finishStream(attempt, err)
}

// finishStream ends an attempt's part of a stream, and decides whether another endpoint may resume the stream.
func (e *exchange) finishStream(attempt *selector.Attempt, err error) stepResult {
	var failure *upstream.Error
	switch {
	case err == nil:
		e.server.chooser.done(attempt, selector.Outcome{Kind: selector.Success, MayHaveRun: true})
		e.mayHaveRun = true
		e.server.counters.answered.Add(1)
		return responseSent
	case errors.Is(err, errClientWrite):
		return e.clientWriteFailed(attempt)
	case errors.Is(err, errOutOfOrder):
		e.server.counters.outOfOrder.Add(1)
		e.server.warnings.warn("stream events out of order", e.route.Name)
	}
	outcome := selector.Outcome{Kind: selector.Reset, MayHaveRun: true}
	if errors.As(err, &failure) {
		outcome = outcomeFromError(failure)
	}
	if result := e.finishAttempt(attempt, outcome); result != continueRequest {
		return result
	}
	if e.stream.headerSent && (!e.route.Resume || e.stream.sentWithoutID) {
		return e.abort()
	}
	return continueRequest
}

// streamSegment is the part of a stream that comes from one endpoint.
type streamSegment struct {
	exchange *exchange
	attempt  *selector.Attempt
	response *upstream.Response
	data     []byte // read but not yet forwarded
	searched int    // length of the part of data that contains no end of an event
	resumed  bool   // events from another endpoint were forwarded before
	started  bool   // an event of this segment was accepted
}

// run forwards events until the stream ends. It returns nil if the stream ended properly.
func (s *streamSegment) run() error {
	for {
		if err := s.readMore(); err == io.EOF {
			return s.finish()
		} else if err != nil {
			return err
		}
		if err := s.forwardEvents(); err != nil {
			return err
		}
	}
}

// readMore reads more bytes into data.
func (s *streamSegment) readMore() error {
	if len(s.data) == cap(s.data) {
		if len(s.data) >= maxEventBytes {
			return errEventTooLarge
		}
		s.data = append(s.data, 0)[:len(s.data)]
	}
	n, err := s.response.Read(s.data[len(s.data):cap(s.data)])
	s.data = s.data[:len(s.data)+n]
	if err != nil && n > 0 { // first forward what arrived before the end or the failure
		if forwardErr := s.forwardEvents(); forwardErr != nil {
			return forwardErr
		}
	}
	return err
}

// forwardEvents forwards all complete events in data with one write.
func (s *streamSegment) forwardEvents() error {
	complete := 0
	for {
		length := eventEnd(s.data[complete:], s.searched)
		if length == 0 {
			break
		}
		if err := s.checkEvent(s.data[complete : complete+length]); err != nil {
			s.writeEvents(s.data[:complete])
			return err
		}
		complete += length
		s.searched = 0
	}
	err := s.writeEvents(s.data[:complete])
	s.data = s.data[:copy(s.data, s.data[complete:])]
	s.searched = len(s.data)
	return err
}

// checkEvent checks whether an event may be forwarded.
func (s *streamSegment) checkEvent(data []byte) error {
	first := s.resumed && !s.started
	if err := s.exchange.stream.accept(parseEvent(data), first); err != nil {
		return err
	}
	if !s.started {
		s.onFirstEvent()
	}
	return nil
}

// onFirstEvent handles the first event of this segment. From then on the attempt timeout no longer applies, only the deadline of the
// request.
func (s *streamSegment) onFirstEvent() {
	e := s.exchange
	s.started = true
	s.response.SetDeadline(e.request.Deadline)
	e.server.chooser.firstByte(s.attempt)
	e.mayHaveRun = true
	if s.resumed {
		e.server.counters.resumed.Add(1)
		return
	}
	s.writeHeader()
}

// writeHeader sends the response header, which is that of the first endpoint also if another one resumes the stream.
func (s *streamSegment) writeHeader() {
	e := s.exchange
	e.stream.headerSent = true
	e.errorResponse = nil // can no longer be sent
	if e.stream.version == "" {
		e.stream.version = s.response.Header.Get(headerVersions)
	}
	e.copyHeader(s.response.Header)
	e.announceClose()
	e.w.WriteHeader(s.response.Status)
}

// writeEvents writes events to the client and flushes them.
func (s *streamSegment) writeEvents(events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if _, err := s.exchange.w.Write(events); err != nil {
		return errClientWrite
	}
	if err := http.NewResponseController(s.exchange.w).Flush(); err != nil {
		return errClientWrite
	}
	s.exchange.record.addEvent(s.exchange.server.options.Now())
	return nil
}

// finish completes a stream that the endpoint has ended properly. Bytes after the last event are forwarded too, if the stream marks
// its own end. If it does not, they are the beginning of an event whose rest is missing.
func (s *streamSegment) finish() error {
	if len(s.data) > 0 && !s.response.SelfDelimited() {
		return errPartialEvent
	}
	if !s.exchange.stream.headerSent {
		s.writeHeader()
	}
	if len(s.data) > 0 {
		return s.writeEvents(s.data)
	}
	return nil
}
