package relay_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/release"
)

var _ = Describe("rollouts of a release", func() {
	knows := func(h *host, revision uint64) bool {
		known := h.peer.Rollouts()
		return len(known) == 1 && known[0].Revision == revision
	}

	It("reach all nodes within a second, and a node that starts again with its join", func() {
		s := settledMesh(7, 3, 20)
		change := func(revision uint64) {
			s.rollouts = append(s.rollouts, release.Rollout{Service: "rank", Release: "v2", State: release.Running, Revision: revision})
		}
		change(5)
		allKnow := func(revision uint64) func() bool {
			return func() bool {
				return !slices.ContainsFunc(s.nodes(), func(h *host) bool { return !knows(h, revision) })
			}
		}
		Expect(s.await(5*time.Second, allKnow(5))).To(BeNumerically("<=", time.Second))
		node := s.hosts["n1-007"]
		s.kill(node)
		// The former process's children keep what they know.
		change(9)
		s.run(s.now + 2*time.Second)
		s.start(node)
		Expect(node.peer.Rollouts()).To(BeEmpty())
		s.await(20*time.Second, allKnow(9))
		Expect(allKnow(9)()).To(BeTrue())
	})

	// Guards against a judge that knows only the results of its own part of the tree, or an old revision that replaces
	// a later one.
	It("send the results of each node to every member once, and keep the greatest revision", func() {
		s := settledMesh(8, 3, 20)
		for _, h := range s.nodes() {
			h.peer.ReportResults(s.localTime(h), release.Results{Node: h.id, Sequence: 1, Service: "rank"})
			s.handleOutputs(h)
		}
		s.run(s.now + time.Second)
		for _, member := range s.members {
			received := slices.Clone(s.hosts[member.ID].results)
			slices.Sort(received)
			Expect(received).To(HaveLen(len(s.nodes())))
			Expect(slices.Compact(received)).To(HaveLen(len(s.nodes())))
		}
		s.rollouts = []release.Rollout{{Service: "rank", Revision: 9}}
		s.run(s.now + time.Second)
		s.rollouts = []release.Rollout{{Service: "rank", Revision: 5}, {Service: "rank", Revision: 6}}
		s.run(s.now + time.Second)
		for _, h := range s.nodes() {
			Expect(knows(h, 9)).To(BeTrue())
		}
	})
})
