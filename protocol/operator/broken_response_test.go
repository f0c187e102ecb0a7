package operator_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/internal/rawserver"
	"sapphiregate.example/sapphiregate/protocol/operator"
)

// serveBroken starts a member that responds to each request with the given bytes, then closes the connection, or sends
// the last part until it is closed.
func serveBroken(response, endless string) (address string) {
	return rawserver.Start(GinkgoT(), func(conn *net.TCPConn, _ *bufio.Reader, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, err := io.WriteString(conn, response)
		for err == nil && endless != "" {
			_, err = io.WriteString(conn, strings.Repeat(endless, 1000))
		}
	})
}

var _ = Describe("a broken response of a member", func() {
	const ok = "HTTP/1.1 200 OK\r\n"

	// Guards against a change that counts as decided, or a state that is shown, although no member has said so.
	DescribeTable("is no response", func(response, endless string) {
		client := newClient(serveBroken(response, endless))
		_, err := client.Stage(context.Background(), stageRequest())
		Expect(err).To(MatchError(operator.ErrOutcomeUnknown))
		_, err = client.Members(context.Background())
		Expect(err).To(Or(MatchError(operator.ErrUnreachable), MatchError(operator.ErrInternal)))
	},
		Entry("none", "", ""),
		Entry("bytes that are no HTTP", "\x00\xff\x13\x37\r\n\r\n", ""),
		Entry("bytes without end", "", "\x00\xff\x13\x37"),
		Entry("a head without end", ok, "X-Many: x\r\n"),
		Entry("an end within the head", ok+"Content-Length: 2\r\n", ""),
		Entry("a body without a length that is cut", ok+"\r\n{\"version\":", ""),
		Entry("a body with a length that is cut", ok+"Content-Length: 100\r\n\r\n{}", ""),
		Entry("chunks that are cut", ok+"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", ""),
		Entry("no body", ok+"Content-Length: 0\r\n\r\n", ""),
		Entry("a body without end", ok+"\r\n", " "),
		Entry("status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", ""),
		Entry("status 999", "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\n{}", ""),
		Entry("status 204", "HTTP/1.1 204 No Content\r\n\r\n", ""),
		Entry("a redirect", "HTTP/1.1 307 Temporary Redirect\r\nLocation: /\r\nContent-Length: 0\r\n\r\n", ""),
		Entry("a blank in the name of a field", ok+"X Name: v\r\nContent-Length: 2\r\n\r\n{}", ""),
		Entry("a blank before the colon", ok+"Content-Length : 2\r\n\r\n{}", ""),
		Entry("a control byte in the name of a field", ok+"X\x01Name: v\r\nContent-Length: 2\r\n\r\n{}", ""),
		Entry("a blank in the trailer", ok+"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Sum: v\r\n\r\n", ""),
	)
})
