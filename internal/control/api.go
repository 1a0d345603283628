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

// ControlHandler serves the operator's API and the endpoints' heartbeats.
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
	return router
}

// DirectoryHandler serves clients that ask where to go.
func (p *Process) DirectoryHandler() http.Handler { return p.directory.Handler() }

func (p *Process) newDirectory() *directory.Directory {
	return directory.New(directory.Options{
		Members: p.listMembers,
		HoldMax: p.settings.Bounds.TTLMax(),
		Region:  p.settings.Region,
		InTouch: p.inTouch,
		Now:     p.clock,

		HomeRegions: p.homeRegions,
	})
}

// homeRegions returns the sets of home regions of a host's routes, by the newest configuration known here.
func (p *Process) homeRegions(host string) [][]string {
	p.mu.Lock()
	state := p.published.state
	p.mu.Unlock()
	if state == nil || state.Compiled() == nil {
		return nil
	}
	return state.Compiled().HomeRegions(host)
}

// inTouch tells whether a majority of the control processes confirmed the epoch a moment ago.
func (p *Process) inTouch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chain.Fresh(p.clock())
}

func (p *Process) listMembers() []swim.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Members()
}

func (p *Process) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !p.inTouch() {
		httpapi.Refuse(w, http.StatusServiceUnavailable, "no contact with a majority of the control processes")
		return
	}
	httpapi.AnswerBytes(w, http.StatusOK, []byte("{}"))
}

func (p *Process) putConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	p.takeConfig(w, r, config.Put)
}

func (p *Process) patchConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	p.takeConfig(w, r, config.Patch)
}

func (p *Process) takeConfig(w http.ResponseWriter, r *http.Request, kind config.OrderKind) {
	body, err := readBody(w, r, maxOrderBytes)
	if err != nil {
		refuseUnread(w, err)
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

func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, most))
}

// refuseUnread answers a request whose body did not come whole: the connection may be what failed, so that only a body that is
// too large gets a final answer.
func refuseUnread(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		httpapi.Refuse(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	httpapi.Refuse(w, http.StatusServiceUnavailable, "the body did not come whole: "+err.Error())
}

func (p *Process) evacuate(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.orderZone(w, r, config.Evacuate, params.ByName("zone"))
}

func (p *Process) restore(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.orderZone(w, r, config.Restore, params.ByName("zone"))
}

func (p *Process) orderZone(w http.ResponseWriter, r *http.Request, kind config.OrderKind, zone string) {
	if _, known := p.settings.Zones[zone]; !known {
		httpapi.Refuse(w, http.StatusNotFound, "no zone "+zone)
		return
	}
	p.submit(w, r, p.zoneOrder(kind, zone))
}

// zoneOrder is an order about a zone, with how far this process knows the state.
func (p *Process) zoneOrder(kind config.OrderKind, zone string) config.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	order := config.Order{Kind: kind, Zone: zone, HasKnown: true}
	if state := p.published.state; state != nil {
		order.Known = state.Changes()
	}
	return order
}

// submit hands an order to the chain and answers with its outcome. An operator who has hung up sends the order elsewhere: it is not
// begun here as well.
func (p *Process) submit(w http.ResponseWriter, r *http.Request, order config.Order) {
	if r.Context().Err() != nil {
		httpapi.Refuse(w, http.StatusServiceUnavailable, "the caller has gone")
		return
	}
	within := answerWithin
	if len(order.Body) > largeBody {
		within = largeBodyWithin
	}
	status, body := orderOutcome(p.ask(within, p.orderFor(order)))
	if status == http.StatusOK {
		httpapi.AnswerBytes(w, status, body)
		return
	}
	httpapi.Refuse(w, status, string(body))
}

// question begins a request to the chain under a number.
type question func(now time.Time, request uint64) chain.Output

func (p *Process) orderFor(order config.Order) question {
	command := order.Encode()
	return func(now time.Time, request uint64) chain.Output { return p.chain.Submit(now, request, command) }
}

// orderOutcome is what an operator is told of an order.
func orderOutcome(answer chain.Answer) (status int, body []byte) {
	switch {
	case !answer.Known:
		return http.StatusServiceUnavailable, []byte("the outcome is not known yet")
	case answer.Reply.Status == http.StatusOK:
		return http.StatusOK, []byte("{}")
	}
	return answer.Reply.Status, answer.Reply.Body
}

func (p *Process) getConfig(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	status, body := readOutcome(p.ask(answerWithin, p.chain.Read))
	if status == http.StatusOK {
		httpapi.AnswerBytes(w, status, body)
		return
	}
	httpapi.Refuse(w, status, string(body))
}

// readOutcome is what an operator is told who asks for the configuration.
func readOutcome(answer chain.Answer) (status int, body []byte) {
	if !answer.Known {
		return http.StatusServiceUnavailable, []byte("no contact with the control processes in charge")
	}
	current, ok := answer.State.(replicated)
	if !ok || current.state.Generation() == 0 {
		return http.StatusServiceUnavailable, []byte("no configuration has been taken yet")
	}
	return http.StatusOK, current.state.Document()
}

// ask hands a request to the chain and waits for its answer, for so long at most.
func (p *Process) ask(within time.Duration, asked question) chain.Answer {
	request, answered := p.pose(asked)
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case answer := <-answered:
		return answer
	case <-timer.C:
	}
	p.giveUp(request)
	return chain.Answer{Request: request}
}

// pose hands a request to the chain, and returns its number and where its answer comes.
func (p *Process) pose(asked question) (request uint64, answered chan chain.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextRequest++
	answered = make(chan chain.Answer, 1)
	p.answers[p.nextRequest] = answered
	now := p.clock()
	p.carryOut(asked(now, p.nextRequest))
	p.publish(now)
	return p.nextRequest, answered
}

// giveUp waits no longer for an answer.
func (p *Process) giveUp(request uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.answers, request)
}
