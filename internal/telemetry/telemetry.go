// Package telemetry holds what the metrics of all processes share: the registry, the latency buckets and the handler
// that serves them as text to a scraper.
package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sapphiregate.example/sapphiregate/invariant"
)

// Namespace is the prefix of all metric names.
const Namespace = "sapphiregate"

// LatencyBuckets are the upper bounds of histogram buckets, in seconds. They double from about the target for added
// latency, 0.91 ms, to the longest route deadlines.
var LatencyBuckets = prometheus.ExponentialBuckets(0.0009, 2, 15)

// Registry holds the metrics of one process.
type Registry struct {
	*prometheus.Registry
}

// NewRegistry returns a registry with the metrics of the Go runtime, the process and the violated invariants.
func NewRegistry() *Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), violations{},
	)
	return &Registry{Registry: registry}
}

// Handler returns the HTTP handler that serves the metrics to a scraper.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.Registry, promhttp.HandlerOpts{})
}

// Counter registers a counter.
func (r *Registry) Counter(name, help string) prometheus.Counter {
	counter := prometheus.NewCounter(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help})
	r.MustRegister(counter)
	return counter
}

// Counters registers a counter with labels.
func (r *Registry) Counters(name, help string, labels ...string) *prometheus.CounterVec {
	counters := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	r.MustRegister(counters)
	return counters
}

// Latency registers a histogram of LatencyBuckets.
func (r *Registry) Latency(name, help string) prometheus.Histogram {
	histogram := prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: Namespace, Name: name, Help: help, Buckets: LatencyBuckets,
	})
	r.MustRegister(histogram)
	return histogram
}

// Latencies registers a histogram of LatencyBuckets with labels.
func (r *Registry) Latencies(name, help string, labels ...string) *prometheus.HistogramVec {
	histograms := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: Namespace, Name: name, Help: help, Buckets: LatencyBuckets,
	}, labels)
	r.MustRegister(histograms)
	return histograms
}

// Gauge registers a gauge that is read when it is scraped.
func (r *Registry) Gauge(name, help string, read func() float64) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, read))
}

var violationsDesc = prometheus.NewDesc(Namespace+"_violations_total",
	"Violated invariants since the start; any is a fault of sapphiregate.", []string{"invariant"}, nil)

// violations collects the counts of package invariant.
type violations struct{}

// Describe implements prometheus.Collector.
func (violations) Describe(descs chan<- *prometheus.Desc) { descs <- violationsDesc }

// Collect implements prometheus.Collector.
func (violations) Collect(metrics chan<- prometheus.Metric) {
	for name, count := range invariant.Counts() {
		metrics <- prometheus.MustNewConstMetric(violationsDesc, prometheus.CounterValue, float64(count), string(name))
	}
}
