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

var _ = Describe("the checker", func() {
	answer := func(outcome string, status int) *http.Response {
		return &http.Response{StatusCode: status, Header: http.Header{headerOutcome: {outcome}}}
	}

	// Each promise is shown to be broken by a planted fault: a checker that cannot fail proves nothing.
	It("finds an irreversible request that ran twice, but lets lookups run again", func() {
		h := newHistory()
		h.ran("l-1")
		h.ran("l-1")
		Expect(h.broken).To(BeEmpty())
		h.ran("p-1")
		h.ran("p-1")
		Expect(h.broken).To(HaveLen(1))
	})

	It("finds a false 'not run', also when the request ran after its answer", func() {
		h := newHistory()
		h.answered("p-1", answer(outcomeNotRun, http.StatusServiceUnavailable), nil)
		h.ran("p-1")
		h.settle()
		Expect(h.broken).To(HaveLen(1))
	})

	It("finds an answer that is cut or belongs to another request", func() {
		h := newHistory()
		h.answered("l-1", answer(outcomeDone, http.StatusOK), []byte(answerTo("l-1")))
		Expect(h.broken).To(BeEmpty())
		h.answered("l-2", answer(outcomeDone, http.StatusOK), []byte("answer to l-"))
		h.answered("l-3", answer(outcomeDone, http.StatusOK), []byte(answerTo("l-4")))
		Expect(h.broken).To(HaveLen(2))
	})
})

var _ = Describe("the check of the history", func() {
	It("finds an acknowledged version that is missing or has another content", func() {
		digest := func(b byte) bundle.Digest { return bundle.Digest{b} }
		records := []registry.HistoryRecord{
			{Action: registry.ActionApproved, Version: 3, Digest: digest(9)}, {Action: registry.ActionApproved, Version: 1, Digest: digest(1)},
		}
		Expect(lost(map[uint64]bundle.Digest{1: digest(1)}, records)).To(BeEmpty())
		Expect(lost(map[uint64]bundle.Digest{1: digest(1), 2: digest(2), 3: digest(3)}, records)).To(Equal([]uint64{2, 3}))
	})
})

var _ = Describe("the proxy", func() {
	// Guards against faults that are not injected.
	It("passes data on, swallows it in one direction, and resets", func() {
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
		p.set(linkFault{dropAnswers: true})
		Expect(echo(first)).To(MatchError(ContainSubstring("timeout")))
		p.set(linkFault{})
		Expect(echo(first)).To(MatchError(ContainSubstring("timeout")), "a stream that lost data stays broken")
		second, err := net.Dial("tcp", p.address())
		Expect(err).NotTo(HaveOccurred())
		Expect(echo(second)).To(Succeed())
		p.reset()
		Eventually(func() error { return echo(second) }).Should(HaveOccurred())
		Expect(echo(second)).NotTo(MatchError(ContainSubstring("timeout")))
	})
})

var _ = Describe("the programs", func() {
	It("keep the promises for a short seed", func() {
		folder := GinkgoT().TempDir()
		binary := filepath.Join(folder, "sapphiregate")
		output, err := exec.Command("go", "build", "-o", binary, "sapphiregate.example/sapphiregate/cmd/sapphiregate").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
		report, err := Run(context.Background(), Options{Binary: binary, Seed: 20261204, Faults: 5 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		for _, e := range report.Timeline {
			GinkgoWriter.Printf("%7.3f s  %s\n", e.At.Seconds(), e.Text)
		}
		Expect(report.Broken).To(BeEmpty(), "logs: %s", report.Folder)
		Expect(report.Served).To(BeNumerically(">", 0))
	})
})
