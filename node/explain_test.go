package node_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Guards against an explanation that differs from what happens to a request.
var _ = Describe("the explanation of a request", func() {
	get := func(admin, path string, into any) int {
		GinkgoHelper()
		response, err := http.Get("http://" + admin + path)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		if response.StatusCode == http.StatusOK {
			Expect(json.NewDecoder(response.Body).Decode(into)).To(Succeed())
		}
		return response.StatusCode
	}
	explain := func(admin, path, team string) (x node.Explanation) {
		GinkgoHelper()
		query := url.Values{"path": {path}, "method": {http.MethodPost}, "team": {team}}
		Expect(get(admin, node.PathExplain+"?"+query.Encode(), &x)).To(Equal(http.StatusOK))
		return x
	}
	// expectRefusal compares an explanation with the response to such a request.
	expectRefusal := func(x node.Explanation, result callResult, reason protocol.Reason) {
		GinkgoHelper()
		Expect(x.Refused).To(Equal(reason))
		Expect(x.Target).To(BeEmpty())
		Expect(result.header.Get(protocol.HeaderReason)).To(Equal(string(reason)))
		Expect(result.status).To(Equal(x.Status))
		Expect(result.header.Get("Retry-After") != "").To(Equal(x.RetryAfterMs > 0))
	}
	noop := func(http.ResponseWriter, *http.Request) {}

	It("names the upstream to which a real request goes, and what ruled the others out", func() {
		var ran atomic.Int32
		f := newFixture(false, newFakeLedger().server.Address(), 4, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
		ingress, callers, admin := startNode("ingress", "127.0.0.1:1")
		record, _ := f.executor.OwnRecord()
		Expect(ingress.MergeEndpoint(record)).To(Succeed())
		record.ID, record.State = "suspect-one", endpoints.Suspect
		Expect(ingress.MergeEndpoint(record)).To(Succeed())
		x := explain(admin, "/lookup/7?a=b", "")
		Expect(x.Refused).To(BeEmpty())
		Expect(x.Target).To(Equal("executor"))
		Expect(x.Route.Name).To(Equal("lookup"))
		Expect(x.OwnUpstream).To(BeNil())
		Expect(x.Candidates[1].RuledOut).To(Equal(balance.NotServing))
		Expect(ran.Load()).To(BeZero())
		f.callers = callers
		Expect(f.post("/lookup/7?a=b", "").status).To(Equal(http.StatusOK))
		Expect(ran.Load()).To(BeEquivalentTo(1))
	})

	It("gives the reason for which a real request is refused", func() {
		f := newFixture(false, newFakeLedger().server.Address(), 4, noop)
		expectRefusal(explain(f.admin, "/nowhere", ""), f.post("/nowhere", ""), protocol.ReasonNoRoute)
		Expect(f.executor.PutInForce(bundle.Approval{Version: 2}, teamBundle(bundle.Team{Name: "alpha", Keys: []string{"k"}}))).To(Succeed())
		expectRefusal(explain(f.admin, "/lookup", ""), f.post("/lookup", ""), protocol.ReasonUnknownKey)
		Expect(explain(f.admin, "/lookup", "alpha").Target).To(Equal("executor"))
		Expect(get(f.admin, node.PathExplain+"?path=/lookup&team=beta", nil)).To(Equal(http.StatusNotFound))
		Expect(get(f.admin, node.PathExplain+"?path=lookup", nil)).To(Equal(http.StatusBadRequest))
		var admin string
		_, f.callers, admin = startNode("ingress", "127.0.0.1:1")
		expectRefusal(explain(admin, "/lookup", ""), f.post("/lookup", ""), protocol.ReasonNoUpstream)
	})

	It("tells that the call would wait at the upstream beside the node, or be refused there", func() {
		release := make(chan struct{})
		f := newFixture(false, newFakeLedger().server.Address(), 1, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/lookup/held" {
				<-release
			}
			time.Sleep(100 * time.Millisecond)
		})
		b := testBundle()
		for i := range b.Routes {
			if b.Routes[i].Name == "small" {
				b.Routes[i].TargetMs = 250
			}
		}
		Expect(f.executor.PutInForce(bundle.Approval{Version: 2}, b)).To(Succeed())
		began := time.Now()
		Expect(f.post("/small", "").status).To(Equal(http.StatusOK))
		took := time.Since(began)
		held := f.async(context.Background(), "/lookup/held", "")
		defer func() { close(release); Expect((<-held).status).To(Equal(http.StatusOK)) }()
		Eventually(f.executor.InFlight, eventuallyTimeout).Should(Equal(1))
		waits := explain(f.admin, "/lookup", "")
		Expect(waits.OwnUpstream.Decision).To(Equal("wait"))
		// The wait is the service time of the only call so far, which took at least its 100 ms and at most took.
		Expect(waits.OwnUpstream.WaitMs).To(BeNumerically(">=", 100))
		Expect(waits.OwnUpstream.WaitMs).To(BeNumerically("<=", float64(took.Microseconds())/1000))
		Expect(waits.Target).To(Equal("executor"))
		refused := explain(f.admin, "/small", "")
		Expect(refused.OwnUpstream.Decision).To(Equal("refuse"))
		Expect(f.executor.InFlight()).To(Equal(1))
		expectRefusal(refused, f.post("/small", ""), protocol.ReasonShed)
	})

	It("spends no token, and gives the reason of a quota that is used up", func() {
		team := bundle.Team{Name: "agency", Keys: []string{"key-of-agency"}, RequestsPerSecond: 1, Burst: 10}
		owner := newFakeOwner(quota.LimitsOf([]bundle.Team{team}))
		f := newFixture(false, newFakeLedger().server.Address(), 4, noop)
		ingress, callers, admin := startNode("ingress", owner.server.Address(), func(o *node.Options) { o.QuotaBounds = quotaBounds })
		record, _ := f.executor.OwnRecord()
		Expect(ingress.MergeEndpoint(record)).To(Succeed())
		Expect(ingress.PutInForce(bundle.Approval{Version: 2}, teamBundle(team))).To(Succeed())
		f.callers = callers
		counts := func() quota.HolderCounts {
			var dump node.Dump
			Expect(get(admin, node.PathDump, &dump)).To(Equal(http.StatusOK))
			return dump.Quotas[0].Counts
		}
		Expect(explain(admin, "/lookup", "agency").Team.Quota).To(Equal("asks-owner"))
		Expect(counts()).To(Equal(quota.HolderCounts{}))
		send := func() callResult { return f.post("/lookup", "", "Authorization", "Bearer key-of-agency") }
		Expect(send().status).To(Equal(http.StatusOK))
		Eventually(func() int { return send().status }, eventuallyTimeout).Should(Equal(http.StatusTooManyRequests))
		before := counts()
		x := explain(admin, "/lookup", "agency")
		Expect(counts()).To(Equal(before))
		Expect(x.Team.Quota).To(Equal("refused"))
		expectRefusal(x, send(), protocol.ReasonQuota)
	})

	It("takes no turn of a split", func() {
		f := newFixture(false, newFakeLedger().server.Address(), 4, noop)
		b := testBundle()
		b.Services = append(b.Services, bundle.Service{Name: "other"})
		for i := range b.Routes {
			if b.Routes[i].Name == "lookup" {
				b.Routes[i].Service, b.Routes[i].Split = "", []bundle.Share{{Service: "desk", Weight: 1}, {Service: "other", Weight: 1}}
			}
		}
		bundle.Canonicalize(b)
		Expect(f.executor.PutInForce(bundle.Approval{Version: 2}, b)).To(Succeed())
		for range 6 {
			x := explain(f.admin, "/lookup", "")
			Expect(explain(f.admin, "/lookup", "").Service).To(Equal(x.Service))
			result := f.send(context.Background(), "/lookup", io.Reader(nil))
			Expect(result.status == http.StatusOK).To(Equal(x.Service == "desk"))
		}
	})
})
