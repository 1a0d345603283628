package control

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"wallflow/internal/chain"
	"wallflow/internal/config"
	"wallflow/internal/directory"
	"wallflow/internal/httpapi"
	"wallflow/internal/swim"
)

// ControlHandler serves the operators' API and the endpoints' heartbeats.
func (p *Process) ControlHandler() http.Handler {
	router := httpapi.NewRouter()
	router.PUT("/config", p.putConfig)
	router.PATCH("/config", p.patchConfig)
	router.GET("/config", p.getConfig)
	router.POST("/drain/:zone", p.evacuate)
	router.DELETE("/drain/:zone", p.restore)
	router.PUT("/instances/:id", p.heartbeat)
	router.DELETE("/instances/:id", p.leave)
	router.GET("/healthz", p.health)
	router.GET("/status", p.status)
	router.GET("/metrics", p.metrics)
	return p.datingConnections(router)
}

// DirectoryHandler serves clients that ask for relays.
func (p *Process) DirectoryHandler() http.Handler { return p.directory.Handler() }

func (p *Process) newDirectory() *directory.Directory {
	return directory.New(directory.Options{
		Members:   p.listMembers,
		MaxTTL:    p.settings.Bounds.TTLMax(),
		Region:    p.settings.Region,
		HasQuorum: p.hasQuorum,
		Now:       p.clock,

		Departures:  p.listDepartures,
		HomeRegions: p.homeRegions,
	})
}

// homeRegions returns the sets of home regions of a host's routes, according to the newest configuration that this process knows.
func (p *Process) homeRegions(host string) [][]string {
	p.mu.Lock()
	state := p.published.state
	p.mu.Unlock()
	if state == nil || state.Compiled() == nil {
		return nil
	}
	return state.Compiled().HomeRegions(host)
}

// hasQuorum reports whether a majority of the control processes has recently confirmed the current epoch.
func (p *Process) hasQuorum() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chain.Fresh(p.clock())
}

func (p *Process) listMembers() []swim.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Members()
}

func (p *Process) listDepartures(after time.Time) []swim.Departure {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Departures(after)
}

// health handles GET /healthz: it succeeds while this process has a quorum.
func (p *Process) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !p.hasQuorum() {
		httpapi.Refuse(w, http.StatusServiceUnavailable, "no contact with a majority of the control processes")
		return
	}
	httpapi.AnswerBytes(w, http.StatusOK, []byte("{}"))
}

func (p *Process) putConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	p.submitConfig(w, r, config.Put)
}

func (p *Process) patchConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	p.submitConfig(w, r, config.Patch)
}

// submitConfig submits the document or patch in the request body. If-Match gives the configuration version that it is based on.
func (p *Process) submitConfig(w http.ResponseWriter, r *http.Request, kind config.OrderKind) {
	body, err := readBody(w, r, maxOrderBytes)
	if err != nil {
		refuseUnreadBody(w, err)
		return
	}
	order := config.Order{Kind: kind, Body: body}
	if match := r.Header.Get("If-Match"); match != "" {
		order.Match, err = strconv.ParseUint(match, 10, 64)
		if err != nil {
			httpapi.Refuse(w, http.StatusBadRequest, "If-Match: "+match+" is not a whole number")
			return
		}
		order.HasMatch = true
	}
	p.submit(w, r, order)
}

func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
}

// refuseUnreadBody answers a request whose body could not be read completely. Only a body that is too large is rejected for good; for
// any other error the connection may be at fault, and the answer invites a retry.
func refuseUnreadBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		httpapi.Refuse(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	httpapi.Refuse(w, http.StatusServiceUnavailable, "the body did not come whole: "+err.Error())
}

// submit submits an order, a change requested by an operator, to the chain and answers with its outcome. An order whose caller has
// disconnected is not started: the caller takes it for unanswered and sends it to another process, and may meanwhile have ordered
// otherwise.
func (p *Process) submit(w http.ResponseWriter, r *http.Request, order config.Order) {
	if httpapi.CallerGone(r) {
		p.log.Info("order not started, since its caller has disconnected", "order", order.Kind, "zone", order.Zone, "from", r.RemoteAddr)
		httpapi.Refuse(w, http.StatusServiceUnavailable, "the caller has disconnected")
		return
	}
	timeout := answerTimeout
	if len(order.Body) > largeBodyBytes {
		timeout = largeBodyTimeout
	}
	answer := p.callChain(timeout, p.submission(order))
	p.knownChanges.learn(answer.Reply.Revision) // the answer may come before the change
	advanceDate(r, answer.Reply.Revision)
	status, body := orderResponse(answer)
	if status == http.StatusOK {
		httpapi.AnswerBytes(w, status, body)
		return
	}
	httpapi.Refuse(w, status, string(body))
}

// chainCall starts a request to the chain under the given request number.
type chainCall func(now time.Time, request uint64) chain.Output

// submission returns a call that submits an order to the chain.
func (p *Process) submission(order config.Order) chainCall {
	command := order.Encode()
	return func(now time.Time, request uint64) chain.Output { return p.chain.Submit(now, request, command) }
}

// orderResponse returns the HTTP status and body that answer an order.
func orderResponse(answer chain.Answer) (status int, body []byte) {
	switch {
	case !answer.OutcomeKnown:
		return http.StatusServiceUnavailable, []byte("the outcome is not known yet")
	case answer.Reply.Status == http.StatusOK:
		return http.StatusOK, []byte("{}")
	}
	return answer.Reply.Status, answer.Reply.Body
}

func (p *Process) getConfig(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	status, body := readResponse(p.callChain(answerTimeout, p.chain.Read))
	if status == http.StatusOK {
		httpapi.AnswerBytes(w, status, body)
		return
	}
	httpapi.Refuse(w, status, string(body))
}

// readResponse returns the HTTP status and body that answer a read of the configuration.
func readResponse(answer chain.Answer) (status int, body []byte) {
	if !answer.OutcomeKnown {
		return http.StatusServiceUnavailable, []byte("no contact with the control processes in charge")
	}
	current, ok := answer.State.(replicatedConfig)
	if !ok || current.state.Generation() == 0 {
		return http.StatusServiceUnavailable, []byte("no configuration has been taken yet")
	}
	return http.StatusOK, current.state.Document()
}

// callChain starts a request to the chain and waits for its answer. After the timeout the answer says that the outcome is unknown.
func (p *Process) callChain(timeout time.Duration, call chainCall) chain.Answer {
	request, answers := p.startChainCall(call)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-timer.C:
	}
	p.abandonChainCall(request)
	return chain.Answer{Request: request}
}

// startChainCall starts a request to the chain, and returns its number and the channel that receives its answer.
func (p *Process) startChainCall(call chainCall) (request uint64, answers chan chain.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextRequest++
	answers = make(chan chain.Answer, 1)
	p.pendingAnswers[p.nextRequest] = answers
	now := p.clock()
	p.applyChainOutput(call(now, p.nextRequest))
	p.publishConfig(now)
	return p.nextRequest, answers
}

// abandonChainCall drops the wait for an answer.
func (p *Process) abandonChainCall(request uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pendingAnswers, request)
}
