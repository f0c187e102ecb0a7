package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/admission"
	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/release"
)

// executor runs calls on the upstream beside this node. It is safe for concurrent use.
type executor struct {
	id          string
	incarnation uint64
	logger      zerolog.Logger
	ledger      *ledgerClient
	quarantine  *quarantine.List
	// service returns a service as the configuration in force defines it.
	service func(name string) (bundle.Service, bool)
	// routeServiceTime returns the mean service time of a route over the upstreams of other nodes; 0 if it is not known.
	routeServiceTime func(service, route string) time.Duration
	// announce publishes the upstream's endpoint record to the mesh.
	announce func(endpoints.Record)
	// publish distributes a crash report or clearance to all nodes.
	publish        func(quarantine.Report)
	metrics        *metrics
	requestLog     *requestLog
	dialect        *protocol.Dialect
	healthInterval time.Duration
	// drainWithin is how long after the start of a drain a call may still start.
	drainWithin time.Duration
	downloads   *downloads
	// longBodyBytes is the total that maxLongBodyBytes bounds.
	longBodyBytes atomic.Int64
	// rollouts holds the rollouts of releases by service; nil before the first one.
	rollouts atomic.Pointer[map[string]release.Rollout]
	results  resultCounter
	// background runs work that outlives the call that started it: recording responses and probing.
	background taskGroup
	ctx        context.Context
	stop       context.CancelFunc
	// verify makes monitorUpstream check the upstream without waiting.
	verify chan struct{}
	// requestsContext ends when a stop gives up the requests in flight.
	requestsContext context.Context

	// mu guards the fields below.
	mu       sync.Mutex
	upstream *upstream
	state    upstreamState
	queue    *admission.Queue
	// waiters holds the channel of each call that waits for a slot; active holds these calls and those that have one.
	waiters map[uint64]chan admission.Verdict
	active  map[uint64]*activeCall
	nextID  uint64
	// pendingClaims counts the irreversible calls that have sent their claim and do not run yet.
	pendingClaims int
	expiryTimer   *time.Timer
	// crashCheck is set while the upstream is probed after a broken connection.
	crashCheck    *crashCheck
	lastHeartbeat heartbeatPosition
	warmup        announcedWarmup
	// configuredService is the service that the settings name; it is used until an upstream announces itself.
	configuredService string
	// deregistered holds, by upstream ID, the last incarnation (Unix milliseconds) that has said that it is about to stop.
	deregistered map[string]int64
	// stopping is set once this process is about to stop.
	stopping bool
	// drainStarted is the time at which the current drain began.
	drainStarted time.Time
}

// activeCall is a call that waits for a slot or holds one; started is zero while it waits.
type activeCall struct {
	fingerprint quarantine.Fingerprint
	exclusive   bool
	service     string
	route       string
	started     time.Time
}

// grantedSlot is a slot that a call holds on an upstream.
type grantedSlot struct {
	callID   uint64
	upstream *upstream
}

// admit waits for a slot on the upstream. It returns a nil slot and the reason if the call is refused.
func (e *executor) admit(
	ctx context.Context, meta *protocol.CallMetadata, deadline time.Time,
) (*grantedSlot, protocol.Reason) {
	now := time.Now()
	fingerprint := quarantine.Fingerprint(meta.Fingerprint)
	quarantineVerdict := e.quarantine.Verdict(now, fingerprint)
	if quarantineVerdict == quarantine.Refused {
		return nil, protocol.ReasonQuarantined
	}
	e.mu.Lock()
	if reason := e.unavailableReason(meta); reason != protocol.ReasonNone {
		e.mu.Unlock()
		return nil, reason
	}
	e.nextID++
	id := e.nextID
	call := &activeCall{fingerprint: fingerprint, exclusive: meta.Exclusive || quarantineVerdict == quarantine.Exclusive,
		service: meta.Service, route: meta.Route}
	ticket := ticketOf(now, meta, deadline)
	ticket.ID, ticket.Exclusive = id, call.exclusive
	if e.returnsCall(now, meta, ticket) {
		e.mu.Unlock()
		return nil, protocol.ReasonBusy
	}
	verdict := e.queue.Offer(now, ticket)
	if verdict.Reason == admission.ReasonTarget || verdict.Reason == admission.ReasonQueueFull {
		e.requestLog.upstreamFull(now, meta.Service, e.queue.Occupancy)
	}
	e.active[id] = call
	var waiter chan admission.Verdict
	if verdict.Action == admission.Wait {
		waiter = make(chan admission.Verdict, 1)
		e.waiters[id] = waiter
	}
	e.applyDecisions(e.queue.Expire(now))
	target := e.upstream
	e.mu.Unlock()
	if waiter != nil {
		verdict = e.awaitVerdict(ctx, id, waiter)
	}
	if verdict.Action == admission.Run {
		e.metrics.waitTime.Observe(time.Since(now).Seconds())
		if meta.TargetRemaining > 0 && time.Since(now) > meta.TargetRemaining {
			e.metrics.lateStarts.Inc()
		}
	}
	return e.finishAdmission(ctx, id, target, verdict)
}

func ticketOf(now time.Time, meta *protocol.CallMetadata, deadline time.Time) admission.Ticket {
	ticket := admission.Ticket{
		Class: meta.Class, Priority: meta.Priority, Route: meta.Route, Team: meta.Team, Deadline: deadline,
		Exclusive: meta.Exclusive,
	}
	if meta.TargetRemaining > 0 {
		ticket.TargetTime = now.Add(meta.TargetRemaining)
	}
	return ticket
}

// returnsCall reports whether the upstream returns a call, so that it can start elsewhere. The caller holds e.mu.
func (e *executor) returnsCall(now time.Time, meta *protocol.CallMetadata, ticket admission.Ticket) bool {
	return meta.ReturnIfBusy && (e.upstream.moment.Slow(now) || !e.queue.StartsAtOnce(now, ticket))
}

// unavailableReason returns why the upstream cannot take the call, or ReasonNone. The caller holds e.mu.
func (e *executor) unavailableReason(meta *protocol.CallMetadata) protocol.Reason {
	switch {
	case e.state == upstreamDraining:
		return protocol.ReasonDraining
	case e.state != upstreamServing, e.upstream.announcement.Service != meta.Service:
		return protocol.ReasonNoUpstream
	case e.isRolledBack(&e.upstream.announcement):
		// Another node may not know it yet.
		return protocol.ReasonNoUpstream
	case meta.Incarnation != 0 && meta.Incarnation != e.incarnation:
		return protocol.ReasonNoUpstream
	}
	return protocol.ReasonNone
}

// awaitVerdict blocks until the queue decides or the context ends.
func (e *executor) awaitVerdict(ctx context.Context, id uint64, waiter chan admission.Verdict) admission.Verdict {
	select {
	case verdict := <-waiter:
		return verdict
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case verdict := <-waiter:
		return verdict
	default:
	}
	delete(e.waiters, id)
	delete(e.active, id)
	e.applyDecisions(e.queue.Cancel(time.Now(), id))
	return admission.Verdict{Action: admission.Shed, Reason: admission.ReasonDeadline}
}

// finishAdmission turns the queue's verdict into a slot or the reason of the refusal.
func (e *executor) finishAdmission(
	ctx context.Context, id uint64, target *upstream, verdict admission.Verdict,
) (*grantedSlot, protocol.Reason) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if verdict.Action != admission.Run {
		delete(e.active, id)
		return nil, shedReason(ctx, verdict.Reason)
	}
	if e.state == upstreamDraining {
		// This node refuses calls during the drain, so only a call that was admitted just before can start late.
		invariant.Check(now.Sub(e.drainStarted) <= e.drainWithin, invariant.LateDrainWork,
			"a call starts on a draining upstream", map[string]any{"since_ms": now.Sub(e.drainStarted).Milliseconds()})
	}
	if call := e.active[id]; call != nil {
		call.started = now
	}
	return &grantedSlot{callID: id, upstream: target}, protocol.ReasonNone
}

func shedReason(ctx context.Context, reason admission.Reason) protocol.Reason {
	switch {
	case reason == admission.ReasonDraining:
		return protocol.ReasonDraining
	case ctx.Err() == context.Canceled:
		return abandonReason(ctx)
	case reason == admission.ReasonDeadline:
		return protocol.ReasonDeadline
	default:
		return protocol.ReasonShed
	}
}

// releaseSlot returns a slot to the queue. serviceTime is the time that the upstream spent on the call; 0 if the call
// did not run.
func (e *executor) releaseSlot(slot *grantedSlot, serviceTime time.Duration) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	call, ok := e.active[slot.callID]
	if !ok {
		return
	}
	delete(e.active, slot.callID)
	if serviceTime > 0 {
		e.observeServiceTime(now, slot.upstream, call, serviceTime)
		e.applyDecisions(e.queue.Finish(now, slot.callID, serviceTime))
	} else {
		e.applyDecisions(e.queue.Cancel(now, slot.callID))
	}
}

// applyDecisions delivers the queue's decisions to the waiting calls and sets the timer for the next expiry. The caller
// holds e.mu.
func (e *executor) applyDecisions(decisions []admission.Decision) {
	for _, decision := range decisions {
		waiter := e.waiters[decision.ID]
		if waiter == nil {
			continue
		}
		delete(e.waiters, decision.ID)
		waiter <- decision.Verdict
	}
	next, ok := e.queue.NextExpiry()
	if !ok {
		return
	}
	delay := max(time.Until(next), 0)
	if e.expiryTimer == nil {
		e.expiryTimer = time.AfterFunc(delay, e.expireQueue)
		return
	}
	e.expiryTimer.Reset(delay)
}

func (e *executor) expireQueue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyDecisions(e.queue.Expire(time.Now()))
}

// load returns the load of the upstream as measured by this node.
func (e *executor) load() protocol.LoadReport {
	e.mu.Lock()
	load := e.queue.Load()
	if e.upstream != nil {
		load.Speed, load.Slowdown = e.upstream.statedSpeed(time.Now())
	}
	e.mu.Unlock()
	return loadReport(load)
}

func loadReport(load balance.Load) protocol.LoadReport {
	return protocol.LoadReport{
		InFlight: load.InFlight, Queued: load.Queued, Slots: load.Slots, LatencyMicros: load.LatencyMicros,
		Speed: load.Speed, Slowdown: load.Slowdown,
	}
}
