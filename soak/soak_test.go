package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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
		r.requestRan("node-0", "l-1")
		r.requestRan("node-0", "l-1")
		Expect(r.violations).To(BeEmpty())
		r.requestRan("node-0", "p-1")
		r.requestRan("node-0", "p-1")
		Expect(r.violations).To(HaveLen(1))
	})

	It("reports a request that ran after its response said that it had not", func() {
		r := newRecorder()
		r.responseReceived("p-1", response(outcomeNotRun, http.StatusServiceUnavailable), nil)
		r.requestRan("node-0", "p-1")
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

var _ = Describe("the observation of versions", func() {
	It("reports a node that goes back, but not responses that overtake each other", func() {
		release := make(chan struct{})
		var requests atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch requests.Add(1) {
			case 1:
				<-release // The response is as old as the request.
				fmt.Fprint(w, `{"incarnation": 1, "version": 17}`)
			case 2:
				fmt.Fprint(w, `{"incarnation": 1, "version": 18}`)
			default:
				fmt.Fprint(w, `{"incarnation": 1, "version": 17}`)
			}
		}))
		DeferCleanup(server.Close)
		node := &process{name: "node-0", adminAddress: server.Listener.Addr().String()}
		r := &seedRun{recorder: newRecorder(), inForce: make(map[string]uint64)}
		var first sync.WaitGroup
		first.Go(func() { r.observeVersion(context.Background(), node) })
		Eventually(requests.Load).Should(Equal(int64(1)))
		r.observeVersion(context.Background(), node)
		close(release)
		first.Wait()
		Expect(r.recorder.violations).To(BeEmpty())
		r.observeVersion(context.Background(), node)
		Expect(r.recorder.violations).To(ConsistOf("node-0 went back from version 18 to 17"))
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

var _ = Describe("the check of requests that end without a response", func() {
	const planned = "cut by a planned stop"
	const outside = "cut outside of any fault or stop"
	type scene struct {
		// kind is the work on node-0 from second 10 to 16; the request is sent to it on a connection opened at second 1.
		kind workKind
		// sent and ended are seconds; the deadline is second 20.
		sent, ended float64
		// ran holds the start and the end, in seconds, of the run beside node-1; nil if the request reached no upstream.
		ran []float64
		err error
		// unknown is set if node-0 responds that it does not know whether the request ran.
		unknown bool
	}

	DescribeTable("tells what a planned stop may cut from what it may not", func(s scene, expected string) {
		r := newRecorder()
		second := func(s float64) time.Time { return r.started.Add(time.Duration(s * float64(time.Second))) }
		r.works = []*work{{kind: s.kind, process: "node-0", started: second(10), ended: second(16)}}
		r.calls = []*call{{
			attempt: "l-1", node: "node-0", kept: true, opened: second(1), sent: second(s.sent), ended: second(s.ended),
			deadline: second(20), err: s.err, unknown: s.unknown, abandoned: errors.Is(s.err, os.ErrDeadlineExceeded),
		}}
		if s.ran != nil {
			r.runs["l-1"] = []run{{node: "node-1", started: second(s.ran[0]), ended: second(s.ran[1]), canceled: s.unknown}}
		}
		r.checkCuts()
		if expected == "" {
			Expect(r.violations).To(BeEmpty())
		} else {
			Expect(r.violations).To(ConsistOf(ContainSubstring(expected)))
		}
	},
		Entry("answered", scene{workStop, 11, 12, []float64{11, 12}, nil, false}, ""),
		Entry("cut while its upstream runs it", scene{workStop, 11, 12, []float64{11, 12}, io.EOF, false}, planned),
		Entry("cut after its upstream has run it", scene{workStop, 9.9, 10.1, []float64{9.9, 10}, io.EOF, false}, planned),
		Entry("cut long after it was sent", scene{workStop, 11, 11.3, nil, io.EOF, false}, planned),
		Entry("crosses the close", scene{workStop, 11, 11.1, nil, io.EOF, false}, ""),
		Entry("sent after the process has exited", scene{workStop, 18, 18.5, nil, io.EOF, false}, ""),
		Entry("sent just before the process exits", scene{workStop, 15.9, 16.3, nil, io.EOF, false}, planned),
		Entry("runs to the end of the grace period", scene{workStop, 12.9, 15.5, []float64{13, 15.5}, io.EOF, false}, ""),
		Entry("runs to the end of the grace period, but was sent late", scene{workStop, 13.1, 15.5, []float64{13.1, 15.5}, io.EOF, false}, planned),
		Entry("given up before the end of the grace period", scene{workStop, 12, 14.9, []float64{12, 14.9}, io.EOF, false}, planned),
		Entry("cut after its deadline", scene{workStop, 12.5, 20.1, []float64{12.5, 20}, io.EOF, false}, ""),
		Entry("abandoned by its caller", scene{workStop, 12, 14, []float64{12, 14}, os.ErrDeadlineExceeded, false}, ""),
		Entry("cut by a fault", scene{workFault, 11, 12, []float64{11, 12}, io.EOF, false}, ""),
		Entry("cut within 3 s of a fault", scene{workFault, 18, 19, []float64{18, 19}, io.EOF, false}, ""),
		Entry("cut later after a fault", scene{workFault, 19.1, 19.2, nil, io.EOF, false}, outside),
		Entry("sent on a connection to a process that was killed", scene{workKill, 19.5, 19.6, nil, io.EOF, false}, ""),
		Entry("cut beside a SIGHUP", scene{workReload, 11, 12, []float64{11, 12}, io.EOF, false}, "SIGHUP at 10.000 s"),
		Entry("answered by the node in place of its upstream", scene{workStop, 11, 12, []float64{11, 12}, nil, true}, planned),
		Entry("answered so before its upstream ran it", scene{workStop, 11, 12, []float64{12.1, 12.2}, nil, true}, ""),
		Entry("answered so at the end of the grace period", scene{workStop, 12, 15.5, []float64{12, 15.5}, nil, true}, ""),
	)

	It("reports a response that the stop of the node beside the upstream truncates, but not one that a node gives up that stays", func() {
		r := newRecorder()
		second := func(s int) time.Time { return r.started.Add(time.Duration(s) * time.Second) }
		r.works = []*work{{kind: workStop, process: "node-1", started: second(0), ended: second(2)}}
		r.runs["l-1"] = []run{{node: "node-1", started: second(1), ended: second(2), canceled: true}}
		c := &call{attempt: "l-1", node: "node-0", opened: second(1), sent: second(1), ended: second(2), deadline: second(8)}
		r.calls = []*call{c}
		c.unknown = true
		r.checkCuts()
		Expect(r.violations).To(BeEmpty())
		c.unknown, c.err = false, io.ErrUnexpectedEOF
		r.checkCuts()
		Expect(r.violations).To(ConsistOf(ContainSubstring(planned)))
	})

	It("excuses a stopped process that did not exit with code 0 only by a call that kept it busy", func() {
		r := newRecorder()
		stop := &work{kind: workStop, process: "node-0", started: r.started, ended: r.started.Add(gracePeriod), exitError: io.EOF}
		r.works = []*work{stop}
		r.runs["l-1"] = []run{{node: "node-0", started: r.started, ended: r.started.Add(stillRunning - time.Second)}}
		r.checkCuts()
		Expect(r.violations).To(HaveLen(1))
		r.runs["l-1"][0].ended = r.started.Add(gracePeriod)
		r.checkCuts()
		Expect(r.violations).To(HaveLen(1))
		stop.exitError = errGraceExceeded
		r.checkCuts()
		Expect(r.violations).To(HaveLen(2))
	})

	// Guards against a caller that resends requests or misses the close of a connection.
	It("reports a node that reads a request and closes the connection, at once or within its response", func() {
		for _, response := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nanswer"} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, response)
				_ = conn.Close()
			}()
			node := &process{name: "node-0", callerAddress: listener.Addr().String()}
			r := &seedRun{deployment: &deployment{nodes: []*process{node}}, recorder: newRecorder()}
			r.newCaller(1, 0).send(context.Background(), node, "/lookup", "l-1")
			r.recorder.checkCuts()
			Expect(r.recorder.violations).To(ConsistOf(ContainSubstring(outside)))
		}
	})
})

var _ = Describe("the daemon", Ordered, ContinueOnFailure, func() {
	var binary string

	BeforeAll(func() {
		binary = filepath.Join(GinkgoT().TempDir(), "sapphiregate")
		output, err := exec.Command("go", "build", "-o", binary, "sapphiregate.example/sapphiregate/cmd/sapphiregate").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
	})

	DescribeTable("violates no guarantee in a short seed", func(seed uint64, planned bool) {
		report, err := Run(context.Background(), Options{
			Binary: binary, Seed: seed, FaultDuration: 5 * time.Second, Nodes: DefaultNodes, Planned: planned,
		})
		Expect(err).NotTo(HaveOccurred())
		for _, e := range report.Timeline {
			GinkgoWriter.Printf("%7.3f s  %s\n", e.At.Seconds(), e.Text)
		}
		Expect(report.Violations).To(BeEmpty(), "logs: %s", report.Folder)
		Expect(report.Served).To(BeNumerically(">", 0))
		Expect(report.Kept).To(BeNumerically(">", 0))
	},
		Entry("of faults", uint64(20261204), false),
		Entry("of planned work", uint64(1), true),
	)
})
