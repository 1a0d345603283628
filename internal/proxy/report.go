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
	reportPath    = "/report"
	reportTimeout = time.Second
	reportBytes   = 16 << 10
)

// engineReport is what an endpoint answers to GET /report, as far as it is used.
type engineReport struct {
	Phase   string `json:"phase"`
	Queued  int    `json:"queued"`
	Running int    `json:"running"`
	KVUsed  int64  `json:"kvUsed"`
	KVTotal int64  `json:"kvTotal"`
}

// PollReport asks an endpoint how it is, and tells the Chooser. The owner calls it sparingly: each call has the price of a probe.
func (s *Server) PollReport(ctx context.Context, instance *registry.Instance) (selector.EngineReport, error) {
	report, err := s.fetchReport(ctx, instance)
	if err != nil {
		return selector.EngineReport{}, trace.Wrap(err, "report of %s", instance.ID)
	}
	s.chooser.report(instance.ID, report)
	return report, nil
}

func (s *Server) fetchReport(ctx context.Context, instance *registry.Instance) (selector.EngineReport, error) {
	target := upstream.Target{Address: instance.Address, InstanceID: instance.ID, DialTimeout: dialLocal}
	if compiled := s.options.Config(); compiled != nil {
		if service, ok := compiled.Backend(instance.Backend); ok {
			target.MaxConns = s.maxConns(service)
		}
	}
	response, err := s.options.Pool.Do(ctx, target, &upstream.Request{
		Method: http.MethodGet, RequestTarget: reportPath, Host: instance.Address,
		Header:   http.Header{headerExpectInstance: {instance.ID}},
		GiveUpAt: time.Now().Add(reportTimeout),
	})
	if err != nil {
		return selector.EngineReport{}, err
	}
	defer response.Close()
	return readReport(response)
}

func readReport(response *upstream.Response) (selector.EngineReport, error) {
	if response.Status != http.StatusOK || response.Length > reportBytes {
		return selector.EngineReport{}, &ReportError{Status: response.Status}
	}
	body, err := io.ReadAll(io.LimitReader(response, reportBytes))
	if err != nil {
		return selector.EngineReport{}, err
	}
	var told engineReport
	if err := json.Unmarshal(body, &told); err != nil {
		return selector.EngineReport{}, &ReportError{Status: response.Status, Err: err}
	}
	return selector.EngineReport{
		Phase: told.Phase, Queued: told.Queued, Running: told.Running, KVUsed: told.KVUsed, KVTotal: told.KVTotal,
	}, nil
}

// ReportError says that an endpoint answered something else than a report.
type ReportError struct {
	Status int
	Err    error
}

// Error describes the answer.
func (e *ReportError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("no report in an answer with status %d: %v", e.Status, e.Err)
	}
	return fmt.Sprintf("no report but status %d", e.Status)
}

// Unwrap returns the cause.
func (e *ReportError) Unwrap() error { return e.Err }
