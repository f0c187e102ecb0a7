package web_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/transport/web"
)

func TestWeb(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "web")
}

func post(body string) web.UpstreamRequest {
	request := web.UpstreamRequest{
		Method: http.MethodPost, URI: "/promotions", Header: http.Header{protocol.HeaderIdempotencyKey: {"k1"}},
	}
	if body != "" {
		request.Body = bytes.NewReader([]byte(body))
		request.ContentLength = int64(len(body))
	}
	return request
}

var _ = Describe("UpstreamClient", func() {
	var runs atomic.Int64
	var breakConnection atomic.Bool
	var server *httptest.Server
	var client *web.UpstreamClient

	BeforeEach(func() {
		runs.Store(0)
		breakConnection.Store(false)
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			runs.Add(1)
			if breakConnection.Load() {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, r.Header.Get(protocol.HeaderIdempotencyKey))
		}))
		DeferCleanup(server.Close)
		client = web.NewUpstreamClient(server.Listener.Addr().String(), 4)
		DeferCleanup(client.Close)
	})

	// Guards against an irreversible request that runs twice: net/http resends a request that has an idempotency key when
	// a reused connection breaks.
	DescribeTable("does not let net/http resend a keyed request on a reused connection",
		func(body string) {
			response, err := client.Do(context.Background(), post(body))
			Expect(err).NotTo(HaveOccurred())
			got, err := io.ReadAll(response.HTTP.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(got)).To(Equal("k1"), "idempotency key that the upstream received")
			Expect(response.HTTP.Body.Close()).To(Succeed())

			breakConnection.Store(true)
			_, err = client.Do(context.Background(), post(body))
			Expect(err).To(MatchError(web.ErrConnectionBroken))
			Expect(runs.Load()).To(BeEquivalentTo(2))
		},
		Entry("without a body", ""),
		Entry("with a body", "belt=black"),
	)

	// Guards against a goroutine for each request that its caller gave up in the middle of the body.
	It("leaves a streamed body alone after the request has ended", func() {
		reader, writer := io.Pipe()
		request := post("")
		request.Body, request.Streamed, request.ContentLength = reader, true, 1000
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		ended := make(chan error, 1)
		go func() {
			_, err := client.Do(ctx, request)
			ended <- err
		}()
		_, err := writer.Write([]byte("a part"))
		Expect(err).NotTo(HaveOccurred())
		Expect(goroutines()).To(ContainSubstring("interruptibleBody"))
		// Without a read in progress, the write after the end of the request would wait for ever.
		Eventually(goroutines).Should(ContainSubstring("io.(*pipe).read("))
		cancel()
		Eventually(ended).Should(Receive(HaveOccurred()))
		_, err = writer.Write([]byte("what the read in progress gets"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(goroutines).ShouldNot(ContainSubstring("interruptibleBody"))
	})

	It("returns ErrNotWritten when the connection is refused", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, err = web.NewUpstreamClient(address, 1).Do(context.Background(), post("x"))
		Expect(err).To(MatchError(web.ErrNotWritten))
	})
})

// goroutines returns the stacks of all goroutines.
func goroutines() string {
	buffer := make([]byte, 1<<20)
	return string(buffer[:runtime.Stack(buffer, true)])
}

var _ = Describe("CopyHeader", func() {
	It("drops hop-by-hop fields and those that Connection names", func() {
		header := http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-Kept": {"2"}}
		Expect(web.CopyHeader(header)).To(Equal(http.Header{"X-Kept": {"2"}}))
	})
})
