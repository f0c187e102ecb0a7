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
	failures rateLimitedLines
	samples  rateLimitedLines
}

func newRequestLog(logger zerolog.Logger, dropped prometheus.Counter) *requestLog {
	return &requestLog{
		logger:   logger,
		failures: rateLimitedLines{limiter: rate.NewLimiter(failureRate, failureBurst), droppedTotal: dropped},
		samples:  rateLimitedLines{limiter: rate.NewLimiter(sampleRate, sampleBurst)},
	}
}

// boundedLines bounds the rate of one kind of lines.
type rateLimitedLines struct {
	limiter *rate.Limiter
	// total counts the lines that were left out; nil if they are not worth counting.
	droppedTotal prometheus.Counter

	mu      sync.Mutex
	dropped int
}

// line returns an event that says how many lines were left out before it, or nil if there is no room for another one.
func (b *rateLimitedLines) event(logger zerolog.Logger) *zerolog.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limiter.Allow() {
		b.dropped++
		if b.droppedTotal != nil {
			b.droppedTotal.Inc()
		}
		return nil
	}
	event := logger.Info()
	if b.dropped > 0 && b.droppedTotal != nil {
		event.Int("lines_dropped", b.dropped)
	}
	b.dropped = 0
	return event
}

// about returns an event for a decision about a request, or nil if it is not logged. All processes sample the same requests.
func (l *requestLog) event(request string, failed bool) *zerolog.Event {
	var event *zerolog.Event
	switch {
	case failed:
		event = l.failures.event(l.logger)
	case request != "" && xxhash.Sum64String(request)%sampleShare == 0:
		event = l.samples.event(l.logger)
	}
	if event == nil {
		return nil
	}
	return event.Str("request", request)
}

// ended reports the end of a request at the node that took it in.
func (l *requestLog) requestEnded(c *ingressCall, reply *callReply) {
	meta := &reply.metadata
	failed := meta.Outcome != protocol.OutcomeDone || reply.failedByUpstream()
	event := l.event(requestID(&c.metadata), failed)
	if event == nil {
		return
	}
	message := logging.RequestAnswered
	if failed {
		message = logging.RequestFailed
	}
	now := time.Now()
	event.Str("route", c.route.Name).Str("service", c.metadata.Service).
		Str("outcome", string(meta.Outcome)).Str("reason", string(meta.Reason)).Int("upstream_status", meta.Status).
		Strs("tried", c.tried).Int64("took_ms", now.Sub(c.started).Milliseconds()).
		Int64("left_ms", c.deadline.Sub(now).Milliseconds()).
		Uint64("version", c.snapshot.version).Int64("version_age_ms", now.Sub(c.snapshot.since).Milliseconds()).
		Int("slots", meta.Load.Slots).Int("running", meta.Load.InFlight).Int("waiting", meta.Load.Queued).
		Msg(message)
}

// refused reports a request that was not let in.
func (l *requestLog) requestRefused(r *http.Request, n *Node, reason protocol.Reason) {
	event := l.event(r.Header.Get(n.options.Dialect.RequestID), true)
	if event == nil {
		return
	}
	event.Str("host", r.Host).Str("path", r.URL.Path).
		Str("outcome", string(protocol.OutcomeNotRun)).Str("reason", string(reason)).Uint64("version", n.Version()).
		Msg(logging.RequestRefused)
}

// repeated reports that an attempt failed and another one follows.
func (l *requestLog) attemptFailed(c *ingressCall, failed *callReply, instance string, pause time.Duration) {
	event := l.event(requestID(&c.metadata), true)
	if event == nil {
		return
	}
	event.Str("route", c.route.Name).Str("service", c.metadata.Service).Str("tried_instance", instance).
		Str("outcome", string(failed.metadata.Outcome)).Str("reason", string(failed.metadata.Reason)).
		Int("upstream_status", failed.metadata.Status).Int64("pause_ms", pause.Milliseconds()).
		Int64("left_ms", time.Until(c.deadline).Milliseconds()).
		Msg(logging.AttemptFailed)
}

// call reports the end of a call at the node beside the upstream. waited is the time until it had a slot or was refused.
func (l *requestLog) callEnded(meta *protocol.CallMetadata, reply *callReply, waited time.Duration) {
	failed := reply.metadata.Outcome != protocol.OutcomeDone || reply.failedByUpstream()
	event := l.event(requestID(meta), failed)
	if event == nil {
		return
	}
	message := logging.CallAnswered
	switch {
	case reply.metadata.Outcome == protocol.OutcomeNotRun:
		message = logging.CallRefused
	case failed:
		message = logging.CallFailed
	}
	load := reply.metadata.Load
	event.Str("route", meta.Route).Str("service", meta.Service).
		Str("outcome", string(reply.metadata.Outcome)).Str("reason", string(reply.metadata.Reason)).
		Int("upstream_status", reply.metadata.Status).Int64("waited_ms", waited.Milliseconds()).
		Int64("upstream_ms", reply.metadata.Upstream.Milliseconds()).Int64("given_ms", meta.Remaining.Milliseconds()).
		Int64("patience_ms", meta.TargetRemaining.Milliseconds()).Int("priority", meta.Priority).Uint64("version", meta.Version).
		Int("slots", load.Slots).Int("running", load.InFlight).Int("waiting", load.Queued).
		Msg(message)
}

// requestID returns the caller's name for the request, or its idempotency key.
func requestID(meta *protocol.CallMetadata) string { return cmp.Or(meta.RequestID, meta.Key) }
