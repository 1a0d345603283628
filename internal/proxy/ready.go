package proxy

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	dto "github.com/prometheus/client_model/go"

	"wallflow/internal/metrics"
)

const readyTimeout = 2 * time.Second

// MonitoringServer returns the server for the platform's readiness probes, GET /readyz, and for metrics, GET /metrics.
func (s *Server) MonitoringServer(gatherMetrics func() []*dto.MetricFamily) *http.Server {
	router := httprouter.New()
	router.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { metrics.Write(w, gatherMetrics()) })
	router.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { s.writeReady(w) })
	return &http.Server{Handler: router, ReadHeaderTimeout: readyTimeout, WriteTimeout: readyTimeout}
}

// IsReady reports whether clients should send requests to this relay.
func (s *Server) IsReady() bool {
	return !s.draining.Load() && s.options.Config() != nil && (s.options.IsReady == nil || s.options.IsReady())
}

// writeReady responds to a readiness probe.
func (s *Server) writeReady(w http.ResponseWriter) {
	w.Header()[headerContentType] = []string{contentTypeJSON}
	status, body := http.StatusOK, `{"ready":true}`
	if !s.IsReady() {
		status, body = http.StatusServiceUnavailable, `{"ready":false}`
	}
	w.WriteHeader(status)
	w.Write([]byte(body)) // after a failed write the platform probes again
}
