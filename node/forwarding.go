package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/forward"
	"sapphiregate.example/sapphiregate/coordination/retry"
	"sapphiregate.example/sapphiregate/protocol"
)

// hedgeMargin allows for jitter and one retransmission on the way to the executor and back.
const hedgeMargin = 40 * time.Millisecond

// forwarding carries out the plan of one call: one attempt, or a second one beside it, until one answers.
type forwarding struct {
	call    *ingressCall
	results chan attemptResult
	source  rand.Source
	// reached tells that an executor has the call: a second attempt would only add load.
	reached atomic.Bool

	// mu guards the fields below against the hedge timer until the first attempt has ended; then the calling goroutine
	// owns them.
	mu         sync.Mutex
	plan       *forward.Call
	firstEnded bool
	tried      []string
	// cancels ends the attempts, in the order in which they were started.
	cancels []context.CancelFunc
	pending int
	// failed is an upstream's answer that it failed, which the caller gets if nothing better comes.
	failed *attemptResult
	// last is why the latest attempt gave no answer.
	last protocol.Reason
	// load is what the executor of that attempt reported.
	load protocol.LoadReport
}

func (f *forwarding) run(ctx context.Context) *reply {
	first, ok := f.begin(ctx)
	if !ok {
		return refusal(protocol.ReasonNoUpstream)
	}
	f.results <- f.runFirst(ctx, first)
	for {
		select {
		case result := <-f.results:
			f.pending--
			switch f.handle(ctx, result) {
			case forward.Respond:
				return f.answer(result)
			case forward.Fail:
				return f.fail()
			}
		case <-ctx.Done():
			f.last = protocol.ReasonDeadline
			return f.fail()
		}
	}
}

// runFirst runs the first attempt on the calling goroutine, which saves two switches between goroutines on most calls. A
// hedge may start beside it.
func (f *forwarding) runFirst(ctx context.Context, first *attempt) attemptResult {
	if f.call.node.options.NoHedging || !f.plan.MayHedge(time.Now()) {
		return first.run()
	}
	f.call.head.Progress = true
	wait := progressDelay + 2*f.call.node.options.zoneDelay(first.target.Zone) + hedgeMargin
	timer := time.AfterFunc(wait, func() { f.hedge(ctx) })
	result := first.run()
	timer.Stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstEnded = true
	return result
}

// hedge starts a second attempt unless an executor has shown that it has the call. An answer to it ends the first.
func (f *forwarding) hedge(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstEnded || f.reached.Load() || !f.plan.Hedge(time.Now()) {
		return
	}
	f.call.node.metrics.hedges.Inc()
	second, ok := f.begin(ctx)
	if !ok {
		return
	}
	cancelFirst := f.cancels[0]
	go func() {
		result := second.run()
		f.results <- result
		if result.answer.head.Outcome == protocol.OutcomeDone {
			cancelFirst()
		}
	}()
}

// attempt is one try on one upstream.
type attempt struct {
	forwarding *forwarding
	ctx        context.Context
	number     int
	target     balance.Target
}

// begin chooses an upstream that was not tried yet, if there is one.
func (f *forwarding) begin(ctx context.Context) (*attempt, bool) {
	c := f.call
	target, err := c.node.balancer.Pick(time.Now(), balance.Request{
		Service: c.head.Service, Route: c.route.Name, Zone: c.route.Zone, Exclude: f.tried, Rand: f.source, Patience: c.patience(),
		InTimeOnly: f.last == protocol.ReasonShed,
	})
	if err != nil {
		f.last = cmp.Or(f.last, protocol.ReasonNoUpstream)
		return nil, false
	}
	f.tried = append(f.tried, target.ID)
	c.tried = f.tried
	f.plan.AttemptStarted()
	f.pending++
	started := &attempt{forwarding: f, number: len(f.cancels), target: target}
	var cancel context.CancelFunc
	started.ctx, cancel = context.WithCancel(ctx)
	f.cancels = append(f.cancels, cancel)
	return started, true
}

func (a *attempt) run() attemptResult {
	reached := func() { a.forwarding.reached.Store(true) }
	result := a.forwarding.call.attempt(a.ctx, a.target, a.number > 0, reached)
	result.number = a.number
	return result
}

// handle takes the end of an attempt and starts the next one where the plan says so.
func (f *forwarding) handle(ctx context.Context, result attemptResult) forward.Action {
	head := &result.answer.head
	decision := f.plan.AttemptEnded(time.Now(), forward.Result{
		Outcome: outcomes[head.Outcome], Final: final(head.Reason), Suspect: head.Suspect,
		RefusedByUpstream: head.Reason == protocol.ReasonUpstreamRefused,
		ErrorResponse:     result.answer.failedByUpstream() && result.answer.stream == nil,
	}, f.source)
	if decision.Action == forward.Respond {
		return forward.Respond
	}
	if head.Outcome == protocol.OutcomeDone {
		f.failed = &result
	} else {
		f.last, f.load = head.Reason, head.Load
	}
	result.answer.finish()
	f.cancels[result.number]()
	if decision.Action != forward.Retry {
		return decision.Action
	}
	f.call.node.requestLog.repeated(f.call, result.answer, f.tried[result.number], decision.Delay)
	sleep(ctx, decision.Delay)
	if ctx.Err() != nil {
		return forward.Wait
	}
	f.call.node.metrics.retries.Inc()
	next, ok := f.begin(ctx)
	if !ok {
		return forward.Fail
	}
	go func() { f.results <- next.run() }()
	return forward.Wait
}

// final reports whether no other upstream can do better.
func final(reason protocol.Reason) bool {
	switch reason {
	case protocol.ReasonQuarantined, protocol.ReasonKeyReused, protocol.ReasonKeyExpired, protocol.ReasonCallerGone,
		protocol.ReasonTooLarge, protocol.ReasonInProgress, protocol.ReasonLedger:
		return true
	default:
		return false
	}
}

var outcomes = map[protocol.Outcome]retry.Outcome{
	protocol.OutcomeDone:    retry.Done,
	protocol.OutcomeNotRun:  retry.NotRun,
	protocol.OutcomeUnknown: retry.Unknown,
}

// answer passes on the answer of one attempt and gives up the others.
func (f *forwarding) answer(result attemptResult) *reply {
	f.call.elsewhere = result.elsewhere
	own := f.cancels[result.number]
	previous := result.answer.done
	result.answer.done = func() {
		own()
		if previous != nil {
			previous()
		}
	}
	f.abandon(result.number)
	return result.answer
}

// fail ends a call without an answer.
func (f *forwarding) fail() *reply {
	f.abandon(noAttempt)
	if f.failed != nil {
		return f.failed.answer
	}
	if f.plan.Outcome() == retry.NotRun {
		refused := refusal(f.last)
		refused.head.Load = f.load
		return refused
	}
	return uncertain(f.last)
}

// noAttempt stands for no attempt at all.
const noAttempt = -1

// abandon cancels all attempts but one.
func (f *forwarding) abandon(kept int) {
	for number, cancel := range f.cancels {
		if number != kept {
			cancel()
		}
	}
	if f.pending > 0 {
		go f.drain(f.pending)
	}
}

// drain ends abandoned attempts when they come back.
func (f *forwarding) drain(left int) {
	for range left {
		result := <-f.results
		result.answer.finish()
	}
}
