package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// copyingUpstream answers each request, and sends a second copy of the first response on its connection: as soon as the
// next request has arrived there, before that one's own response, or at once.
type copyingUpstream struct {
	listener net.Listener
	// atOnce is set for a copy that arrives while the connection is idle.
	atOnce bool
	// refusal is set if the first response says that its request was not run.
	refusal bool
	// runs counts all requests, refusals those that were refused.
	runs, refusals atomic.Int64
}

func newCopyingUpstream(atOnce, refusal bool) *copyingUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &copyingUpstream{listener: listener, atOnce: atOnce, refusal: refusal}
	DeferCleanup(listener.Close)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(connection)
		}
	}()
	return u
}

func (u *copyingUpstream) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	first := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		u.runs.Add(1)
		id := request.Header.Get(customDialect.RequestID)
		status := "200 OK"
		if u.refusal && first == "" {
			u.refusals.Add(1)
			status = "503 Service Unavailable\r\n" + customDialect.NotRun + ": full"
		}
		response := fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: proof\r\nContent-Length: %d\r\n\r\n%s",
			status, customDialect.RequestID, id, customDialect.SuccessMarker, len(id), id)
		if first != "" {
			response = first + response
		}
		if _, err := io.WriteString(connection, response); err != nil {
			return
		}
		if first == "" {
			first = response
			if u.atOnce {
				_, _ = io.WriteString(connection, first)
			}
		}
	}
}

var _ = Describe("an upstream that sends a second copy of a response", func() {
	// Guards against a caller that gets the response to another request, or is told that a request was not run which was.
	DescribeTable("never gives a caller the response to another request", func(path string, atOnce, refusal bool) {
		upstream := newCopyingUpstream(atOnce, refusal)
		n, callers, _ := startCustomDialectNode(http.NotFound)
		Expect(sendHeartbeat(n, upstream.listener.Addr().String(), "u1", 1, 1, false)).To(Succeed())
		mergeOwnRecord(n)
		for i := range 6 {
			id := fmt.Sprintf("request-%d", i)
			before := upstream.runs.Load()
			request, err := http.NewRequest(http.MethodPost, "http://"+callers+path, nil)
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set(customDialect.RequestID, id)
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			ran := upstream.runs.Load() - before
			switch {
			case response.StatusCode == http.StatusOK:
				Expect(string(body)).To(Equal(id))
			case refusal && response.Header.Get("Retry-After") != "":
				Expect(ran).To(Equal(upstream.refusals.Swap(0)), "a request that is reported as not run must not have run")
			default:
				Expect(response.StatusCode).To(Equal(http.StatusBadGateway), "%s: %s", id, body)
			}
			if path == "/promote" && !refusal {
				Expect(ran).To(BeNumerically("<=", 1))
			}
		}
	},
		Entry("to a lookup, after the next request", "/lookup", false, false),
		Entry("to a lookup, at once", "/lookup", true, false),
		Entry("to an irreversible call, after the next request", "/promote", false, false),
		Entry("to an irreversible call, at once", "/promote", true, false),
		Entry("that refuses a request, after the next one", "/promote", false, true),
	)
})
