package control_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

var _ = Describe("The owner of the quotas", func() {
	It("is the leader; after its loss the next one lends no more than the limit allows", func() {
		const rate, burst = 40, 20
		g := formGroup("a", "b", "c")
		leader, followers := g.leader()
		limited := config("desk")
		limited.Teams = []bundle.Team{{Name: "agency", Keys: []string{"k"}, RequestsPerSecond: rate, Burst: burst}}
		bundle.Canonicalize(limited)
		g.approve(leader, 1, limited)
		pool := rpc.NewPool(nil, nil)
		DeferCleanup(pool.Close)
		addresses := make(map[string]string)
		for _, id := range g.Members() {
			dump := g.dump(id)
			member, _ := dump.Groups[0].Raft.Membership.Find(dump.Groups[0].Raft.ID)
			addresses[id] = member.Address
		}
		ask := func(id string) *quota.Reply {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			reply, err := pool.Lend(ctx, addresses[id], &quota.Request{Node: "n", Asks: []quota.Ask{{Team: "agency", Need: 1000}}})
			if err != nil {
				return &quota.Reply{}
			}
			return reply
		}
		// The version is acknowledged shortly before its limits are in force.
		Eventually(func() bool {
			reply := ask(leader)
			return reply.IsOwner && reply.Grants[0].Tokens <= burst
		}, eventuallyTimeout).Should(BeTrue())
		Expect(ask(followers[0])).To(HaveField("IsOwner", false))
		Expect(ask(followers[0]).Owner).To(Equal(addresses[leader]))

		started, lent := time.Now(), 0
		collect := func(id string) bool {
			reply := ask(id)
			for _, grant := range reply.Grants {
				lent += grant.Tokens
			}
			return reply.IsOwner
		}
		for time.Since(started) < time.Second {
			collect(leader)
		}
		g.kill(leader)
		Eventually(func() bool { return collect(followers[0]) || collect(followers[1]) }, eventuallyTimeout).Should(BeTrue())
		for again := time.Now(); time.Since(again) < time.Second; {
			collect(followers[0])
			collect(followers[1])
		}
		Expect(lent).To(BeNumerically(">", rate), "both owners lend")
		Expect(float64(lent)).To(BeNumerically("<=", rate*time.Since(started).Seconds()+burst))
	})
})
