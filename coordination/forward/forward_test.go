package forward_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/forward"
	"sapphiregate.example/sapphiregate/coordination/retry"
	"sapphiregate.example/sapphiregate/internal/fixedseed"
	"sapphiregate.example/sapphiregate/state/bundle"
)

func TestForward(t *testing.T) {
	fixedseed.Set(t)
	RegisterFailHandler(Fail)
	RunSpecs(t, "forward")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newCall(class bundle.Class) *forward.Call {
	return forward.New(forward.Config{
		Class: class, Budget: retry.NewBudget(retry.Config{MaxAttempts: 4, Percent: 100}),
		Deadline: start.Add(time.Second), Resendable: true,
	})
}

var _ = Describe("Call", func() {
	// Guards against telling a caller "not run" because the last attempt was shed, although an earlier attempt of the
	// same call was still running on an upstream when the ingress stopped waiting for it.
	It("has an unknown outcome after an attempt that may have run, whatever the outcome of the next one", func() {
		call := newCall(bundle.ClassLookup)
		call.AttemptStarted()
		Expect(call.AttemptEnded(start, forward.Result{Outcome: retry.Unknown}, rand.NewPCG(1, 1)).Action).To(Equal(forward.Retry))
		call.AttemptStarted()
		call.AttemptEnded(start, forward.Result{Outcome: retry.NotRun, Final: true}, rand.NewPCG(1, 1))
		Expect(call.Outcome()).To(Equal(retry.Unknown))
	})

	// Guards against a retry of every refused request when all upstreams of a service refuse half of their requests. The
	// refused requests had reached an upstream, so that even their first retry is charged to the budget.
	It("charges the budget for the retry of a request that an upstream itself refused", func() {
		budget := retry.NewBudget(retry.Config{MaxAttempts: 2, Percent: 10, MinPerSecond: 1e-9, Burst: 1})
		retries := 0
		for range 100 {
			budget.CountCall(start)
			call := forward.New(forward.Config{
				Class: bundle.ClassLookup, Budget: budget, Deadline: start.Add(time.Second), Resendable: true,
			})
			call.AttemptStarted()
			refused := forward.Result{Outcome: retry.NotRun, RefusedByUpstream: true}
			if call.AttemptEnded(start, refused, rand.NewPCG(1, 1)).Action == forward.Retry {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("<=", 11), "10% of the calls and the one saved retry")
	})

	// Guards against refusing calls for lack of budget while another upstream has a free slot, and against more than one
	// retry per call without a charge, which would multiply the attempts during an overload.
	It("makes one retry without a charge to the budget after a refusal, and no more", func() {
		call := forward.New(forward.Config{
			Class: bundle.ClassLookup, Budget: retry.NewBudget(retry.Config{MaxAttempts: 4, MinPerSecond: 1e-9, Burst: 1}),
			Deadline: start.Add(time.Second), Resendable: true,
		})
		refused := forward.Result{Outcome: retry.NotRun}
		call.AttemptStarted()
		Expect(call.AttemptEnded(start, refused, rand.NewPCG(1, 1)).Action).To(Equal(forward.Retry))
		call.AttemptStarted()
		Expect(call.AttemptEnded(start, refused, rand.NewPCG(1, 1)).Action).To(Equal(forward.Retry), "the one saved retry")
		call.AttemptStarted()
		Expect(call.AttemptEnded(start, refused, rand.NewPCG(1, 1)).Action).To(Equal(forward.Fail))
	})

	// Guards against a call that ends without a response although its upstream is at work, because the instance beside it
	// does not answer probes and no other one takes the call.
	It("waits for a silent attempt, whatever becomes of those beside it", func() {
		call := newCall(bundle.ClassLookup)
		call.AttemptStarted()
		Expect(call.AttemptSilent(start, rand.NewPCG(1, 1)).Action).To(Equal(forward.Retry))
		for range 5 {
			call.AttemptStarted()
			refused := call.AttemptEnded(start, forward.Result{Outcome: retry.NotRun}, rand.NewPCG(1, 1))
			Expect(refused.Action).To(BeElementOf(forward.Retry, forward.Wait))
			if refused.Action == forward.Wait {
				break
			}
		}
		Expect(call.Outcome()).To(Equal(retry.Unknown))
		Expect(call.AttemptEnded(start, forward.Result{Outcome: retry.Done, WasSilent: true}, rand.NewPCG(1, 1)).Action).
			To(Equal(forward.Respond))
	})

	It("starts no attempt beside a silent one while another one is in flight, and none of an irreversible call", func() {
		call := newCall(bundle.ClassLookup)
		call.AttemptStarted()
		call.AttemptStarted()
		Expect(call.AttemptSilent(start, rand.NewPCG(1, 1)).Action).To(Equal(forward.Wait))
		Expect(call.AttemptSilent(start, rand.NewPCG(1, 1)).Action).To(Equal(forward.Retry))
		irreversible := newCall(bundle.ClassIrreversible)
		irreversible.AttemptStarted()
		Expect(irreversible.AttemptSilent(start, rand.NewPCG(1, 1)).Action).To(Equal(forward.Wait))
	})

	It("goes on as usual once the silent attempt has ended as well", func() {
		call := newCall(bundle.ClassLookup)
		call.AttemptStarted()
		Expect(call.AttemptSilent(start, rand.NewPCG(1, 1)).Action).To(Equal(forward.Retry))
		call.AttemptStarted()
		Expect(call.AttemptEnded(start, forward.Result{Outcome: retry.Unknown, WasSilent: true}, rand.NewPCG(1, 1)).Action).
			To(Equal(forward.Wait))
		Expect(call.AttemptEnded(start, forward.Result{Outcome: retry.NotRun, Final: true}, rand.NewPCG(1, 1)).Action).
			To(Equal(forward.Fail))
	})

	It("never has two attempts of an irreversible call in flight", func() {
		call := newCall(bundle.ClassIrreversible)
		call.AttemptStarted()
		Expect(call.MayHedge(start)).To(BeFalse())
		Expect(call.Hedge(start)).To(BeFalse())
	})

	// Guards, under any order of results and hedges, against the outcome "not run" for a call that may have run, against
	// a second attempt of an irreversible call that may have run, and against more attempts than are allowed.
	It("has the outcome not run only if every attempt was certainly not run", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			class := rapid.SampledFrom([]bundle.Class{bundle.ClassLookup, bundle.ClassIrreversible}).Draw(t, "class")
			call := newCall(class)
			now, pending, mayHaveRun := start, 1, false
			call.AttemptStarted()
			for sent := 1; pending > 0; {
				if rapid.Bool().Draw(t, "hedge") && call.Hedge(now) {
					call.AttemptStarted()
					sent, pending = sent+1, pending+1
				}
				if class == bundle.ClassIrreversible && pending > 1 {
					t.Fatalf("%d attempts of an irreversible call in flight", pending)
				}
				outcome := rapid.SampledFrom([]retry.Outcome{retry.NotRun, retry.Unknown}).Draw(t, "outcome")
				result := forward.Result{
					Outcome: outcome, Final: rapid.Bool().Draw(t, "final"), Suspect: rapid.Bool().Draw(t, "suspect"),
				}
				decision := call.AttemptEnded(now, result, rand.NewPCG(1, uint64(sent)))
				pending--
				if class == bundle.ClassIrreversible && mayHaveRun {
					t.Fatalf("an irreversible call was sent again after an attempt that may have run")
				}
				mayHaveRun = mayHaveRun || outcome == retry.Unknown
				if decision.Action == forward.Retry {
					call.AttemptStarted()
					sent, pending = sent+1, pending+1
				}
				if sent > 4 {
					t.Fatalf("%d attempts where 4 are allowed", sent)
				}
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			}
			if (call.Outcome() == retry.NotRun) == mayHaveRun {
				t.Fatalf("outcome %v, may have run %v", call.Outcome(), mayHaveRun)
			}
		})
	})
})
