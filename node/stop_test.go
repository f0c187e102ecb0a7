package node_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// withLeaveNotice sets a notice that is long enough for requests during it, also on a busy machine.
func withLeaveNotice(o *node.Options) { o.Limits.LeaveNotice = 2 * time.Second }

var _ = Describe("stop", func() {
	// Guards against a stop that runs out of time and closes callers' connections without a response.
	DescribeTable("answers the requests that are still in flight when its time runs out",
		func(remote bool, path string, header ...string) {
			upstream := newBlockingUpstream()
			f := newFixture(remote, newFakeLedger().server.Address(), 1, upstream.ServeHTTP)
			running := f.async(context.Background(), path, "", header...)
			Eventually(upstream.runs.Load, eventuallyTimeout).Should(BeEquivalentTo(1))
			var queued <-chan callResult
			if remote {
				queued = f.async(context.Background(), "/lookup", "")
				Eventually(f.executor.InFlight, eventuallyTimeout).Should(Equal(2))
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			Expect(f.ingress.Stop(ctx)).To(HaveOccurred(), "Stop must report the requests that it gave up")
			got := <-running
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusBadGateway))
			Expect(got.outcome()).To(Equal("unknown"))
			Expect(got.header.Get(protocol.HeaderReason)).To(BeEquivalentTo(protocol.ReasonDraining))
			if !remote {
				return
			}
			got = <-queued
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.header.Get(protocol.HeaderReason)).To(BeEquivalentTo(protocol.ReasonDraining))
			if got.outcome() == "not-run" {
				// The other node's proof can come just before the request is given up.
				Expect(got.status).To(Equal(http.StatusServiceUnavailable))
				Expect(upstream.runs.Load()).To(BeEquivalentTo(1))
				return
			}
			Expect(got.outcome()).To(Equal("unknown"))
			Expect(got.status).To(Equal(http.StatusBadGateway))
		},
		Entry("a lookup on the own upstream", false, "/lookup"),
		Entry("an irreversible call on the own upstream", false, "/promote", keyHeader, "k1"),
		Entry("a lookup through another node", true, "/lookup"),
		Entry("an irreversible call through another node", true, "/promote", keyHeader, "k1"),
	)

	// Guards against a stop that gives up running requests long before the instance ends the process, or after that.
	It("gives up a running request in the last sixth of its time, whatever that is", func() {
		var stops sync.WaitGroup
		for _, grace := range []time.Duration{2 * time.Second, 6 * time.Second, 10 * time.Second} {
			upstream := newBlockingUpstream()
			f := newFixture(true, newFakeLedger().server.Address(), 1, upstream.ServeHTTP)
			running := f.async(context.Background(), "/lookup", "")
			Eventually(upstream.runs.Load, eventuallyTimeout).Should(BeEquivalentTo(1))
			stops.Go(func() {
				defer GinkgoRecover()
				started := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), grace)
				defer cancel()
				stopped := make(chan error, 1)
				go func() { stopped <- f.ingress.Stop(ctx) }()
				got := <-running
				Expect(time.Since(started)).To(BeNumerically(">=", grace*5/6), "grace period %v", grace)
				Expect(got.err).NotTo(HaveOccurred())
				Expect(got.header.Get(protocol.HeaderReason)).To(BeEquivalentTo(protocol.ReasonDraining))
				Expect(<-stopped).To(HaveOccurred())
				Expect(time.Since(started)).To(BeNumerically("<", grace), "grace period %v", grace)
			})
		}
		stops.Wait()
	})

	// Guards against a request that is accepted during a stop and waits for longer than the stop may take.
	It("gives the calls that it accepts while it stops no more time than it has left", func() {
		var given atomic.Int64
		f := newFixture(true, newFakeLedger().server.Address(), 4, func(_ http.ResponseWriter, r *http.Request) {
			left, _ := strconv.ParseInt(r.Header.Get(protocol.HeaderDeadline), 10, 64)
			given.Store(left)
		}, withLeaveNotice)
		Expect(f.post("/lookup", "").status).To(Equal(http.StatusOK))
		Expect(given.Load()).To(BeNumerically(">", 10_000))
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- f.ingress.Stop(ctx) }()
		Eventually(f.ingress.Ready, eventuallyTimeout).Should(BeFalse())
		Expect(f.post("/lookup", "").status).To(Equal(http.StatusOK))
		Expect(given.Load()).To(BeNumerically("<", 3000))
		Eventually(stopped, eventuallyTimeout).Should(Receive(BeNil()))
	})

	// Guards against requests that a stopping node accepts from callers who keep their connections, although they can
	// hardly end before it does.
	It("refuses a request whose latency target is later than its end", func() {
		f := newFixture(true, newFakeLedger().server.Address(), 4, func(http.ResponseWriter, *http.Request) {}, withLeaveNotice)
		b := testBundle()
		for i := range b.Routes {
			if b.Routes[i].Name == "small" {
				b.Routes[i].TargetMs = 5000
			}
		}
		Expect(f.ingress.PutInForce(bundle.Approval{Version: 2}, b)).To(Succeed())
		Expect(f.post("/small", "").status).To(Equal(http.StatusOK))
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- f.ingress.Stop(ctx) }()
		Eventually(f.ingress.Ready, eventuallyTimeout).Should(BeFalse())
		Expect(f.post("/lookup", "").status).To(Equal(http.StatusOK))
		refused := f.post("/small", "")
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.outcome()).To(Equal("not-run"))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		Eventually(stopped, eventuallyTimeout).Should(Receive(BeNil()))
	})

	// Guards against the same after the notice, when only the upstream beside the node still needs it for its calls.
	It("accepts requests after its notice only if their deadline comes before its end", func() {
		f := newFixture(true, newFakeLedger().server.Address(), 4, func(http.ResponseWriter, *http.Request) {})
		busy := newBlockingUpstream()
		server := httptest.NewServer(busy)
		DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
		Expect(f.ingress.AcceptUpstream(node.Announcement{
			Service: "desk", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4,
		})).To(Succeed())
		mergeOwnRecord(f.ingress)
		Eventually(func() int32 {
			f.async(context.Background(), "/lookup", "")
			return busy.runs.Load()
		}, eventuallyTimeout).Should(BeNumerically(">", 0))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- f.ingress.Stop(ctx) }()
		Eventually(func() string { return f.post("/lookup", "").header.Get(protocol.HeaderReason) }, eventuallyTimeout).
			Should(BeEquivalentTo(protocol.ReasonDraining))
		Expect(f.post("/lookup", "", protocol.HeaderDeadline, "500").status).To(Equal(http.StatusOK))
		Eventually(stopped, eventuallyTimeout).Should(Receive(HaveOccurred()))
	})

	// Guards against a stop whose time is used up by one caller who does not send the rest of a request, so that the
	// following steps are left out.
	It("does not wait for a request body that does not arrive", func() {
		f := newFixture(true, newFakeLedger().server.Address(), 4, func(http.ResponseWriter, *http.Request) {})
		connection, err := net.Dial("tcp", f.callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(connection.Close)
		_, err = fmt.Fprint(connection, "POST /lookup HTTP/1.1\r\nHost: desk\r\nContent-Length: 10\r\n\r\nhalf")
		Expect(err).NotTo(HaveOccurred())
		Eventually(f.ingress.RequestsInFlight, eventuallyTimeout).Should(Equal(1))
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		Expect(f.ingress.Stop(ctx)).To(HaveOccurred())
		Expect(ctx.Err()).NotTo(HaveOccurred(), "the stop must end before its time does")
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Body.Close()).To(Succeed())
	})

	// Guards against the same for a call without a key, which runs on after its caller has left.
	It("answers a keyless irreversible call on the own upstream when its time runs out", func() {
		upstream := newBlockingUpstream()
		n, callers, address := startCustomDialectNode(upstream.ServeHTTP)
		Expect(sendHeartbeat(n, address, "u1", 1, 1, false)).To(Succeed())
		mergeOwnRecord(n)
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			response, err := http.Post("http://"+callers+"/promote", "text/plain", nil)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			statuses <- response.StatusCode
		}()
		Eventually(upstream.runs.Load, eventuallyTimeout).Should(BeEquivalentTo(1))
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		Expect(n.Stop(ctx)).To(HaveOccurred())
		Eventually(statuses, eventuallyTimeout).Should(Receive(Equal(http.StatusBadGateway)))
	})
})
