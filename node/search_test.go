package node_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/node"
)

var _ = Describe("a call that meets an upstream without a free slot", func() {
	// Replays two ingresses that each send a call at the same time, for two upstreams with one slot each: both must run at
	// once, wherever the first attempt of each goes.
	It("starts on another one that has a free slot", func() {
		member := newFakeLedger().server.Address()
		var ingresses []*node.Node
		var callers []*fixture
		for _, id := range []string{"ingress-1", "ingress-2"} {
			ingress, address, _ := startNode(id, member, func(o *node.Options) { o.Limits.MaxReturns = 2 })
			ingresses = append(ingresses, ingress)
			callers = append(callers, &fixture{callers: address, client: &http.Client{}})
		}
		// met lets two calls pass that run at the same time.
		met := make(chan struct{})
		var alone atomic.Int64
		for _, id := range []string{"first", "second"} {
			upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				select {
				case met <- struct{}{}:
				case <-met:
				case <-time.After(time.Second):
					alone.Add(1)
				}
			}))
			DeferCleanup(upstream.Close)
			executor, _, _ := startNode(id, member)
			Expect(executor.AcceptUpstream(node.Announcement{
				Service: "desk", Address: strings.TrimPrefix(upstream.URL, "http://"), Slots: 1,
			})).To(Succeed())
			Eventually(func() bool { _, ok := executor.OwnRecord(); return ok }, eventuallyTimeout).Should(BeTrue())
			record, _ := executor.OwnRecord()
			Expect(executor.MergeEndpoint(record)).To(Succeed())
			for _, ingress := range ingresses {
				Expect(ingress.MergeEndpoint(record)).To(Succeed())
			}
		}
		for range 8 {
			var calls sync.WaitGroup
			for _, f := range callers {
				calls.Go(func() {
					defer GinkgoRecover()
					result := f.send(context.Background(), "/lookup", nil)
					Expect(result.err).NotTo(HaveOccurred())
					Expect(result.status).To(Equal(http.StatusOK))
				})
			}
			calls.Wait()
			Expect(alone.Load()).To(BeZero(), "one call has waited for the other")
		}
	})
})

var _ = Describe("the attempts of a call", func() {
	// Replays attempts that end at other upstreams than they were sent to, while others run on their own goroutines, which read
	// what they exclude.
	It("do not share the list of upstreams that were tried", func() {
		ingress, _, _ := startNode("ingress", newFakeLedger().server.Address())
		for _, id := range []string{"a", "b", "c", "d"} {
			Expect(ingress.MergeEndpoint(endpoints.Record{
				ID: id, Incarnation: 1, Sequence: 1, Service: "desk", Address: "127.0.0.1:1", State: endpoints.Serving, Slots: 1,
			})).To(Succeed())
		}
		before, after := ingress.ExcludedByAttempts("desk", []string{"1", "2", "3", "4"})
		Expect(before).To(HaveLen(4))
		Expect(after).To(Equal(before))
	})
})

var _ = Describe("a heartbeat that announces a warm-up", func() {
	heartbeat := func(sequence uint64, warmup time.Duration, started time.Time) node.Heartbeat {
		return node.Heartbeat{
			Announcement: node.Announcement{
				Service: "desk", Address: "127.0.0.1:1", Slots: 9, ID: "u", Incarnation: started.UnixMilli(),
			},
			Sequence: sequence, Warmup: warmup,
		}
	}

	// Replays an upstream that starts, and one beside which only the node has started.
	DescribeTable("decides whether the start of the upstream is paced", func(warmup, age time.Duration, slots int, paced bool) {
		executor, _, _ := startNode("executor", newFakeLedger().server.Address())
		upstream := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(upstream.Close)
		h := heartbeat(1, warmup, time.Now().Add(-age))
		h.Announcement.Address = strings.TrimPrefix(upstream.URL, "http://")
		Expect(executor.Heartbeat(h)).To(Succeed())
		Eventually(func() bool { _, ok := executor.OwnRecord(); return ok }, eventuallyTimeout).Should(BeTrue())
		record, _ := executor.OwnRecord()
		Expect(record.Paced).To(Equal(paced))
		Expect(executor.Load().Slots).To(Equal(slots))
	},
		Entry("cold: a third of the slots", 3*time.Second, time.Second, 3, true),
		Entry("warm for long: all slots, and no slow start at others", time.Duration(0), time.Hour, 9, true),
		Entry("just started, without a warm-up: the slow start of the others", time.Duration(0), time.Second, 9, false),
	)
})
