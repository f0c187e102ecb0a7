package balance_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/state/bundle"
)

var _ = Describe("Pick for a call with a target", func() {
	const target = 500 * time.Millisecond

	// complete ends a call with the given service time. The executor's load report has the mean service time of all
	// routes and the number of queued calls.
	complete := func(h *harness, upstream balance.Target, route string, service, mean time.Duration, queued int) {
		h.Done(h.now, upstream, balance.Report{
			Outcome: balance.Completed, Latency: service, Route: route, ServiceTime: service,
			Load: &balance.Load{InFlight: 10, Queued: queued, Slots: 10, LatencyMicros: mean.Microseconds()},
		})
	}
	// pickZones picks upstreams for 100 calls of a route and returns how many are in each zone.
	pickZones := func(h *harness, route string, target time.Duration) map[string]int {
		h.request.Route, h.request.TargetRemaining = route, target
		zones := make(map[string]int)
		for range 100 {
			upstream := h.pick()
			zones[upstream.Zone]++
			h.Done(h.now, upstream, balance.Report{Outcome: balance.Canceled})
		}
		return zones
	}
	newTwoZones := func() *harness {
		return newHarness(balance.ChoiceOfTwo, append(endpointsIn("a", 1), endpointsIn("b", 1)...))
	}

	// Guards against calls that leave their zone for a free slot elsewhere although the local upstream would respond in
	// time. In scale-2 of knc-tbilisi such calls caused most of the traffic between zones.
	It("keeps calls in their zone while they are expected to meet their target there", func() {
		h := newTwoZones()
		for range 20 {
			complete(h, h.pick(), "lookup", 150*time.Millisecond, 150*time.Millisecond, 5)
		}
		Expect(pickZones(h, "lookup", target)).To(Equal(map[string]int{"a": 100}))
	})

	// Replays a zone whose upstream has a queue while the one in another zone is idle: calls waited until they nearly
	// missed their target.
	It("sends a call to another zone for a clear saving, and a long response only for a larger one", func() {
		h := newTwoZones()
		answered := func(route string, bytes int64) {
			var upstreams []balance.Target
			h.request.Route, h.request.Zone = route, bundle.ZoneAny
			for range 40 {
				upstreams = append(upstreams, h.pick())
			}
			h.request.Zone = ""
			for _, upstream := range upstreams {
				load := &balance.Load{Slots: 10, LatencyMicros: 100_000}
				if upstream.Zone == "a" {
					load.InFlight, load.Queued = 10, 40
				}
				h.Done(h.now, upstream, balance.Report{
					Outcome: balance.Completed, Latency: 100 * time.Millisecond, Route: route, ServiceTime: 100 * time.Millisecond,
					ResponseBytes: bytes, Load: load,
				})
			}
		}
		answered("balance", 2_000)
		answered("export", 200_000)
		Expect(pickZones(h, "balance", target)["b"]).To(BeNumerically(">", 50))
		Expect(pickZones(h, "export", target)).To(Equal(map[string]int{"a": 100}))
	})

	// Guards against short calls that leave their zone because long calls of another route run on the same upstream.
	It("estimates the response time by the service time of the call's own route", func() {
		h := newTwoZones()
		for range 20 {
			complete(h, h.pick(), "history", 400*time.Millisecond, 400*time.Millisecond, 0)
			complete(h, h.pick(), "owner", 40*time.Millisecond, 400*time.Millisecond, 0)
		}
		Expect(pickZones(h, "owner", 200*time.Millisecond)).To(Equal(map[string]int{"a": 100}))
	})

	It("sends calls to another zone if they would miss their target in their own", func() {
		h := newTwoZones()
		var inFlight []balance.Target
		h.request.TargetRemaining = time.Hour
		for range 60 {
			inFlight = append(inFlight, h.pick())
		}
		for _, upstream := range inFlight[:20] {
			complete(h, upstream, "lookup", 300*time.Millisecond, 300*time.Millisecond, 50)
		}
		Expect(pickZones(h, "lookup", target)["b"]).To(BeNumerically(">", 50))
	})

	// Guards against retries of calls that were refused for lack of slots while all upstreams are overloaded: each
	// retry would be refused again and cost two more messages.
	It("fails with MeetTargetOnly unless an upstream is expected to meet the target", func() {
		h := newTwoZones()
		h.request.Rand = rand.NewPCG(3, 4)
		var inFlight []balance.Target
		for range 400 {
			inFlight = append(inFlight, h.pick())
		}
		for _, upstream := range inFlight[:40] {
			complete(h, upstream, "lookup", 300*time.Millisecond, 300*time.Millisecond, 100)
		}
		h.request.Route, h.request.TargetRemaining, h.request.MeetTargetOnly = "lookup", target, true
		_, err := h.Pick(h.now, h.request)
		Expect(err).To(MatchError(balance.ErrNoUpstream))
	})

	// Guards against giving an upstream that fails half of its calls as many calls as one that fails none.
	It("raises the expected delay of an upstream by its error rate", func() {
		h := newHarness(balance.ChoiceOfTwo, endpointsIn("a", 2))
		counts := make(map[string]int)
		for i := range 400 {
			upstream := h.pick()
			counts[upstream.ID]++
			outcome := balance.Completed
			if upstream.ID == "a-0" && i%2 == 0 {
				outcome = balance.ErrorResponse
			}
			h.Done(h.now, upstream, balance.Report{Outcome: outcome, Latency: 100 * time.Millisecond})
			h.now = h.now.Add(10 * time.Millisecond)
		}
		Expect(counts["a-0"]).To(BeNumerically("<", counts["a-1"]/2))
	})
})
