package soak

import (
	"context"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

var _ = Describe("the recorder", func() {
	response := func(outcome string, status int) *http.Response {
		return &http.Response{StatusCode: status, Header: http.Header{headerOutcome: {outcome}}}
	}

	// Guard against a recorder that misses violations, with which every seed would pass.
	It("reports an irreversible request that ran twice, but not a lookup that did", func() {
		r := newRecorder()
		r.requestRan("l-1")
		r.requestRan("l-1")
		Expect(r.violations).To(BeEmpty())
		r.requestRan("p-1")
		r.requestRan("p-1")
		Expect(r.violations).To(HaveLen(1))
	})

	It("reports a request that ran after its response said that it had not", func() {
		r := newRecorder()
		r.responseReceived("p-1", response(outcomeNotRun, http.StatusServiceUnavailable), nil)
		r.requestRan("p-1")
		r.checkNotRun()
		Expect(r.violations).To(HaveLen(1))
	})

	It("reports a response that is truncated or belongs to another request", func() {
		r := newRecorder()
		r.responseReceived("l-1", response(outcomeDone, http.StatusOK), []byte(responseBody("l-1")))
		Expect(r.violations).To(BeEmpty())
		r.responseReceived("l-2", response(outcomeDone, http.StatusOK), []byte("answer to l-"))
		r.responseReceived("l-3", response(outcomeDone, http.StatusOK), []byte(responseBody("l-4")))
		Expect(r.violations).To(HaveLen(2))
	})
})

var _ = Describe("the check of the history", func() {
	It("finds an acknowledged version that is missing or has another digest", func() {
		digest := func(b byte) bundle.Digest { return bundle.Digest{b} }
		records := []registry.HistoryRecord{
			{Action: registry.ActionApproved, Version: 3, Digest: digest(9)}, {Action: registry.ActionApproved, Version: 1, Digest: digest(1)},
		}
		Expect(lostVersions(map[uint64]bundle.Digest{1: digest(1)}, records)).To(BeEmpty())
		Expect(lostVersions(map[uint64]bundle.Digest{1: digest(1), 2: digest(2), 3: digest(3)}, records)).To(Equal([]uint64{2, 3}))
	})
})

var _ = Describe("the proxy", func() {
	// Guards against a proxy that injects no faults, with which every seed would pass.
	It("forwards data, drops it in one direction, and resets connections", func() {
		target, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
		go func() {
			for {
				conn, err := target.Accept()
				if err != nil {
					return
				}
				go io.Copy(conn, conn)
			}
		}()
		p, err := newProxy(target.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.close)
		echo := func(conn net.Conn) error {
			if _, err := conn.Write([]byte("x")); err != nil {
				return err
			}
			Expect(conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
			_, err := conn.Read(make([]byte, 1))
			return err
		}
		first, err := net.Dial("tcp", p.address())
		Expect(err).NotTo(HaveOccurred())
		Expect(echo(first)).To(Succeed())
		p.setFault(linkFault{dropResponses: true})
		Expect(echo(first)).To(MatchError(ContainSubstring("timeout")))
		p.setFault(linkFault{})
		Expect(echo(first)).To(MatchError(ContainSubstring("timeout")), "a stream that lost data must not continue")
		second, err := net.Dial("tcp", p.address())
		Expect(err).NotTo(HaveOccurred())
		Expect(echo(second)).To(Succeed())
		p.reset()
		Eventually(func() error { return echo(second) }).Should(HaveOccurred())
		Expect(echo(second)).NotTo(MatchError(ContainSubstring("timeout")))
	})
})

var _ = Describe("the daemon", func() {
	It("violates no guarantee in a seed with 5 s of faults", func() {
		folder := GinkgoT().TempDir()
		binary := filepath.Join(folder, "sapphiregate")
		output, err := exec.Command("go", "build", "-o", binary, "sapphiregate.example/sapphiregate/cmd/sapphiregate").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
		report, err := Run(context.Background(), Options{Binary: binary, Seed: 20261204, FaultDuration: 5 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		for _, e := range report.Timeline {
			GinkgoWriter.Printf("%7.3f s  %s\n", e.At.Seconds(), e.Text)
		}
		Expect(report.Violations).To(BeEmpty(), "logs: %s", report.Folder)
		Expect(report.Served).To(BeNumerically(">", 0))
	})
})
