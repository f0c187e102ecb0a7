package retry_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/retry"
	"sapphiregate.example/sapphiregate/state/bundle"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var begin = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// chainAttempts makes calls through a chain of services of which the last one always fails, and returns the number of
// attempts on the last one.
func chainAttempts(depth, calls int) int {
	budgets := make([]*retry.Budget, depth)
	for i := range budgets {
		budgets[i] = retry.NewBudget(retry.Config{MinPerSecond: 0.001})
	}
	source, attempts := rand.NewPCG(1, 2), 0
	var call func(now time.Time, level int, withinRetry bool)
	call = func(now time.Time, level int, withinRetry bool) {
		if level == depth {
			attempts++
			return
		}
		if !withinRetry {
			budgets[level].CountCall(now)
		}
		for number := 1; ; number++ {
			call(now, level+1, withinRetry || number > 1)
			a := retry.Attempt{
				Class: bundle.ClassLookup, Outcome: retry.NotRun, Number: number, WithinRetry: withinRetry, Remaining: time.Second,
			}
			if _, retried := budgets[level].Decide(now, a, source); !retried {
				return
			}
		}
	}
	for i := range calls {
		call(at(i), 0, false)
	}
	return attempts
}

var _ = Describe("Budget", func() {
	It("allows no more than its share of retries when every call fails", func() {
		b, retries := retry.NewBudget(retry.Config{MinPerSecond: 0.001}), 0
		for i := range 10_000 {
			b.CountCall(at(i))
			if b.Allow(at(i)) {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 1000, 2))
	})

	// Guards against retries that multiply along a chain of calls.
	It("adds at most its share of retries at each level of a chain of 22 calls", func() {
		GinkgoWriter.Printf("attempts per call: depth 1 %v, depth 22 %v\n",
			float64(chainAttempts(1, 10_000))/10_000, float64(chainAttempts(22, 1000))/1000)
		Expect(chainAttempts(1, 10_000)).To(BeNumerically("<=", 11_010))
		// Each of the 22 levels may retry a tenth of the first calls. If calls within a retry were retried too, the
		// factor would be 3 to the power of 22.
		Expect(chainAttempts(22, 1000)).To(BeNumerically("<=", 1000*(1+22*0.1)+22*retry.DefaultBurst))
	})

	It("allows retries at the minimum rate on a route without calls", func() {
		b := retry.NewBudget(retry.Config{})
		Expect(b.Allow(at(0))).To(BeTrue())
		Expect(b.Allow(at(0))).To(BeFalse())
		Expect(b.Allow(at(4_900))).To(BeFalse())
		Expect(b.Allow(at(5_100))).To(BeTrue())
	})

	It("holds no more retries than the burst", func() {
		b, retries := retry.NewBudget(retry.Config{Burst: 5}), 0
		for i := range 1000 {
			b.CountCall(at(i))
		}
		for b.Allow(at(86_400_000)) {
			retries++
		}
		Expect(retries).To(Equal(5))
	})

	DescribeTable("retries only what the class allows", func(change func(*retry.Attempt), expected bool) {
		a := retry.Attempt{Class: bundle.ClassLookup, Outcome: retry.Unknown, Number: 1}
		change(&a)
		Expect(retry.NewBudget(retry.Config{}).Retryable(a)).To(Equal(expected))
	},
		Entry("lookup, unknown", func(*retry.Attempt) {}, true),
		Entry("lookup, done", func(a *retry.Attempt) { a.Outcome = retry.Done }, false),
		Entry("report, unknown", func(a *retry.Attempt) { a.Class = bundle.ClassReport }, true),
		Entry("download, unknown", func(a *retry.Attempt) { a.Class = bundle.ClassDownload }, true),
		Entry("irreversible, unknown", func(a *retry.Attempt) { a.Class = bundle.ClassIrreversible }, false),
		Entry("irreversible, not run", func(a *retry.Attempt) {
			a.Class, a.Outcome = bundle.ClassIrreversible, retry.NotRun
		}, true),
		Entry("unknown class", func(a *retry.Attempt) { a.Class = "" }, false),
		Entry("within a retry", func(a *retry.Attempt) { a.WithinRetry = true }, false),
		Entry("suspect of a crash", func(a *retry.Attempt) { a.Suspect = true }, false),
		Entry("last attempt", func(a *retry.Attempt) { a.Number = retry.DefaultMaxAttempts }, false),
	)

	It("does not spend the budget on a retry after the deadline", func() {
		b := retry.NewBudget(retry.Config{})
		_, retried := b.Decide(at(0), retry.Attempt{Class: bundle.ClassLookup, Outcome: retry.NotRun, Number: 1}, rand.NewPCG(1, 2))
		Expect(retried).To(BeFalse())
		Expect(b.Allow(at(0))).To(BeTrue())
	})

	It("spreads delays below a bound that doubles", func() {
		b, source := retry.NewBudget(retry.Config{}), rand.NewPCG(1, 2)
		for attempt, bound := range map[int]time.Duration{1: 10, 2: 20, 3: 40, 7: 640, 8: 1000, 500: 1000} {
			longest := time.Duration(0)
			for range 1000 {
				longest = max(longest, b.Delay(attempt, source))
			}
			Expect(longest).To(And(BeNumerically("<", bound*time.Millisecond), BeNumerically(">", bound*time.Millisecond*9/10)))
		}
	})

	It("allows no retry twice under concurrent use", func() {
		b := retry.NewBudget(retry.Config{MinPerSecond: 0.001, Burst: 100})
		var wait sync.WaitGroup
		var taken atomic.Int64
		for range 8 {
			wait.Go(func() {
				for range 5000 {
					b.CountCall(at(0))
					if b.Allow(at(0)) {
						taken.Add(1)
					}
				}
			})
		}
		wait.Wait()
		Expect(taken.Load()).To(BeNumerically("<=", 4001))
	})
})

func BenchmarkCallAllow(b *testing.B) {
	budget := retry.NewBudget(retry.Config{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.CountCall(begin)
			budget.Allow(begin)
		}
	})
}
