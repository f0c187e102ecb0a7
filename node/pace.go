package node

import (
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/coordination/pace"
)

// announcedWarmup is what the heartbeats of an upstream say about its warm-up.
type announcedWarmup struct {
	process endpoints.UpstreamProcess
	// until is when the upstream expects to be warm.
	until time.Time
	// longest is the longest warm-up that an upstream on this instance has announced; 0 if none has announced any. A start is
	// then not paced.
	longest time.Duration
}

// noteWarmup records the warm-up that a heartbeat announces. The caller holds e.mu.
func (e *executor) noteWarmup(h Heartbeat) {
	e.warmup.process = endpoints.UpstreamProcess{ID: h.Announcement.ID, Incarnation: h.Announcement.Incarnation}
	e.warmup.until = time.Now().Add(h.Warmup)
	e.warmup.longest = max(e.warmup.longest, h.Warmup)
}

// paceStart begins the pace of an upstream that has announced a warm-up. The caller holds e.mu.
func (e *executor) paceStart() {
	a, now := e.upstream.announcement, time.Now()
	announced := e.warmup.process == (endpoints.UpstreamProcess{ID: a.ID, Incarnation: a.Incarnation})
	if !announced || !e.warmup.until.After(now) {
		return
	}
	e.beginPace(now, e.warmup.until.Sub(now))
}

// paceRecovery begins the pace of an upstream that accepts connections again. It may have started anew; its next heartbeat
// tells. The caller holds e.mu.
func (e *executor) paceRecovery() {
	if e.warmup.longest > 0 {
		e.beginPace(time.Now(), e.warmup.longest)
	}
}

// beginPace limits the slots of the upstream until it is warm. The caller holds e.mu.
func (e *executor) beginPace(now time.Time, warmup time.Duration) {
	e.upstream.pace.Begin(now, e.allSlots(), warmup)
	e.queue.Resize(e.slots())
	e.logger.Info().Str("upstream", e.upstream.announcement.ID).Int("slots", e.slots()).
		Int64("warmup_ms", warmup.Milliseconds()).Msg("pacing the start of the upstream")
}

// isPaced reports whether other nodes need no slow start for the upstream: its start is paced here, or it has run for long.
// A restart of this node does not make it cold. The caller holds e.mu.
func (e *executor) isPaced() bool {
	if e.upstream.pace.Active() {
		return true
	}
	var started time.Time
	if incarnation := e.upstream.announcement.Incarnation; incarnation > 0 {
		started = time.UnixMilli(incarnation)
	}
	return pace.Warm(time.Now(), started)
}

// observeServiceTime adds a call that has ended to the measured speed of the upstream, or to the pace of its start. The
// caller holds e.mu.
func (e *executor) observeServiceTime(now time.Time, u *upstream, call *activeCall, serviceTime time.Duration) {
	expected := e.routeServiceTime(call.service, call.route)
	if !u.pace.Active() {
		u.speed.Observe(expected, serviceTime)
		return
	}
	changed := u.pace.Observe(now, call.started, expected, serviceTime)
	if e.upstream != u {
		return
	}
	if changed {
		e.queue.Resize(e.slots())
	}
	if !u.pace.Active() {
		e.queue.Resize(e.slots())
		e.logger.Info().Str("upstream", u.announcement.ID).Msg("the upstream is warm")
	}
}
