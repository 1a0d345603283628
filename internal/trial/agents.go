package trial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"wallflow/internal/trial/check"
	"wallflow/internal/trial/fault"
	"wallflow/internal/trial/history"
	"wallflow/internal/trial/proc"
	"wallflow/internal/trial/stand"
)

// agentProcess is the real agent of a relay, over all its processes. The relay connects to it over a link, on which the
// harness reads along and records lists that the relay is told and notices that the agent acknowledges.
type agentProcess struct {
	relay *Relay
	dir   string
	link  *fault.Link

	stepMu sync.Mutex // held during a step, so that steps on the agent run one after the other

	mu      sync.Mutex
	process *proc.Process
	starts  int
	addr    string // address its process listens on; empty: none
}

func (p *agentProcess) name() string { return p.relay.Name + check.AgentSuffix }

// buildAgents creates the folder and links of each relay's agent. It starts no process.
func (h *Harness) buildAgents() error {
	for _, r := range h.relays {
		p := &agentProcess{relay: r, dir: filepath.Join(r.dir, "agent")}
		if err := os.MkdirAll(p.dir, 0o700); err != nil {
			return err
		}
		var err error
		if p.link, err = fault.NewLink(r.Name+">agent", "127.0.0.1", 1, fault.Faults{}, p.dial); err != nil {
			return err
		}
		h.links[p.link.Name] = p.link
		for _, s := range h.listService.servers {
			if _, err := h.listLink(r.Name+">"+s.name+".web", s.dial(httpAddr)); err != nil {
				return err
			}
		}
		r.agentProcess = p
	}
	return nil
}

// endpointAddr returns an endpoint's address on the list. Each relay's agent replaces it by the address of a link.
func endpointAddr(id string) string { return id + ".endpoint:1" }

func (p *agentProcess) configure() (string, error) {
	via := map[string]string{}
	for id, addr := range p.relay.links {
		via[endpointAddr(id)] = addr
	}
	var servers []string
	for _, s := range p.relay.harness.listService.servers {
		servers = append(servers, p.relay.harness.links[p.relay.Name+">"+s.name+".web"].Addr())
	}
	agent := map[string]any{"dir": filepath.Join(p.dir, "state"), "listen": "127.0.0.1:0",
		"finals": p.relay.harness.listService.noticeSink.addr(), "via": via}
	if p.relay.harness.usesPolicy {
		agent["name"], agent["zone"] = p.relay.Name, p.relay.Zone
	}
	data, err := toml.Marshal(map[string]any{"server": servers, "agent": agent})
	if err != nil {
		return "", err
	}
	path := filepath.Join(p.dir, "agent.toml")
	return path, os.WriteFile(path, data, 0o600)
}

func (p *agentProcess) start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	config, err := p.configure()
	if err != nil {
		return fmt.Errorf("%s: %w", p.name(), err)
	}
	p.process, err = p.relay.harness.startListening(ctx, p.name(), p.starts, p.dir, filepath.Join(p.dir, "state"),
		[]string{"agent", "--config", config}, func(a listAddresses) { p.addr = a.HTTP })
	return err
}

// waitForVersion waits until the agent has the given version of the list or a later one.
func (p *agentProcess) waitForVersion(ctx context.Context, version int64) error {
	for end := time.Now().Add(listReadyTimeout); ; {
		p.mu.Lock()
		addr := p.addr
		p.mu.Unlock()
		var r struct{ Version int64 }
		res, err := statusClient.Get("http://" + addr + "/agent/status")
		if err == nil {
			err = json.NewDecoder(res.Body).Decode(&r)
			res.Body.Close()
		}
		if err == nil && r.Version >= version {
			return nil
		}
		if time.Now().After(end) || !sleep(ctx, readyPollInterval) {
			return fmt.Errorf("%s: it has version %d of the list, want %d: %w", p.name(), r.Version, version, errors.Join(err, ctx.Err()))
		}
	}
}

func (p *agentProcess) signal(sig syscall.Signal, note string) (*proc.Process, error) {
	p.mu.Lock()
	process, incarnation := p.process, p.starts
	p.mu.Unlock()
	if process == nil || !process.Running() {
		return nil, nil
	}
	p.relay.harness.recorder.Add(history.Event{Kind: history.ProcessState, Relay: p.name(), Incarnation: incarnation, Note: note})
	return process, process.Signal(sig)
}

func doAgentKill(ctx context.Context, h *Harness, s Step, on string) error {
	p := h.relay(on).agentProcess
	if p == nil {
		return errors.New("the relay has a fake agent, not an agent process")
	}
	p.stepMu.Lock()
	defer p.stepMu.Unlock()
	q, err := p.signal(syscall.SIGKILL, history.Kill)
	if err != nil {
		return err
	}
	if q != nil {
		<-q.Done()
	}
	p.mu.Lock()
	p.addr = ""
	p.mu.Unlock()
	p.link.Reset()
	if !sleep(ctx, s.For.Duration) {
		return nil
	}
	if err := p.start(ctx); err != nil {
		return err
	}
	p.recordReady()
	return nil
}

// recordReady records that the agent serves.
func (p *agentProcess) recordReady() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relay.harness.recorder.Add(history.Event{Kind: history.ProcessState, Relay: p.name(), Incarnation: p.starts, Note: history.Ready})
}

func (p *agentProcess) dial(ctx context.Context) (net.Conn, error) {
	p.mu.Lock()
	to := p.addr
	p.mu.Unlock()
	if to == "" {
		return nil, errors.New("no process")
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, err
	}
	return newRecordingConn(c.(*net.TCPConn), p.relay.agent), nil
}

// recordingConn is a connection to an agent whose requests and responses are also parsed and recorded.
type recordingConn struct {
	*net.TCPConn
	requests, responses *io.PipeWriter
}

// newRecordingConn starts the parsers. They stop at the first malformed or incomplete request or response.
func newRecordingConn(c *net.TCPConn, agent *stand.Agent) *recordingConn {
	requestReader, requestWriter := io.Pipe()
	responseReader, responseWriter := io.Pipe()
	responsesEnded := make(chan struct{}) // closed when responses are no longer matched to requests
	noticeBodies := make(chan []byte, 16) // one for each request, in order; nil unless it carries notices
	go func() {                           // ends with the relay's side of the stream
		defer close(noticeBodies)
		in := bufio.NewReader(requestReader)
		for {
			req, err := http.ReadRequest(in)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(req.Body)
			}
			if err != nil {
				requestReader.CloseWithError(err)
				return
			}
			if req.Method != http.MethodPost {
				body = nil
			}
			select {
			case noticeBodies <- body:
			case <-responsesEnded:
				requestReader.CloseWithError(net.ErrClosed)
				return
			}
		}
	}()
	go func() { // ends with the agent's side of the stream
		defer close(responsesEnded)
		in := bufio.NewReader(responseReader)
		for {
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				responseReader.CloseWithError(err)
				return
			}
			if body, ok := <-noticeBodies; ok && body != nil && res.StatusCode == http.StatusNoContent {
				agent.RecordNotices(body)
			}
			lines := bufio.NewScanner(res.Body)
			lines.Buffer(nil, 1<<20)
			for lines.Scan() {
				var l stand.List
				if line := bytes.TrimSpace(lines.Bytes()); res.StatusCode == http.StatusOK && len(line) > 0 && json.Unmarshal(line, &l) == nil {
					agent.RecordList(&l)
				}
			}
		}
	}()
	return &recordingConn{c, requestWriter, responseWriter}
}

// Read reads what the agent sends.
func (o *recordingConn) Read(p []byte) (int, error) {
	n, err := o.TCPConn.Read(p)
	o.responses.Write(p[:n]) // fails at once if the parser has stopped
	if err != nil {
		o.responses.CloseWithError(err)
	}
	return n, err
}

// Write writes what the relay sends.
func (o *recordingConn) Write(p []byte) (int, error) {
	o.requests.Write(p)
	return o.TCPConn.Write(p)
}

// Close ends both parsers and closes the connection.
func (o *recordingConn) Close() error {
	o.requests.CloseWithError(net.ErrClosed)
	o.responses.CloseWithError(net.ErrClosed)
	return o.TCPConn.Close()
}

// noticeSink accepts the notices that agents forward.
type noticeSink struct {
	listener net.Listener
	server   *http.Server
	wg       sync.WaitGroup

	mu       sync.Mutex
	received map[string]bool
}

func newNoticeSink() (*noticeSink, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &noticeSink{listener: l, received: map[string]bool{}}
	s.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		for line := range strings.Lines(string(body)) {
			var v struct{ ID string }
			if json.Unmarshal([]byte(line), &v) == nil {
				s.received[v.ID] = true
			}
		}
		s.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	})}
	s.wg.Go(func() { s.server.Serve(l) })
	return s, nil
}

func (s *noticeSink) addr() string { return s.listener.Addr().String() }

func (s *noticeSink) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[id]
}

func (s *noticeSink) close() {
	s.server.Close()
	s.wg.Wait()
}

// recordForwardedNotices waits until every notice that an agent acknowledged has been forwarded, and records which were.
func (h *Harness) recordForwardedNotices(ctx context.Context) {
	for end := time.Now().Add(listSettleTimeout); ; {
		missing := 0
		events := h.recorder.Events()
		for _, e := range events {
			if e.Kind == history.Notice && !h.listService.noticeSink.has(e.ID) {
				missing++
			}
		}
		if missing > 0 && time.Now().Before(end) && sleep(ctx, 20*time.Millisecond) {
			continue
		}
		for _, e := range events {
			if e.Kind == history.Notice && h.listService.noticeSink.has(e.ID) {
				h.recorder.Add(history.Event{Kind: history.NoticeForwarded, Relay: e.Relay, ID: e.ID})
			}
		}
		h.recorder.Add(history.Event{Kind: history.NoticeForwarded, Number: len(events)}) // later notices are not checked
		return
	}
}

// writeAllEndpoints writes all endpoints to the list, and returns the version that contains them.
func (h *Harness) writeAllEndpoints(ctx context.Context) (int64, error) {
	type change struct {
		Entry stand.Entry `json:"entry"`
	}
	var all struct {
		Changes []change `json:"changes"`
	}
	for _, p := range h.environment.Partners {
		for _, e := range p.Endpoints {
			all.Changes = append(all.Changes, change{h.serviceEntry(e, "ready")})
		}
	}
	body, err := json.Marshal(all)
	if err != nil {
		return 0, err
	}
	return h.listService.users.WriteUntilAccepted(ctx, http.MethodPost, "/catalog/members", "fill", body)
}

func (h *Harness) serviceEntry(e *stand.Endpoint, state string) stand.Entry {
	return stand.Entry{ID: e.ID, Addr: endpointAddr(e.ID), Zone: e.Zone, Kind: e.Kind.Name, Cell: e.Cell, State: state, Weight: e.Weight()}
}

// changeEndpointState changes an endpoint's state through the list service.
func (h *Harness) changeEndpointState(ctx context.Context, id, state string) error {
	method, body := http.MethodDelete, []byte(nil)
	if state != "gone" {
		var err error
		if body, err = json.Marshal(h.serviceEntry(h.environment.Endpoint(id), state)); err != nil {
			return err
		}
		method = http.MethodPut
	}
	bound, cancel := context.WithTimeout(ctx, listWriteTimeout)
	defer cancel()
	_, err := h.listService.users.WriteUntilAccepted(bound, method, "/catalog/members/"+id, id+"-"+state, body)
	if bound.Err() != nil && ctx.Err() == nil {
		h.recorder.Add(history.Event{Kind: history.Fault, Endpoint: id, Note: "the list service did not take on that it is " + state})
		return nil // followers cannot reach the last version then, which an invariant checks
	}
	return err
}
