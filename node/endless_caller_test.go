package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startCall sends the start of a request to the node. The call ends with the test.
func startCall(f *fixture, request string) net.Conn {
	conn, err := net.Dial("tcp", f.callers)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = io.WriteString(conn, request)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// head returns the header of a POST request with a deadline of endlessDeadline.
func head(path, length string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk\r\nSapphire-Deadline-Ms: %d\r\nIdempotency-Key: k1\r\n%s\r\n\r\n",
		path, endlessDeadline.Milliseconds(), length)
}

// repeat sends a part until the connection closes.
func repeat(conn net.Conn, part string, pause time.Duration) {
	for part != "" {
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

var _ = Describe("requests without an end", func() {
	const chunked, length = "Transfer-Encoding: chunked", "Content-Length: 90000"
	long := strings.Repeat(oneChunk, 5000)
	for _, remote := range []bool{false, true} {
		where := map[bool]string{false: "on the local upstream", true: "through another node"}[remote]
		// Guards against a caller that stops or trickles in the middle of a body and so keeps its request, a slot and a
		// connection to the upstream for ever, without any answer at its deadline.
		DescribeTable("are answered at the deadline or earlier, "+where, func(start, part string, pause time.Duration, statuses ...int) {
			f := newFixture(remote, newFakeLedger().server.Address(), 1, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
			})
			conn := startCall(f, start)
			go repeat(conn, part, pause)
			Expect(conn.SetReadDeadline(time.Now().Add(endlessLimit))).To(Succeed())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(statuses).To(ContainElement(response.StatusCode))
			Eventually(f.executor.InFlight, endlessLimit).Should(BeZero())
			Expect(f.post("/lookup", "").status).To(Equal(http.StatusOK))
		},
			Entry("a body that stops", head("/lookup", length)+"x", "", time.Duration(0), 503),
			Entry("chunks that stop", head("/lookup", chunked)+oneChunk, "", time.Duration(0), 503),
			Entry("chunks that trickle", head("/lookup", chunked), oneChunk, 5*time.Millisecond, 503),
			Entry("a chunk extension that trickles", head("/lookup", chunked)+"10;", "x", 5*time.Millisecond, 503),
			Entry("the body of an irreversible call that stops", head("/promote", "Content-Length: 100")+"x", "", time.Duration(0), 503),
			Entry("a long body that stops", head("/lookup", length)+strings.Repeat("x", 80_000), "", time.Duration(0), 504),
			Entry("a long body whose chunks stop", head("/lookup", chunked)+long, "", time.Duration(0), 504),
			Entry("a long body whose chunks trickle", head("/lookup", chunked)+long, "1\r\nx\r\n", 5*time.Millisecond, 504),
			Entry("a body beyond the limit that stops", head("/small", chunked)+long, "", time.Duration(0), 413),
			Entry("a refused body that stops", head("/nowhere", length)+"x", "", time.Duration(0), 404),
			Entry("refused chunks that trickle", head("/nowhere", chunked), oneChunk, 5*time.Millisecond, 404),
			Entry("chunks as fast as possible", head("/lookup", chunked), long, time.Duration(0), 413),
			Entry("a header as fast as possible", "POST /lookup HTTP/1.1\r\nHost: desk\r\n", strings.Repeat("X-Many: x\r\n", 1000), time.Duration(0), 431),
		)

		// Guards against a caller that stops reading and so keeps its request, a slot and a connection to the upstream after
		// its deadline.
		It("end at the deadline if the caller reads no response, "+where, func() {
			upstream := &endlessUpstream{}
			f := newEndlessFixture(remote, 1, upstream)
			conn := startCall(f, head(fmt.Sprint("/lookup/", endlessBody), "Content-Length: 0"))
			Expect(conn.(*net.TCPConn).SetReadBuffer(4096)).To(Succeed())
			Eventually(upstream.endless.Load, endlessLimit).Should(BeEquivalentTo(1))
			Eventually(f.executor.InFlight, endlessLimit).Should(BeZero())
			Eventually(upstream.endless.Load, endlessLimit).Should(BeZero())
			stopped := make(chan error, 1)
			go func() { stopped <- f.ingress.Stop(context.Background()) }()
			Eventually(stopped, endlessLimit).Should(Receive(BeNil()))
		})

		// Guards against a response that waits for the rest of the request's body, and against a node that takes bytes of
		// that body for itself.
		It("still reach an upstream that responds before it has read them, "+where, func() {
			got := make(chan string, 1)
			f := newFixture(remote, newFakeLedger().server.Address(), 1, func(w http.ResponseWriter, r *http.Request) {
				conn := http.NewResponseController(w)
				_ = conn.EnableFullDuplex()
				w.WriteHeader(http.StatusOK)
				_ = conn.Flush()
				// The response must be on its way to the caller before more of the body arrives.
				for range 100 {
					_, _ = io.WriteString(w, strings.Repeat("y", 4096))
				}
				_ = conn.Flush()
				body, err := io.ReadAll(r.Body)
				got <- fmt.Sprint(len(body), err)
			})
			conn := startCall(f, head("/lookup", "Content-Length: 100000")+strings.Repeat("x", 80_000))
			reader := bufio.NewReader(conn)
			if !remote {
				// Another node gets the response once the whole body is sent.
				Expect(conn.SetReadDeadline(time.Now().Add(endlessLimit))).To(Succeed())
				_, err := reader.ReadString('\n')
				Expect(err).NotTo(HaveOccurred())
			}
			_, err := io.WriteString(conn, strings.Repeat("x", 20_000))
			Expect(err).NotTo(HaveOccurred())
			go func() { _, _ = io.Copy(io.Discard, reader) }()
			Eventually(got, endlessLimit).Should(Receive(Equal("100000 <nil>")))
		})
	}
})
