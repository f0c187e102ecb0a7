package node

import (
	"cmp"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"sapphiregate.example/sapphiregate/coordination/admission"
	"sapphiregate.example/sapphiregate/logging"
	"sapphiregate.example/sapphiregate/protocol"
)

const (
	// failureRate (lines per second) and failureBurst (lines) bound the lines about failed requests. Under overload
	// nearly every request may be refused; some of them are enough to show the cause, and the metrics count them all.
	failureRate  = 20
	failureBurst = 100
	// One in sampleShare successful requests is logged, up to sampleRate lines per second, so that a failed request can
	// be compared with a successful one. Samples have their own limit and never displace failures.
	sampleShare = 64
	sampleRate  = 5
	sampleBurst = 10
)

// fullInterval is the least time between two lines that tell which calls hold the slots of a full upstream.
const fullInterval = time.Second

// requestLog writes one line for each decision about a failed request, and about a sample of the others: what was
// decided, from which state, and how old that state was.
type requestLog struct {
	logger   zerolog.Logger
	failures rateLimitedLines
	samples  rateLimitedLines
	// lastFull is the time of the last line of upstreamFull. The executor's lock guards it.
	lastFull time.Time
}

func newRequestLog(logger zerolog.Logger, dropped prometheus.Counter) *requestLog {
	return &requestLog{
		logger:   logger,
		failures: rateLimitedLines{limiter: rate.NewLimiter(failureRate, failureBurst), droppedTotal: dropped},
		samples:  rateLimitedLines{limiter: rate.NewLimiter(sampleRate, sampleBurst)},
	}
}

// rateLimitedLines bounds the rate of one kind of log lines.
type rateLimitedLines struct {
	limiter *rate.Limiter
	// droppedTotal counts the lines that were dropped; nil for samples, whose drops are neither counted nor logged.
	droppedTotal prometheus.Counter

	mu      sync.Mutex
	dropped int
}

// event returns a log event, or nil if the limit is reached. If droppedTotal is set, the event contains the number of
// lines that were dropped before it.
func (l *rateLimitedLines) event(logger zerolog.Logger) *zerolog.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limiter.Allow() {
		l.dropped++
		if l.droppedTotal != nil {
			l.droppedTotal.Inc()
		}
		return nil
	}
	event := logger.Info()
	if l.dropped > 0 && l.droppedTotal != nil {
		event.Int("lines_dropped", l.dropped)
	}
	l.dropped = 0
	return event
}

// event returns a log event for a decision about a request, or nil if the decision is not logged. The sample depends
// only on the request, so that all processes log the same requests.
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

// requestEnded logs the end of a request at its ingress.
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
	if c.team != nil {
		event.Str("team", c.team.Name)
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

// requestRefused logs a request that was not admitted.
func (l *requestLog) requestRefused(r *http.Request, n *Node, reason protocol.Reason) {
	event := l.event(r.Header.Get(n.options.Dialect.RequestID), true)
	if event == nil {
		return
	}
	event.Str("host", r.Host).Str("path", r.URL.Path).
		Str("outcome", string(protocol.OutcomeNotRun)).Str("reason", string(reason)).Uint64("version", n.Version()).
		Msg(logging.RequestRefused)
}

// attemptFailed logs that an attempt failed and another one follows after a pause.
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

// callEnded logs the end of a call at its executor. waited is the time until the call got a slot or was refused.
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
		Int64("upstream_ms", reply.metadata.UpstreamTime.Milliseconds()).Int64("given_ms", meta.Remaining.Milliseconds()).
		Int64("patience_ms", meta.TargetRemaining.Milliseconds()).Int("priority", meta.Priority).Uint64("version", meta.Version).
		Int("slots", load.Slots).Int("running", load.InFlight).Int("waiting", load.Queued).
		Msg(message)
}

// upstreamFull logs, at most once in fullInterval, which priorities hold the slots and wait while calls are refused for
// lack of slots. The caller holds the executor's lock.
func (l *requestLog) upstreamFull(now time.Time, service string, occupancy func(time.Time) []admission.Occupancy) {
	if now.Sub(l.lastFull) < fullInterval {
		return
	}
	l.lastFull = now
	priorities := zerolog.Dict()
	for _, o := range occupancy(now) {
		priorities.Dict(strconv.Itoa(o.Priority),
			zerolog.Dict().Int("running", o.Running).Int("waiting", o.Waiting).Int("late", o.Late))
	}
	l.logger.Info().Str("service", service).Dict("priorities", priorities).Msg(logging.UpstreamFull)
}

// requestID returns the caller's ID of the request or, if it has none, the idempotency key.
func requestID(meta *protocol.CallMetadata) string { return cmp.Or(meta.RequestID, meta.Key) }
