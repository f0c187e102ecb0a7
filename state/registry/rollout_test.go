package registry_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/registry"
	"sapphiregate.example/sapphiregate/state/release"
)

func start(service, name string, duration time.Duration) registry.Command {
	return registry.Command{Rollout: &registry.RolloutChange{Start: &registry.StartRollout{
		Service: service, Release: name, DurationMs: duration.Milliseconds(), Operator: "ana",
	}}}
}

// latestOrder describes the first order in the log to the state machine; operators send copies for 4 s.
func latestOrder(minAgeMs, maxAgeMs int64) *registry.LatestOrder {
	return &registry.LatestOrder{Started: 1, MinAgeMs: minAgeMs, MaxAgeMs: maxAgeMs, ResendMs: 4000}
}

func advance(service string, revision uint64, state release.State, share int) registry.Command {
	return registry.Command{Rollout: &registry.RolloutChange{Advance: &registry.AdvanceRollout{
		Service: service, Revision: revision, State: state, Share: share, Reason: "test",
	}}}
}

// All commands go through a replicaPair, which restores one registry from its snapshot before each of them.
var _ = Describe("a rollout of a release", func() {
	var g *replicaPair
	current := func() release.Rollout {
		found, ok := g.first.Rollout("rank")
		Expect(ok).To(BeTrue())
		return found
	}
	BeforeEach(func() {
		g = newReplicaPair()
		g.stageAndApprove(1, 1)
	})

	// Guards against an order that is acknowledged and dropped because it equals one that ended long ago, and against a copy
	// that starts a rollout again.
	DescribeTable("tells a copy of an order from another one by the age of the former",
		func(ended bool, age *registry.LatestOrder, expected error) {
			first := g.apply(start("rank", "v2", time.Minute))
			Expect(first.Err()).To(Succeed())
			if ended {
				Expect(g.apply(advance("rank", current().Revision, release.RolledBack, 0)).Err()).To(Succeed())
			}
			order := start("rank", "v2", time.Minute)
			if age != nil && age.Started != 0 {
				age.Started = first.Index
			}
			order.Rollout.Start.Latest = age
			result := g.apply(order)
			if expected != nil {
				Expect(result.Err()).To(MatchError(expected))
				Expect(current().Started).To(Equal(first.Index))
				return
			}
			Expect(result.Err()).To(Succeed())
			Expect(current()).To(And(HaveField("State", release.Running), HaveField("Started", result.Index)))
			if !ended {
				Expect(result).To(Equal(first))
			}
		},
		Entry("a copy while the rollout runs", false, latestOrder(1000, 4000), nil),
		Entry("one that may be later than all copies", false, latestOrder(1000, 4001), registry.ErrRolloutRunning),
		Entry("one at a leader that started after the commit", false, latestOrder(1000, registry.AgeUnknown), registry.ErrRolloutRunning),
		Entry("one at a leader that may lack orders", false, &registry.LatestOrder{Outdated: true, ResendMs: 4000}, registry.ErrRolloutRunning),
		Entry("one in an entry of an earlier version", false, nil, registry.ErrRolloutRunning),
		Entry("a copy before the leader has applied the first one", false, &registry.LatestOrder{ResendMs: 4000}, nil),
		Entry("a copy after the rollout has ended", true, latestOrder(0, 10), registry.ErrMaybeCopy),
		Entry("a late one when the last copy may still be on its way", true, latestOrder(5000, 5000), registry.ErrMaybeCopy),
		Entry("one that is later than all copies", true, latestOrder(5001, 5001), nil),
		Entry("the same at a leader that started after the commit", true, latestOrder(5001, registry.AgeUnknown), nil),
		Entry("one at a leader that may lack orders, after the end", true, &registry.LatestOrder{Outdated: true, ResendMs: 4000}, registry.ErrMaybeCopy),
		Entry("one in an entry of an earlier version, after the end", true, nil, registry.ErrMaybeCopy),
	)

	// Guards against a copy that starts its rollout again because another order came in between.
	It("knows a copy of the order before the latest one", func() {
		order := func(name string, minAgeMs, formerMinAgeMs int64) registry.Result {
			c := start("rank", name, time.Minute)
			c.Rollout.Start.Latest = &registry.LatestOrder{ResendMs: 4000}
			if latest, ok := g.first.Rollout("rank"); ok {
				c.Rollout.Start.Latest = &registry.LatestOrder{
					Started: latest.Started, MinAgeMs: minAgeMs, MaxAgeMs: minAgeMs, FormerMinAgeMs: formerMinAgeMs, ResendMs: 4000,
				}
			}
			return g.apply(c)
		}
		end := func() {
			Expect(g.apply(advance("rank", current().Revision, release.RolledBack, 0)).Err()).To(Succeed())
		}
		Expect(order("v2", 0, 0).Err()).To(Succeed())
		end()
		Expect(order("v3", 1000, 0).Err()).To(Succeed())
		Expect(order("v2", 1000, 2000).Err()).To(MatchError(registry.ErrRolloutRunning))
		end()
		Expect(order("v2", 4000, 5000).Err()).To(MatchError(registry.ErrMaybeCopy))
		Expect(order("v4", 4000, 5000).Err()).To(MatchError(registry.ErrMaybeCopy), "only one former order is remembered")
		Expect(order("v4", 4001, 5001).Err()).To(Succeed())
		Expect(current().Former.Release).To(Equal("v3"))
		end()
		Expect(order("v2", 1000, 5000).Err()).To(MatchError(registry.ErrMaybeCopy))
		Expect(order("v3", 1000, 5001).Err()).To(Succeed())
	})

	// Guards against replicas that differ after an upgrade: those that applied the entry earlier started a rollout.
	It("applies the entries of earlier versions as these did", func() {
		Expect(g.apply(start("rank", "v2", time.Minute)).Err()).To(Succeed())
		Expect(g.apply(advance("rank", current().Revision, release.RolledBack, 0)).Err()).To(Succeed())
		Expect(g.apply(start("rank", "v3", time.Minute)).Err()).To(Succeed())
		Expect(g.apply(advance("rank", current().Revision, release.RolledBack, 0)).Err()).To(Succeed())
		again := start("rank", "v3", time.Minute)
		again.RequestID = "again"
		Expect(g.apply(again).Err()).To(Succeed())
	})

	It("refuses another order while one runs, and accepts it afterwards", func() {
		Expect(g.apply(start("rank", "v2", time.Minute)).Err()).To(Succeed())
		Expect(g.apply(start("rank", "v3", time.Minute)).Err()).To(MatchError(registry.ErrRolloutRunning))
		Expect(g.apply(start("rank", "v2", time.Hour)).Err()).To(MatchError(registry.ErrRolloutRunning))
		Expect(g.apply(start("ledger", "v3", time.Minute)).Err()).To(Succeed())
		Expect(g.apply(advance("rank", current().Revision, release.Completed, release.FullShare)).Err()).To(Succeed())
		Expect(g.apply(start("rank", "v3", time.Minute)).Err()).To(Succeed())
		Expect(current().Release).To(Equal("v3"))
	})

	It("starts a release again that was rolled back only for a request with another identifier", func() {
		order := start("rank", "v2", time.Minute)
		order.RequestID = "first"
		Expect(g.apply(order).Err()).To(Succeed())
		// It may be much later, so that it must not be acknowledged for the rollout that runs.
		order.RequestID = "meanwhile"
		Expect(g.apply(order).Err()).To(MatchError(registry.ErrRolloutRunning))
		order.RequestID = "first"
		Expect(g.apply(advance("rank", current().Revision, release.RolledBack, 0)).Err()).To(Succeed())
		Expect(g.apply(order).Err()).To(Succeed())
		Expect(current().State).To(Equal(release.RolledBack))
		order.RequestID = "second"
		Expect(g.apply(order).Err()).To(Succeed())
		Expect(current().State).To(Equal(release.Running))
	})

	// Guards against a former leader whose decision arrives after that of its successor.
	It("takes a decision only for the revision that it names, and none after the end", func() {
		Expect(g.apply(start("rank", "v2", time.Minute)).Err()).To(Succeed())
		outdated := current().Revision
		Expect(g.apply(advance("rank", outdated, release.Running, 50)).Err()).To(Succeed())
		Expect(g.apply(advance("rank", outdated, release.Completed, release.FullShare)).Err()).To(MatchError(registry.ErrRolloutChanged))
		Expect(g.apply(advance("rank", current().Revision, release.RolledBack, 0)).Err()).To(Succeed())
		Expect(g.apply(advance("rank", current().Revision, release.Completed, release.FullShare)).Err()).To(MatchError(registry.ErrRolloutChanged))
		Expect(current().State).To(Equal(release.RolledBack))
	})

	It("is rolled back when an operator cancels it", func() {
		cancel := registry.Command{Rollout: &registry.RolloutChange{Cancel: &registry.CancelRollout{
			Service: "rank", Release: "v2", Operator: "ben",
		}}}
		Expect(g.apply(cancel).Err()).To(MatchError(registry.ErrUnknownRollout))
		Expect(g.apply(start("rank", "v2", time.Minute)).Err()).To(Succeed())
		Expect(g.apply(cancel).Err()).To(Succeed())
		Expect(current()).To(HaveField("Reason", "canceled by ben"))
		Expect(g.apply(cancel).Err()).To(Succeed())
	})

	DescribeTable("refuses an order", func(service, name string, duration time.Duration, expected error) {
		Expect(g.apply(start(service, name, duration)).Err()).To(MatchError(expected))
		Expect(g.first.Rollouts()).To(BeEmpty())
	},
		Entry("of an unknown service", "nobody", "v2", time.Minute, registry.ErrUnknownService),
		Entry("without a release", "rank", "", time.Minute, registry.ErrMalformed),
		Entry("without a duration", "rank", "v2", time.Duration(0), registry.ErrMalformed),
		Entry("with a negative duration", "rank", "v2", -time.Minute, registry.ErrMalformed),
		Entry("with a duration of years", "rank", "v2", 20000*time.Hour, registry.ErrMalformed),
		Entry("with a long name", "rank", fmt.Sprintf("%200d", 1), time.Minute, registry.ErrMalformed),
	)
})
