package chutemetric

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"monsoonchute.example/monsoonchute/chutering"
)

// reportInterval is the time between two exports of the metrics to the Prometheus reporter.
const reportInterval = time.Second

// Metrics is the set of counters, gauges and histograms of a process.
type Metrics struct {
	scope    tally.Scope
	handler  http.Handler
	mutex    sync.Mutex
	counters map[counterKey]tally.Counter
	series   map[string]map[string]bool // labels of the series of each gauge
}

type counterKey struct{ name, reason string }

// New returns empty metrics. The returned clean-up function exports them a last time and stops the exports.
func New() (*Metrics, func()) {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "monsoonchute", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	m := &Metrics{scope: scope, handler: reporter.HTTPHandler(), counters: make(map[counterKey]tally.Counter), series: make(map[string]map[string]bool)}
	return m, func() { closeIgnoringError(closer) }
}

func closeIgnoringError(closer io.Closer) {
	_ = closer.Close()
}

// Handler returns an HTTP handler that serves the metrics in the Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// Count increments the counter with the reason as its label.
func (m *Metrics) Count(counter, reason string) {
	m.counter(counter, reason).Inc(1)
}

// counter returns the tally counter of the name and reason, which it keeps for later calls.
func (m *Metrics) counter(counter, reason string) tally.Counter {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	key := counterKey{counter, reason}
	c, ok := m.counters[key]
	if !ok {
		c = m.scope.Tagged(map[string]string{"reason": reason}).Counter(metricName(counter))
		m.counters[key] = c
	}
	return c
}

// Observe records a duration in the histogram of the name.
func (m *Metrics) Observe(name string, duration time.Duration) {
	m.scope.Histogram(metricName(name), durationBuckets).RecordDuration(duration)
}

// ObserveKind records a duration in the histogram of the name, with the kind as its label.
func (m *Metrics) ObserveKind(name, kind string, duration time.Duration) {
	m.scope.Tagged(map[string]string{"kind": kind}).Histogram(metricName(name), durationBuckets).RecordDuration(duration)
}

// durationBuckets are 18 bucket bounds from 100 µs, each twice the one before.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 18)

// maxGaugeSeries is the largest number of series of one gauge, since a series is never deleted.
const maxGaugeSeries = 200

// SetLabeledGauge sets the gauge of the name with the labels. One gauge has at most maxGaugeSeries sets of labels; further ones are left out.
func (m *Metrics) SetLabeledGauge(name string, labels map[string]string, value float64) {
	if !m.admitSeries(name, labels) {
		m.Count("gauge-series-dropped", name)
		return
	}
	m.scope.Tagged(labels).Gauge(metricName(name)).Update(value)
}

// SetGauge sets the gauge of the name.
func (m *Metrics) SetGauge(name string, value float64) {
	m.scope.Gauge(metricName(name)).Update(value)
}

// admitSeries reports whether the gauge may have the series, and keeps it then.
func (m *Metrics) admitSeries(name string, labels map[string]string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	key := fmt.Sprint(labels) // maps are printed in the order of their keys
	if m.series[name] == nil {
		m.series[name] = make(map[string]bool)
	}
	if !m.series[name][key] && len(m.series[name]) >= maxGaugeSeries {
		return false
	}
	m.series[name][key] = true
	return true
}

// SetRingStats sets the gauges for the depth, size and refused items of a ring.
func (m *Metrics) SetRingStats(stats chutering.RingStats) {
	scope := m.scope.Tagged(map[string]string{"ring": stats.Name})
	scope.Gauge("ring_depth").Update(float64(stats.Depth))
	scope.Gauge("ring_size").Update(float64(stats.Size))
	scope.Gauge("ring_refused").Update(float64(stats.Refused))
}

// metricName replaces the dashes of a name by underscores, since Prometheus allows no dashes.
func metricName(name string) string {
	return strings.ReplaceAll(name, "-", "_")
}
