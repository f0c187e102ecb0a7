package node

import (
	"cmp"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"sapphiregate.example/sapphiregate/logging"
	"sapphiregate.example/sapphiregate/protocol"
)

const (
	// failureRate and failureBurst bound the lines about requests that failed. Under overload nearly every request may be
	// refused; a part of them shows the cause, and the counters hold the numbers.
	failureRate  = 20
	failureBurst = 100
	// One request in sampleShare is followed although it succeeds, up to sampleRate lines a second, so that there is a
	// good request to compare a failed one with. Samples have a bound of their own and never displace failures.
	sampleShare = 64
	sampleRate  = 5
	sampleBurst = 10
)

// requestLog writes one line for each decision about a request that failed, and about a sample of the others: what was
// decided, by what, and how old that was.
type requestLog struct {
	logger   zerolog.Logger
	failures boundedLines
	samples  boundedLines
}

func newRequestLog(logger zerolog.Logger, dropped prometheus.Counter) *requestLog {
	return &requestLog{
		logger:   logger,
		failures: boundedLines{limiter: rate.NewLimiter(failureRate, failureBurst), total: dropped},
		samples:  boundedLines{limiter: rate.NewLimiter(sampleRate, sampleBurst)},
	}
}

// boundedLines bounds the rate of one kind of lines.
type boundedLines struct {
	limiter *rate.Limiter
	// total counts the lines that were left out; nil if they are not worth counting.
	total prometheus.Counter

	mu      sync.Mutex
	dropped int
}

// line returns an event that says how many lines were left out before it, or nil if there is no room for another one.
func (b *boundedLines) line(logger zerolog.Logger) *zerolog.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limiter.Allow() {
		b.dropped++
		if b.total != nil {
			b.total.Inc()
		}
		return nil
	}
	event := logger.Info()
	if b.dropped > 0 && b.total != nil {
		event.Int("lines_dropped", b.dropped)
	}
	b.dropped = 0
	return event
}

// about returns an event for a decision about a request, or nil if it is not logged. All processes sample the same requests.
func (l *requestLog) about(request string, failed bool) *zerolog.Event {
	var event *zerolog.Event
	switch {
	case failed:
		event = l.failures.line(l.logger)
	case request != "" && xxhash.Sum64String(request)%sampleShare == 0:
		event = l.samples.line(l.logger)
	}
	if event == nil {
		return nil
	}
	return event.Str("request", request)
}

// ended reports the end of a request at the node that took it in.
func (l *requestLog) ended(c *ingressCall, answer *reply) {
	head := &answer.head
	failed := head.Outcome != protocol.OutcomeDone || answer.failedByUpstream()
	event := l.about(requestID(&c.head), failed)
	if event == nil {
		return
	}
	message := logging.RequestAnswered
	if failed {
		message = logging.RequestFailed
	}
	now := time.Now()
	event.Str("route", c.route.Name).Str("service", c.head.Service).
		Str("outcome", string(head.Outcome)).Str("reason", string(head.Reason)).Int("upstream_status", head.Status).
		Strs("tried", c.tried).Int64("took_ms", now.Sub(c.started).Milliseconds()).
		Int64("left_ms", c.deadline.Sub(now).Milliseconds()).
		Uint64("version", c.snapshot.version).Int64("version_age_ms", now.Sub(c.snapshot.since).Milliseconds()).
		Int("slots", head.Load.Slots).Int("running", head.Load.InFlight).Int("waiting", head.Load.Queued).
		Msg(message)
}

// refused reports a request that was not let in.
func (l *requestLog) refused(r *http.Request, n *Node, reason protocol.Reason) {
	event := l.about(r.Header.Get(n.options.Dialect.RequestID), true)
	if event == nil {
		return
	}
	event.Str("host", r.Host).Str("path", r.URL.Path).
		Str("outcome", string(protocol.OutcomeNotRun)).Str("reason", string(reason)).Uint64("version", n.Version()).
		Msg(logging.RequestRefused)
}

// repeated reports that an attempt failed and another one follows.
func (l *requestLog) repeated(c *ingressCall, failed *reply, instance string, pause time.Duration) {
	event := l.about(requestID(&c.head), true)
	if event == nil {
		return
	}
	event.Str("route", c.route.Name).Str("service", c.head.Service).Str("tried_instance", instance).
		Str("outcome", string(failed.head.Outcome)).Str("reason", string(failed.head.Reason)).
		Int("upstream_status", failed.head.Status).Int64("pause_ms", pause.Milliseconds()).
		Int64("left_ms", time.Until(c.deadline).Milliseconds()).
		Msg(logging.AttemptFailed)
}

// call reports the end of a call at the node beside the upstream. waited is the time until it had a slot or was refused.
func (l *requestLog) call(head *protocol.CallMetadata, answer *reply, waited time.Duration) {
	failed := answer.head.Outcome != protocol.OutcomeDone || answer.failedByUpstream()
	event := l.about(requestID(head), failed)
	if event == nil {
		return
	}
	message := logging.CallAnswered
	switch {
	case answer.head.Outcome == protocol.OutcomeNotRun:
		message = logging.CallRefused
	case failed:
		message = logging.CallFailed
	}
	load := answer.head.Load
	event.Str("route", head.Route).Str("service", head.Service).
		Str("outcome", string(answer.head.Outcome)).Str("reason", string(answer.head.Reason)).
		Int("upstream_status", answer.head.Status).Int64("waited_ms", waited.Milliseconds()).
		Int64("upstream_ms", answer.head.Upstream.Milliseconds()).Int64("given_ms", head.Remaining.Milliseconds()).
		Int64("patience_ms", head.TargetRemaining.Milliseconds()).Int("priority", head.Priority).Uint64("version", head.Version).
		Int("slots", load.Slots).Int("running", load.InFlight).Int("waiting", load.Queued).
		Msg(message)
}

// requestID returns the caller's name for the request, or its idempotency key.
func requestID(head *protocol.CallMetadata) string { return cmp.Or(head.RequestID, head.Key) }
