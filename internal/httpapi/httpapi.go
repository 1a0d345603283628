// Package httpapi provides what the system's HTTP interfaces share: routers without redirects, JSON answers and servers with timeouts.
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
	// retryAfterSeconds is the Retry-After value, in seconds, of answers with status 503.
	retryAfterSeconds = "0.3"
	// headerTimeout and idleTimeout limit the connections of clients.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// shutdownTimeout limits how long requests in flight may take when the server shuts down.
	shutdownTimeout = 2 * time.Second
)

// NewRouter returns a router that never redirects: a client that does not follow redirects would lose its request.
func NewRouter() *httprouter.Router {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	return router
}

// Error is the body of an error answer.
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

// AnswerBytes answers with encoded JSON.
func AnswerBytes(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // a client that lost its connection retries
}

// Refuse answers with an error and its reason. With status 503 it sets Retry-After.
func Refuse(w http.ResponseWriter, status int, reason string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	AnswerJSON(w, status, Error{Error: reason})
}

// Server is an HTTP server on one address.
type Server struct {
	server   *http.Server
	listener net.Listener
}

// Options are the settings of a Server.
type Options struct {
	Address string // listen address
	Handler http.Handler
	// OnAccept derives the context of a connection's requests from a given one, right after the connection was accepted; nil: it stays
	// as it is.
	OnAccept func(context.Context) context.Context
}

// Listen creates a server that listens on the given address. Serve starts it.
func Listen(settings Options) (*Server, error) {
	var options net.ListenConfig
	options.SetMultipathTCP(false)
	listener, err := options.Listen(context.Background(), "tcp4", settings.Address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(settings.serveHTTP),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       settings.connContext,
	}
	return &Server{server: server, listener: trackedListener{listener}}, nil
}

// Address returns the listen address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves until ShutDown is called. It returns an error if the listener fails before that.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if err == http.ErrServerClosed {
		return nil
	}
	return trace.Wrap(err)
}

// ShutDown stops the server. Requests in flight are completed if they finish within shutdownTimeout.
func (s *Server) ShutDown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		s.server.Close()
	}
}
