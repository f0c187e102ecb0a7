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

	It("acknowledges copies of an order while it runs and after it has ended", func() {
		first := g.apply(start("rank", "v2", time.Minute))
		Expect(first.Err()).To(Succeed())
		Expect(g.apply(start("rank", "v2", time.Minute))).To(Equal(first))
		Expect(g.apply(advance("rank", current().Revision, release.Running, 50)).Err()).To(Succeed())
		Expect(g.apply(start("rank", "v2", time.Minute))).To(Equal(first))
		Expect(g.apply(advance("rank", current().Revision, release.RolledBack, 0)).Err()).To(Succeed())
		Expect(g.apply(start("rank", "v2", time.Minute))).To(Equal(first))
		Expect(current().State).To(Equal(release.RolledBack))
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
