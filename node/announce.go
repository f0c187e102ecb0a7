package node

import (
	"context"
	"time"

	"sapphiregate.example/sapphiregate/coordination/admission"
	"sapphiregate.example/sapphiregate/coordination/endpoints"
)

// idleCheckInterval is the time between two checks whether calls in flight have ended.
const idleCheckInterval = 10 * time.Millisecond

// acceptAnnouncement puts the announced upstream into service. A repeated announcement has no effect on a serving
// upstream and ends a drain.
func (e *executor) acceptAnnouncement(announcement Announcement) error {
	if err := announcement.Validate(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.putInService(announcement)
	return nil
}

// putInService puts an upstream with a valid announcement into service. The caller holds e.mu.
func (e *executor) putInService(announcement Announcement) {
	if e.stopping {
		return
	}
	if e.upstream == nil || e.upstream.announcement != announcement {
		e.replaceUpstream(announcement)
	} else if e.state == upstreamServing {
		return
	}
	if e.state == upstreamDraining || e.state == upstreamAbsent {
		// A drained queue refuses all further calls, so a new one is needed.
		e.queue = e.newQueue()
		e.waiters = make(map[uint64]chan admission.Verdict)
	} else {
		e.queue.Resize(e.slots())
		e.queue.SetLimit(time.Now(), e.upstream.limit)
	}
	e.state = upstreamServing
	e.announceState(endpoints.Serving)
	e.applyDecisions(e.queue.Expire(time.Now()))
	e.logger.Info().Str("service", announcement.Service).Str("address", announcement.Address).
		Int("slots", announcement.Slots).Msg("upstream announced itself")
}

// slots returns the number of calls that the upstream may run at once: fewer than its slots while its start is paced. The
// caller holds e.mu.
func (e *executor) slots() int { return e.upstream.pace.Limit(e.allSlots()) }

// allSlots returns the number of calls that the upstream may run at once when it is warm. The caller holds e.mu.
func (e *executor) allSlots() int {
	slots := e.upstream.announcement.Slots
	if service, ok := e.service(e.upstream.announcement.Service); ok && service.MaxConcurrency > 0 {
		slots = min(slots, service.MaxConcurrency)
	}
	return slots
}

// queueConfig returns the queue's limits for the current upstream. The caller holds e.mu.
func (e *executor) queueConfig() admission.Config {
	config := admission.Config{Slots: 1}
	if e.upstream == nil {
		return config
	}
	config.Slots = e.slots()
	config.QueueLimit = defaultQueuePerSlot * e.allSlots()
	config.TargetQueueLimit = max(config.QueueLimit, admission.DefaultQueueLimit)
	if service, ok := e.service(e.upstream.announcement.Service); ok && service.QueueLimit > 0 {
		config.QueueLimit, config.TargetQueueLimit = service.QueueLimit, service.QueueLimit
	}
	return config
}

// defaultQueuePerSlot is the queue limit per slot of a service that sets none. It bounds the wait to about as many
// service times. Callers disconnect before their deadline: with 4 per slot, 8% of the lookups in the scenario
// overload-2x ran for callers that had disconnected.
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

// drainForStop drains the upstream because this process stops; further announcements have no effect.
func (e *executor) drainForStop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
	e.startDrain()
}

// drain announces that the upstream is leaving and refuses further calls. Calls in flight finish.
func (e *executor) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startDrain()
}

// startDrain is drain for a caller that holds e.mu.
func (e *executor) startDrain() {
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

// announceGone publishes the end of a drain, unless the upstream has announced itself again in the meantime.
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

// waitIdle waits until no call holds a slot, waits for one, or has a pending claim.
func (e *executor) waitIdle(ctx context.Context) error {
	for {
		if e.callsInFlight() == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, idleCheckInterval)
	}
}

// callsInFlight returns the number of calls that hold a slot, wait for one, or have a pending claim.
func (e *executor) callsInFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.active) + e.pendingClaims
}
