package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
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

// forwarder carries out the attempts of one call: the first one, a hedge beside it, and retries, as its plan decides.
//
// Who still owes an answer: an attempt that was sent ends with a response, with the proof that it gets none (its connection
// broke, its instance is lost or was replaced), or with the call. An instance that is silent still owes its response, since
// its upstream may be at work: a further attempt runs beside the silent one, and the first response counts.
type forwarder struct {
	call    *ingressCall
	results chan attemptResult
	random  rand.Source
	// acknowledged is set once an executor has received the call; a hedge would then only add load.
	acknowledged atomic.Bool

	// silences receives the indexes of attempts whose instance does not respond. replies receives the reply if another
	// goroutine than the calling one carries on the call, since the first attempt occupies the calling one.
	silences chan int
	replies  chan *callReply

	// mu guards the fields below against the hedge timer and the detector.
	mu   sync.Mutex
	plan *forward.Call
	// firstEnded is set once the first attempt has ended, and carriedOn if another goroutine carries on the call.
	firstEnded, carriedOn bool
	tried                 []string
	// cancels holds the cancel function of each attempt, in the order in which the attempts were started, and states what
	// is known of it.
	cancels []context.CancelFunc
	states  []attemptState
	pending int
	// failedResult holds a response by which an upstream reported its failure. The caller gets it if no other attempt
	// succeeds.
	failedResult *attemptResult
	// lastReason is why the latest attempt got no response.
	lastReason protocol.Reason
	// lastLoad is the load that the executor of that attempt reported.
	lastLoad protocol.LoadReport
}

// attemptState says whether an attempt has ended, and whether its instance did not respond before.
type attemptState struct{ ended, silent bool }

func newForwarder(c *ingressCall, plan *forward.Call) *forwarder {
	return &forwarder{
		call: c, plan: plan, random: rand.NewPCG(rand.Uint64(), rand.Uint64()),
		results: make(chan attemptResult, maxAttemptsInFlight), silences: make(chan int), replies: make(chan *callReply, 1),
	}
}

// run makes attempts until one gives the reply for the caller, the plan allows no more, or the context ends.
func (f *forwarder) run(ctx context.Context) *callReply {
	first, ok := f.startAttempt(ctx)
	if !ok {
		return notRunReply(protocol.ReasonNoUpstream)
	}
	result := f.runFirst(ctx, first)
	carriedOn := f.endFirst()
	f.results <- result
	if carriedOn {
		return <-f.replies
	}
	return f.awaitReply(ctx)
}

// endFirst notes that the first attempt has ended, and reports whether another goroutine carries on the call.
func (f *forwarder) endFirst() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstEnded = true
	return f.carriedOn
}

// awaitReply handles the results of attempts until there is a reply for the caller.
func (f *forwarder) awaitReply(ctx context.Context) *callReply {
	for {
		result, ok := f.awaitResult(ctx)
		if !ok {
			f.lastReason = abandonReason(ctx)
			return f.fail()
		}
		switch f.handleResult(ctx, result) {
		case forward.Respond:
			return f.complete(result)
		case forward.Fail:
			return f.fail()
		}
	}
}

// awaitResult returns the result of the next attempt that ends; false if the context ends first. A result that is ready
// is returned also if the context has ended. Meanwhile it starts further attempts beside silent ones.
func (f *forwarder) awaitResult(ctx context.Context) (attemptResult, bool) {
	for {
		select {
		case result := <-f.results:
			return result, true
		default:
		}
		select {
		case result := <-f.results:
			return result, true
		case index := <-f.silences:
			f.handleSilence(ctx, index)
		case <-ctx.Done():
			return attemptResult{}, false
		}
	}
}

// reportSilence passes on that the instance of an attempt does not respond. While the first attempt occupies the calling
// goroutine, this one carries on the call.
func (f *forwarder) reportSilence(ctx context.Context, index int) {
	f.mu.Lock()
	carriesOn := !f.firstEnded && !f.carriedOn
	f.carriedOn = f.carriedOn || carriesOn
	f.mu.Unlock()
	if carriesOn {
		f.handleSilence(ctx, index)
		f.replies <- f.awaitReply(ctx)
		return
	}
	select {
	case f.silences <- index:
	case <-ctx.Done():
	}
}

// handleSilence starts an attempt beside a silent one if the plan asks for it.
func (f *forwarder) handleSilence(ctx context.Context, index int) {
	f.mu.Lock()
	state := &f.states[index]
	if state.ended || state.silent {
		f.mu.Unlock()
		return
	}
	state.silent = true
	decision := f.plan.AttemptSilent(time.Now(), f.random)
	f.mu.Unlock()
	if decision.Action == forward.Retry && !f.startRetry(ctx, decision.Delay) {
		f.call.policy.budget.GiveBack()
	}
}

// runFirst runs the first attempt on the calling goroutine, which saves two goroutine switches on most calls. A hedge
// may start beside it.
func (f *forwarder) runFirst(ctx context.Context, first *attempt) attemptResult {
	if f.call.node.options.NoHedging || !f.plan.MayHedge(time.Now()) {
		return first.run()
	}
	f.call.metadata.Progress = true
	hedgeDelay := progressDelay + 2*f.call.node.zoneDelay(first.target.Zone) + hedgeMargin
	timer := time.AfterFunc(hedgeDelay, func() { f.hedge(ctx) })
	result := first.run()
	timer.Stop()
	return result
}

// hedge starts a second attempt unless an executor has acknowledged the call. A response to the hedge cancels the
// first attempt.
func (f *forwarder) hedge(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstEnded || f.carriedOn || f.acknowledged.Load() || !f.plan.Hedge(time.Now()) {
		return
	}
	f.call.node.metrics.hedges.Inc()
	second, ok := f.startAttempt(ctx)
	if !ok {
		return
	}
	cancelFirst := f.cancels[0]
	go func() {
		result := second.run()
		f.results <- result
		if result.reply.metadata.Outcome == protocol.OutcomeDone {
			cancelFirst()
		}
	}()
}

// attempt sends a call to one upstream.
type attempt struct {
	forwarder *forwarder
	// ctx is the context of the attempt, callCtx that of the call.
	ctx, callCtx context.Context
	index        int
	target       balance.Target
	// request is what the target was picked for.
	request balance.Request
}

// startAttempt chooses an upstream that was not tried yet and prepares an attempt. It returns false if there is none. The
// caller holds the lock, or is the only one that uses the call.
func (f *forwarder) startAttempt(ctx context.Context) (*attempt, bool) {
	c := f.call
	// The attempt may read the list while handleResult changes f.tried.
	request := c.balancerRequest(slices.Clone(f.tried), f.lastReason)
	request.Rand, request.Beside = f.random, f.pending > 0
	target, err := c.node.balancer.Pick(time.Now(), request)
	if err != nil {
		f.lastReason = cmp.Or(f.lastReason, protocol.ReasonNoUpstream)
		return nil, false
	}
	// The attempt may run beside another one, and f.random is not safe for concurrent use.
	request.Rand = nil
	f.tried = append(f.tried, target.ID)
	c.tried = f.tried
	f.plan.AttemptStarted()
	f.pending++
	started := &attempt{forwarder: f, callCtx: ctx, index: len(f.cancels), target: target, request: request}
	var cancel context.CancelFunc
	started.ctx, cancel = context.WithCancel(ctx)
	f.cancels, f.states = append(f.cancels, cancel), append(f.states, attemptState{})
	return started, true
}

// balancerRequest returns what the balancer needs to know for the next attempt.
func (c *ingressCall) balancerRequest(tried []string, lastReason protocol.Reason) balance.Request {
	return balance.Request{
		Service: c.metadata.Service, Route: c.route.Name, Zone: c.route.Zone, Exclude: tried,
		TargetRemaining: c.timeUntilTarget(), MeetTargetOnly: lastReason == protocol.ReasonShed,
	}
}

func (a *attempt) run() attemptResult {
	f := a.forwarder
	result := f.call.place(a.ctx, a.request, a.target, a.index > 0, callEvents{
		acknowledged: func() { f.acknowledged.Store(true) },
		silent:       func() { go f.reportSilence(a.callCtx, a.index) },
	})
	result.index = a.index
	return result
}

// handleResult passes the result of an attempt to the plan and starts the next attempt if the plan asks for one.
func (f *forwarder) handleResult(ctx context.Context, result attemptResult) forward.Action {
	meta := &result.reply.metadata
	f.mu.Lock()
	f.pending--
	f.tried[result.index] = result.target.ID
	f.states[result.index].ended = true
	decision := f.plan.AttemptEnded(time.Now(), forward.Result{
		Outcome: retryOutcomes[meta.Outcome], Final: isFinal(meta.Reason), Suspect: meta.Suspect,
		RefusedByUpstream: meta.Reason == protocol.ReasonUpstreamRefused,
		ErrorResponse:     result.reply.failedByUpstream() && result.reply.stream == nil,
		WasSilent:         f.states[result.index].silent,
	}, f.random)
	f.mu.Unlock()
	if decision.Action == forward.Respond {
		return forward.Respond
	}
	if meta.Outcome == protocol.OutcomeDone {
		f.failedResult = &result
	} else {
		f.lastReason, f.lastLoad = meta.Reason, meta.Load
	}
	result.reply.finish()
	f.cancels[result.index]()
	if decision.Action != forward.Retry {
		return decision.Action
	}
	f.call.node.requestLog.attemptFailed(f.call, result.reply, f.tried[result.index], decision.Delay)
	if !f.startRetry(ctx, decision.Delay) && ctx.Err() == nil && f.pending == 0 {
		return forward.Fail
	}
	return forward.Wait
}

// startRetry starts a further attempt after a delay. It returns false if no upstream is left, or the context has ended.
func (f *forwarder) startRetry(ctx context.Context, delay time.Duration) bool {
	sleep(ctx, delay)
	if ctx.Err() != nil {
		return false
	}
	f.call.node.metrics.retries.Inc()
	f.mu.Lock()
	defer f.mu.Unlock()
	next, ok := f.startAttempt(ctx)
	if ok {
		go func() { f.results <- next.run() }()
	}
	return ok
}

// isFinal reports whether an attempt on another upstream would end with the same reason.
func isFinal(reason protocol.Reason) bool {
	switch reason {
	case protocol.ReasonQuarantined, protocol.ReasonKeyReused, protocol.ReasonKeyExpired, protocol.ReasonCallerGone,
		protocol.ReasonTooLarge, protocol.ReasonInProgress, protocol.ReasonLedgerUnavailable:
		return true
	default:
		return false
	}
}

var retryOutcomes = map[protocol.Outcome]retry.Outcome{
	protocol.OutcomeDone:    retry.Done,
	protocol.OutcomeNotRun:  retry.NotRun,
	protocol.OutcomeUnknown: retry.Unknown,
}

// complete returns the reply of one attempt and cancels the others. That attempt's context ends with the reply.
func (f *forwarder) complete(result attemptResult) *callReply {
	f.call.externalTime = result.externalTime
	cancelOwn := f.cancels[result.index]
	previous := result.reply.onFinish
	result.reply.onFinish = func() {
		cancelOwn()
		if previous != nil {
			previous()
		}
	}
	f.cancelAttempts(result.index)
	return result.reply
}

// fail ends a call that got no successful response.
func (f *forwarder) fail() *callReply {
	f.cancelAttempts(noAttempt)
	if f.failedResult != nil {
		return f.failedResult.reply
	}
	if f.plan.Outcome() == retry.NotRun {
		refused := notRunReply(f.lastReason)
		refused.metadata.Load = f.lastLoad
		return refused
	}
	return unknownReply(f.lastReason)
}

// noAttempt is an index that matches no attempt.
const noAttempt = -1

// cancelAttempts cancels all attempts except one, and discards their results as they come in.
func (f *forwarder) cancelAttempts(except int) {
	for index, cancel := range f.cancels {
		if index != except {
			cancel()
		}
	}
	if f.pending > 0 {
		go f.discardResults(f.pending)
	}
}

// discardResults waits for the results of canceled attempts and releases what they hold.
func (f *forwarder) discardResults(count int) {
	for range count {
		result := <-f.results
		result.reply.finish()
	}
}
