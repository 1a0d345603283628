package transport

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Each kind that was sent has its metrics. Each cause of drops has one too, even if its value is zero.
func TestMetricFamilies(t *testing.T) {
	counters := Counters{DroppedFull: 3}
	counters.Sent[KindWorkload] = KindCounter{Messages: 5, Bytes: 700}
	families := counters.MetricFamilies("wallflow_relay")
	values := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.Metric {
			values[family.GetName()+" "+metric.Label[0].GetValue()] = metric.GetCounter().GetValue()
		}
	}
	assert.Equal(t, values["wallflow_relay_sent_bytes_total workload"], 700.0)
	assert.Equal(t, values["wallflow_relay_sent_messages_total workload"], 5.0)
	assert.Equal(t, values["wallflow_relay_dropped_messages_total queue full"], 3.0)
	_, present := values["wallflow_relay_dropped_messages_total too large"]
	assert.Assert(t, present)
	assert.Equal(t, len((&Counters{}).MetricFamilies("x")), 1)
}
