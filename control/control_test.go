package control_test

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/ledger"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

var _ = Describe("a group of three members", func() {
	// Guards against a wiped member that votes under its old identity or forms a second group, either of which would lose
	// approvals, and against a repair after which only one member holds the state.
	It("repairs a wiped member without losing an approval", func() {
		g := formGroup("a", "b", "c")
		_, followers := g.leader()
		wiped, other := followers[0], followers[1]
		g.approve("a", 1, config("desk"))
		g.kill(wiped)
		Expect(g.WipeMember(wiped)).To(Succeed())
		second := g.approve(other, 2, config("desk-two"))
		g.start(wiped)
		before := g.memberIDs(other)
		Eventually(func() int { return len(g.dump(wiped).Groups) }, eventuallyTimeout).Should(BeNumerically(">", 0))
		Expect(before).NotTo(ContainElement(g.dump(wiped).ID))
		Expect(g.memberIDs(other)).To(Equal(before))

		// The wiped member has no vote, so that the leader alone is no quorum.
		g.kill(other)
		g.expectNoApproval(wiped, 3)
		leads, _ := g.Leader()
		Expect(leads).NotTo(Equal(wiped))
		Expect(g.latestVersion(wiped)).To(BeZero())
		g.start(other)

		g.leader()
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		added, err := g.ReplaceMember(ctx, wiped)
		Expect(err).NotTo(HaveOccurred())
		g.refreshAdminAddresses()
		Eventually(func() uint64 { return g.latestVersion(added) }, eventuallyTimeout).Should(BeEquivalentTo(2))
		Expect(g.memberIDs(added)).To(HaveLen(3))
		lost, _ := g.leader()
		if lost == added {
			lost = other
		}
		g.kill(lost)
		for _, id := range g.Members() {
			if id != lost {
				Eventually(func() uint64 { return g.latestVersion(id) }, eventuallyTimeout).Should(BeEquivalentTo(2))
			}
		}
		g.approve(added, 3, config("desk-three"))
		again, err := g.client(added, maxClientRounds).Approve(context.Background(), g.request("ana", 2, config("desk-two")))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Index).To(Equal(second.Index))
	})

	// Guards against two bundles approved under one version, against a losing operator who is not told the winner, and
	// against an approval that is applied twice or refused when it is sent again, after its response was lost with the
	// leader.
	It("accepts one of two concurrent approvals of a version and keeps it through failures and restarts", func() {
		g := formGroup("c", "b", "a")
		leader, followers := g.leader()
		names := []string{"ana", "ben"}
		var requests [2]operator.ApproveRequest
		for i, name := range names {
			g.stage("a", name, 1, config("desk-"+name))
			requests[i] = g.request(name, 1, config("desk-"+name))
		}
		var results [2]error
		var decisions [2]operator.Decision
		var running sync.WaitGroup
		for i, id := range []string{"b", "c"} {
			client := g.client(id, maxClientRounds)
			running.Go(func() { decisions[i], results[i] = client.Approve(context.Background(), requests[i]) })
		}
		running.Wait()
		winner, loser := 0, 1
		if results[0] != nil {
			winner, loser = 1, 0
		}
		Expect(results[winner]).NotTo(HaveOccurred())
		Expect(results[loser]).To(MatchError(operator.ErrVersionTaken))
		var detailed *operator.Error
		Expect(errors.As(results[loser], &detailed)).To(BeTrue())
		Expect(detailed.Winner).NotTo(BeNil())
		Expect(detailed.Winner.Operator).To(Equal(names[winner]))
		Expect(detailed.Winner.Digest).To(Equal(requests[winner].Approval.Digest))
		for _, id := range g.Members() {
			Eventually(func() *bundle.Approval { return g.dump(id).Latest }, eventuallyTimeout).
				Should(HaveValue(Equal(requests[winner].Approval)))
		}
		g.kill(leader)
		for i, id := range followers {
			// The second time, the approval has another request identifier, as from an operator who runs the command again.
			if i > 0 {
				requests[winner].RequestID = operator.NewRequestID()
			}
			again, err := g.client(id, maxClientRounds).Approve(context.Background(), requests[winner])
			Expect(err).NotTo(HaveOccurred())
			Expect(again).To(Equal(decisions[winner]))
		}

		// Kills all members at once: state that was acknowledged but never synced would be lost.
		response, err := g.client(followers[0], maxClientRounds).Members(context.Background())
		Expect(err).NotTo(HaveOccurred())
		var addresses []string
		for _, member := range response.Members {
			addresses = append(addresses, member.Address)
		}
		pool := rpc.NewPool(nil, nil)
		defer pool.Close()
		claim := ledger.Claim{Key: "k", Route: "promote", Executor: "e", Incarnation: 1, Attempt: 1}
		Expect(g.commitToLedger(pool, addresses, ledger.Command{Claim: &claim}).Status).To(Equal(ledger.Granted))
		g.commitToLedger(pool, addresses, ledger.Command{Record: &ledger.Record{
			Key: "k", Executor: "e", Incarnation: 1, Attempt: 1, Response: ledger.Response{Status: 201, Body: []byte("dan 3")},
		}})
		g.kill(followers...)
		g.start("c", "b", "a")
		g.leader()
		for _, id := range g.Members() {
			Eventually(func() uint64 { return g.latestVersion(id) }, eventuallyTimeout).Should(BeEquivalentTo(1))
		}
		other := claim
		other.Attempt = 2
		kept := g.commitToLedger(pool, addresses, ledger.Command{Claim: &other})
		Expect(kept.Status).To(Equal(ledger.Done))
		Expect(string(kept.Response.Body)).To(Equal("dan 3"))
	})

	// Guards against a member that is cut off and still reports its state as current or accepts approvals.
	DescribeTable("reports its state as outdated without a quorum", func(leads bool) {
		g := formGroup("b", "c", "a")
		survivor, followers := g.leader()
		lost := followers
		if !leads {
			survivor, lost = followers[0], []string{survivor, followers[1]}
		}
		Eventually(func() bool { return g.dump(survivor).Relay.Confirmed }, eventuallyTimeout).Should(BeTrue())
		rollout := func() operator.RolloutState {
			status, _ := g.client(survivor, 1).Status(context.Background())
			return status.Rollout
		}
		Eventually(rollout, eventuallyTimeout).Should(Equal(operator.RolloutNone))
		g.kill(lost...)
		for range 2 {
			before := g.dump(survivor)
			Eventually(func(check Gomega) {
				now := g.dump(survivor)
				check.Expect(now.ConfirmedAgeMs).To(BeNumerically(">", before.ConfirmedAgeMs))
				check.Expect(now.Relay.Age).To(BeNumerically(">", before.Relay.Age))
			}, eventuallyTimeout).Should(Succeed())
		}
		g.expectNoApproval(survivor, 2)
		// A member that starts without a quorum cannot know the current state.
		g.kill(survivor)
		g.start(survivor)
		Eventually(rollout, eventuallyTimeout).Should(Equal(operator.RolloutUnknown))
		Expect(g.dump(survivor).Relay.Confirmed).To(BeFalse())
		if leads {
			g.start(lost...)
			g.approve(survivor, 3, config("desk-three"))
		}
	},
		Entry("as the former leader", true),
		Entry("as a follower", false),
	)

})

// expectNoApproval expects that an approval through a member does not succeed.
func (g *group) expectNoApproval(id string, version uint64) {
	_, err := g.clientWithTimeout(id, 1, 300*time.Millisecond).Approve(context.Background(), g.request("ana", version, config("desk")))
	Expect(errors.IsAny(err, operator.ErrNoQuorum, operator.ErrNotLeader, operator.ErrOutcomeUnknown)).
		To(BeTrue(), "%v", err)
}
