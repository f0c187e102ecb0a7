package control_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/control"
	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/experiment"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

var _ = Describe("A control process without a vote", func() {
	var g *selfManagedGroup
	BeforeEach(func() {
		g = &selfManagedGroup{voters: 3, electionTimeout: 300 * time.Millisecond, heartbeatInterval: 50 * time.Millisecond}
		g.form()
		g.put(1, 0)
	})
	leader := func() (address string) {
		Eventually(func() bool {
			for i, m := range g.members {
				if _, leads := m.Leads(); leads {
					address = g.addresses[i]
				}
			}
			return address != ""
		}, eventuallyTimeout).Should(BeTrue())
		return address
	}
	outside := func() (list []*control.Member) {
		for _, m := range g.members {
			if !m.Lists(m.ID()) {
				list = append(list, m)
			}
		}
		return list
	}
	namesOwner := func(m *control.Member) string {
		reply, err := m.Lend(context.Background(), &quota.Request{Node: "n"})
		Expect(err).NotTo(HaveOccurred())
		return reply.Owner
	}

	// Guards against nodes that refuse the requests of teams with quotas because the seeds that they ask have no vote.
	It("names the owner of the quotas, and passes orders on to the leader", func() {
		Eventually(outside, eventuallyTimeout).Should(HaveLen(2))
		m := outside()[0]
		Eventually(func() string { return namesOwner(m) }, eventuallyTimeout).Should(Equal(leader()))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := m.Put(ctx, control.PutRequest{Version: 2, Base: 1, Operator: "ops", Bundle: config("desk")})
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a node that takes such a process's ignorance for the word of a member that there is no owner.
	It("says that it does not know, if it knows none", func() {
		g.seeds = []string{g.addresses[3]}
		for _, m := range g.members[:3] {
			m.Kill()
		}
		g.restartWithEmptyDisk(3)
		Eventually(func() bool {
			reply, err := g.members[3].Lend(context.Background(), &quota.Request{Node: "n"})
			return err == nil && reply.Owner == "" && reply.Outside
		}, eventuallyTimeout).Should(BeTrue())
	})

	// Guards against a process that knows no member after its restart, because all seeds are without a vote.
	It("hears of the members from the leader if the seeds name no member", func() {
		Eventually(outside, eventuallyTimeout).Should(HaveLen(2))
		g.seeds = nil
		for i, m := range g.members {
			if !m.Lists(m.ID()) {
				g.seeds = append(g.seeds, g.addresses[i])
			}
		}
		for i, m := range g.members {
			if !m.Lists(m.ID()) {
				g.restartWithEmptyDisk(i)
			}
		}
		for _, m := range outside() {
			Eventually(func() string { return namesOwner(m) }, eventuallyTimeout).Should(Equal(leader()))
		}
	})
})

var _ = Describe("A node", func() {
	// Guards against a node that asks only the members of its settings for the owner of the quotas, when all of these have been
	// replaced while it ran.
	It("reaches the owner of the quotas after all first members have been replaced", func() {
		g := formGroupWith([]experiment.NodeSpec{{ID: "n", Zone: "za"}}, "a", "b", "c")
		b := config("desk")
		b.Routes = []bundle.Route{{Name: "r", Service: "desk", Class: bundle.ClassLookup, DeadlineMs: 500, Match: bundle.Match{PathPrefix: "/"}}}
		b.Teams = []bundle.Team{{Name: "agency", Keys: []string{"k"}, RequestsPerSecond: 100, Burst: 100}}
		bundle.Canonicalize(b)
		g.approve("a", 1, b)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		Expect(g.StartNode(ctx, "n")).To(Succeed())
		// There is no upstream: a request that the quota lets in is refused for another reason.
		reason := func() string { return g.refusalOf(ctx, "n") }
		letIn := Equal(string(protocol.ReasonNoUpstream))
		Eventually(reason, eventuallyTimeout).Should(letIn)
		for _, id := range []string{"a", "b", "c"} {
			g.kill(id)
			_, err := g.ReplaceMember(ctx, id)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(reason, eventuallyTimeout).Should(letIn)
		Consistently(reason, time.Second).Should(letIn)
	})
})
