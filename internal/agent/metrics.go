package agent

import (
	"strings"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// figure is one figure of a snapshot.
type figure struct {
	name  string
	n     uint64
	gauge bool
}

// metrics are an agent's figures as they were at the end of the last window: an immutable snapshot, so that anybody may ask
// at any time. They are gathered by a registry of the process's own, to which others may add; nothing here listens.
type metrics struct {
	registry *prometheus.Registry
	now      []figure // of the agent's goroutine
	snapshot atomic.Pointer[[]figure]
}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewPedanticRegistry()}
	m.registry.MustRegister(m)
	return m
}

// Describe tells of nothing: which figures there are is for the parts to say.
func (m *metrics) Describe(chan<- *prometheus.Desc) {}

// Collect gives what the parts said last.
func (m *metrics) Collect(to chan<- prometheus.Metric) {
	for _, f := range m.now {
		kind := prometheus.CounterValue
		if f.gauge {
			kind = prometheus.GaugeValue
		}
		desc := prometheus.NewDesc(strings.ReplaceAll(f.name, ".", "_"), f.name, nil, nil)
		to <- prometheus.MustNewConstMetric(desc, kind, float64(f.n))
	}
}

// set takes new figures; the agent's goroutine alone. Of two parts' figures under one name the snapshot before stays.
func (m *metrics) set(fs []figure) error {
	m.now = fs
	families, err := m.registry.Gather()
	if err != nil {
		return err
	}
	var all []figure
	for _, f := range families {
		for _, x := range f.GetMetric() {
			n, gauge := x.GetCounter().GetValue(), f.GetType() == dto.MetricType_GAUGE
			if gauge {
				n = x.GetGauge().GetValue()
			}
			all = append(all, figure{f.GetName(), uint64(n), gauge})
		}
	}
	m.snapshot.Store(&all)
	return nil
}

func (m *metrics) gathered() []figure {
	if fs := m.snapshot.Load(); fs != nil {
		return *fs
	}
	return nil
}
