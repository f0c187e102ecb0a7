package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"sapphiregate.example/sapphiregate/protocol"
)

const (
	// journalRate and journalBurst bound the lines about requests. Under overload nearly every request may be refused; a
	// sample of them shows the cause, and the counters hold the numbers.
	journalRate  = 20
	journalBurst = 100
)

// journal writes one line for each request that did not get an upstream's answer of success: what was decided, by what,
// and how old that was.
type journal struct {
	logger  zerolog.Logger
	limiter *rate.Limiter

	mu      sync.Mutex
	dropped int
}

func newJournal(logger zerolog.Logger) *journal {
	return &journal{logger: logger, limiter: rate.NewLimiter(journalRate, journalBurst)}
}

// line returns an event that says how many lines were left out before it, or nil if there is no room for another one.
func (j *journal) line() *zerolog.Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.limiter.Allow() {
		j.dropped++
		return nil
	}
	event := j.logger.Info()
	if j.dropped > 0 {
		event.Int("lines_dropped", j.dropped)
		j.dropped = 0
	}
	return event
}

// failed reports the end of a call.
func (j *journal) failed(c *ingressCall, answer *reply) {
	event := j.line()
	if event == nil {
		return
	}
	now := time.Now()
	head := &answer.head
	event.Str("request", c.requestID()).Str("route", c.route.Name).Str("service", c.head.Service).
		Str("outcome", string(head.Outcome)).Str("reason", string(head.Reason)).Int("upstream_status", head.Status).
		Strs("tried", c.tried).Int64("took_ms", now.Sub(c.started).Milliseconds()).
		Int64("left_ms", c.deadline.Sub(now).Milliseconds()).
		Uint64("version", c.snapshot.version).Int64("version_age_ms", now.Sub(c.snapshot.since).Milliseconds()).
		Int("slots", head.Load.Slots).Int("running", head.Load.InFlight).Int("waiting", head.Load.Queued).
		Msg("request failed")
}

// refused reports a request that was not let in.
func (j *journal) refused(r *http.Request, n *Node, reason protocol.Reason) {
	event := j.line()
	if event == nil {
		return
	}
	event.Str("request", r.Header.Get(n.options.Dialect.RequestID)).Str("host", r.Host).Str("path", r.URL.Path).
		Str("outcome", string(protocol.OutcomeNotRun)).Str("reason", string(reason)).Uint64("version", n.Version()).
		Msg("request refused")
}

// requestID returns the caller's name for the request, or its idempotency key.
func (c *ingressCall) requestID() string {
	if name := c.node.options.Dialect.RequestID; name != "" {
		return http.Header(c.head.Header).Get(name)
	}
	return c.head.Key
}
