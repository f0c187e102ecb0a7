package node

import (
	"context"
	"math/rand/v2"
	"time"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/forward"
	"sapphiregate.example/sapphiregate/coordination/retry"
	"sapphiregate.example/sapphiregate/protocol"
)

// forwarding carries out the plan of one call: one attempt, or a second one beside it, until one answers.
type forwarding struct {
	call    *ingressCall
	plan    *forward.Call
	results chan attemptResult
	// reached tells that an executor has the call: a second attempt would only add load.
	reached   chan struct{}
	firstZone string
	source    rand.Source
	tried     []string
	// cancels ends the attempts, in the order in which they were started.
	cancels []context.CancelFunc
	pending int
	// last is why the latest attempt gave no answer.
	last protocol.Reason
}

func (f *forwarding) run(ctx context.Context) *reply {
	if !f.launch(ctx) {
		return refusal(protocol.ReasonNoUpstream)
	}
	var hedge <-chan time.Time
	if f.plan.MayHedge(time.Now()) {
		timer := time.NewTimer(progressDelay + 2*f.call.node.options.zoneDelay(f.firstZone) + hedgeMargin)
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case result := <-f.results:
			f.pending--
			switch f.handle(ctx, result) {
			case forward.Answer:
				return f.answer(result)
			case forward.Fail:
				return f.fail()
			}
		case <-f.reached:
			hedge = nil
		case <-hedge:
			if f.plan.Hedge(time.Now()) {
				f.call.node.metrics.hedges.Add(1)
				f.launch(ctx)
			}
		case <-ctx.Done():
			f.last = protocol.ReasonDeadline
			return f.fail()
		}
	}
}

// launch starts an attempt on an upstream that was not tried yet, if there is one.
func (f *forwarding) launch(ctx context.Context) bool {
	c := f.call
	target, err := c.node.balancer.Pick(time.Now(), balance.Request{
		Service: c.route.Service, Zone: c.route.Zone, Exclude: f.tried, Rand: f.source,
	})
	if err != nil {
		f.last = protocol.ReasonNoUpstream
		return false
	}
	retried := len(f.tried) > 0
	if !retried {
		f.firstZone = target.Zone
	}
	f.tried = append(f.tried, target.ID)
	f.plan.Sent()
	f.pending++
	number := len(f.cancels)
	ctx, cancel := context.WithCancel(ctx)
	f.cancels = append(f.cancels, cancel)
	go func() {
		result := c.attempt(ctx, target, retried, f.reach)
		result.number = number
		f.results <- result
	}()
	return true
}

// hedgeMargin allows for jitter and one retransmission on the way to the executor and back.
const hedgeMargin = 40 * time.Millisecond

// reach notes that an executor has the call.
func (f *forwarding) reach() {
	select {
	case f.reached <- struct{}{}:
	default:
	}
}

// handle takes the end of an attempt and starts the next one where the plan says so.
func (f *forwarding) handle(ctx context.Context, result attemptResult) forward.Action {
	head := &result.answer.head
	decision := f.plan.Ended(time.Now(), forward.Result{
		Outcome: outcomes[head.Outcome], Final: final(head.Reason), Suspect: head.Suspect,
	}, f.source)
	if decision.Action == forward.Answer {
		return forward.Answer
	}
	f.last = head.Reason
	result.answer.finish()
	f.cancels[result.number]()
	if decision.Action != forward.Send {
		return decision.Action
	}
	sleep(ctx, decision.After)
	if ctx.Err() != nil {
		return forward.Wait
	}
	f.call.node.metrics.retries.Add(1)
	if !f.launch(ctx) {
		return forward.Fail
	}
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
	if f.plan.Verdict() == retry.NotRun {
		return refusal(f.last)
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
