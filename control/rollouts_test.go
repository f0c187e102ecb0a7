package control_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/control"
	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/registry"
	"sapphiregate.example/sapphiregate/state/release"
)

var _ = Describe("rollouts of a release", func() {
	// Guards against an acknowledged order that is lost with the leader, or that a copy starts once more, and against a
	// rollout without upstreams that the next leader forgets to end.
	It("outlive the leader, and are rolled back in time without evidence", func() {
		g := formGroup("a", "b", "c")
		leader, followers := g.leader()
		g.approve(leader, 1, config("desk"))
		order := operator.StartRolloutRequest{
			RequestID: operator.NewRequestID(), Operator: "ana", Service: "desk", Release: "v2", DurationMs: 8000,
		}
		first, err := g.client(followers[0], maxClientRounds).StartRollout(context.Background(), order)
		Expect(err).NotTo(HaveOccurred())
		g.kill(leader)
		Eventually(func() (operator.Decision, error) {
			return g.client(followers[1], 1).StartRollout(context.Background(), order)
		}, eventuallyTimeout).Should(Equal(first))
		other := order
		other.RequestID, other.Release = operator.NewRequestID(), "v3"
		_, err = g.client(followers[1], maxClientRounds).StartRollout(context.Background(), other)
		Expect(err).To(MatchError(operator.ErrRolloutBusy))
		rollout := func() (found release.Rollout) {
			response, err := g.client(followers[0], 1).Rollouts(context.Background())
			if err == nil && len(response.Rollouts) == 1 {
				found = response.Rollouts[0].Rollout
			}
			return found
		}
		Expect(rollout().State).To(Equal(release.Running))
		Eventually(rollout, eventuallyTimeout).Should(HaveField("State", release.RolledBack))
		Expect(rollout().Reason).To(ContainSubstring("not enough evidence"))
		other.RequestID = operator.NewRequestID() // A copy of the refused order is refused again.
		_, err = g.client(followers[1], maxClientRounds).StartRollout(context.Background(), other)
		Expect(err).NotTo(HaveOccurred())
		_, err = g.client(followers[0], maxClientRounds).CancelRollout(context.Background(), operator.CancelRolloutRequest{
			Operator: "ben", Service: "desk", Release: "v3",
		})
		Expect(err).NotTo(HaveOccurred())
		Eventually(rollout, eventuallyTimeout).Should(HaveField("Reason", "canceled by ben"))
	})
})

var _ = Describe("the age of an order", func() {
	// Replays an order whose leader's clock differs from that of the member that judges next: a rollout of 12 s would be rolled
	// back after half of that, for want of time.
	DescribeTable("is no greater than the time since the state without it was confirmed",
		func(confirmedAgo, clockDifference, want time.Duration) {
			now := time.Now()
			age := control.OrderAge(now, confirmedAgo, now.Add(-clockDifference))
			Expect(age).To(BeNumerically("~", want, 2*time.Millisecond))
		},
		Entry("at a member that follows the log, behind the leader's clock", 200*time.Millisecond, 100*time.Millisecond, 100*time.Millisecond),
		Entry("at one that is ahead of it by seconds", 200*time.Millisecond, 5*time.Second, 200*time.Millisecond),
		Entry("at one that has just started: the leader's clock counts", time.Duration(0), 5*time.Second, 5*time.Second),
	)
})

var _ = Describe("an order of a rollout without an identifier", func() {
	// Guards against an order that is acknowledged, and dropped because it equals a former one that was rolled back.
	It("starts the rollout again once it cannot be a copy", func() {
		g := newSelfManagedGroup()
		g.put(1, 0)
		order := registry.StartRollout{Operator: "ops", Service: "desk", Release: "v2", DurationMs: 1000}
		place := func() (operator.Decision, error) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return g.members[0].StartRollout(ctx, order)
		}
		first, err := place()
		Expect(err).NotTo(HaveOccurred())
		Expect(place()).To(Equal(first), "a copy while the rollout runs")
		rollout := func() release.Rollout {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			found, _, err := g.members[0].Rollout(ctx, "desk")
			Expect(err).NotTo(HaveOccurred())
			return found
		}
		Eventually(rollout, eventuallyTimeout).Should(HaveField("State", release.RolledBack))
		_, err = place()
		Expect(err).To(MatchError(operator.ErrMaybeCopy))
		var second operator.Decision
		Eventually(func() (err error) {
			second, err = place()
			return err
		}, eventuallyTimeout).Should(Succeed())
		Expect(second.Index).To(BeNumerically(">", first.Index))
		// A member may answer with a state from shortly before the order.
		Eventually(rollout, eventuallyTimeout).Should(HaveField("Started", second.Index))
	})
})
