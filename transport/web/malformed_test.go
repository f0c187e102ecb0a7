package web_test

import (
	"bufio"
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
func closeWrite(conn *net.TCPConn, _ *bufio.Reader) { _ = conn.CloseWrite() }

var _ = Describe("a malformed response", func() {
	// requests holds functions that send a request and read its whole response.
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

		// Guards against a body that is not the upstream's (RFC 9112, sections 6 and 7).
		DescribeTable("is not returned "+kind+" if its framing is faulty", func(response string) {
			Expect(sendTo(response)).NotTo(Succeed())
		},
			Entry("a length that is not reached", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"),
			Entry("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"+withLength),
			Entry("a negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"),
			Entry("a length with a sign", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok"),
			Entry("an empty length", "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nok"),
			Entry("a length beyond all bounds", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nok"),
			Entry("an unknown transfer encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n\r\nok"),
			Entry("two transfer encodings", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, "+inChunks[len("Transfer-Encoding: "):]+"\r\n"),
			Entry("a transfer encoding in HTTP/1.0", "HTTP/1.0 200 OK\r\n"+inChunks+"\r\n"),
			Entry("a transfer encoding and a length in HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 12\r\n"+inChunks+"\r\n"),
			Entry("a chunk size that is no number", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nok\r\n0\r\n\r\n"),
			Entry("a negative chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n"),
			Entry("a chunk that is longer than its size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n"),
			Entry("no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"),
			Entry("an end within the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0"),
			Entry("no end of the trailer", "HTTP/1.1 200 OK\r\n"+inChunks),
			Entry("an end within the trailer", "HTTP/1.1 200 OK\r\n"+inChunks+"X-Sum: v\r\n"),
			Entry("a zero byte in a value", "HTTP/1.1 200 OK\r\nX-Name: a\x00b\r\n"+withLength),
			Entry("a carriage return in a value", "HTTP/1.1 200 OK\r\nX-Name: a\rb\r\n"+withLength),
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

	// Guards against an upstream that is drained for good because a health check that was cut says that it leaves.
	It("to a health check gives no report if its body is cut", func() {
		client := web.NewUpstreamClient(startEarlyUpstream("HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nContent-Length: 3\r\n\r\nok", closeWrite), 1)
		DeferCleanup(client.Close)
		report, err := client.Get(context.Background(), "/health", 1000)
		Expect(err).To(MatchError(web.ErrTruncated))
		Expect(report).To(Equal(web.Report{}))
	})

	// Guards against a rule that looks at the bodies of responses, or at the first response of a connection only.
	It("is found after well-formed ones on the same connection", func() {
		const body = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		next := func(conn *net.TCPConn, reader *bufio.Reader, response string) {
			if _, err := http.ReadRequest(reader); err == nil {
				_, _ = io.WriteString(conn, response)
			}
		}
		address := startEarlyUpstream(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
			func(conn *net.TCPConn, reader *bufio.Reader) {
				next(conn, reader, "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"+withLength)
				next(conn, reader, "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"+inChunks+"\r\n")
			})
		client := web.NewUpstreamClient(address, 1)
		DeferCleanup(client.Close)
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		send := func() error {
			response, err := client.Do(ctx, web.UpstreamRequest{Method: http.MethodGet, URI: "/", Header: http.Header{}})
			if err == nil {
				_, err = io.ReadAll(response.HTTP.Body)
			}
			return err
		}
		Expect(send()).To(Succeed())
		Expect(send()).To(Succeed())
		Expect(send()).To(MatchError(web.ErrConnectionBroken))
	})
})
