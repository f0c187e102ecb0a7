package node

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"

	"sapphiregate.example/sapphiregate/internal/telemetry"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Bounds of the histogram of added latency.
const (
	maxAddedMicros         = int64(time.Minute / time.Microsecond)
	addedSignificantDigits = 2
)

// metrics holds the counters and histograms of one node; docs/observability.md describes each.
type metrics struct {
	registry *telemetry.Registry

	requestTime        *prometheus.HistogramVec
	refusedRequests    *prometheus.CounterVec
	addedTime          prometheus.Histogram
	retries            prometheus.Counter
	hedges             prometheus.Counter
	truncatedResponses prometheus.Counter
	waitTime           prometheus.Histogram
	lateStarts         prometheus.Counter
	quotaRequests      *prometheus.CounterVec
	quotaAsks          *prometheus.CounterVec
	quotaWaitTime      prometheus.Histogram
	refusedCalls       *prometheus.CounterVec
	upstreamTime       prometheus.Histogram
	upstreamCrashes    prometheus.Counter
	activations        prometheus.Counter
	linesDropped       prometheus.Counter
	returnedCalls      prometheus.Counter
	callsByZone        *prometheus.CounterVec

	// added provides quantiles for the dump. It is more exact than the buckets of addedTime, which are a factor of two
	// apart.
	mu    sync.Mutex
	added *hdrhistogram.Histogram
}

func newMetrics() *metrics {
	r := telemetry.NewRegistry()
	return &metrics{
		registry: r,
		requestTime: r.Latencies("request_seconds", "Time from a request's header to its answer, by its end.",
			"class", "outcome"),
		refusedRequests: r.Counters("requests_refused_total", "Requests that the node did not let in.", "reason"),
		addedTime:       r.Latency("added_seconds", "Time of a request in sapphiregate's processes; waits for a slot count."),
		retries:         r.Counter("retries_total", "Attempts after the first one."),
		hedges:          r.Counter("hedges_total", "Attempts beside a first one that showed no sign of life."),
		truncatedResponses: r.Counter("cut_answers_total",
			"Streamed answers that an upstream cut; the caller's connection was aborted."),
		waitTime:      r.Latency("upstream_wait_seconds", "Time for which a call waited for a slot of the upstream beside the node."),
		lateStarts:    r.Counter("upstream_late_starts_total", "Calls that got a slot after the time of their target."),
		quotaRequests: r.Counters("quota_requests_total", "Requests of teams with a quota, by the decision.", "decision"),
		quotaAsks:     r.Counters("quota_asks_total", "Requests for tokens to control members, by their result.", "result"),
		quotaWaitTime: r.Latency("quota_wait_seconds", "Time for which a request waited for a token of its team's quota."),
		refusedCalls:  r.Counters("upstream_refusals_total", "Calls that got no slot of the upstream beside the node.", "reason"),
		upstreamTime: r.Latency("upstream_seconds",
			"Time from a request written to the upstream beside the node to its answer."),
		upstreamCrashes: r.Counter("upstream_crashes_total", "Crashes of the upstream beside the node."),
		activations:     r.Counter("activations_total", "Versions put into force."),
		callsByZone:     r.Counters("calls_total", "Calls sent to an upstream, by the zone of the upstream.", "zone"),
		returnedCalls:   r.Counter("returned_calls_total", "Calls that another node returned because its upstream had no free slot."),
		linesDropped:    r.Counter("log_lines_dropped_total", "Lines about requests beyond the bound of the log."),
		added:           hdrhistogram.New(1, maxAddedMicros, addedSignificantDigits),
	}
}

// observeState adds the gauges that read the node's state when they are scraped.
func (m *metrics) observeState(n *Node) {
	m.registry.Gauge("version", "Version in force; 0 if there is none.", func() float64 { return float64(n.Version()) })
	load := func(read func(protocol.LoadReport) int) func() float64 {
		return func() float64 { return float64(read(n.executor.load())) }
	}
	m.registry.Gauge("upstream_slots", "Calls that the upstream beside the node takes at once.",
		load(func(l protocol.LoadReport) int { return l.Slots }))
	m.registry.Gauge("upstream_running", "Calls that run on the upstream beside the node.",
		load(func(l protocol.LoadReport) int { return l.InFlight }))
	m.registry.Gauge("upstream_limit", "Requests per second that the upstream beside the node has named as its limit; 0 if none.",
		func() float64 { return n.executor.upstreamLimit() })
	m.registry.Gauge("upload_buffer_bytes", "Memory that is reserved for the bodies of uploads.",
		func() float64 { return float64(n.uploads.reserved.Load()) })
	m.registry.Gauge("upstream_speed", "Measured speed of the upstream beside the node; 1 is the mean of its service, 0 not known.",
		func() float64 { return float64(n.executor.load().Speed) / 100 })
	m.registry.Gauge("upstream_slowdown", "Stated time of work on the upstream beside the node now; 1 is its usual one.",
		func() float64 { return float64(n.executor.load().Slowdown) / 100 })
	m.registry.Gauge("upstream_waiting", "Calls that wait for a slot of the upstream beside the node.",
		load(func(l protocol.LoadReport) int { return l.Queued }))
}

func (m *metrics) observeRequest(class bundle.Class, outcome protocol.Outcome, elapsed time.Duration) {
	m.requestTime.WithLabelValues(string(class), string(outcome)).Observe(elapsed.Seconds())
}

func (m *metrics) observeAdded(added time.Duration) {
	m.addedTime.Observe(added.Seconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.added.RecordValue(min(max(added.Microseconds(), 1), maxAddedMicros))
}

// addedQuantiles describes the time that calls spent in sapphiregate's processes.
type addedQuantiles struct {
	Count     int64 `json:"count"`
	P50Micros int64 `json:"p50_micros"`
	P99Micros int64 `json:"p99_micros"`
	MaxMicros int64 `json:"max_micros"`
}

func (m *metrics) quantiles() addedQuantiles {
	m.mu.Lock()
	defer m.mu.Unlock()
	return addedQuantiles{
		Count:     m.added.TotalCount(),
		P50Micros: m.added.ValueAtQuantile(50),
		P99Micros: m.added.ValueAtQuantile(99),
		MaxMicros: m.added.Max(),
	}
}
