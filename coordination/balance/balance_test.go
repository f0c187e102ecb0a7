package balance_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/state/bundle"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "balance")
}

var start = time.Unix(1_000_000, 0)

func endpointsIn(zone string, count int) []balance.Endpoint {
	var list []balance.Endpoint
	for i := range count {
		list = append(list, balance.Endpoint{ID: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Service: "rank", Slots: 10})
	}
	return list
}

func zoneDelay(zone string) time.Duration {
	if zone == "a" {
		return 0
	}
	return 4 * time.Millisecond
}

// harness holds a Balancer of a process in zone a, and a request with a seeded source of random numbers.
type harness struct {
	*balance.Balancer
	now     time.Time
	request balance.Request
}

func newHarness(policy balance.Policy, table []balance.Endpoint) *harness {
	h := &harness{
		Balancer: balance.New(balance.Config{Policy: policy, Zone: "a", ZoneDelay: zoneDelay}),
		now:      start,
		request:  balance.Request{Service: "rank", Rand: rand.NewPCG(1, 2)},
	}
	h.Update(h.now, table, nil)
	return h
}

func (h *harness) pick() balance.Target {
	target, err := h.Pick(h.now, h.request)
	Expect(err).NotTo(HaveOccurred())
	return target
}

// runCalls runs calls one after another and returns how many each upstream got.
func (h *harness) runCalls(calls int, report func(balance.Target) balance.Report) map[string]int {
	result := make(map[string]int)
	for range calls {
		target := h.pick()
		result[target.ID]++
		h.Done(h.now, target, report(target))
		h.now = h.now.Add(time.Millisecond)
	}
	return result
}

// success reports a successful call of 5 ms. The latency includes the round trip between zones.
func success(t balance.Target) balance.Report {
	return balance.Report{Latency: 5*time.Millisecond + 2*zoneDelay(t.Zone)}
}

var policies = []TableEntry{
	Entry("choice of two", balance.ChoiceOfTwo),
	Entry("round robin", balance.RoundRobin),
	Entry("least outstanding", balance.LeastOutstanding),
}

var _ = Describe("Balancer", func() {
	DescribeTable("gives draining and gone upstreams no calls", func(policy balance.Policy) {
		table := endpointsIn("a", 4)
		table[0].State, table[1].State, table[2].State = balance.Draining, balance.Gone, balance.Suspect
		h := newHarness(policy, table)
		Expect(h.runCalls(200, success)).To(Equal(map[string]int{"a-3": 200}))
		h.Update(h.now, table[:3], nil)
		Expect(h.runCalls(10, success)).To(Equal(map[string]int{"a-2": 10}), "a suspect upstream gets calls only if no other is left")
		h.Update(h.now, table[:2], nil)
		_, err := h.Pick(h.now, h.request)
		Expect(err).To(MatchError(balance.ErrNoUpstream))
	}, policies)

	DescribeTable("avoids excluded upstreams while others exist", func(policy balance.Policy) {
		h := newHarness(policy, append(endpointsIn("a", 2), endpointsIn("b", 1)...))
		h.request.Exclude = []string{"a-0", "a-1"}
		Expect(h.runCalls(50, success)).To(Equal(map[string]int{"b-0": 50}))
		h.request.Exclude = append(h.request.Exclude, "b-0")
		Expect(h.runCalls(50, success)).NotTo(BeEmpty())
	}, policies)

	DescribeTable("spreads calls over equal upstreams", func(policy balance.Policy) {
		for id, count := range newHarness(policy, endpointsIn("a", 10)).runCalls(5000, success) {
			Expect(count).To(BeNumerically("~", 500, 150), id)
		}
	}, policies)

	It("keeps calls in the local zone until its slots are taken", func() {
		h := newHarness(balance.ChoiceOfTwo, append(endpointsIn("a", 2), endpointsIn("b", 2)...))
		zones := make(map[string]int)
		for range 20 {
			zones[h.pick().Zone]++
		}
		Expect(zones).To(Equal(map[string]int{"a": 20}))
		for range 40 {
			zones[h.pick().Zone]++
		}
		Expect(zones["b"]).To(BeNumerically(">", 10), "calls spill over once the wait exceeds the zone delay")
		Expect(zones["a"]).To(BeNumerically(">=", 40), "and the zone delay still counts")
	})

	It("spreads calls over all zones when the route allows any", func() {
		h := newHarness(balance.ChoiceOfTwo, append(endpointsIn("a", 2), endpointsIn("b", 6)...))
		h.request.Zone = bundle.ZoneAny
		counts := h.runCalls(4000, success)
		Expect(counts["a-0"] + counts["a-1"]).To(BeNumerically("~", 1000, 200))
	})

	// Guards against sending calls to instances that have lost power when no others are left: the calls would be lost,
	// whereas a refusal at once tells the caller that its call has not run.
	DescribeTable("sends no call to a suspended upstream, and refuses when there is no other", func(policy balance.Policy) {
		h := newHarness(policy, append(endpointsIn("a", 20), endpointsIn("b", 1)...))
		suspended := make(map[string]balance.Target)
		for len(suspended) < 20 {
			target := h.pick()
			suspended[target.ID] = target
			h.Suspend(target, h.now.Add(time.Second))
			h.Done(h.now, target, balance.Report{Outcome: balance.ConnectFailed})
		}
		last := h.pick()
		Expect(suspended).NotTo(HaveKey(last.ID))
		h.Suspend(last, h.now.Add(time.Second))
		_, err := h.Pick(h.now, h.request)
		Expect(err).To(MatchError(balance.ErrNoUpstream))
		h.Resume(last)
		Expect(h.pick().ID).To(Equal(last.ID))
		h.now = h.now.Add(2 * time.Second)
		Expect(len(h.runCalls(400, success))).To(BeNumerically(">", 1), "a suspension that is not renewed ends")
	}, policies)

	It("ejects an upstream for a growing time after connection failures", func() {
		h := newHarness(balance.ChoiceOfTwo, endpointsIn("a", 2))
		failing := func(t balance.Target) balance.Report {
			if t.ID == "a-0" {
				return balance.Report{Outcome: balance.ConnectFailed}
			}
			return success(t)
		}
		first := h.runCalls(1000, failing)["a-0"]
		Expect(first).To(BeNumerically("<=", 4), "100, 200, 400 ms and so on")
		Expect(h.runCalls(10_000, failing)["a-0"]).To(BeNumerically("<=", 5))
		h.now = h.now.Add(balance.DefaultEjectMax)
		Expect(h.runCalls(1000, success)["a-0"]).To(BeNumerically(">", 400), "a success ends the ejections")
		h.request.Exclude = []string{"a-1"}
		h.Done(h.now, h.pick(), balance.Report{Outcome: balance.ConnectFailed})
		Expect(h.Status(h.now)[0].EjectedFor).To(Equal(balance.DefaultEjectBase), "the ejection time is back at its base")
	})

	It("counts connections that fail together as one failure", func() {
		h := newHarness(balance.ChoiceOfTwo, endpointsIn("a", 1))
		targets := []balance.Target{h.pick(), h.pick(), h.pick(), h.pick()}
		for _, target := range targets {
			h.Done(h.now, target, balance.Report{Outcome: balance.ConnectFailed})
		}
		Expect(h.Status(h.now)[0].EjectedFor).To(Equal(balance.DefaultEjectBase))
		h.Update(h.now, endpointsIn("a", 2), nil)
		h.now = h.now.Add(balance.DefaultEjectBase)
		Expect(h.runCalls(100, success)["a-0"]).To(BeNumerically(">", 20))
	})

	It("raises the share of a new upstream during slow start", func() {
		table := endpointsIn("a", 10)
		table[0].ServingSince = start
		h := newHarness(balance.RoundRobin, table)
		early := h.runCalls(1000, success)["a-0"]
		h.now = start.Add(balance.DefaultSlowStart)
		late := h.runCalls(1000, success)["a-0"]
		Expect(early).To(BeNumerically("<", 30))
		Expect(late).To(Equal(100))
	})

	DescribeTable("does not let a false load report attract all calls", func(falseLoad balance.Load) {
		h := newHarness(balance.ChoiceOfTwo, endpointsIn("a", 10))
		honest := balance.Load{InFlight: 8, Slots: 10}
		var open []balance.Target
		got := make(map[string]int)
		for range 4000 {
			target := h.pick()
			got[target.ID]++
			open = append(open, target)
			if len(open) > 40 {
				report := balance.Report{Latency: 5 * time.Millisecond, UpstreamLoad: &honest}
				if open[0].ID == "a-0" {
					report.UpstreamLoad = &falseLoad
				}
				h.Done(h.now, open[0], report)
				open = open[1:]
			}
			h.now = h.now.Add(time.Millisecond)
		}
		Expect(got["a-0"]).To(BeNumerically("<", 1200), "three times the fair share")
	}, Entry("no load", balance.Load{}), Entry("many slots", balance.Load{Slots: 1_000_000}))

	It("prefers the load that the executor counted to the upstream's own report", func() {
		h := newHarness(balance.ChoiceOfTwo, endpointsIn("a", 2))
		report := func(t balance.Target) balance.Report {
			r := balance.Report{Latency: 5 * time.Millisecond, Load: &balance.Load{InFlight: 1, Slots: 10}}
			if t.ID == "a-0" {
				r.Load = &balance.Load{InFlight: 10, Queued: 20, Slots: 10}
			}
			return r
		}
		h.runCalls(20, report)
		before := h.Status(h.now)
		idle := func(balance.Target) balance.Report {
			return balance.Report{Latency: 5 * time.Millisecond, UpstreamLoad: &balance.Load{}}
		}
		h.runCalls(20, idle)
		for i, status := range h.Status(h.now) {
			Expect(status.OthersInFlight).To(Equal(before[i].OthersInFlight))
		}
		Expect(h.runCalls(100, report)["a-0"]).To(BeNumerically("<=", 2))
		h.now = h.now.Add(2 * balance.DefaultReportLifetime)
		h.runCalls(20, idle)
		Expect(h.Status(h.now)[0].OthersInFlight).To(BeNumerically("<", before[0].OthersInFlight),
			"the upstream's report replaces an old load of the executor")
	})

	It("lets old load reports decay, so that an upstream gets calls again after a peak", func() {
		h := newHarness(balance.ChoiceOfTwo, endpointsIn("a", 2))
		report := func(t balance.Target) balance.Report {
			return balance.Report{Latency: 5 * time.Millisecond, Load: &balance.Load{InFlight: map[string]int{"a-0": 30}[t.ID]}}
		}
		h.runCalls(20, report)
		h.now = h.now.Add(2 * balance.DefaultReportLifetime)
		Expect(h.runCalls(500, success)["a-0"]).To(BeNumerically(">", 100))
	})

	It("does not prefer an upstream that fails quickly", func() {
		h := newHarness(balance.ChoiceOfTwo, endpointsIn("a", 10))
		counts := h.runCalls(5000, func(t balance.Target) balance.Report {
			if t.ID == "a-0" {
				return balance.Report{Outcome: balance.Failed, Latency: time.Microsecond}
			}
			return success(t)
		})
		Expect(counts["a-0"]).To(BeNumerically("<=", 500), "the fair share")
	})

	It("keeps counters across updates and drops those of an earlier incarnation", func() {
		h := newHarness(balance.ChoiceOfTwo, endpointsIn("a", 2))
		for range 9 {
			if target := h.pick(); target.ID == "a-1" {
				h.Done(h.now, target, balance.Report{Outcome: balance.Canceled})
			}
		}
		h.Update(h.now, endpointsIn("a", 2), nil)
		Expect(h.runCalls(10, success)).To(Equal(map[string]int{"a-1": 10}))
		table := endpointsIn("a", 2)
		table[0].Incarnation = 2
		h.Update(h.now, table, nil)
		Expect(h.runCalls(100, success)["a-0"]).To(BeNumerically(">", 20))
	})

	It("is safe for concurrent use", func() {
		h := newHarness(balance.ChoiceOfTwo, append(endpointsIn("a", 5), endpointsIn("b", 5)...))
		var wait sync.WaitGroup
		for worker := range 8 {
			wait.Go(func() {
				defer GinkgoRecover()
				for i := range 2000 {
					now := start.Add(time.Duration(i) * time.Millisecond)
					target, err := h.Pick(now, balance.Request{Service: "rank"})
					Expect(err).NotTo(HaveOccurred())
					h.Done(now, target, balance.Report{Outcome: balance.Outcome((i + worker) % 5), Latency: time.Millisecond})
				}
			})
		}
		for i := range 50 {
			h.Update(start.Add(time.Duration(i)*time.Millisecond), append(endpointsIn("a", 5), endpointsIn("b", i%5)...), nil)
		}
		wait.Wait()
	})
})

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{10, 1000, 16_000} {
		for name, policy := range map[string]balance.Policy{
			"two": balance.ChoiceOfTwo, "robin": balance.RoundRobin, "least": balance.LeastOutstanding,
		} {
			b.Run(fmt.Sprintf("%s/%d", name, count), func(b *testing.B) {
				balancer := balance.New(balance.Config{Policy: policy, Zone: "a", ZoneDelay: zoneDelay})
				balancer.Update(start, append(endpointsIn("a", count/2), endpointsIn("b", count/2)...), nil)
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					request := balance.Request{Service: "rank", Rand: rand.NewPCG(rand.Uint64(), 1)}
					for pb.Next() {
						target, err := balancer.Pick(start, request)
						if err != nil {
							b.Fatal(err)
						}
						balancer.Done(start, target, balance.Report{Latency: time.Millisecond})
					}
				})
			})
		}
	}
}

func BenchmarkUpdate16000(b *testing.B) {
	balancer := balance.New(balance.Config{Zone: "a"})
	table := append(endpointsIn("a", 8000), endpointsIn("b", 8000)...)
	for b.Loop() {
		balancer.Update(start, table, nil)
	}
}

var _ = Describe("UpdateServices", func() {
	// Guards against a partial update that removes other services, keeps an upstream that has left, or resets the count
	// of calls in flight on the remaining ones.
	It("replaces the endpoints of the named services only", func() {
		table := func(ids ...string) []balance.Endpoint {
			var list []balance.Endpoint
			for _, id := range ids {
				list = append(list, balance.Endpoint{ID: id, Incarnation: 1, Service: id[:4], Zone: "a", Slots: 4})
			}
			return list
		}
		now := time.Unix(1_000_000, 0)
		b := balance.New(balance.Config{Policy: balance.LeastOutstanding, Zone: "a", SlowStart: -1})
		b.Update(now, table("rank-1", "rank-2", "isbn-1"), nil)
		busy, err := b.Pick(now, balance.Request{Service: "rank", Exclude: []string{"rank-2"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(busy.ID).To(Equal("rank-1"))

		b.UpdateServices(now, []string{"rank"}, table("rank-1", "rank-3"), nil)
		next, err := b.Pick(now, balance.Request{Service: "rank"})
		Expect(err).NotTo(HaveOccurred())
		Expect(next.ID).To(Equal("rank-3"), "rank-1 has a call in flight and rank-2 has left")
		other, err := b.Pick(now, balance.Request{Service: "isbn"})
		Expect(err).NotTo(HaveOccurred())
		Expect(other.ID).To(Equal("isbn-1"))

		b.UpdateServices(now, []string{"rank"}, nil, nil)
		_, err = b.Pick(now, balance.Request{Service: "rank"})
		Expect(err).To(MatchError(balance.ErrNoUpstream))
	})
})
