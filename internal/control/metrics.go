package control

import (
	"net/http"

	"github.com/julienschmidt/httprouter"
	dto "github.com/prometheus/client_model/go"

	"wallflow/internal/chain"
	"wallflow/internal/metrics"
	"wallflow/internal/operator"
)

// metrics handles GET /metrics with the metrics of this process in the Prometheus text format. Like status it is read-only and asks no
// other process, so that it works on an isolated process too.
func (p *Process) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	families := metricFamilies(p.describe(p.clock()), p.counters())
	if p.mesh != nil {
		transportCounters := p.mesh.Counters()
		families = append(families, transportCounters.MetricFamilies("wallflow_control")...)
	}
	metrics.Write(w, families)
}

func (p *Process) counters() chain.Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chain.Status().Counters
}

// metricFamilies returns the metrics of a status and of the chain's counters since the start of the process.
func metricFamilies(status operator.Status, counters chain.Counters) []*dto.MetricFamily {
	families := []*dto.MetricFamily{
		metrics.Gauge("wallflow_control_fresh", "1 while a majority confirmed the view a moment ago; only then reads are answered",
			metrics.Bool(status.Fresh)),
		metrics.Gauge("wallflow_control_impaired", "1 while the disk does not keep up", metrics.Bool(status.DiskTooSlow)),
		metrics.Gauge("wallflow_control_write_failed", "1 while the last write to the disk failed", metrics.Bool(status.WriteFailed)),
		metrics.Gauge("wallflow_control_epoch", "number of the view", float64(status.View.Epoch)),
		metrics.Gauge("wallflow_control_voters", "processes that vote on the next view", float64(len(status.View.Voters))),
		metrics.Gauge("wallflow_control_chain_length", "processes that hold each change before it is acknowledged",
			float64(len(status.View.Chain))),
		metrics.Gauge("wallflow_control_log_position", "position of the last change in the log", float64(status.Position)),
		metrics.Gauge("wallflow_control_committed_position", "position of the last change that is committed", float64(status.Committed)),
		metrics.Gauge("wallflow_control_configuration_version", "version of the configuration held", float64(status.Generation)),
		metrics.Gauge("wallflow_control_evacuated_zones", "zones that are evacuated", float64(len(status.Evacuated))),
		metrics.Gauge("wallflow_control_subscribers", "relays that this process feeds", float64(status.Subscribers)),
		metrics.LabelledGauges("wallflow_control_members", "processes of the system by what membership holds of them",
			"status", countMembers(status.Members)),
	}
	families = append(families, serviceFamily(status.Services))
	return append(families, counterFamilies(counters)...)
}

func counterFamilies(counters chain.Counters) []*dto.MetricFamily {
	broken := counters.BrokenCommitOrder + counters.BrokenViewValue + counters.BrokenCommitLog + counters.BrokenChainMinimum
	return []*dto.MetricFamily{
		metrics.Counter("wallflow_control_views_total", "views that this process learned of", counters.ViewsDecided),
		metrics.Counter("wallflow_control_proposals_total", "views that this process proposed", counters.Proposals),
		metrics.Counter("wallflow_control_snapshots_total", "snapshots sent to processes that lacked too much", counters.Snapshots),
		metrics.Counter("wallflow_control_log_rewrites_total", "rewrites of the log on disk", counters.Rewrites),
		metrics.Counter("wallflow_control_failed_writes_total", "writes to the disk that failed", counters.FailedWrites),
		metrics.Counter("wallflow_control_unknown_outcomes_total", "requests that got no answer in time", counters.UnknownOutcomes),
		metrics.Counter("wallflow_control_broken_invariants_total", "states that must never be; to be reported", broken),
	}
}

// countMembers counts members by status, in order of the first occurrence of each status.
func countMembers(members []operator.Member) []metrics.LabelCount {
	var counts []metrics.LabelCount
	indexes := make(map[string]int)
	for _, member := range members {
		index, known := indexes[member.Status]
		if !known {
			index = len(counts)
			indexes[member.Status] = index
			counts = append(counts, metrics.LabelCount{Value: member.Status})
		}
		counts[index].Count++
	}
	return counts
}

// serviceFamily returns the number of endpoints by service and state.
func serviceFamily(services []operator.Service) *dto.MetricFamily {
	var perState []*dto.Metric
	for _, service := range services {
		for _, count := range []metrics.LabelCount{
			{Value: "ready", Count: service.Ready}, {Value: "draining", Count: service.Draining},
			{Value: "silent", Count: service.Silent}, {Value: "gone", Count: service.Gone},
		} {
			perState = append(perState, metrics.GaugeMetric(float64(count.Count),
				metrics.Label("service", service.Name), metrics.Label("state", count.Value)))
		}
	}
	return metrics.Family("wallflow_control_endpoints", "endpoints by service and state", dto.MetricType_GAUGE, perState...)
}
