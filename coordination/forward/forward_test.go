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
	// same call was still running on an upstream when it was given up.
	It("is uncertain after an attempt that may have run, whatever the next one ends with", func() {
		call := newCall(bundle.ClassLookup)
		call.Sent()
		Expect(call.Ended(start, forward.Result{Outcome: retry.Unknown}, rand.NewPCG(1, 1)).Action).To(Equal(forward.Send))
		call.Sent()
		call.Ended(start, forward.Result{Outcome: retry.NotRun, Final: true}, rand.NewPCG(1, 1))
		Expect(call.Verdict()).To(Equal(retry.Unknown))
	})

	// Guards against a repeat for each request when all upstreams of a service refuse half of what reaches them: the
	// refused requests had arrived there, so their repeats count against the budget from the first one on.
	It("charges the budget for the repeat of a request that an upstream itself refused", func() {
		budget := retry.NewBudget(retry.Config{MaxAttempts: 2, Percent: 10, MinPerSecond: 1e-9, Burst: 1})
		repeats := 0
		for range 100 {
			budget.CountCall(start)
			call := forward.New(forward.Config{
				Class: bundle.ClassLookup, Budget: budget, Deadline: start.Add(time.Second), Resendable: true,
			})
			call.Sent()
			refused := forward.Result{Outcome: retry.NotRun, Reached: true}
			if call.Ended(start, refused, rand.NewPCG(1, 1)).Action == forward.Send {
				repeats++
			}
		}
		Expect(repeats).To(BeNumerically("<=", 11), "10% of the calls and the one saved retry")
	})

	// Guards against refusing calls for lack of budget while another upstream has a free slot, and against more than
	// one such retry per call, which would multiply the attempts of an overload.
	It("tries one other upstream outside the budget after a refusal, and no more", func() {
		call := forward.New(forward.Config{
			Class: bundle.ClassLookup, Budget: retry.NewBudget(retry.Config{MaxAttempts: 4, MinPerSecond: 1e-9, Burst: 1}),
			Deadline: start.Add(time.Second), Resendable: true,
		})
		refused := forward.Result{Outcome: retry.NotRun}
		call.Sent()
		Expect(call.Ended(start, refused, rand.NewPCG(1, 1)).Action).To(Equal(forward.Send))
		call.Sent()
		Expect(call.Ended(start, refused, rand.NewPCG(1, 1)).Action).To(Equal(forward.Send), "the one saved retry")
		call.Sent()
		Expect(call.Ended(start, refused, rand.NewPCG(1, 1)).Action).To(Equal(forward.Fail))
	})

	It("never has two attempts of an irreversible call in flight", func() {
		call := newCall(bundle.ClassIrreversible)
		call.Sent()
		Expect(call.MayHedge(start)).To(BeFalse())
		Expect(call.Hedge(start)).To(BeFalse())
	})

	// Guards the three truths under any order of results and hedges.
	It("says not run only if every attempt was proved not run", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			class := rapid.SampledFrom([]bundle.Class{bundle.ClassLookup, bundle.ClassIrreversible}).Draw(t, "class")
			call := newCall(class)
			now, pending, mayHaveRun := start, 1, false
			call.Sent()
			for sent := 1; pending > 0; {
				if rapid.Bool().Draw(t, "hedge") && call.Hedge(now) {
					call.Sent()
					sent, pending = sent+1, pending+1
				}
				if class == bundle.ClassIrreversible && pending > 1 {
					t.Fatalf("%d attempts of an irreversible call in flight", pending)
				}
				outcome := rapid.SampledFrom([]retry.Outcome{retry.NotRun, retry.Unknown}).Draw(t, "outcome")
				result := forward.Result{
					Outcome: outcome, Final: rapid.Bool().Draw(t, "final"), Suspect: rapid.Bool().Draw(t, "suspect"),
				}
				decision := call.Ended(now, result, rand.NewPCG(1, uint64(sent)))
				pending--
				if class == bundle.ClassIrreversible && mayHaveRun {
					t.Fatalf("an irreversible call was sent again after an attempt that may have run")
				}
				mayHaveRun = mayHaveRun || outcome == retry.Unknown
				if decision.Action == forward.Send {
					call.Sent()
					sent, pending = sent+1, pending+1
				}
				if sent > 4 {
					t.Fatalf("%d attempts where 4 are allowed", sent)
				}
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			}
			if (call.Verdict() == retry.NotRun) == mayHaveRun {
				t.Fatalf("verdict %v, may have run %v", call.Verdict(), mayHaveRun)
			}
		})
	})
})
