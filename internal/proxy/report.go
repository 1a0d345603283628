package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"wallflow/internal/registry"
	"wallflow/internal/selector"
	"wallflow/internal/upstream"
)

const (
	reportPath     = "/report"
	reportTimeout  = time.Second
	maxReportBytes = 16 << 10
)

// engineReport holds the fields of the response to GET /report that the relay uses.
type engineReport struct {
	Phase   string `json:"phase"`
	Queued  int    `json:"queued"`
	Running int    `json:"running"`
	KVUsed  int64  `json:"kvUsed"`
	KVTotal int64  `json:"kvTotal"`
}

// PollReport requests the state of an endpoint's engine and passes it to the Chooser. It is to be called sparingly, since each call
// costs the endpoint as much as a health probe.
func (s *Server) PollReport(ctx context.Context, instance *registry.Instance) (selector.EngineReport, error) {
	report, err := s.fetchReport(ctx, instance)
	if err != nil {
		return selector.EngineReport{}, trace.Wrap(err, "polling the report of instance %s", instance.ID)
	}
	s.chooser.report(instance.ID, report)
	return report, nil
}

// fetchReport requests and parses the report of an instance.
func (s *Server) fetchReport(ctx context.Context, instance *registry.Instance) (selector.EngineReport, error) {
	target := upstream.Target{Address: instance.Address, InstanceID: instance.ID, DialTimeout: maxLocalDialTimeout}
	if compiled := s.options.Config(); compiled != nil {
		if service, ok := compiled.Backend(instance.Backend); ok {
			target.MaxConns = s.maxConns(service)
		}
	}
	response, err := s.options.Pool.Do(ctx, target, &upstream.Request{
		Method: http.MethodGet, RequestTarget: reportPath, Host: instance.Address,
		Header:   http.Header{headerExpectInstance: {instance.ID}},
		Deadline: time.Now().Add(reportTimeout),
	})
	if err != nil {
		return selector.EngineReport{}, err
	}
	defer response.Close()
	return readReport(response)
}

// readReport parses the report in a response.
func readReport(response *upstream.Response) (selector.EngineReport, error) {
	if response.Status != http.StatusOK || response.Length > maxReportBytes {
		return selector.EngineReport{}, &ReportError{Status: response.Status}
	}
	body, err := io.ReadAll(io.LimitReader(response, maxReportBytes))
	if err != nil {
		return selector.EngineReport{}, err
	}
	var parsed engineReport
	if err := json.Unmarshal(body, &parsed); err != nil {
		return selector.EngineReport{}, &ReportError{Status: response.Status, Err: err}
	}
	return selector.EngineReport{
		Phase: parsed.Phase, Queued: parsed.Queued, Running: parsed.Running, KVUsed: parsed.KVUsed, KVTotal: parsed.KVTotal,
	}, nil
}

// ReportError is the error for a response that does not contain a report.
type ReportError struct {
	Status int   // HTTP status of the response
	Err    error // why the body could not be parsed, or nil
}

// Error implements error.
func (e *ReportError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("invalid report in a response with status %d: %v", e.Status, e.Err)
	}
	return fmt.Sprintf("no report in a response with status %d", e.Status)
}

// Unwrap returns the underlying error.
func (e *ReportError) Unwrap() error { return e.Err }
