package naive

import (
	"context"
	"crypto/ed25519"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/experiment"
	"sapphiregate.example/sapphiregate/experiment/standin"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/shape"
)

func TestNaive(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "naive")
}

var _ = ginkgo.Describe("Deployment", func() {
	// Guards against a baseline that does not react to faults as experiment.Deployment requires, so that comparisons
	// with it would be invalid: a restarted node must receive the bundle and the upstreams again on its old addresses,
	// and a replaced control process must have lost its state and accept new versions.
	ginkgo.It("serves calls after a node restarts, and loses its state when the control process is replaced", func(ctx ginkgo.SpecContext) {
		const operator = "operator"
		profile, err := experiment.FindProfile("kalasag")
		Expect(err).NotTo(HaveOccurred())
		signed := func(version uint64) experiment.Signed {
			b := profile.Bundle(version)
			_, manifest, err := bundle.Split(b)
			Expect(err).NotTo(HaveOccurred())
			return experiment.Signed{
				Bundle:   b,
				Approval: bundle.Approval{Version: version, Digest: manifest.Digest(), Operator: operator},
			}
		}
		network := shape.NewNetwork(1)
		ginkgo.DeferCleanup(network.Close)
		profile.Shape(network, shape.Link{})
		members, nodes := profile.Members(), profile.Nodes(0)
		d, err := New(experiment.Spec{
			Profile: profile, Network: network, Members: members, Nodes: nodes, Initial: signed(1),
			Operators: map[string]ed25519.PrivateKey{operator: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))},
		})
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(d.Close)
		Expect(d.Start(ctx)).To(Succeed())
		address := d.Address(nodes[0].ID)
		options := profile.Upstream(1)
		options.ID, options.Service, options.NodeID = "upstream", nodes[0].Service, nodes[0].ID
		options.NodeAdminAddress, options.NodeAddress, options.Recorder = address.Admin, address.HTTP, &standin.Recorder{}
		upstream := standin.New(options)
		Expect(upstream.Start()).To(Succeed())
		ginkgo.DeferCleanup(upstream.Close)
		outcome := func(node string) string {
			path := experiment.RoutePath(nodes[0].Service, bundle.ClassLookup)
			response, err := http.Get("http://" + d.Address(node).HTTP + path)
			if err != nil {
				return err.Error()
			}
			defer response.Body.Close()
			return response.Header.Get(standin.HeaderOutcome)
		}
		version := func(node string) uint64 {
			applied, _ := d.InForce(node)
			return applied.Version
		}
		const limit = 10 * time.Second
		last := nodes[len(nodes)-1].ID
		Eventually(outcome, limit).WithArguments(last).Should(Equal("done"))

		Expect(d.KillNode(last)).To(Succeed())
		Expect(version(last)).To(BeZero())
		Expect(d.StartNode(ctx, last)).To(Succeed())
		Eventually(version, limit).WithArguments(last).Should(BeEquivalentTo(1))
		Eventually(outcome, limit).WithArguments(last).Should(Equal("done"))

		_, err = d.ReplaceMember(ctx, members[0].ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.StopNode(ctx, last)).To(Succeed())
		Expect(d.StartNode(ctx, last)).To(Succeed())
		Consistently(version, 2*controlInterval).WithArguments(last).Should(BeZero())
		Eventually(func() (experiment.Verdict, error) {
			attempt, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			return d.Approve(attempt, members[1].ID, signed(2))
		}, limit).Should(HaveField("Accepted", true))
		for _, node := range nodes {
			Eventually(version, limit).WithArguments(node.ID).Should(BeEquivalentTo(2))
		}
	}, ginkgo.SpecTimeout(time.Minute))
})
