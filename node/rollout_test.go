package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/state/release"
)

var _ = Describe("an executor during a rollout of its release", func() {
	var f *fixture
	var runs atomic.Int64
	revision := uint64(0)
	set := func(n *node.Node, state release.State, share int) {
		revision++
		Expect(n.SetRollout(release.Rollout{
			Service: "desk", Release: "v2", State: state, Share: share, Started: 1, Revision: revision,
		})).To(Succeed())
	}
	BeforeEach(func() {
		runs.Store(0)
		f = newFixture(true, "127.0.0.1:9", 4, func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1)%4 == 0 {
				w.WriteHeader(http.StatusInternalServerError)
			}
			fmt.Fprint(w, "ok")
		})
		f.announceRelease("v2")
	})

	// Guards against calls of a node that has not heard of the verdict yet.
	It("refuses calls as not run once it is rolled back, and runs them otherwise", func() {
		set(f.executor, release.Running, 50)
		Expect(f.post("/lookup", "").outcome()).To(Equal("done"))
		set(f.executor, release.RolledBack, 0)
		before := runs.Load()
		result := f.post("/lookup", "")
		Expect(result.outcome()).To(Equal("not-run"))
		Expect(result.status).To(Equal(http.StatusServiceUnavailable))
		Expect(runs.Load()).To(Equal(before))
		set(f.executor, release.Completed, release.FullShare)
		Expect(f.post("/lookup", "").outcome()).To(Equal("done"))
	})

	It("counts calls and failures by route while the rollout runs, and anew for the next one", func() {
		f.post("/lookup", "")
		_, reports := f.executor.Results()
		Expect(reports).To(BeFalse())
		set(f.executor, release.Running, 50)
		for range 8 {
			f.post("/lookup", "")
		}
		f.post("/small", "")
		results, reports := f.executor.Results()
		Expect(reports).To(BeTrue())
		Expect(results.Release).To(Equal("v2"))
		byRoute := make(map[string]release.RouteResults)
		for _, r := range results.Routes {
			byRoute[r.Route] = r
		}
		Expect(byRoute["lookup"].Calls).To(BeNumerically(">=", 8))
		Expect(byRoute["lookup"].Failures).To(BeNumerically(">=", 2))
		Expect(byRoute["lookup"].Timed).To(Equal(byRoute["lookup"].Calls - byRoute["lookup"].Failures))
		Expect(byRoute["small"].Calls).To(Equal(uint64(1)))
		Expect(f.executor.SetRollout(release.Rollout{
			Service: "desk", Release: "v3", State: release.Running, Started: 100, Revision: 100,
		})).To(Succeed())
		results, _ = f.executor.Results()
		Expect(results.Routes).To(BeEmpty())
	})
})

var _ = DescribeTable("a node's rule for a release", func(state release.State, share int, stale bool, expected balance.ReleaseRule) {
	expected.Release = "v2"
	rule := node.ReleaseRule(release.Rollout{Release: "v2", State: state, Share: share, Focus: 3}, stale)
	Expect(rule).To(Equal(expected))
},
	Entry("running", release.Running, 50, false, balance.ReleaseRule{Share: 0.05, Focus: 3}),
	Entry("running, without a recent confirmation", release.Running, 50, true, balance.ReleaseRule{Forbidden: true}),
	Entry("running with all calls, without a recent confirmation", release.Running, 1000, true, balance.ReleaseRule{Share: 1, Focus: 3}),
	Entry("completed, without a recent confirmation", release.Completed, 1000, true, balance.ReleaseRule{Share: 1}),
	Entry("rolled back", release.RolledBack, 0, false, balance.ReleaseRule{Forbidden: true}),
	Entry("rolled back from all calls", release.RolledBack, 1000, true, balance.ReleaseRule{Forbidden: true}),
)

// announceRelease replaces the upstream's announcement by one with a release.
func (f *fixture) announceRelease(name string) {
	Expect(f.executor.AcceptUpstream(node.Announcement{
		Service: "desk", Address: strings.TrimPrefix(f.upstream.URL, "http://"), Slots: 4, Release: name,
	})).To(Succeed())
	Eventually(func() string { record, _ := f.executor.OwnRecord(); return record.Release }, eventuallyTimeout).Should(Equal(name))
	record, _ := f.executor.OwnRecord()
	Expect(f.ingress.MergeEndpoint(record)).To(Succeed())
}
