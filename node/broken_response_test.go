package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/internal/rawserver"
	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// brokenRoutes are the paths of the routes of newBrokenFixture, one for each kind of call.
var brokenRoutes = []string{"/lookup", "/report", "/upload", "/download", "/promote", "/assign"}

// newBrokenFixture returns a fixture with an upstream that responds with any bytes, and long bodies allowed on all routes.
func newBrokenFixture(remote bool, respond func(*net.TCPConn, *http.Request)) *fixture {
	f := newFixture(remote, newFakeLedger().server.Address(), endlessSlots, http.NotFound)
	b := testBundle()
	for name, class := range map[string]bundle.Class{
		"report": bundle.ClassReport, "upload": bundle.ClassUpload, "download": bundle.ClassDownload, "assign": bundle.ClassIrreversible,
	} {
		b.Routes = append(b.Routes, bundle.Route{
			Name: name, Match: bundle.Match{PathPrefix: "/" + name}, Service: "desk", Class: class, DeadlineMs: 15_000,
			Keyless: name == "assign",
		})
	}
	for i := range b.Routes {
		b.Routes[i].MaxBodyBytes = 8_000_000
	}
	bundle.Canonicalize(b)
	Expect(f.ingress.PutInForce(bundle.Approval{Version: 2}, b)).To(Succeed())
	address := rawserver.Start(GinkgoT(), func(conn *net.TCPConn, _ *bufio.Reader, request *http.Request) { respond(conn, request) })
	Expect(f.executor.AcceptUpstream(node.Announcement{Service: "desk", Address: address, Slots: endlessSlots})).To(Succeed())
	return f
}

// upload makes a call and reads the response while the body is still sent. net/http closes a connection after such a
// response by itself, and may return the error of its own write.
func (f *fixture) upload(path, body, key string) callResult {
	conn := startCall(f, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", path, keyHeader, key, len(body)))
	go func() { _, _ = io.WriteString(conn, body) }()
	Expect(conn.SetReadDeadline(time.Now().Add(endlessLimit))).To(Succeed())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return callResult{err: err}
	}
	data, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: data, err: err}
}

// expectNoResponse fails unless the caller got a response that says that the outcome is unknown.
func expectNoResponse(got callResult, description ...any) {
	GinkgoHelper()
	Expect(got.err).NotTo(HaveOccurred(), description...)
	Expect(got.status).To(Equal(http.StatusBadGateway), description...)
	Expect(got.outcome()).To(Equal(string(protocol.OutcomeUnknown)), description...)
}

var _ = Describe("a broken response", func() {
	for _, remote := range []bool{false, true} {
		where := map[bool]string{false: "on the local upstream", true: "through another node"}[remote]

		// Guards against a part of a response that is passed on as a whole one. The order of the reset and the upload is left
		// to chance here; transport/web has the test that forces it.
		DescribeTable("to a long upload, which ends with a reset, is not passed on as a whole one, "+where,
			func(streamed bool, head string) {
				f := newBrokenFixture(remote, func(conn *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(conn, head)
					_, _ = io.ReadFull(conn, make([]byte, 100_000))
					_ = conn.SetLinger(0) // Close sends a reset.
				})
				body := strings.Repeat("x", 4_000_000)
				for i := range 96 {
					path := brokenRoutes[i%len(brokenRoutes)]
					got := f.upload(path, body, fmt.Sprint("k", i))
					if streamed && got.err != nil {
						continue // The connection was cut after a part.
					}
					expectNoResponse(got, "try %d, %s", i, path)
				}
			},
			Entry("without a length", false, "HTTP/1.1 200 OK\r\n\r\npart"),
			Entry("without a length, streamed", true, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("part", 20_000)),
			Entry("of HTTP/1.0", false, "HTTP/1.0 200 OK\r\n\r\npart"),
			Entry("with a length", false, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart"),
			Entry("in chunks", false, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"),
		)

		// Guards against responses that are passed on although nobody can tell what they mean.
		DescribeTable("is not passed on, "+where, func(response string) {
			f := newBrokenFixture(remote, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, response)
			})
			for _, path := range brokenRoutes {
				expectNoResponse(f.post(path, "body", keyHeader, "k"), path)
			}
		},
			Entry("status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"),
			Entry("status 999", "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok"),
			Entry("a blank in the name of a field", "HTTP/1.1 200 OK\r\nX Name: v\r\nContent-Length: 2\r\n\r\nok"),
			Entry("a blank before the colon of the transfer encoding",
				"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
			Entry("a control byte in the name of a field", "HTTP/1.1 200 OK\r\nX\x01Name: v\r\nContent-Length: 2\r\n\r\nok"),
			Entry("a blank in the trailer", chunkedHead+oneChunk+"0\r\nX Sum: v\r\n\r\n"),
			Entry("a control byte in the trailer", chunkedHead+oneChunk+"0\r\nX\x01Sum: v\r\n\r\n"),
		)

		// The same for a response of which a part was passed on before the trailer arrived. A download is held up to 1 MiB.
		It("is cut if the trailer after a streamed body has a blank, "+where, func() {
			f := newBrokenFixture(remote, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, chunkedHead+strings.Repeat(oneChunk, 80_000)+"0\r\nX Sum: v\r\n\r\n")
			})
			for _, path := range brokenRoutes {
				got := f.post(path, "body", keyHeader, "k")
				if path == "/promote" {
					expectNoResponse(got, path) // It is held whole.
					continue
				}
				Expect(got.err).To(HaveOccurred(), path)
			}
		})

		// Guards against a part of a response that looks whole to a caller of HTTP/1.0, for whom it ends with the connection.
		DescribeTable("that was passed on in part does not end regularly for its caller, "+where, func(version string) {
			f := newBrokenFixture(remote, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, chunkedHead+strings.Repeat(oneChunk, 20_000))
			})
			conn := startCall(f, "POST /lookup "+version+"\r\nHost: desk\r\nContent-Length: 0\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			_, err = io.Copy(io.Discard, response.Body)
			Expect(err).To(HaveOccurred())
		},
			Entry("HTTP/1.1", "HTTP/1.1"), Entry("HTTP/1.0", "HTTP/1.0"),
		)
	}
})
