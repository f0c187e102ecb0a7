package web_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/transport/web"
)

// closeWrite ends what an upstream sends.
func closeWrite(conn *net.TCPConn) { _ = conn.CloseWrite() }

var _ = Describe("a malformed response", func() {
	// request returns the response of an upstream, with its whole body, to a call and to a health check.
	requests := map[string]func(client *web.UpstreamClient) error{
		"to a call": func(client *web.UpstreamClient) error {
			response, err := client.Do(context.Background(), web.UpstreamRequest{Method: http.MethodGet, URI: "/", Header: http.Header{}})
			if err != nil {
				return err
			}
			defer response.Discard()
			_, err = io.ReadAll(response.HTTP.Body)
			return err
		},
		"to a health check": func(client *web.UpstreamClient) error {
			_, err := client.Get(context.Background(), "/health", 1000)
			return err
		},
	}
	const withLength, inChunks = "Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"

	for kind, send := range requests {
		sendTo := func(response string) error {
			client := web.NewUpstreamClient(startEarlyUpstream(response, closeWrite), 1)
			DeferCleanup(client.Close)
			return send(client)
		}

		// Guards against responses that are passed on although nobody can tell what they mean (RFC 9112, section 5).
		DescribeTable("is not returned "+kind+" if the name of a field is not a token", func(response string) {
			Expect(sendTo(response)).NotTo(Succeed())
		},
			Entry("a blank within it", "HTTP/1.1 200 OK\r\nX Name: v\r\n"+withLength),
			Entry("a blank before the colon", "HTTP/1.1 200 OK\r\nX-Name : v\r\n"+withLength),
			Entry("a blank before the colon of the length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok"),
			Entry("a blank before the colon of the transfer encoding",
				"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
			Entry("a blank at the start of the first line", "HTTP/1.1 200 OK\r\n X-Name: v\r\n"+withLength),
			Entry("a tab", "HTTP/1.1 200 OK\r\nX\tName: v\r\n"+withLength),
			Entry("a control byte", "HTTP/1.1 200 OK\r\nX\x01Name: v\r\n"+withLength),
			Entry("a zero byte", "HTTP/1.1 200 OK\r\nX\x00Name: v\r\n"+withLength),
			Entry("a carriage return", "HTTP/1.1 200 OK\r\nX\rName: v\r\n"+withLength),
			Entry("a byte beyond ASCII", "HTTP/1.1 200 OK\r\nX\xe9Name: v\r\n"+withLength),
			Entry("a delimiter", "HTTP/1.1 200 OK\r\nX(Name): v\r\n"+withLength),
			Entry("no byte", "HTTP/1.1 200 OK\r\n: v\r\n"+withLength),
			Entry("no colon", "HTTP/1.1 200 OK\r\nX-Name\r\n"+withLength),
			Entry("a blank in the trailer", "HTTP/1.1 200 OK\r\n"+inChunks+"X Sum: v\r\n\r\n"),
			Entry("a blank before the colon in the trailer", "HTTP/1.1 200 OK\r\n"+inChunks+"X-Sum : v\r\n\r\n"),
			Entry("a control byte in the trailer", "HTTP/1.1 200 OK\r\n"+inChunks+"X\x01Sum: v\r\n\r\n"),
			Entry("a blank in the announcement of the trailer", "HTTP/1.1 200 OK\r\nTrailer: X Sum\r\n"+inChunks+"\r\n"),
		)

		// Guards against a status that means nothing to the caller (RFC 9110, section 15, and RFC 9112, section 4).
		DescribeTable("is not returned "+kind+" if its status line is not that of a final response", func(line string) {
			Expect(sendTo(line + "\r\n" + withLength)).NotTo(Succeed())
		},
			Entry("000", "HTTP/1.1 000 OK"), Entry("099", "HTTP/1.1 099 OK"), Entry("101", "HTTP/1.1 101 OK"),
			Entry("600", "HTTP/1.1 600 OK"), Entry("999", "HTTP/1.1 999 OK"), Entry("no code", "HTTP/1.1"),
			Entry("two digits", "HTTP/1.1 20 OK"), Entry("four digits", "HTTP/1.1 2000 OK"), Entry("a sign", "HTTP/1.1 +20 OK"),
			Entry("a negative code", "HTTP/1.1 -20 OK"), Entry("letters", "HTTP/1.1 2xx OK"), Entry("no version", "200 OK"),
			Entry("another protocol", "HTCPCP/1.0 200 OK"), Entry("version 0.9", "HTTP/0.9 200 OK"),
			Entry("version 2", "HTTP/2.0 200 OK"), Entry("version 9.9", "HTTP/9.9 200 OK"),
			Entry("lower case", "http/1.1 200 OK"), Entry("a blank before it", " HTTP/1.1 200 OK"),
		)

		// Guards against heads that take far more memory than bytes.
		It("is not returned "+kind+" if it has too many fields", func() {
			distinct := func(count int) (fields string) {
				for i := range count {
					fields += fmt.Sprintf("X-%d: v\r\n", i)
				}
				return fields
			}
			Expect(sendTo("HTTP/1.1 200 OK\r\n" + distinct(999) + withLength)).To(Succeed())
			Expect(sendTo("HTTP/1.1 200 OK\r\n" + distinct(1000) + withLength)).NotTo(Succeed())
			Expect(sendTo("HTTP/1.1 200 OK\r\n" + strings.Repeat("X: v\r\n", 1000) + withLength)).NotTo(Succeed())
		})

		It("is told from a well-formed one "+kind, func() {
			for _, line := range []string{"HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 599 Odd"} {
				Expect(sendTo(line+"\r\n"+withLength)).To(Succeed(), line)
			}
			Expect(sendTo("HTTP/1.1 200 OK\r\n" + withLength)).To(Succeed())
			Expect(sendTo("HTTP/1.1 200 OK\r\nx_name.1~!: \tv \r\nTrailer: X-Sum\r\n" + inChunks + "X-Sum: v\r\n\r\n")).To(Succeed())
		})
	}
})
