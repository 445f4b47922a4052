package agent

import (
	"strings"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// metric is one value of a snapshot.
type metric struct {
	name  string
	value uint64
	gauge bool
}

// metrics holds an agent's metrics as of the end of the last window, in an immutable snapshot that can be read at any
// time. They are gathered by a registry of this process, to which others may add; it does not listen on any address.
type metrics struct {
	registry *prometheus.Registry
	current  []metric // used only by the agent's goroutine
	snapshot atomic.Pointer[[]metric]
}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewPedanticRegistry()}
	m.registry.MustRegister(m)
	return m
}

// Describe sends no descriptions: the modules determine which metrics exist.
func (m *metrics) Describe(chan<- *prometheus.Desc) {}

// Collect sends the latest metrics of the modules.
func (m *metrics) Collect(to chan<- prometheus.Metric) {
	for _, f := range m.current {
		kind := prometheus.CounterValue
		if f.gauge {
			kind = prometheus.GaugeValue
		}
		desc := prometheus.NewDesc(strings.ReplaceAll(f.name, ".", "_"), f.name, nil, nil)
		to <- prometheus.MustNewConstMetric(desc, kind, float64(f.value))
	}
}

// set replaces the metrics. Only the agent's goroutine calls it. If two modules report the same name, the previous
// snapshot is kept.
func (m *metrics) set(current []metric) error {
	m.current = current
	families, err := m.registry.Gather()
	if err != nil {
		return err
	}
	var all []metric
	for _, family := range families {
		for _, sample := range family.GetMetric() {
			n, gauge := sample.GetCounter().GetValue(), family.GetType() == dto.MetricType_GAUGE
			if gauge {
				n = sample.GetGauge().GetValue()
			}
			all = append(all, metric{family.GetName(), uint64(n), gauge})
		}
	}
	m.snapshot.Store(&all)
	return nil
}

func (m *metrics) gathered() []metric {
	if fs := m.snapshot.Load(); fs != nil {
		return *fs
	}
	return nil
}
