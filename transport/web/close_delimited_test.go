package web_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/internal/rawserver"
	"sapphiregate.example/sapphiregate/transport/web"
)

// startEarlyUpstream starts an upstream that responds once it has read the head of a request, and then calls the function.
func startEarlyUpstream(response string, after func(*net.TCPConn, *bufio.Reader)) (address string) {
	return rawserver.Start(GinkgoT(), func(conn *net.TCPConn, rest *bufio.Reader, _ *http.Request) {
		if _, err := io.WriteString(conn, response); err == nil {
			after(conn, rest)
		}
	})
}

// endlessBody is the body of a request whose sender never finishes. Once the connection fails, Close keeps the transport
// in its write until the test releases it: the response can then be read between the failure of the write and the end of
// the exchange.
type endlessBody struct {
	failed, release chan struct{}
	once            sync.Once
}

func newEndlessBody() *endlessBody {
	return &endlessBody{failed: make(chan struct{}), release: make(chan struct{})}
}

func (b *endlessBody) Read(data []byte) (int, error) { return len(data), nil }

func (b *endlessBody) Close() error {
	b.once.Do(func() { close(b.failed) })
	<-b.release
	return nil
}

var _ = Describe("a response that ends with its connection", func() {
	const part = "HTTP/1.1 200 OK\r\n\r\npart"

	upload := func(address string, body io.Reader) *web.UpstreamResponse {
		client := web.NewUpstreamClient(address, 1)
		DeferCleanup(client.Close)
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		DeferCleanup(cancel)
		response, err := client.Do(ctx, web.UpstreamRequest{
			Method: http.MethodPost, URI: "/", Header: http.Header{}, Body: body, ContentLength: -1,
		})
		Expect(err).NotTo(HaveOccurred())
		return response
	}
	readAll := func(response *web.UpstreamResponse) (string, error) {
		data, err := io.ReadAll(response.HTTP.Body)
		return string(data), err
	}

	// Guards against a part of a response that is passed on as a whole one: the kernel reports a reset once, and if the
	// write of the request gets it, the next read returns the same as at a regular end.
	It("is truncated if a reset was reported to the write of the request", func() {
		received := make(chan struct{})
		address := startEarlyUpstream(part, func(conn *net.TCPConn, _ *bufio.Reader) {
			<-received
			_ = conn.SetLinger(0) // Close sends a reset.
		})
		body := newEndlessBody()
		defer close(body.release)
		response := upload(address, body)
		_, err := io.ReadFull(response.HTTP.Body, make([]byte, len("part")))
		Expect(err).NotTo(HaveOccurred())
		close(received)
		Eventually(body.failed, eventuallyTimeout).Should(BeClosed())
		_, err = readAll(response)
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	// The rule must not take a response for truncated that has arrived whole.
	It("is complete if the upstream closes its side, although the request is still written", func() {
		read := make(chan struct{})
		defer close(read)
		address := startEarlyUpstream(part, func(conn *net.TCPConn, _ *bufio.Reader) {
			_ = conn.CloseWrite()
			<-read // The write waits, since nothing is read.
		})
		body := newEndlessBody()
		close(body.release)
		Expect(readAll(upload(address, body))).To(Equal("part"), "the response does not wait for the request")
	})

	It("is complete if the upstream closes its side and resets the connection afterwards", func() {
		closed := make(chan struct{})
		address := startEarlyUpstream(part, func(conn *net.TCPConn, _ *bufio.Reader) {
			_ = conn.CloseWrite()
			<-closed
			_ = conn.SetLinger(0)
		})
		body := newEndlessBody()
		defer close(body.release)
		response := upload(address, body)
		close(closed)
		Eventually(body.failed, eventuallyTimeout).Should(BeClosed())
		Expect(readAll(response)).To(Equal("part"))
	})
})
