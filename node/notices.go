package node

import (
	"net/http"
	"time"

	"sapphiregate.example/sapphiregate/coordination/admission"
)

// observeNotices applies what the upstream says about itself in a response to one of its calls. A response of another
// upstream that has taken over its address says nothing about it.
func (e *executor) observeNotices(from *upstream, response *http.Response) {
	if response.StatusCode == http.StatusMisdirectedRequest && e.dialect.ExpectUpstream != "" {
		return
	}
	load, hasLoad, loadErr := e.dialect.Load(response.Header)
	limit, err := e.dialect.RequestLimit(response.Header)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upstream != from {
		return
	}
	if e.dialect.Leaving(response.Header) {
		e.noteLeaving("response")
	}
	if loadErr != nil && !from.invalidLoad {
		e.logger.Warn().Err(loadErr).Msg("upstream tells a load that cannot be read")
	}
	from.invalidLoad = loadErr != nil
	if hasLoad {
		from.moment.Observe(time.Now(), load.Slowdown)
	}
	if err != nil {
		// The last limit that could be read stays in force.
		if !from.invalidLimit {
			e.logger.Warn().Err(err).Msg("upstream names a limit that cannot be read")
		}
		from.invalidLimit = true
		return
	}
	from.invalidLimit = false
	if limit == from.limit {
		return
	}
	e.logger.Info().Float64("per_second", limit).Float64("before", from.limit).
		Msg("upstream names a limit for its requests")
	from.limit = limit
	now := time.Now()
	e.queue.SetLimit(now, limit)
	e.applyDecisions(e.queue.Expire(now))
}

// noteLeaving drains the current upstream, which has said in a response that it is about to stop. It is remembered like a
// deregistration: a heartbeat that was sent before the response may arrive after it. The caller holds e.mu.
func (e *executor) noteLeaving(source string) {
	if e.state == upstreamDraining {
		return
	}
	e.logger.Info().Str("upstream", e.upstream.announcement.ID).Str("source", source).Msg("upstream says that it leaves")
	e.rememberDeregistered(e.upstream.announcement.ID, e.upstream.announcement.Incarnation)
	e.startDrain()
}

// newQueue returns an empty queue for the current upstream. The caller holds e.mu.
func (e *executor) newQueue() *admission.Queue {
	queue := admission.New(e.queueConfig())
	if e.upstream != nil {
		queue.SetLimit(time.Now(), e.upstream.limit)
	}
	return queue
}

// replaceUpstream closes the client of the current upstream and takes an announced one. A limit that the upstream named
// holds on if it is the same process. The caller holds e.mu.
func (e *executor) replaceUpstream(announcement Announcement) {
	former := e.upstream
	e.upstream = newUpstream(announcement)
	e.paceStart()
	if former == nil {
		return
	}
	former.client.Close()
	if former.announcement.ID == announcement.ID && former.announcement.Incarnation == announcement.Incarnation {
		e.upstream.limit = former.limit
		e.upstream.speed, e.upstream.moment, e.upstream.pace = former.speed, former.moment, former.pace
	}
}

// upstreamLimit returns the requests per second that the upstream has named as its limit; 0 if it has named none.
func (e *executor) upstreamLimit() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upstream == nil {
		return 0
	}
	return e.upstream.limit
}
