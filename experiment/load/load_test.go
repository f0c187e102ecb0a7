package load

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "load")
}

var (
	lookups = Route{Service: "rank", Class: bundle.ClassLookup}
	reports = Route{Service: "rank", Class: bundle.ClassReport}
)

// schedule returns all arrivals of a load.
func schedule(o Options) (all []arrival) {
	source := newArrivals(o)
	for {
		next, ok := source.pop()
		if !ok {
			return all
		}
		all = append(all, next)
	}
}

// count returns the number of arrivals of a route with offsets from from to before to.
func count(all []arrival, route Route, from, to time.Duration) (n int) {
	for _, a := range all {
		if a.route == route && a.offset >= from && a.offset < to {
			n++
		}
	}
	return n
}

var _ = ginkgo.Describe("arrivals", func() {
	options := Options{Seed: 7, CancelRate: 0.1, Phases: []Phase{
		{Duration: 10 * time.Second, Rates: Rates{lookups: 1000, reports: 100}},
		{Duration: 10 * time.Second, Rates: Rates{lookups: 2000, reports: 100}},
	}}

	// Guards against runs that differ under the same seed.
	ginkgo.It("depends on the seed only", func() {
		other := options
		other.Seed = 8
		Expect(schedule(options)).To(Equal(schedule(options)))
		Expect(schedule(options)).NotTo(Equal(schedule(other)))
	})

	// Guards against arrivals that do not follow the rates of the options, or are out of order. The bounds are five
	// standard deviations.
	ginkgo.It("follows the rates of each phase in order of time", func() {
		all := schedule(options)
		Expect(count(all, lookups, 0, 10*time.Second)).To(BeNumerically("~", 10_000, 500))
		Expect(count(all, lookups, 10*time.Second, 20*time.Second)).To(BeNumerically("~", 20_000, 710))
		Expect(count(all, reports, 0, 20*time.Second)).To(BeNumerically("~", 2000, 225))
		cancelled := 0
		for i, a := range all {
			Expect(i == 0 || a.offset >= all[i-1].offset).To(BeTrue())
			if a.cancelAfter > 0 {
				cancelled++
			}
		}
		Expect(cancelled).To(BeNumerically("~", len(all)/10, 270))
	})

	// Guards against special calls that change the ordinary load of a seed.
	ginkgo.It("adds crashing and nested calls beside the ordinary load", func() {
		special := options
		special.CrashRate, special.NestRate, special.NestDepth = 10, 20, 22
		crashes, nests := 0, 0
		var ordinary []arrival
		for _, a := range schedule(special) {
			switch {
			case a.crash:
				crashes++
			case a.nestDepth > 0:
				Expect(a.nestDepth).To(Equal(21))
				nests++
			default:
				ordinary = append(ordinary, a)
			}
		}
		Expect(ordinary).To(Equal(schedule(options)))
		Expect(crashes).To(BeNumerically("~", 200, 75))
		Expect(nests).To(BeNumerically("~", 400, 100))
	})
})

var _ = ginkgo.Describe("finalOutcome", func() {
	// Guards against a call that counts as not run although an earlier send may have run.
	ginkgo.DescribeTable("derives the outcome of a call from the outcomes of its sends", func(want Outcome, sends ...Outcome) {
		var attempts []Attempt
		for _, outcome := range sends {
			attempts = append(attempts, Attempt{Outcome: outcome})
		}
		Expect(finalOutcome(attempts)).To(Equal(want))
	},
		ginkgo.Entry(nil, Done, Lost, Done),
		ginkgo.Entry(nil, NotRun, Refused, NotRun),
		ginkgo.Entry(nil, Unknown, Lost, NotRun),
		ginkgo.Entry(nil, Unknown, Unknown, NotRun),
		ginkgo.Entry(nil, Lost, Lost, Refused),
		ginkgo.Entry(nil, Refused, Refused),
	)
})

var _ = ginkgo.Describe("requestID", func() {
	// Guards against idempotency keys that a node refuses because they are no UUIDs, or that two calls share.
	ginkgo.It("returns distinct version 7 UUIDs", func() {
		pattern := `^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$`
		seen := make(map[string]bool)
		for i := range 1000 {
			id := requestID(1, i)
			Expect(id).To(MatchRegexp(pattern))
			seen[id] = true
		}
		Expect(seen).To(HaveLen(1000))
	})
})
