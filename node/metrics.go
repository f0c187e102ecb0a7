package node

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Bounds of the histogram of added latency.
const (
	maxAddedMicros = int64(time.Minute / time.Microsecond)
	addedDigits    = 2
)

// metrics are the counters of one node. The daemon publishes them by expvar; several nodes in one process keep apart.
type metrics struct {
	calls           *expvar.Map
	refusals        *expvar.Map
	retries         expvar.Int
	hedges          expvar.Int
	cutAnswers      expvar.Int
	upstreamCrashes expvar.Int
	activations     expvar.Int

	mu    sync.Mutex
	added *hdrhistogram.Histogram
}

func newMetrics() *metrics {
	return &metrics{
		calls:    new(expvar.Map).Init(),
		refusals: new(expvar.Map).Init(),
		added:    hdrhistogram.New(1, maxAddedMicros, addedDigits),
	}
}

func (m *metrics) count(class bundle.Class, outcome protocol.Outcome) {
	m.calls.Add(string(class)+"_"+string(outcome), 1)
}

func (m *metrics) observeAdded(added time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.added.RecordValue(min(max(added.Microseconds(), 1), maxAddedMicros))
}

// addedQuantiles describes the time that calls spent in our processes.
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

// vars returns the metrics for expvar.
func (m *metrics) vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("calls", m.calls)
	vars.Set("refusals", m.refusals)
	vars.Set("retries", &m.retries)
	vars.Set("hedges", &m.hedges)
	vars.Set("cut_answers", &m.cutAnswers)
	vars.Set("upstream_crashes", &m.upstreamCrashes)
	vars.Set("activations", &m.activations)
	vars.Set("added_latency", expvar.Func(func() any { return m.quantiles() }))
	return vars
}
