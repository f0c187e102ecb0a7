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

// Guards against a check of versions that misses a late node, or reports one that was not in touch. Times are in seconds;
// the version is acknowledged at 10.
var _ = DescribeTable("the check of the time in which versions come into force", func(sent float64, works []work, late bool) {
	r := newRecorder()
	second := func(s float64) time.Time { return r.started.Add(time.Duration(s * float64(time.Second))) }
	for i := range coreMemberCount {
		r.members[fmt.Sprint("member-", i)] = true
	}
	for _, w := range works {
		w.started, w.ended = second(float64(w.started.Unix())), second(float64(w.ended.Unix()))
		r.works = append(r.works, &w)
	}
	r.versionMissing(lateVersion{
		node: "node-0", added: acknowledgement{version: 7, at: second(10)}, sent: second(sent), promise: applyWithin,
		effect: "did not know the route",
	})
	r.checkVersions()
	if !late {
		Expect(r.violations).To(BeEmpty())
		return
	}
	Expect(r.violations).To(ConsistOf(ContainSubstring("version 7")))
},
	Entry("nothing was disturbed", 12.1, nil, true),
	Entry("only other nodes were", 12.1, []work{disturbance("node-1", 10, 12)}, true),
	Entry("the core was, longer ago", 12.1, []work{disturbance("member-0", 8, 9)}, true),
	Entry("the core was", 12.1, []work{disturbance("member-0", 8, 10)}, false),
	Entry("the node was", 12.1, []work{disturbance("node-0", 8, 10)}, false),
	Entry("the core is, for long", 17.1, []work{disturbance("member-0", 11, 16), disturbance("member-1", 12, 13)}, true),
	Entry("half of the core is", 17.1, []work{
		disturbance("member-0", 11, 16), disturbance("member-1", 12, 13), disturbance("member-2", 15, 16),
	}, false),
	Entry("the core is for long, and the node was", 17.1, []work{disturbance("member-0", 11, 16), disturbance("node-0", 14, 15)}, false),
)

// Guards against a check that misses a group without a quorum, or reports one that has lost members.
var _ = DescribeTable("the check of acknowledgements beside planned stops", func(kind workKind, reported bool) {
	r := newRecorder()
	second := func(s int) time.Time { return r.started.Add(time.Duration(s) * time.Second) }
	r.works = []*work{{kind: kind, process: "member-0", started: second(11), ended: second(12)}}
	r.checkAcknowledgements([]acknowledgement{{1, second(10)}, {2, second(14)}})
	Expect(r.violations).To(BeEmpty())
	r.checkAcknowledgements([]acknowledgement{{1, second(10)}, {2, second(15)}})
	Expect(r.violations).To(HaveLen(map[bool]int{true: 1}[reported]))
},
	Entry("a planned stop", workStop, true),
	Entry("a member is killed", workKill, false),
	Entry("another fault", workFault, false),
)

// disturbance is a fault of a process, in seconds.
func disturbance(process string, from, to int64) work {
	return work{kind: workFault, process: process, started: time.Unix(from, 0), ended: time.Unix(to, 0)}
}

var _ = Describe("a probe of versions", func() {
	// Guards against probes that reach no node or ask for no route that a node lacks.
	It("finds a node that does not know the route of an acknowledged version", func() {
		asked := make(chan string, 1000)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			asked <- request.URL.Path
			w.WriteHeader(http.StatusNotFound)
		}))
		DeferCleanup(server.Close)
		r := &seedRun{recorder: newRecorder()}
		r.acknowledgements = []acknowledgement{
			{version: 3, at: time.Now().Add(-time.Minute)}, {version: 4, at: time.Now().Add(-2 * applyWithin)}, {version: 5, at: time.Now()},
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go r.probeNode(ctx, &process{name: "node-0", callerAddress: server.Listener.Addr().String()})
		Eventually(asked).Should(Receive(Equal("/version-4")))
		Eventually(asked).Should(Receive(Equal("/version-3")))
		Eventually(func() []string {
			r.recorder.checkVersions()
			return r.recorder.violations
		}).Should(ContainElement(ContainSubstring("route of version 4")))
	})
})

var _ = Describe("a cut of a link", func() {
	// Guards against a cut that also keeps back the data of other processes.
	It("keeps back the data between the process that is cut off and others, until it ends", func() {
		echo, err := listen()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(echo.Close)
		go func() {
			for {
				conn, err := echo.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(conn, conn) }()
			}
		}()
		opener := &proxy{}
		target, err := newProxy(echo.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.close)
		target.clientOf = func(net.Conn) *proxy { return opener }
		conn, err := net.Dial("tcp", target.address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		exchange := func() error {
			_ = conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
			if _, err := conn.Write([]byte("x")); err != nil {
				return err
			}
			_, err := io.ReadFull(conn, make([]byte, 1))
			return err
		}
		Expect(exchange()).To(Succeed())
		opener.setFault(linkFault{cutMembers: true})
		Expect(exchange()).To(Succeed(), "the process at the other end is no member")
		opener.setFault(linkFault{cut: true})
		Expect(exchange()).To(MatchError(os.ErrDeadlineExceeded))
		opener.setFault(linkFault{})
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, err = io.ReadFull(conn, make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		target.silence()
		Expect(exchange()).To(MatchError(os.ErrDeadlineExceeded))
	})

	It("finds the process that has opened a connection", func() {
		listener, err := listen()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		client, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		inode, ok := socketInode(client.LocalAddr(), client.RemoteAddr())
		Expect(ok).To(BeTrue())
		Expect(holdsSocket(os.Getpid(), inode)).To(BeTrue())
		Expect(holdsSocket(os.Getpid(), inode+1_000_000)).To(BeFalse())
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

	It("puts versions into force in time in a short seed of faults of the core", func() {
		report, err := Run(context.Background(), Options{
			Binary: binary, Seed: 1, FaultDuration: 12 * time.Second, Nodes: DefaultNodes, Core: true,
		})
		Expect(err).NotTo(HaveOccurred())
		for _, e := range report.Timeline {
			GinkgoWriter.Printf("%7.3f s  %s\n", e.At.Seconds(), e.Text)
		}
		Expect(report.Violations).To(BeEmpty(), "logs: %s", report.Folder)
		Expect(report.ApprovedVersion).To(BeNumerically(">", 5))
	})

	It("keeps the group at work in a short seed of planned replacements", func() {
		report, err := Run(context.Background(), Options{
			Binary: binary, Seed: 2, FaultDuration: 12 * time.Second, Nodes: DefaultNodes, Core: true, Replacements: true,
		})
		Expect(err).NotTo(HaveOccurred())
		for _, e := range report.Timeline {
			GinkgoWriter.Printf("%7.3f s  %s\n", e.At.Seconds(), e.Text)
		}
		Expect(report.Violations).To(BeEmpty(), "logs: %s", report.Folder)
		Expect(report.ApprovedVersion).To(BeNumerically(">", 5))
	})

	It("keeps the promises about teams in a short seed", func() {
		report, err := Run(context.Background(), Options{
			Binary: binary, Seed: 1, FaultDuration: 16 * time.Second, Nodes: DefaultNodes, Core: true, Teams: true,
		})
		Expect(err).NotTo(HaveOccurred())
		for _, e := range report.Timeline {
			GinkgoWriter.Printf("%7.3f s  %s\n", e.At.Seconds(), e.Text)
		}
		Expect(report.Violations).To(BeEmpty(), "logs: %s", report.Folder)
		Expect(report.ApprovedVersion).To(BeNumerically(">", keyLifetime))
		Expect(report.Served).To(BeNumerically(">", 0))
		Expect(report.Completed + report.RolledBack).To(BeNumerically(">", 0))
		Expect(report.LeadersKilled).To(BeNumerically(">", 0))
		Expect(report.Busiest).To(BeNumerically(">", quotaRate*quotaWindow.Seconds()/2))
	})
})
