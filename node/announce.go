package node

import (
	"context"
	"time"

	"sapphiregate.example/sapphiregate/coordination/admission"
	"sapphiregate.example/sapphiregate/coordination/endpoints"
)

// idleCheckInterval is the time between two looks whether calls in flight have ended.
const idleCheckInterval = 10 * time.Millisecond

// accept takes an announcement of the upstream beside this node. A repeated announcement changes nothing, apart from
// ending a drain.
func (e *executor) acceptAnnouncement(announcement Announcement) error {
	if err := announcement.Validate(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return nil
	}
	if e.upstream == nil || e.upstream.announcement != announcement {
		if e.upstream != nil {
			e.upstream.client.Close()
		}
		e.upstream = newUpstream(announcement)
	} else if e.state == upstreamServing {
		return nil
	}
	if e.state == upstreamDraining || e.state == upstreamAbsent {
		// A queue that drains refuses calls for good.
		e.queue = admission.New(e.queueConfig())
		e.waiters = make(map[uint64]chan admission.Verdict)
	} else {
		e.queue.Resize(e.slots())
	}
	e.state = upstreamServing
	e.announceState(endpoints.Serving)
	e.applyDecisions(e.queue.Expire(time.Now()))
	e.logger.Info().Str("service", announcement.Service).Str("address", announcement.Address).
		Int("slots", announcement.Slots).Msg("upstream announced itself")
	return nil
}

// slots returns the calls that may be in flight. The lock is held.
func (e *executor) slots() int {
	slots := e.upstream.announcement.Slots
	if service, ok := e.service(e.upstream.announcement.Service); ok && service.MaxConcurrency > 0 {
		slots = min(slots, service.MaxConcurrency)
	}
	return slots
}

func (e *executor) queueConfig() admission.Config {
	config := admission.Config{Slots: 1}
	if e.upstream == nil {
		return config
	}
	config.Slots = e.slots()
	config.QueueLimit = defaultQueuePerSlot * config.Slots
	if service, ok := e.service(e.upstream.announcement.Service); ok && service.QueueLimit > 0 {
		config.QueueLimit = service.QueueLimit
	}
	return config
}

// queuePerSlot bounds the wait to about as many service times, unless a service sets a queue limit. Callers give up
// before their deadline: with 4 per slot, 8% of the lookups in overload-2x ran for callers that had left.
const defaultQueuePerSlot = 2

// reconfigure applies the service settings of a new version.
func (e *executor) reconfigure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upstream == nil {
		return
	}
	e.queue.Resize(e.slots())
	e.applyDecisions(e.queue.Expire(time.Now()))
}

// leave drains for good: this process is about to end, whatever its upstream says.
func (e *executor) drainForStop() {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	e.drain()
}

// drain announces that the upstream is leaving and refuses further calls. Calls in flight finish.
func (e *executor) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upstream == nil || e.state == upstreamDraining {
		return
	}
	e.state = upstreamDraining
	e.drainStarted = time.Now()
	e.queue.Drain()
	e.applyDecisions(e.queue.Expire(time.Now()))
	e.announceState(endpoints.Draining)
	e.logger.Info().Int("in_flight", len(e.active)).Msg("upstream is leaving; calls in flight finish")
	e.background.start(e.announceGone)
}

// announceGone publishes the end of a drain, unless the upstream announces itself again first.
func (e *executor) announceGone() {
	if err := e.waitIdle(e.ctx); err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == upstreamDraining {
		e.announceState(endpoints.Gone)
	}
}

// idle waits until no call is in flight, nor on its way between claim and slot.
func (e *executor) waitIdle(ctx context.Context) error {
	for {
		e.mu.Lock()
		count := len(e.active) + e.pendingClaims
		e.mu.Unlock()
		if count == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, idleCheckInterval)
	}
}
