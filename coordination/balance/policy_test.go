package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/balance"
)

// scenario is a fleet of upstreams with 10 slots each and exponential service times of 5 ms.
type scenario struct {
	upstreams int
	zones     int // 4 ms apart; upstreams and ingresses are spread evenly
	ingresses int
	load      float64       // offered load as a share of all slots
	skew      float64       // share of the calls that arrive in the first zone, beyond its even share
	slow      int           // number of upstreams whose calls take three times as long
	lag       time.Duration // least interval between two load reports of an upstream
	falseLoad bool          // executors report no load, and the slow upstreams report less than they have
}

type upstream struct {
	id          string
	slowness    time.Duration // factor on the service time
	running     int
	queue       []func()
	published   balance.Load
	publishedAt time.Duration
}

const (
	policySlots   = 10
	policyService = 5 * time.Millisecond
	policyCalls   = 60_000
)

// result holds the figures of one simulation.
type result struct {
	mean, p99 time.Duration // latency that the ingress sees
	slow      float64       // share of the calls that went to slow upstreams
}

// runPolicy simulates a scenario with one balancing policy.
func runPolicy(policy balance.Policy, s scenario) result {
	rng := rand.New(rand.NewPCG(11, 12))
	type event struct {
		at time.Duration
		do func()
	}
	var events []event // latest first
	now := time.Duration(0)
	after := func(delay time.Duration, do func()) {
		e := event{now + delay, do}
		i, _ := slices.BinarySearchFunc(events, e, func(a, b event) int { return int(b.at - a.at) })
		events = slices.Insert(events, i, e)
	}
	zone := func(i int) string { return fmt.Sprintf("zone-%d", i%s.zones) }
	var table []balance.Endpoint
	upstreams := make(map[string]*upstream)
	for i := range s.upstreams {
		u := &upstream{id: fmt.Sprintf("u-%d", i), slowness: 1}
		if i < s.slow {
			u.slowness = 3
		}
		upstreams[u.id] = u
		table = append(table, balance.Endpoint{ID: u.id, Zone: zone(i), Service: "rank", Slots: policySlots})
	}
	var balancers []*balance.Balancer
	for i := range s.ingresses {
		delay := func(z string) time.Duration {
			if z == zone(i) {
				return 0
			}
			return 4 * time.Millisecond
		}
		b := balance.New(balance.Config{Policy: policy, Zone: zone(i), ZoneDelay: delay})
		b.Update(start, table, nil)
		balancers = append(balancers, b)
	}
	serve := func(u *upstream, done func()) {
		u.running++
		after(time.Duration(rng.ExpFloat64()*float64(policyService))*u.slowness, func() {
			u.running--
			done()
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				next()
			}
		})
	}
	var latencies []time.Duration
	slowCalls := 0
	call := func(ingress int) {
		b, sent := balancers[ingress], now
		target, err := b.Pick(start.Add(now), balance.Request{Service: "rank", Rand: rng})
		Expect(err).NotTo(HaveOccurred())
		u, delay := upstreams[target.ID], time.Duration(0)
		if target.Zone != zone(ingress) {
			delay = 4 * time.Millisecond
		}
		if u.slowness > 1 {
			slowCalls++
		}
		after(delay, func() {
			run := func() {
				startedAt := now
				serve(u, func() {
					if now-u.publishedAt >= s.lag {
						u.published = balance.Load{InFlight: u.running, Queued: len(u.queue), Slots: policySlots}
						u.publishedAt = now
					}
					report := balance.Report{}
					if load := u.published; s.falseLoad {
						load.InFlight, load.Queued = load.InFlight/int(u.slowness*u.slowness), 0
						report.UpstreamLoad = &load
					} else {
						load.LatencyMicros = (now - startedAt).Microseconds()
						report.Load = &load
					}
					after(delay, func() {
						report.Latency = now - sent
						latencies = append(latencies, report.Latency)
						b.Done(start.Add(now), target, report)
					})
				})
			}
			if u.running < policySlots {
				run()
				return
			}
			u.queue = append(u.queue, run)
		})
	}
	rate := s.load * float64(s.upstreams*policySlots) / policyService.Seconds()
	var arrive func()
	arrive = func() {
		ingress := rng.IntN(s.ingresses)
		if rng.Float64() < s.skew {
			ingress -= ingress % s.zones
		}
		call(ingress)
		if len(latencies) < policyCalls {
			after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
	}
	arrive()
	for len(events) > 0 {
		next := events[len(events)-1]
		events = events[:len(events)-1]
		now = next.at
		next.do()
	}
	slices.Sort(latencies)
	var sum time.Duration
	for _, l := range latencies {
		sum += l
	}
	return result{
		mean: sum / time.Duration(len(latencies)), p99: latencies[len(latencies)*99/100],
		slow: float64(slowCalls) / float64(len(latencies)),
	}
}

var _ = Describe("Policies", func() {
	// Guards against loads and fleets for which choice of two would be the wrong policy.
	DescribeTable("choice of two has a p99 of at most 1.2 times that of any other policy", func(s scenario) {
		results := make(map[balance.Policy]result)
		for policy, name := range map[balance.Policy]string{
			balance.ChoiceOfTwo: "choice of two", balance.RoundRobin: "round robin", balance.LeastOutstanding: "least outstanding",
		} {
			r := runPolicy(policy, s)
			results[policy] = r
			GinkgoWriter.Printf("%-18s mean %5.1f ms  p99 %6.1f ms  to slow upstreams %.3f\n",
				name, r.mean.Seconds()*1000, r.p99.Seconds()*1000, r.slow)
		}
		for _, baseline := range []balance.Policy{balance.RoundRobin, balance.LeastOutstanding} {
			Expect(results[balance.ChoiceOfTwo].p99).To(BeNumerically("<=", results[baseline].p99*12/10),
				"choice of two must not be much slower than a baseline")
		}
	},
		Entry("equal upstreams, load 0.8", scenario{upstreams: 20, zones: 1, ingresses: 8, load: 0.8}),
		Entry("4 of 20 upstreams slow, load 0.7", scenario{upstreams: 20, zones: 1, ingresses: 8, load: 0.7, slow: 4}),
		Entry("4 of 20 slow, reports lag by 500 ms", scenario{upstreams: 20, zones: 1, ingresses: 8, load: 0.7, slow: 4, lag: 500 * time.Millisecond}),
		Entry("4 of 20 slow, which report too little load", scenario{upstreams: 20, zones: 1, ingresses: 8, load: 0.7, slow: 4, falseLoad: true}),
		Entry("4 of 20 slow, 64 ingresses", scenario{upstreams: 20, zones: 1, ingresses: 64, load: 0.7, slow: 4}),
		Entry("4 zones, half of the calls in one", scenario{upstreams: 20, zones: 4, ingresses: 8, load: 0.7, skew: 0.5}),
		Entry("3 zones with one upstream each", scenario{upstreams: 3, zones: 3, ingresses: 3, load: 0.7, skew: 0.3}),
	)
})
