package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/admission"
	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// executor runs calls on the upstream beside this node. It is safe for concurrent use.
type executor struct {
	id          string
	incarnation uint64
	logger      zerolog.Logger
	ledger      *ledgerClient
	quarantine  *quarantine.List
	// service returns the settings of a service in the configuration in force.
	service func(name string) (bundle.Service, bool)
	// announce publishes the state of the upstream.
	announce func(endpoints.Record)
	// publish spreads crash reports and clearances.
	publish        func(quarantine.Report)
	metrics        *metrics
	requestLog     *requestLog
	dialect        *protocol.Dialect
	healthInterval time.Duration
	// background holds what outlives its caller: recording answers and probing.
	background background
	ctx        context.Context
	stop       context.CancelFunc

	mu       sync.Mutex
	upstream *upstream
	state    upstreamState
	queue    *admission.Queue
	waiting  map[uint64]chan admission.Verdict
	running  map[uint64]*runningCall
	nextID   uint64
	// claiming counts the irreversible calls between claim and slot.
	claiming int
	expiry   *time.Timer
	// crashCheck is open while a broken connection is being explained.
	crashCheck *crashCheck
	lineage    lineage
	// settingsService is what runs beside the node until an upstream announces itself.
	settingsService string
	// departed is set once the upstream said that it is about to end; leaving once this process is.
	departed, leaving bool
	// drained is the time at which the upstream began to leave.
	drained time.Time
}

// runningCall is a call that holds a slot.
type runningCall struct {
	fingerprint quarantine.Fingerprint
	alone       bool
	started     time.Time
}

// place is a call's slot.
type place struct {
	id       uint64
	upstream *upstream
}

// drainTolerance is how long after an upstream began to leave a call may still start: the refusal is local, so only
// calls that were admitted at that very moment can.
const drainTolerance = 3 * time.Second

// admit waits for a slot. On refusal the reason is set and the call was not run.
func (e *executor) admit(ctx context.Context, head *protocol.CallMetadata, deadline time.Time) (*place, protocol.Reason) {
	now := time.Now()
	fingerprint := quarantine.Fingerprint(head.Fingerprint)
	verdict := e.quarantine.Verdict(now, fingerprint)
	if verdict == quarantine.Refused {
		return nil, protocol.ReasonQuarantined
	}
	e.mu.Lock()
	if reason := e.unavailable(head); reason != protocol.ReasonNone {
		e.mu.Unlock()
		return nil, reason
	}
	e.nextID++
	id := e.nextID
	call := &runningCall{fingerprint: fingerprint, alone: head.Exclusive || verdict == quarantine.Exclusive}
	ticket := admission.Ticket{
		ID: id, Class: head.Class, Priority: head.Priority, Route: head.Route, Deadline: deadline, Exclusive: call.alone,
	}
	if head.TargetRemaining > 0 {
		ticket.TargetTime = now.Add(head.TargetRemaining)
	}
	admitted := e.queue.Offer(now, ticket)
	e.running[id] = call
	var waiter chan admission.Verdict
	if admitted.Action == admission.Wait {
		waiter = make(chan admission.Verdict, 1)
		e.waiting[id] = waiter
	}
	e.decide(e.queue.Expire(now))
	chosen := e.upstream
	e.mu.Unlock()
	if waiter != nil {
		admitted = e.await(ctx, id, waiter)
	}
	if admitted.Action == admission.Run {
		e.metrics.waitTime.Observe(time.Since(now).Seconds())
	}
	return e.conclude(ctx, id, chosen, admitted)
}

// unavailable returns why the upstream takes no calls. The lock is held.
func (e *executor) unavailable(head *protocol.CallMetadata) protocol.Reason {
	switch {
	case e.state == upstreamDraining:
		return protocol.ReasonDraining
	case e.state != upstreamServing, e.upstream.announcement.Service != head.Service:
		return protocol.ReasonNoUpstream
	case head.Incarnation != 0 && head.Incarnation != e.incarnation:
		return protocol.ReasonNoUpstream
	}
	return protocol.ReasonNone
}

// await blocks until the queue decides or the caller leaves.
func (e *executor) await(ctx context.Context, id uint64, waiter chan admission.Verdict) admission.Verdict {
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
	delete(e.waiting, id)
	delete(e.running, id)
	e.decide(e.queue.Cancel(time.Now(), id))
	return admission.Verdict{Action: admission.Shed, Reason: admission.ReasonDeadline}
}

func (e *executor) conclude(
	ctx context.Context, id uint64, chosen *upstream, verdict admission.Verdict,
) (*place, protocol.Reason) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if verdict.Action != admission.Run {
		delete(e.running, id)
		return nil, shedReason(ctx, verdict.Reason)
	}
	if e.state == upstreamDraining {
		invariant.Check(now.Sub(e.drained) <= drainTolerance, invariant.LateDrainWork,
			"a call starts on an upstream that is leaving", map[string]any{"since_ms": now.Sub(e.drained).Milliseconds()})
	}
	if call := e.running[id]; call != nil {
		call.started = now
	}
	return &place{id: id, upstream: chosen}, protocol.ReasonNone
}

func shedReason(ctx context.Context, reason admission.Reason) protocol.Reason {
	switch {
	case reason == admission.ReasonDraining:
		return protocol.ReasonDraining
	case ctx.Err() == context.Canceled:
		return protocol.ReasonCallerGone
	case reason == admission.ReasonDeadline:
		return protocol.ReasonDeadline
	default:
		return protocol.ReasonShed
	}
}

// release gives a slot back. service is the time that the upstream spent on the call; 0 if it did not run.
func (e *executor) release(p *place, service time.Duration) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.running[p.id]; !ok {
		return
	}
	delete(e.running, p.id)
	if service > 0 {
		e.decide(e.queue.Finish(now, p.id, service))
	} else {
		e.decide(e.queue.Cancel(now, p.id))
	}
}

// decide hands out the queue's decisions and arms the timer for the next one. The lock is held.
func (e *executor) decide(decisions []admission.Decision) {
	for _, decision := range decisions {
		waiter := e.waiting[decision.ID]
		if waiter == nil {
			continue
		}
		delete(e.waiting, decision.ID)
		waiter <- decision.Verdict
	}
	next, ok := e.queue.NextExpiry()
	if !ok {
		return
	}
	delay := max(time.Until(next), 0)
	if e.expiry == nil {
		e.expiry = time.AfterFunc(delay, e.expire)
		return
	}
	e.expiry.Reset(delay)
}

func (e *executor) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decide(e.queue.Expire(time.Now()))
}

// load returns the first-hand load for the ingress.
func (e *executor) load() protocol.LoadReport {
	e.mu.Lock()
	load := e.queue.Load()
	e.mu.Unlock()
	return loadReport(load)
}

func loadReport(load balance.Load) protocol.LoadReport {
	return protocol.LoadReport{
		InFlight: load.InFlight, Queued: load.Queued, Slots: load.Slots, LatencyMicros: load.LatencyMicros,
	}
}
