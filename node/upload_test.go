package node_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

var _ = Describe("an upload", func() {
	const small, large = 300_000, 3_000_000
	var runs atomic.Int64
	BeforeEach(func() { runs.Store(0) })

	// uploadBundle returns testBundle with route /stream for uploads of up to 4 MB.
	uploadBundle := func() *bundle.Bundle {
		b := testBundle()
		for i := range b.Routes {
			if b.Routes[i].Name == "stream" {
				b.Routes[i].Class, b.Routes[i].MaxBodyBytes = bundle.ClassUpload, 4_000_000
			}
		}
		return b
	}
	start := func(remote bool, slots int, handler http.HandlerFunc, configure ...func(*node.Options)) *fixture {
		f := newFixture(remote, newFakeLedger().server.Address(), slots, func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			handler(w, r)
		}, configure...)
		Expect(f.ingress.PutInForce(bundle.Approval{Version: 2}, uploadBundle())).To(Succeed())
		return f
	}
	countBytes := func(w http.ResponseWriter, r *http.Request) {
		size, err := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, size, err)
	}
	// begin sends the header of an upload and a part of its body. repeat can send more.
	begin := func(f *fixture, size, part int) (net.Conn, *bufio.Reader) {
		conn := startCall(f, fmt.Sprintf("POST /stream HTTP/1.1\r\nHost: desk\r\nContent-Length: %d\r\nSapphire-Deadline-Ms: %d\r\n\r\n%s",
			size, endlessDeadline.Milliseconds(), strings.Repeat("x", part)))
		Expect(conn.SetDeadline(time.Now().Add(endlessLimit))).To(Succeed())
		return conn, bufio.NewReader(conn)
	}

	for _, remote := range []bool{false, true} {
		where := map[bool]string{false: "on the local upstream", true: "through another node"}[remote]

		DescribeTable("arrives whole, with a length and in chunks, "+where, func(size int) {
			f := start(remote, 4, countBytes)
			Expect(string(f.post("/stream", strings.Repeat("x", size)).body)).To(Equal(fmt.Sprint(size, " <nil>")))
			got := f.send(context.Background(), "/stream", newChunkedBody(size))
			Expect(string(got.body)).To(Equal(fmt.Sprint(size, " <nil>")))
		},
			Entry("empty", 0), Entry("short", 160), Entry("buffered", small), Entry("streamed", large),
		)

		It("is refused beyond the bound of its route, and is not taken for complete, "+where, func() {
			var whole atomic.Bool
			f := start(remote, 4, func(w http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				whole.Store(err == nil)
			})
			got := f.post("/stream", strings.Repeat("x", 4_000_001))
			Expect(got.status).To(Equal(http.StatusRequestEntityTooLarge))
			Expect(got.outcome()).To(Equal("not-run"))
			Expect(runs.Load()).To(BeZero())
			got = f.send(context.Background(), "/stream", newChunkedBody(40_000_000))
			Expect(got.err != nil || got.status == http.StatusRequestEntityTooLarge).To(BeTrue())
			Expect(whole.Load()).To(BeFalse())
		})

		// Guards against a slot that is held by a caller that is slow.
		It("takes a slot only once a slow caller has sent it, "+where, func() {
			f := start(remote, 1, countBytes)
			conn, reader := begin(f, small, small/2)
			Consistently(f.executor.InFlight, 300*time.Millisecond).Should(BeZero())
			Expect(f.post("/lookup", "").status).To(Equal(http.StatusOK))
			_, err := io.WriteString(conn, strings.Repeat("x", small-small/2))
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		})

		// Guards against an answer that waits for a slow caller's next bytes, and against a second run.
		DescribeTable("is answered at once, and runs once, if its upstream does not read all of it, "+where,
			func(handler http.HandlerFunc, status int) {
				f := start(remote, 4, handler)
				_, reader := begin(f, large, 200_000) // The rest never comes.
				started := time.Now()
				response, err := http.ReadResponse(reader, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(status))
				Expect(time.Since(started)).To(BeNumerically("<", endlessDeadline/2))
				Expect(runs.Load()).To(Equal(int64(1)))
				Eventually(f.executor.InFlight, eventuallyTimeout).Should(BeZero())
				Eventually(f.ingress.RequestsInFlight, eventuallyTimeout).Should(BeZero())
			},
			Entry("it answers early", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusAccepted)
			}), http.StatusAccepted),
			Entry("it resets the connection", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadFull(r.Body, make([]byte, 200_000))
				panic(http.ErrAbortHandler)
			}), http.StatusBadGateway),
			Entry("it refuses", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(protocol.HeaderOutcome, "not-run")
				w.WriteHeader(http.StatusServiceUnavailable)
			}), http.StatusServiceUnavailable),
		)
	}

	// Guards against "not run" for an upload that an upstream may have run, and against a second run of it.
	It("has an unknown outcome when the node beside its upstream stops in the middle", func() {
		reached := make(chan struct{})
		f := start(true, 4, func(_ http.ResponseWriter, r *http.Request) {
			close(reached)
			_, _ = io.Copy(io.Discard, r.Body)
		})
		_, reader := begin(f, large, 2_000_000)
		Eventually(reached, eventuallyTimeout).Should(BeClosed())
		f.executor.Kill()
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(response.Header.Get(protocol.HeaderOutcome)).To(Equal("unknown"))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	// Guards against a refusal by one upstream that ends an upload although another one has room.
	It("is sent to another upstream after a refusal, whole and once", func() {
		f := start(true, 4, countBytes)
		full, _, _ := startNode("full", "127.0.0.1:9")
		Expect(full.AcceptUpstream(node.Announcement{Service: "desk", Address: "127.0.0.1:9", Slots: 64})).To(Succeed())
		Eventually(func() bool { _, ok := full.OwnRecord(); return ok }, eventuallyTimeout).Should(BeTrue())
		record, _ := full.OwnRecord()
		Expect(f.ingress.MergeEndpoint(record)).To(Succeed())
		const uploads = 20
		for range uploads {
			got := f.post("/stream", strings.Repeat("x", small))
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(string(got.body)).To(Equal(fmt.Sprint(small, " <nil>")))
		}
		Expect(runs.Load()).To(Equal(int64(uploads)))
	})

	// Guards against memory that grows with the number and length of uploads.
	It("is streamed when the node holds as many as it may", func() {
		f := start(true, 64, countBytes)
		var results []<-chan callResult
		body := strings.Repeat("x", 900_000)
		for range 40 {
			results = append(results, f.async(context.Background(), "/stream", body))
		}
		for _, result := range results {
			Expect(string((<-result).body)).To(Equal("900000 <nil>"))
			Expect(f.ingress.ReservedUploadBytes()).To(BeNumerically("<=", 16<<20))
		}
		Eventually(f.ingress.ReservedUploadBytes, eventuallyTimeout).Should(BeZero())
	})

	// Guards against short calls that wait behind the bodies of uploads on the link of their instance.
	It("does not delay a short request on the same link", func() {
		f := start(true, 64, countBytes, func(o *node.Options) { o.Limits.LinkMegabits = 16; o.CallDialer = slowLink(16) })
		var results []<-chan callResult
		started := time.Now()
		for range 4 {
			results = append(results, f.async(context.Background(), "/stream", strings.Repeat("x", small)))
		}
		for range 10 {
			began := time.Now()
			Expect(f.post("/lookup", "").status).To(Equal(http.StatusOK))
			Expect(time.Since(began)).To(BeNumerically("<", 150*time.Millisecond))
		}
		for _, result := range results {
			Expect(string((<-result).body)).To(Equal(fmt.Sprint(small, " <nil>")))
		}
		Expect(time.Since(started)).To(BeNumerically(">=", 4*small*time.Second/2_000_000), "the rate of the link")
	})
})

// queuedConn sends what is written to it at the rate of a link, and queues the rest as the link's buffer does.
type queuedConn struct {
	net.Conn
	queue chan []byte
}

// slowLink returns a dialer whose connections send at most the given Mbit/s.
func slowLink(megabits float64) rpc.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		c := &queuedConn{Conn: conn, queue: make(chan []byte, 10_000)}
		go func() {
			for data := range c.queue {
				time.Sleep(time.Duration(float64(len(data)) * 8 / megabits * float64(time.Microsecond)))
				if _, err := conn.Write(data); err != nil {
					return
				}
			}
		}()
		return c, nil
	}
}

func (c *queuedConn) Write(data []byte) (int, error) {
	c.queue <- bytes.Clone(data)
	return len(data), nil
}
