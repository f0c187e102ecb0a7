package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a request whose body arrives late", func() {
	// pause is longer than the time for which the node reads on after its response.
	const pause = 1500 * time.Millisecond
	inner := "POST /lookup/inner HTTP/1.1\r\nHost: desk\r\nContent-Length: 0\r\n\r\n"
	// Guards against the rest of a body that is taken for further requests once the request has been answered.
	DescribeTable("is the only request on its connection that runs", func(path, framing, rest string) {
		var inside atomic.Int64
		f := newFixture(false, newFakeLedger().server.Address(), 4, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/lookup/inner" {
				inside.Add(1)
			}
		})
		conn, err := net.Dial("tcp", f.callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(endlessLimit))).To(Succeed())
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: desk\r\n%s\r\n\r\n", path, framing)
		Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(BeElementOf(http.StatusNotFound, http.StatusRequestEntityTooLarge))
		time.Sleep(pause)
		_, _ = io.WriteString(conn, rest+inner+inner) // The connection may be closed already.
		_, err = io.Copy(io.Discard, reader)
		Expect(err).To(Or(Not(HaveOccurred()), MatchError(ContainSubstring("reset"))), "the connection must close")
		Expect(inside.Load()).To(BeZero())
	},
		Entry("refused, with a length", "/none", fmt.Sprintf("Content-Length: %d", 10+2*len(inner)), strings.Repeat("x", 10)),
		Entry("refused, in chunks", "/none", "Transfer-Encoding: chunked", ""),
		Entry("too long for its route", "/small", "Content-Length: 5000", ""),
	)

	// Guards against a caller that has sent its whole body, gets the refusal, and loses its next request on the connection.
	It("is told that its connection closes if its body is too long to be read after the response", func() {
		f := newFixture(false, newFakeLedger().server.Address(), 4, http.NotFound)
		for _, length := range []int{200 << 10, 1 << 20} {
			conn, err := net.Dial("tcp", f.callers)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			Expect(conn.SetDeadline(time.Now().Add(endlessLimit))).To(Succeed())
			refused := fmt.Sprintf("POST /none HTTP/1.1\r\nHost: desk\r\nContent-Length: %d\r\n\r\n", length)
			go func() { _, _ = io.WriteString(conn, refused+strings.Repeat("x", length)+inner) }()
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusNotFound))
			_, err = io.Copy(io.Discard, response.Body)
			Expect(err).NotTo(HaveOccurred())
			_, err = http.ReadResponse(reader, nil)
			Expect(response.Close).To(Equal(err != nil), "body of %d bytes: the next request got %v", length, err)
		}
	})

	// Guards against a refusal that is lost because the connection is reset while the body still arrives.
	It("gets its response although its body goes on", func() {
		f := newFixture(false, newFakeLedger().server.Address(), 4, http.NotFound)
		conn, err := net.Dial("tcp", f.callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(endlessLimit))).To(Succeed())
		_, err = io.WriteString(conn, "POST /none HTTP/1.1\r\nHost: desk\r\nContent-Length: 100\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for range 30 {
				time.Sleep(50 * time.Millisecond)
				if _, err := io.WriteString(conn, "x"); err != nil {
					return
				}
			}
		}()
		time.Sleep(1100 * time.Millisecond)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
	})
})
