package control

import (
	"net/http"

	"github.com/julienschmidt/httprouter"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"google.golang.org/protobuf/proto"

	"wallflow/internal/chain"
	"wallflow/internal/operator"
)

// metrics answers GET /metrics with the figures of this process in the text format of Prometheus. Like status it reads and changes
// nothing, and asks no other process, so that it answers also where this process is cut off.
func (p *Process) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	encoder := expfmt.NewEncoder(w, format)
	for _, family := range metricFamilies(p.describe(p.clock()), p.counters()) {
		if encoder.Encode(family) != nil {
			return // the caller has gone
		}
	}
}

func (p *Process) counters() chain.Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chain.Status().Counters
}

// metricFamilies are the figures of a status and of what the chain has counted since the start of the process.
func metricFamilies(status operator.Status, counters chain.Counters) []*dto.MetricFamily {
	families := []*dto.MetricFamily{
		gauge("wallflow_control_fresh", "1 while a majority confirmed the view a moment ago; only then reads are answered", booleanValue(status.Fresh)),
		gauge("wallflow_control_impaired", "1 while the disk does not keep up", booleanValue(status.Impaired)),
		gauge("wallflow_control_write_failed", "1 while the last write to the disk failed", booleanValue(status.Failed)),
		gauge("wallflow_control_epoch", "number of the view", float64(status.View.Epoch)),
		gauge("wallflow_control_voters", "processes that vote on the next view", float64(len(status.View.Voters))),
		gauge("wallflow_control_chain_length", "processes that hold each change before it is acknowledged", float64(len(status.View.Chain))),
		gauge("wallflow_control_log_position", "position of the last change in the log", float64(status.Position)),
		gauge("wallflow_control_committed_position", "position of the last change that is committed", float64(status.Committed)),
		gauge("wallflow_control_configuration_version", "version of the configuration held", float64(status.Generation)),
		gauge("wallflow_control_evacuated_zones", "zones that are evacuated", float64(len(status.Evacuated))),
		gauge("wallflow_control_subscribers", "relays that this process feeds", float64(status.Followers)),
		labelled("wallflow_control_members", "processes of the system by what membership holds of them", "status", countMembers(status.Members)),
	}
	families = append(families, serviceFamily(status.Services))
	return append(families, counterFamilies(counters)...)
}

func counterFamilies(counters chain.Counters) []*dto.MetricFamily {
	broken := counters.BrokenCommitOrder + counters.BrokenViewValue + counters.BrokenCommitLog + counters.BrokenChainMinimum
	return []*dto.MetricFamily{
		counter("wallflow_control_views_total", "views that this process learned of", counters.ViewsDecided),
		counter("wallflow_control_proposals_total", "views that this process proposed", counters.Proposals),
		counter("wallflow_control_snapshots_total", "snapshots sent to processes that lacked too much", counters.Snapshots),
		counter("wallflow_control_log_rewrites_total", "rewrites of the log on disk", counters.Rewrites),
		counter("wallflow_control_failed_writes_total", "writes to the disk that failed", counters.FailedWrites),
		counter("wallflow_control_unknown_outcomes_total", "requests that got no answer in time", counters.UnknownOutcomes),
		counter("wallflow_control_broken_invariants_total", "states that must never be; to be reported", broken),
	}
}

func booleanValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

func gauge(name, help string, value float64) *dto.MetricFamily {
	return family(name, help, dto.MetricType_GAUGE, gaugeMetric(value))
}

func counter(name, help string, value uint64) *dto.MetricFamily {
	return family(name, help, dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: proto.Float64(float64(value))}})
}

func family(name, help string, kind dto.MetricType, metrics ...*dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{Name: proto.String(name), Help: proto.String(help), Type: kind.Enum(), Metric: metrics}
}

func gaugeMetric(value float64, labels ...*dto.LabelPair) *dto.Metric {
	return &dto.Metric{Label: labels, Gauge: &dto.Gauge{Value: proto.Float64(value)}}
}

func label(name, value string) *dto.LabelPair {
	return &dto.LabelPair{Name: proto.String(name), Value: proto.String(value)}
}

// labelledCount is a figure of a family with one label.
type labelledCount struct {
	value string
	count int
}

func labelled(name, help, of string, counts []labelledCount) *dto.MetricFamily {
	var metrics []*dto.Metric
	for _, each := range counts {
		metrics = append(metrics, gaugeMetric(float64(each.count), label(of, each.value)))
	}
	return family(name, help, dto.MetricType_GAUGE, metrics...)
}

// countMembers counts members by their status, in the order in which each status comes first.
func countMembers(members []operator.Member) []labelledCount {
	var counts []labelledCount
	places := make(map[string]int)
	for _, member := range members {
		place, known := places[member.Status]
		if !known {
			place = len(counts)
			places[member.Status] = place
			counts = append(counts, labelledCount{value: member.Status})
		}
		counts[place].count++
	}
	return counts
}

// serviceFamily tells the endpoints of each service by their state.
func serviceFamily(services []operator.Service) *dto.MetricFamily {
	var metrics []*dto.Metric
	for _, service := range services {
		for _, each := range []labelledCount{
			{"ready", service.Ready}, {"draining", service.Draining}, {"silent", service.Silent}, {"gone", service.Gone},
		} {
			metrics = append(metrics, gaugeMetric(float64(each.count), label("service", service.Name), label("state", each.value)))
		}
	}
	return family("wallflow_control_endpoints", "endpoints by service and state", dto.MetricType_GAUGE, metrics...)
}
