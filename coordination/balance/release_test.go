package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/balance"
)

// releaseTable returns endpoints of two releases in two zones.
func releaseTable(older, newer int) []balance.Endpoint {
	var table []balance.Endpoint
	for i := range older + newer {
		e := balance.Endpoint{
			ID: fmt.Sprint("n", i), Incarnation: 1, Zone: []string{"a", "b"}[i%2], Service: "desk", Address: fmt.Sprint("10.0.0.", i, ":1"),
			State: balance.Serving, Slots: 8, Release: "v1",
		}
		if i >= older {
			e.Release = "v2"
		}
		table = append(table, e)
	}
	return table
}

var _ = Describe("a rollout of a release", func() {
	now := time.Unix(1000, 0)
	isNewer := func(t balance.Target, table []balance.Endpoint) bool {
		for _, e := range table {
			if e.ID == t.ID {
				return e.Release == "v2"
			}
		}
		return false
	}
	newBalancer := func(table []balance.Endpoint, rule balance.ReleaseRule) *balance.Balancer {
		b := balance.New(balance.Config{Zone: "a"})
		rule.Release = "v2"
		b.SetReleaseRules(map[string]balance.ReleaseRule{"desk": rule})
		b.Update(now, table, nil)
		return b
	}

	DescribeTable("gives the release its share of calls, also if the others are full", func(share float64) {
		table := releaseTable(6, 6)
		b := newBalancer(table, balance.ReleaseRule{Share: share})
		newer := 0
		const calls = 4000
		for range calls {
			// No call ends, so that the load grows without bound.
			t, err := b.Pick(now, balance.Request{Service: "desk", TargetRemaining: 100 * time.Millisecond, Rand: rand.NewPCG(1, uint64(newer)+rand.Uint64())})
			Expect(err).NotTo(HaveOccurred())
			if isNewer(t, table) {
				newer++
			}
		}
		Expect(float64(newer) / calls).To(BeNumerically("~", share, 0.03))
	}, Entry("none", 0.0), Entry("a small one", 0.05), Entry("a half", 0.5), Entry("all", 1.0))

	It("concentrates a small share on so few upstreams that they have the load of the others, in turn", func() {
		table := releaseTable(10, 10)
		seen := make(map[string]bool)
		for focus := range 20 {
			b := newBalancer(table, balance.ReleaseRule{Share: 0.1, Focus: focus})
			chosen := make(map[string]bool)
			for range 500 {
				t, err := b.Pick(now, balance.Request{Service: "desk"})
				Expect(err).NotTo(HaveOccurred())
				if isNewer(t, table) {
					chosen[t.ID], seen[t.ID] = true, true
				}
			}
			Expect(chosen).To(HaveLen(1))
		}
		Expect(seen).To(HaveLen(10))
	})

	It("sends further attempts of a call to the other releases", func() {
		table := releaseTable(3, 3)
		b := newBalancer(table, balance.ReleaseRule{Share: 0.9})
		for range 500 {
			t, err := b.Pick(now, balance.Request{Service: "desk", Exclude: []string{"n5"}})
			Expect(err).NotTo(HaveOccurred())
			Expect(isNewer(t, table)).To(BeFalse())
		}
	})

	// Guards against calls on upstreams that stop as soon as the rollout is completed.
	It("sends no call to the others once the release gets all, however busy it is", func() {
		table := releaseTable(4, 4)
		b := newBalancer(table, balance.ReleaseRule{Share: 1})
		for i := range 2000 {
			t, err := b.Pick(now, balance.Request{
				Service: "desk", TargetRemaining: time.Millisecond, MeetTargetOnly: i%2 == 1, Exclude: []string{"n4", "n5"},
			})
			if err == nil {
				Expect(isNewer(t, table)).To(BeTrue())
			}
		}
	})

	// Guards against every path of the search, such as suspect or suspended endpoints, that could reach the release.
	It("never selects a release that was rolled back", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			table := releaseTable(rapid.IntRange(0, 6).Draw(t, "older"), rapid.IntRange(1, 6).Draw(t, "newer"))
			for i := range table {
				table[i].State = balance.State(rapid.IntRange(0, 3).Draw(t, "state"))
			}
			b := newBalancer(table, balance.ReleaseRule{Share: rapid.Float64Range(0, 1).Draw(t, "share"), Forbidden: true})
			var tried []string
			for range 40 {
				target, err := b.Pick(now, balance.Request{
					Service: "desk", Exclude: tried, MeetTargetOnly: rapid.Bool().Draw(t, "strict"),
					TargetRemaining: time.Duration(rapid.IntRange(0, 100).Draw(t, "target")) * time.Millisecond,
				})
				if err != nil {
					continue
				}
				if isNewer(target, table) {
					t.Fatalf("selected %s", target.ID)
				}
				tried = append(tried, target.ID)
				outcome := balance.Outcome(rapid.IntRange(0, 5).Draw(t, "outcome"))
				b.Done(now, target, balance.Report{Outcome: outcome})
				if rapid.Bool().Draw(t, "suspend") {
					b.Suspend(target, now.Add(time.Second))
				}
			}
		})
	})

	It("serves the release if no other one is left while it runs, and the others if it has no upstream", func() {
		only := releaseTable(0, 3)
		_, err := newBalancer(only, balance.ReleaseRule{Share: 0.05}).Pick(now, balance.Request{Service: "desk"})
		Expect(err).NotTo(HaveOccurred())
		_, err = newBalancer(only, balance.ReleaseRule{Forbidden: true}).Pick(now, balance.Request{Service: "desk"})
		Expect(err).To(MatchError(balance.ErrNoUpstream))
		_, err = newBalancer(releaseTable(3, 0), balance.ReleaseRule{Share: 1}).Pick(now, balance.Request{Service: "desk"})
		Expect(err).NotTo(HaveOccurred())
	})
})
