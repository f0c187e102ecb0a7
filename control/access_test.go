package control_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/experiment"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

var _ = Describe("A version that needs keys and has no team", func() {
	// Guards against a mesh that opens because a process reads the version from another source than the one that accepted it.
	It("is the same on members that restart or take over, and on nodes that start", func() {
		g := formGroupWith([]experiment.NodeSpec{{ID: "n", Zone: "za"}, {ID: "later", Zone: "za"}}, "a", "b", "c")
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		version := uint64(0)
		approve := func(access bundle.Access, teams ...bundle.Team) {
			b := config("desk")
			b.Routes = []bundle.Route{{Name: "r", Service: "desk", Class: bundle.ClassLookup, DeadlineMs: 500, Match: bundle.Match{PathPrefix: "/"}}}
			b.Access, b.Teams = access, teams
			version++
			leader, _ := g.leader()
			g.approve(leader, version, b)
		}
		refuses := func(id string, reason protocol.Reason) {
			GinkgoHelper()
			Eventually(func() string { return g.refusalOf(ctx, id) }, eventuallyTimeout).Should(Equal(string(reason)))
		}
		approve(bundle.AccessKeys, bundle.Team{Name: "agency", Keys: []string{"k"}})
		Expect(g.StartNode(ctx, "n")).To(Succeed())
		refuses("n", protocol.ReasonNoUpstream)
		approve(bundle.AccessKeys)
		refuses("n", protocol.ReasonUnknownKey)

		former, _ := g.leader()
		g.kill(former)
		Eventually(func() bool { leader, ok := g.Leader(); return ok && leader != former }, eventuallyTimeout).Should(BeTrue())
		Expect(g.StartNode(ctx, "later")).To(Succeed())
		refuses("later", protocol.ReasonUnknownKey)
		approve(bundle.AccessOpen)
		refuses("later", protocol.ReasonNoUpstream)
		approve(bundle.AccessKeys)
		refuses("later", protocol.ReasonUnknownKey)

		g.start(former)
		g.kill(g.Members()...)
		g.start(g.Members()...)
		Expect(g.KillNode("n")).To(Succeed())
		Expect(g.StartNode(ctx, "n")).To(Succeed())
		refuses("n", protocol.ReasonUnknownKey)
		refuses("later", protocol.ReasonUnknownKey)
	})
})
