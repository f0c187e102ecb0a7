package shape

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// testingT is the test that runs the specs; synctest.Test requires a *testing.T.
var testingT *testing.T

func TestShape(t *testing.T) {
	testingT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "shape")
}

var (
	endpointA = Endpoint{Zone: "a", Process: "p"}
	endpointB = Endpoint{Zone: "b", Process: "q"}
)

// withFakeTime runs f with fake time and both ends of a shaped connection. The network uses only timers of the Go
// runtime, because fake time does not apply to a timerfd.
func withFakeTime(link Link, f func(n *Network, local, remote net.Conn)) {
	GinkgoHelper()
	synctest.Test(testingT, func(*testing.T) {
		defer GinkgoRecover()
		n := newNetwork(1, newTimerWaker())
		n.SetLink("a", "b", link)
		raw, remote := net.Pipe()
		defer n.Close()
		defer remote.Close()
		f(n, n.Wrap(raw, endpointA, endpointB, KindCall), remote)
	})
}

func send(c net.Conn, text string) {
	GinkgoHelper()
	n, err := c.Write([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	Expect(n).To(Equal(len(text)))
}

func receive(c net.Conn, size int) string {
	GinkgoHelper()
	data := make([]byte, size)
	_, err := io.ReadFull(c, data)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// expectNothingArrives expects that nothing arrives within an hour.
func expectNothingArrives(c net.Conn) {
	GinkgoHelper()
	Expect(c.SetReadDeadline(time.Now().Add(time.Hour))).To(Succeed())
	_, err := c.Read(make([]byte, 1))
	Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
}

var _ = Describe("Wrap", func() {
	// Guards against a delay that applies only once per round trip, or that adds up over writes in flight at the same
	// time.
	It("delays each direction by exactly the link's delay", func() {
		withFakeTime(Link{Delay: 4 * time.Millisecond}, func(_ *Network, local, remote net.Conn) {
			start := time.Now()
			send(local, "one")
			time.Sleep(time.Millisecond)
			send(local, "two")
			Expect(receive(remote, 3)).To(Equal("one"))
			Expect(time.Since(start)).To(Equal(4 * time.Millisecond))
			Expect(receive(remote, 3)).To(Equal("two"))
			Expect(time.Since(start)).To(Equal(5 * time.Millisecond))
			send(remote, "back")
			Expect(receive(local, 4)).To(Equal("back"))
			Expect(time.Since(start)).To(Equal(9 * time.Millisecond))
		})
	})

	// Guards against bytes that overtake each other when delays vary or change.
	It("keeps the order of bytes under jitter, loss and changing delays", func() {
		link := Link{Delay: 5 * time.Millisecond, Jitter: 5 * time.Millisecond, Loss: 0.2}
		withFakeTime(link, func(n *Network, local, remote net.Conn) {
			rng := rand.New(rand.NewPCG(1, 1))
			want := make([]byte, 200_000)
			for i := range want {
				want[i] = byte(rng.Uint32())
			}
			go func() {
				for rest := want; len(rest) > 0; {
					size := min(len(rest), 1+rng.IntN(3000))
					_, _ = local.Write(rest[:size])
					rest = rest[size:]
					time.Sleep(time.Duration(rng.IntN(1000)) * time.Microsecond)
					n.SetLink("a", "b", Link{Delay: time.Duration(rng.IntN(9)) * time.Millisecond, Loss: 0.2})
				}
			}()
			Expect(bytes.Equal([]byte(receive(remote, len(want))), want)).To(BeTrue())
		})
	})

	// Guards against losses that have no effect or that appear as errors.
	It("shows a loss as a retransmission delay", func() {
		withFakeTime(Link{Delay: time.Millisecond, Loss: 1, Retransmit: 10 * time.Millisecond}, func(_ *Network, local, remote net.Conn) {
			start := time.Now()
			send(local, "lost")
			Expect(receive(remote, 4)).To(Equal("lost"))
			Expect(time.Since(start)).To(Equal(311 * time.Millisecond))
		})
	})

	// Guards against a partition that causes an error, blocks only one direction or loses held data.
	It("holds data in both directions during a partition and delivers it afterwards", func() {
		withFakeTime(Link{Delay: 4 * time.Millisecond}, func(n *Network, local, remote net.Conn) {
			n.CutZone("b", CutHold)
			send(local, "held")
			send(remote, "back")
			expectNothingArrives(local)
			expectNothingArrives(remote)
			healed := time.Now()
			n.HealZone("b")
			Expect(receive(remote, 4)).To(Equal("held"))
			Expect(receive(local, 4)).To(Equal("back"))
			Expect(time.Since(healed)).To(Equal(4 * time.Millisecond))
		})
	})

	// Guards against a connection that continues after a gap in its bytes.
	It("delivers nothing more after a partition has dropped data", func() {
		withFakeTime(Link{}, func(n *Network, local, remote net.Conn) {
			n.CutProcess("q", CutDrop)
			send(local, "gone")
			expectNothingArrives(remote)
			n.HealProcess("q")
			send(local, "after")
			expectNothingArrives(remote)
		})
	})

	// Guards against a close that passes a partition and so tells the other side immediately that the connection is gone.
	It("hides a close until the partition heals", func() {
		withFakeTime(Link{Delay: time.Millisecond}, func(n *Network, local, remote net.Conn) {
			n.CutZone("a", CutHold)
			Expect(local.Close()).To(Succeed())
			expectNothingArrives(remote)
			n.HealZone("a")
			_, err := remote.Read(make([]byte, 1))
			Expect(err).To(MatchError(io.EOF))
		})
	})

	// Guards against a partition that affects zones or processes other than the named one.
	It("cuts only the named zone or process", func() {
		withFakeTime(Link{}, func(n *Network, local, remote net.Conn) {
			n.CutZone("c", CutHold)
			n.CutProcess("r", CutHold)
			go send(local, "through")
			Expect(receive(remote, 7)).To(Equal("through"))
		})
	})

	// Guards against a writer that never blocks and so buffers without limit during a partition.
	It("blocks a writer when too much data is in flight, until its write deadline", func() {
		withFakeTime(Link{Delay: time.Millisecond}, func(n *Network, local, _ net.Conn) {
			n.CutZone("b", CutHold)
			Expect(local.SetWriteDeadline(time.Now().Add(time.Minute))).To(Succeed())
			var err error
			written := 0
			for err == nil && written < 4*maxQueuedBytes {
				var count int
				count, err = local.Write(make([]byte, 64<<10))
				written += count
			}
			Expect(err).To(MatchError(os.ErrDeadlineExceeded))
			Expect(written).To(Equal(maxQueuedBytes))
		})
	})

	// Guards against counts that mix up zones, kinds or directions.
	It("counts bytes per pair of zones and kind", func() {
		withFakeTime(Link{}, func(n *Network, local, remote net.Conn) {
			go send(local, "12345")
			receive(remote, 5)
			go send(remote, "123")
			receive(local, 3)
			Expect(n.Counts()).To(Equal([]Count{{"a", "b", KindCall, 5}, {"b", "a", KindCall, 3}}))
		})
	})

	// Guards against runs that differ under the same seed.
	It("draws the same delays for the same seed", func() {
		draw := func(seed int64) (delays []time.Duration) {
			n := newNetwork(seed, newTimerWaker())
			defer n.Close()
			l := &direction{from: endpointA, to: endpointB}
			l.rng = n.newRand(l, 1)
			now := time.Now()
			for range 20 {
				delays = append(delays, l.arrivalTime(now, Link{Jitter: time.Second, Loss: 0.1}, 5000).Sub(now))
			}
			return delays
		}
		Expect(draw(1)).To(Equal(draw(1)))
		Expect(draw(1)).NotTo(Equal(draw(2)))
	})
})

var _ = Describe("Dialer", func() {
	// Guards against failures that occur only with real sockets: data larger than the socket buffers, and dials during a
	// partition.
	It("carries data over TCP and waits for a partition to heal", func() {
		n := NewNetwork(1)
		defer n.Close()
		n.SetLink("a", "b", Link{Delay: 2 * time.Millisecond, Jitter: time.Millisecond})
		listener, err := n.Listen("127.0.0.1:0", endpointB)
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(c, c) }()
			}
		}()
		n.CutProcess("q", CutHold)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err = n.Dialer(endpointA, KindCall)(ctx, "tcp", listener.Addr().String())
		Expect(err).To(MatchError(context.DeadlineExceeded))
		n.HealProcess("q")

		c, err := n.Dialer(endpointA, KindCall)(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		want := bytes.Repeat([]byte("0123456789"), 1<<18)
		go func() { _, _ = c.Write(want) }()
		Expect(receive(c, len(want)) == string(want)).To(BeTrue())
		Expect(c.Close()).To(Succeed())
	})
})
