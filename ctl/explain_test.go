package ctl_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/ctl"
	"sapphiregate.example/sapphiregate/internal/rawserver"
	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/protocol"
)

var _ = Describe("sapphirectl explain", func() {
	It("asks the node, prints its answer, and ends with a code of its own for a refusal", func() {
		answer := node.Explanation{
			Node: "n1", Version: 7, Target: "n2", Service: "desk", Route: &node.ExplainedRoute{Name: "lookup\x1b"},
			Candidates: []node.ExplainedCandidate{{ID: "n2"}, {ID: "n3", RuledOut: balance.Ejected}},
		}
		status := http.StatusOK
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.URL.Path).To(Equal(node.PathExplain))
			Expect(r.URL.RawQuery).To(Equal("host=h&method=PUT&path=%2Fa%3Fb&team=alpha"))
			w.WriteHeader(status)
			Expect(json.NewEncoder(w).Encode(answer)).To(Succeed())
		}))
		defer server.Close()
		h := newHarness()
		address := strings.TrimPrefix(server.URL, "http://")
		run := func(args ...string) (stdout, stderr string, code int) {
			return h.run("ana", append([]string{"explain", "/a?b", "--host", "h", "--method", "PUT", "--team", "alpha", "--node", address}, args...)...)
		}
		stdout, _, code := run()
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(stdout).To(And(ContainSubstring("sent to n2"), ContainSubstring("ejected"), Not(ContainSubstring("\x1b"))))
		answer.Refused, answer.Status, answer.RetryAfterMs, answer.Target = protocol.ReasonQuota, 429, 1200, ""
		stdout, _, code = run()
		Expect(code).To(Equal(ctl.ExitWouldRefuse))
		Expect(stdout).To(ContainSubstring("refused: quota, status 429, Retry-After 1200 ms"))
		stdout, stderr, code := run("--output", "json")
		Expect(code).To(Equal(ctl.ExitWouldRefuse))
		var printed node.Explanation
		Expect(json.Unmarshal([]byte(stdout), &printed)).To(Succeed())
		Expect(printed).To(Equal(answer))
		Expect(stderr).To(ContainSubstring("would-refuse"))
		status = http.StatusNotFound
		_, _, code = run()
		Expect(code).To(Equal(ctl.ExitUsage))
		server.Close()
		_, _, code = run()
		Expect(code).To(Equal(ctl.ExitUnreachable))
		_, _, code = h.run("ana", "explain", "/a")
		Expect(code).To(Equal(ctl.ExitUsage))
	})

	// Guards against an explanation that is shown although no node has given it.
	DescribeTable("shows nothing after a broken answer", func(answer string) {
		address := rawserver.Start(GinkgoT(), func(conn *net.TCPConn, _ *bufio.Reader, _ *http.Request) {
			_, _ = io.WriteString(conn, answer)
		})
		stdout, stderr, code := newHarness().run("ana", "explain", "/a", "--node", address)
		Expect(code).NotTo(Equal(ctl.ExitOK))
		Expect(stdout).To(BeEmpty())
		Expect(stderr).NotTo(BeEmpty())
	},
		Entry("none", ""),
		Entry("bytes that are no HTTP", "\x00\xff\x13\x37\r\n\r\n"),
		Entry("a body without a length that is cut", "HTTP/1.1 200 OK\r\n\r\n{\"node\":"),
		Entry("a body with a length that is cut", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{}"),
		Entry("status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"),
		Entry("a blank in the name of a field", "HTTP/1.1 200 OK\r\nX Name: v\r\nContent-Length: 2\r\n\r\n{}"),
		Entry("a blank in the trailer",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Sum: v\r\n\r\n"),
	)
})
