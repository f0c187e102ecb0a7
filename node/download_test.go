package node_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
)

var _ = Describe("a download", func() {
	const size = 200_000
	content := bytes.Repeat([]byte("0123456789"), size/10)

	// start returns a fixture whose route /small is a download with the given target, beside a link of 16 Mbit/s. Its
	// upstream responds with the content; to requests with the header Truncate it sends half of it.
	start := func(remote bool, targetMs int) *fixture {
		f := newFixture(remote, newFakeLedger().server.Address(), 4, func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/small") {
				return
			}
			if r.Header.Get("Truncate") == "" {
				_, _ = w.Write(content)
				return
			}
			w.Header().Set("Content-Length", "200000")
			_, _ = w.Write(content[:size/2])
		})
		f.executor.SetLinkMegabits(16)
		b := testBundle()
		for i := range b.Routes {
			if b.Routes[i].Name == "small" {
				b.Routes[i].Class, b.Routes[i].TargetMs = bundle.ClassDownload, targetMs
			}
		}
		Expect(f.ingress.PutInForce(bundle.Approval{Version: 2}, b)).To(Succeed())
		return f
	}

	// Guards against downloads that fill the link of an instance, and against refusing them although it could carry them.
	It("is refused at once if the link cannot carry it in time; the others arrive whole at the rate of their share", func() {
		f := start(true, 600)
		for range 30 {
			Expect(f.post("/small", "").body).To(Equal(content), "so that the node knows the size of the responses")
		}
		started := time.Now()
		var results []<-chan callResult
		for range 20 {
			results = append(results, f.async(context.Background(), "/small", ""))
		}
		whole, refused := 0, 0
		for _, result := range results {
			got := <-result
			Expect(got.err).NotTo(HaveOccurred())
			if got.status == http.StatusOK {
				Expect(got.body).To(Equal(content))
				whole++
				continue
			}
			Expect(got.status).To(Equal(http.StatusTooManyRequests))
			Expect(got.outcome()).To(Equal("not-run"))
			refused++
		}
		// The share of 1.6 MB/s carries 0.96 MB within the target, and half of that may wait for the link.
		Expect(whole).To(BeNumerically(">=", 2))
		Expect(whole).To(BeNumerically("<=", 4))
		Expect(refused).To(Equal(20 - whole))
		Expect(time.Since(started)).To(BeNumerically(">=", time.Duration(whole-1)*size*time.Second/1_600_000))
		Expect(f.executor.InFlight()).To(BeZero())
	})

	It("does not delay a short response on the same link", func() {
		f := start(true, 0)
		var results []<-chan callResult
		for range 8 {
			results = append(results, f.async(context.Background(), "/small", ""))
		}
		for range 10 {
			began := time.Now()
			Expect(f.post("/lookup", "").status).To(Equal(http.StatusOK))
			Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
		}
		for _, result := range results {
			Expect((<-result).body).To(Equal(content))
		}
	})

	DescribeTable("is never completed if the upstream breaks off", func(remote bool) {
		f := start(remote, 0)
		got := f.post("/small", "", "Truncate", "1")
		Expect(got.err != nil || got.status != http.StatusOK).To(BeTrue(), "status %d with %d bytes", got.status, len(got.body))
	},
		Entry("on the own upstream", false), Entry("through another node", true),
	)
})
