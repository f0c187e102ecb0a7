package balance_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/balance"
)

var _ = Describe("placement by patience", func() {
	const patience = 500 * time.Millisecond

	// answer ends a call with the executor's report of its load.
	answer := func(h *harness, target balance.Target, route string, service, mean time.Duration, waiting int) {
		h.Done(h.now, target, balance.Report{
			Outcome: balance.Completed, Latency: service, Route: route, ServiceTime: service,
			Load: &balance.Load{InFlight: 10, Queued: waiting, Slots: 10, LatencyMicros: mean.Microseconds()},
		})
	}
	// zonesOf counts the zones of picks of a route.
	zonesOf := func(h *harness, route string, patience time.Duration) map[string]int {
		h.request.Route, h.request.TargetRemaining = route, patience
		zones := make(map[string]int)
		for range 100 {
			target := h.pick()
			zones[target.Zone]++
			h.Done(h.now, target, balance.Report{Outcome: balance.Canceled})
		}
		return zones
	}
	newZones := func() *harness {
		return newHarness(balance.ChoiceOfTwo, append(endpointsIn("a", 1), endpointsIn("b", 1)...))
	}

	// Guards against calls that leave their zone for a free slot elsewhere although they would be in time at home: in
	// scale-2 of knc-tbilisi such calls were most of the bytes between zones.
	It("keeps calls in their zone while the wait there leaves them in time", func() {
		h := newZones()
		for range 20 {
			answer(h, h.pick(), "lookup", 150*time.Millisecond, 150*time.Millisecond, 5)
		}
		Expect(zonesOf(h, "lookup", patience)).To(Equal(map[string]int{"a": 100}))
	})

	// Guards against short calls that leave their zone because long calls of another route share their upstream.
	It("judges a call by the time that its own route takes", func() {
		h := newZones()
		for range 20 {
			answer(h, h.pick(), "history", 400*time.Millisecond, 400*time.Millisecond, 0)
			answer(h, h.pick(), "owner", 40*time.Millisecond, 400*time.Millisecond, 0)
		}
		Expect(zonesOf(h, "owner", 200*time.Millisecond)).To(Equal(map[string]int{"a": 100}))
	})

	It("sends calls elsewhere that would be late at home", func() {
		h := newZones()
		var held []balance.Target
		h.request.TargetRemaining = time.Hour
		for range 60 {
			held = append(held, h.pick())
		}
		for _, target := range held[:20] {
			answer(h, target, "lookup", 300*time.Millisecond, 300*time.Millisecond, 50)
		}
		Expect(zonesOf(h, "lookup", patience)["b"]).To(BeNumerically(">", 50))
	})

	// Guards against repeats of calls that were refused for lack of slots while all upstreams are full: each would be
	// refused again, at the price of two more messages.
	It("offers no upstream to a refused call unless one is expected to answer in time", func() {
		h := newZones()
		h.request.Rand = rand.NewPCG(3, 4)
		var held []balance.Target
		for range 400 {
			held = append(held, h.pick())
		}
		for _, target := range held[:40] {
			answer(h, target, "lookup", 300*time.Millisecond, 300*time.Millisecond, 100)
		}
		h.request.Route, h.request.TargetRemaining, h.request.MeetTargetOnly = "lookup", patience, true
		_, err := h.Pick(h.now, h.request)
		Expect(err).To(MatchError(balance.ErrNoUpstream))
	})

	// Guards against sending every second call to an upstream that refuses half of them.
	It("counts the faults of an upstream as further tries", func() {
		h := newHarness(balance.ChoiceOfTwo, endpointsIn("a", 2))
		counts := make(map[string]int)
		for i := range 400 {
			target := h.pick()
			counts[target.ID]++
			outcome := balance.Completed
			if target.ID == "a-0" && i%2 == 0 {
				outcome = balance.ErrorResponse
			}
			h.Done(h.now, target, balance.Report{Outcome: outcome, Latency: 100 * time.Millisecond})
			h.now = h.now.Add(10 * time.Millisecond)
		}
		Expect(counts["a-0"]).To(BeNumerically("<", counts["a-1"]/2))
	})
})
