package overload_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// board is a deployment whose slots two kinds of requests share, one much longer than the other.
func board() deployment {
	return deployment{
		zones: []string{"a", "b", "c", "d"}, slots: 18, zoneDelay: 4 * ms, hopDelay: 2 * ms, callerDelay: 8 * ms, retries: 1,
		placed: map[string][]int{"board": {3, 3, 3, 3}}, teams: 75,
		routes: []route{
			{name: "price", service: "board", class: bundle.ClassLookup, priority: 2, perSecond: 1, work: 71 * ms,
				target: 300 * ms, deadline: 2000 * ms, worth: 1, lateWorth: 0.3, bytes: 1500},
			{name: "view", service: "board", class: bundle.ClassLookup, priority: 2, perSecond: 1, work: 330 * ms,
				target: 1000 * ms, deadline: 2500 * ms, worth: 1, lateWorth: 0.3, bytes: 5000},
		},
	}
}

// newBoard returns a simulation whose two kinds of requests each fill half of the slots at load 1.
func newBoard(seed uint64) *simulation {
	s := newSimulation(board(), seed)
	for _, r := range s.routes {
		r.perSecond = s.capacity(r, 0) / 2
	}
	return s
}

// worstTenth returns the share of the requests of the worst-served tenth of the teams, other than one, that are answered in
// their target, and that of all these teams. Teams with fewer than 20 requests are left out.
func worstTenth(teams map[string]*tally, except string) (worst, mean float64) {
	var shares []float64
	var all tally
	for name, t := range teams {
		if name == except || t.asked < 20 {
			continue
		}
		shares = append(shares, t.part(t.inTarget))
		all.add(t)
	}
	slices.Sort(shares)
	tenth := shares[:max(1, len(shares)/10)]
	for _, share := range tenth {
		worst += share / float64(len(tenth))
	}
	return worst, all.part(all.inTarget)
}

var _ = Describe("Teams that share upstreams", func() {
	// Replays 75 teams of skewed sizes, one of which sends twelve times its usual for ten seconds.
	DescribeTable("pay for their own peaks", func(seed uint64) {
		s := newBoard(seed)
		s.play(phase{length: 12 * time.Second, load: 0.9}, phase{length: 10 * time.Second, load: 0.9, hot: 12}, phase{length: 4 * time.Second, load: 0.9})
		hot := fmt.Sprint("team-", hotTeam)
		before, during := s.teamsBetween(2, 12), s.teamsBetween(13, 22)
		_, usual := worstTenth(before, hot)
		worst, mean := worstTenth(during, hot)
		all := s.between(13, 22, "")
		fmt.Fprintf(GinkgoWriter, "usual %.3f during: worst tenth %.3f mean %.3f hot %v all %v\n", usual, worst, mean, during[hot], all)
		Expect(worst).To(BeNumerically(">=", 0.9*mean), "worst tenth of the other teams against their mean")
		Expect(mean).To(BeNumerically(">=", 0.9*usual), "other teams, against their usual")
		Expect(during[hot].part(during[hot].inTarget+during[hot].late)).To(BeNumerically(">=", 0.25*all.part(all.inTarget+all.late)),
			"the team with the peak")
	}, Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)))
})

var _ = Describe("Two kinds of requests on the same slots", func() {
	// Replays requests that take 71 and 330 ms at 1.5 times the capacity: neither may starve the other.
	It("keep goodput at 0.90 of what the slots can serve", func() {
		s := newBoard(1)
		s.play(phase{length: 4 * time.Second, load: 0.9}, phase{length: 10 * time.Second, load: 1.5}, phase{length: 4 * time.Second, load: 0.9})
		price, view, after := s.between(5, 14, "price"), s.between(5, 14, "view"), s.between(15, 17, "")
		fmt.Fprintf(GinkgoWriter, "price %v\nview  %v\nafter %v\n", price, view, after)
		used := (float64(price.inTarget)/s.routes["price"].perSecond + float64(view.inTarget)/s.routes["view"].perSecond) / 2 / 9
		Expect(used).To(BeNumerically(">=", 0.9), "work served in target, of the slots")
		Expect(after.part(after.inTarget)).To(BeNumerically(">=", 0.95), "a second after the overload")
	})
})

var _ = Describe("Callers who come back", func() {
	// Replays one and a half times the capacity with callers who return when they are told to, earlier, or at once.
	DescribeTable("do not lower goodput", func(change func(*deployment)) {
		d := desk()
		d.retries, d.callerDelay, d.hopDelay = 2, ms, 2*ms
		change(&d)
		s := newSimulation(d, 5)
		lookup := s.routes["lookup"]
		capacity := s.capacity(lookup, 0)
		lookup.perSecond = capacity
		s.play(phase{length: 4 * time.Second, load: 0.9}, phase{length: 10 * time.Second, load: 1.5}, phase{length: 4 * time.Second, load: 0.9})
		during, after := s.between(5, 14, ""), s.between(15, 17, "")
		fmt.Fprintf(GinkgoWriter, "during %v\nafter  %v\n", during, after)
		Expect(float64(during.inTarget)/(9*capacity)).To(BeNumerically(">=", 0.9), "served in target, of capacity")
		Expect(after.part(after.inTarget)).To(BeNumerically(">=", 0.95), "a second after the overload")
	},
		Entry("on time", func(*deployment) {}),
		Entry("early", func(d *deployment) { d.early = 0.3 }),
		Entry("at once", func(d *deployment) { d.atOnce = true }),
	)

	// Replays a peak that the slots cannot take, from which callers return on time. A caller who keeps to the time that it
	// was told is not refused again.
	It("are not refused again if they return on time", func() {
		d := desk()
		d.retries, d.callerDelay, d.hopDelay = 2, ms, 2*ms
		s := newSimulation(d, 6)
		lookup := s.routes["lookup"]
		lookup.perSecond = s.capacity(lookup, 0)
		s.play(phase{length: 4 * time.Second, load: 0.8}, phase{length: time.Second, load: 1.5}, phase{length: 4 * time.Second, load: 0.8})
		all := s.between(0, 9, "")
		fmt.Fprintln(GinkgoWriter, all)
		Expect(all.refusedTwice).To(BeZero())
	})
})

var _ = Describe("Calls two deep", func() {
	// Replays lookups whose calls make calls of their own to a third service, and entries there that call the first one: what
	// waits for a call holds slots on both sides.
	It("keep goodput at 1.3 times the capacity", func() {
		d := registry(2, "a", "b", "c")
		for i := range d.routes {
			if d.routes[i].name == "check" {
				d.routes[i].calls, d.routes[i].callee, d.routes[i].share = 1, "peek", 0.7
			}
		}
		earned := func(load float64) float64 {
			s := newSimulation(d, 3)
			desks := s.capacity(s.routes["lookup"], 0) / s.routes["lookup"].perSecond
			s.play(phase{length: 14 * time.Second, load: load * desks})
			all := s.between(4, 14, "")
			fmt.Fprintln(GinkgoWriter, load, all)
			return all.earned
		}
		Expect(earned(1.3)).To(BeNumerically(">=", 0.9*earned(1)))
	})
})
