// Package httpapi is what the system's own HTTP interfaces share: routers that clean nothing, JSON answers, and servers with bounds.
package httpapi

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/julienschmidt/httprouter"
)

const (
	// retryAdvice is what a caller is told to wait, in seconds, after 503.
	retryAdvice = "0.3"
	// headerTimeout and idleTimeout bound the connections of callers.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// shutdownWithin bounds the end of the calls that are under way when the process stops.
	shutdownWithin = 2 * time.Second
)

// NewRouter makes a router that answers no redirects: a caller that follows none would lose its order.
func NewRouter() *httprouter.Router {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	return router
}

// Error is the body of an answer that is a failure.
type Error struct {
	Error string `json:"error"`
}

// AnswerJSON answers with a value as JSON.
func AnswerJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	AnswerBytes(w, status, data)
}

// AnswerBytes answers with JSON that is there already.
func AnswerBytes(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // a caller that went away asks again
}

// Refuse answers with a failure and its reason. With 503 it tells when to come back.
func Refuse(w http.ResponseWriter, status int, reason string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAdvice)
	}
	AnswerJSON(w, status, Error{Error: reason})
}

// Server serves one address.
type Server struct {
	server   *http.Server
	listener net.Listener
}

// Listen opens the address of a handler.
func Listen(address string, handler http.Handler) (*Server, error) {
	var options net.ListenConfig
	options.SetMultipathTCP(false)
	listener, err := options.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	return &Server{server: server, listener: listener}, nil
}

// Address is the address that is served.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves until ShutDown. It returns an error if the listener fails before.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if err == http.ErrServerClosed {
		return nil
	}
	return trace.Wrap(err)
}

// ShutDown ends the serving: calls that are under way get their answers, if they come in time.
func (s *Server) ShutDown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownWithin)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		s.server.Close()
	}
}
