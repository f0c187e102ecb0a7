package balance_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/balance"
)

var _ = Describe("Explain", func() {
	// Guards against an explanation that comes from other rules than the pick, or that changes what it explains.
	It("names what Pick then selects, gives an obstacle only to what is not taken, and counts nothing", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1000, 0)
			b := balance.New(balance.Config{Zone: "a", Policy: balance.Policy(rapid.IntRange(0, 2).Draw(t, "policy"))})
			table := releaseTable(rapid.IntRange(1, 4).Draw(t, "older"), rapid.IntRange(0, 4).Draw(t, "newer"))
			for i := range table {
				table[i].State = balance.State(rapid.SampledFrom([]int{0, 0, 0, 3}).Draw(t, "state"))
			}
			if rapid.Bool().Draw(t, "rollout") {
				b.SetReleaseRules(map[string]balance.ReleaseRule{"desk": {Release: "v2", Share: rapid.Float64Range(0, 1).Draw(t, "share")}})
			}
			b.Update(now, table, nil)
			for range rapid.IntRange(0, 6).Draw(t, "calls") {
				target, err := b.Pick(now, balance.Request{Service: "desk"})
				if err != nil {
					continue
				}
				if rapid.Bool().Draw(t, "ends") {
					b.Done(now, target, balance.Report{Outcome: balance.Outcome(rapid.IntRange(0, 5).Draw(t, "outcome"))})
				}
				if rapid.Bool().Draw(t, "suspended") {
					b.Suspend(target, now.Add(time.Second))
				}
			}
			seed := rapid.Uint64().Draw(t, "seed")
			request := func() balance.Request {
				return balance.Request{
					Service: "desk", Rand: rand.NewPCG(seed, 1), Exclude: []string{"n0"}[:seed%2],
					TargetRemaining: time.Duration(seed%3) * 10 * time.Millisecond,
				}
			}
			before := b.Status(now)
			explained := b.Explain(now, request())
			Expect(b.Status(now)).To(Equal(before))
			picked, _ := b.Pick(now, request())
			Expect(explained.Chosen).To(Equal(picked.ID))
			odds := 0.0
			for _, e := range explained.Endpoints {
				odds += e.Odds
				if e.Odds > 0 {
					Expect(e.Obstacle).To(Equal(balance.NoObstacle))
				} else if picked.ID == "" {
					Expect(e.Obstacle).NotTo(Equal(balance.NoObstacle))
				}
				if e.ID == picked.ID {
					Expect(e.Odds).To(BeNumerically(">", 0))
				}
			}
			// Without odds there is nothing to pick. The reverse does not hold: while the other releases have no upstream
			// that can take a call, only the calls of the rollout's share find one.
			if odds == 0 {
				Expect(picked.ID).To(BeEmpty())
			}
			if explained.Rule == nil {
				Expect(odds == 0).To(Equal(picked.ID == ""))
			}
		})
	})

	It("tells what ruled an endpoint out", func() {
		now := time.Unix(1000, 0)
		table := releaseTable(6, 2)
		table[2].State = balance.Suspect
		b := balance.New(balance.Config{Zone: "a"})
		b.SetReleaseRules(map[string]balance.ReleaseRule{"desk": {Release: "v2", Forbidden: true}})
		b.Update(now, table, nil)
		targets := make(map[string]balance.Target)
		for range 500 {
			target, err := b.Pick(now, balance.Request{Service: "desk", Zone: "any"})
			Expect(err).NotTo(HaveOccurred())
			targets[target.ID] = target
			b.Done(now, target, balance.Report{Outcome: balance.Canceled})
		}
		b.Suspend(targets["n1"], now.Add(time.Second))
		b.Done(now, targets["n3"], balance.Report{Outcome: balance.ConnectFailed})
		obstacles := make(map[string]balance.Obstacle)
		explained := b.Explain(now, balance.Request{Service: "desk", Exclude: []string{"n0"}})
		Expect(explained.Chosen).To(Equal("n4"))
		for _, e := range explained.Endpoints {
			obstacles[e.ID] = e.Obstacle
		}
		Expect(obstacles).To(Equal(map[string]balance.Obstacle{
			"n0": balance.Excluded, "n1": balance.Suspended, "n2": balance.NotServing, "n3": balance.Ejected,
			"n4": balance.NoObstacle, "n5": balance.OtherZone, "n6": balance.OtherRelease, "n7": balance.OtherRelease,
		}))
	})
})
