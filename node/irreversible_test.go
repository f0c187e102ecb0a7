package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/ledger"
)

// blockingUpstream counts its runs and responds with their number once it is unblocked.
type blockingUpstream struct {
	runs    atomic.Int32
	release chan struct{}
}

func newBlockingUpstream() *blockingUpstream { return &blockingUpstream{release: make(chan struct{})} }

func (u *blockingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	run := u.runs.Add(1)
	select {
	case <-u.release:
	case <-r.Context().Done():
		return
	}
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "run %d", run)
}

func (u *blockingUpstream) unblock() *blockingUpstream {
	close(u.release)
	return u
}

const keyHeader = protocol.HeaderIdempotencyKey

var _ = Describe("irreversible calls", func() {
	for _, remote := range []bool{false, true} {
		path := map[bool]string{false: "on the local upstream", true: "through another node"}[remote]
		Context(path, func() {
			// Guards against a second run when the caller did not get the first response, and against dropping a
			// response whose caller has disconnected.
			It("runs once and returns the first response to a resend", func() {
				ledgerServer, upstream := newFakeLedger(), newBlockingUpstream()
				f := newFixture(remote, ledgerServer.server.Address(), 2, upstream.ServeHTTP)
				ctx, disconnect := context.WithCancel(context.Background())
				first := f.async(ctx, "/promote", "dan 3", keyHeader, "k1")
				Eventually(upstream.runs.Load, eventuallyTimeout).Should(BeEquivalentTo(1))
				disconnect()
				Expect((<-first).err).To(HaveOccurred())
				upstream.unblock()
				Eventually(func() ledger.Status { return ledgerServer.status("k1") }, eventuallyTimeout).Should(Equal(ledger.Done))
				Eventually(f.executor.InFlight, eventuallyTimeout).Should(BeZero())
				for range 2 {
					resent := f.post("/promote", "dan 3", keyHeader, "k1")
					Expect(resent.err).NotTo(HaveOccurred())
					Expect(resent.status).To(Equal(http.StatusCreated))
					Expect(string(resent.body)).To(Equal("run 1"))
					Expect(resent.outcome()).To(Equal("done"))
				}
				Expect(upstream.runs.Load()).To(BeEquivalentTo(1))
			})

			// Guards against "not-run" for a refused attempt if an earlier attempt of the same request ran.
			It("never reports a refused resend as not run", func() {
				ledgerServer, upstream := newFakeLedger(), newBlockingUpstream()
				f := newFixture(remote, ledgerServer.server.Address(), 2, upstream.ServeHTTP)
				first := f.async(context.Background(), "/promote", "dan 3", keyHeader, "k1")
				Eventually(upstream.runs.Load, eventuallyTimeout).Should(BeEquivalentTo(1))
				waiting := f.post("/promote", "dan 3", keyHeader, "k1", protocol.HeaderDeadline, "500")
				Expect(waiting.outcome()).To(Equal("unknown"))
				Expect(waiting.header.Get(protocol.HeaderOutcomeURL)).NotTo(BeEmpty())
				f.withdrawUpstream()
				refused := f.post("/promote", "dan 3", keyHeader, "k1", protocol.HeaderDeadline, "2000")
				Expect(refused.outcome()).To(Equal("unknown"))
				upstream.unblock()
				Expect(string((<-first).body)).To(Equal("run 1"))
				Eventually(func() ledger.Status { return ledgerServer.status("k1") }, eventuallyTimeout).Should(Equal(ledger.Done))
				recorded := f.post("/promote", "dan 3", keyHeader, "k1")
				Expect(recorded.outcome()).To(Equal("done"))
				Expect(string(recorded.body)).To(Equal("run 1"))
				fresh := f.post("/promote", "dan 3", keyHeader, "k2")
				Expect(fresh.outcome()).To(Equal("not-run"))
				Expect(upstream.runs.Load()).To(BeEquivalentTo(1))
			})

			// Guards against a run without a claim.
			It("reports unknown and does not run when the ledger is unreachable", func() {
				closed := listen()
				Expect(closed.Close()).To(Succeed())
				upstream := newBlockingUpstream().unblock()
				f := newFixture(remote, closed.Addr().String(), 2, upstream.ServeHTTP)
				got := f.post("/promote", "dan 3", keyHeader, "k1", protocol.HeaderDeadline, "500")
				Expect(got.err).NotTo(HaveOccurred())
				Expect(got.outcome()).To(Equal("unknown"))
				Expect(got.status).To(BeNumerically(">=", 500))
				Expect(upstream.runs.Load()).To(BeZero())
			})
		})
	}

	// Guards against a call that is neither run nor released because the reply to its granted claim was lost.
	It("runs once when the ledger's reply to the claim is lost", func() {
		ledgerServer, upstream := newFakeLedger(), newBlockingUpstream().unblock()
		ledgerServer.lostClaimReplies = 1
		f := newFixture(true, ledgerServer.server.Address(), 2, upstream.ServeHTTP)
		Expect(string(f.post("/promote", "dan 3", keyHeader, "k1").body)).To(Equal("run 1"))
		Expect(string(f.post("/promote", "dan 3", keyHeader, "k1").body)).To(Equal("run 1"))
		Expect(upstream.runs.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a claim that is kept after the upstream's refusal: every resend would get "unknown".
	It("releases the claim of a call that the upstream refused", func() {
		ledgerServer := newFakeLedger()
		f := newFixture(false, ledgerServer.server.Address(), 2, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(protocol.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		Expect(f.post("/promote", "dan 3", keyHeader, "k1").outcome()).To(Equal("not-run"))
		Expect(ledgerServer.status("k1")).To(Equal(ledger.Released))
	})

	// Guards against two requests under one key, and against irreversible calls without a key.
	It("refuses a request without a key, with a key that is too long, or with the key of another request", func() {
		upstream := newBlockingUpstream().unblock()
		f := newFixture(false, newFakeLedger().server.Address(), 2, upstream.ServeHTTP)
		Expect(f.post("/promote", "dan 3").status).To(Equal(http.StatusBadRequest))
		Expect(f.post("/promote", "dan 3", keyHeader, strings.Repeat("k", 257)).status).To(Equal(http.StatusBadRequest))
		Expect(upstream.runs.Load()).To(BeZero())
		Expect(f.post("/promote", "dan 3", keyHeader, "k1").status).To(Equal(http.StatusCreated))
		reused := f.post("/promote", "dan 4", keyHeader, "k1")
		Expect(reused.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(reused.outcome()).To(Equal("not-run"))
		Expect(upstream.runs.Load()).To(BeEquivalentTo(1))
	})

	// Guards against running a request again after its response was truncated: it may have run.
	It("reports unknown after a truncated response and runs nothing again", func() {
		var runs atomic.Int32
		f := newFixture(true, newFakeLedger().server.Address(), 2, func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			sendTruncated(w, 10, 1000)
		})
		for _, deadline := range []string{"15000", "1000"} {
			got := f.post("/promote", "dan 3", keyHeader, "k1", protocol.HeaderDeadline, deadline)
			Expect(got.outcome()).To(Equal("unknown"))
		}
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})
})

func (f *fixture) withdrawUpstream() {
	request, err := http.NewRequest(http.MethodDelete, "http://"+f.admin+"/v1/upstream", nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := f.client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusAccepted))
}
