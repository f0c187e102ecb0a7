package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/node"
)

// stallingLink holds up all traffic of its connections, new ones included, while it is stalled, and loses none: like an
// instance that gets no processor time.
type stallingLink struct {
	mu   sync.Mutex
	open chan struct{}
}

func newStallingLink() *stallingLink {
	l := &stallingLink{open: make(chan struct{})}
	close(l.open)
	return l
}

func (l *stallingLink) gate() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// stall holds up the traffic for a duration.
func (l *stallingLink) stall(duration time.Duration) {
	l.mu.Lock()
	open := make(chan struct{})
	l.open = open
	l.mu.Unlock()
	time.AfterFunc(duration, func() { close(open) })
}

func (l *stallingLink) dial(ctx context.Context, address string) (net.Conn, error) {
	select {
	case <-l.gate():
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &stallingConn{Conn: conn, link: l}, nil
}

type stallingConn struct {
	net.Conn
	link *stallingLink
}

func (c *stallingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	<-c.link.gate()
	return n, err
}

func (c *stallingConn) Write(data []byte) (int, error) {
	<-c.link.gate()
	return c.Conn.Write(data)
}

var _ = Describe("an instance that is silent for a while", func() {
	const (
		// silence is longer than the time after which calls go to other instances, and shorter than that after which an
		// instance counts as lost.
		silence = 2 * time.Second
		runTime = 2500 * time.Millisecond
		grace   = 6 * time.Second
	)

	// slowFixture is an upstream whose requests take runTime, beside another node than the ingress. cut counts its requests
	// that were broken off.
	slowFixture := func(link *stallingLink, cut *atomic.Int32) *fixture {
		return newFixture(true, newFakeLedger().server.Address(), 1, func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				return // A health check.
			}
			_, _ = io.Copy(io.Discard, r.Body)
			select {
			case <-time.After(runTime):
				fmt.Fprint(w, "whole")
			case <-r.Context().Done():
				cut.Add(1)
			}
		}, func(o *node.Options) { o.CallDialer = link.dial })
	}

	// Guards against a request that is given up while its upstream is at work, because the node beside it did not answer
	// probes for about a second, and for which no other upstream has room.
	It("still owes the response to the lookups that run there", func() {
		link, cut := newStallingLink(), new(atomic.Int32)
		f := slowFixture(link, cut)
		results := make(chan callResult, 1)
		go func() { results <- f.post("/lookup", "") }()
		Eventually(f.executor.InFlight, eventuallyTimeout).Should(Equal(1))
		link.stall(silence)
		var result callResult
		Eventually(results, eventuallyTimeout).Should(Receive(&result))
		Expect(result.err).NotTo(HaveOccurred())
		Expect(result.status).To(Equal(http.StatusOK), "%s", result.body)
		Expect(string(result.body)).To(Equal("whole"))
		Expect(cut.Load()).To(BeZero())
	})

	// The same while the node that took the request and the node at whose upstream it runs stop, in each order of the
	// two stops and the silence.
	It("still owes it while either node stops, in any order", func() {
		type steps [3]func()
		type play struct {
			name    string
			f       *fixture
			link    *stallingLink
			cut     atomic.Int32
			result  callResult
			stopErr [2]error
		}
		orders := [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
		var plays []*play
		for _, order := range orders {
			p := &play{name: fmt.Sprint(order), link: newStallingLink()}
			p.f = slowFixture(p.link, &p.cut)
			plays = append(plays, p)
		}
		var tasks sync.WaitGroup
		stop := func(n *node.Node, err *error) func() {
			return func() {
				tasks.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), grace)
					defer cancel()
					*err = n.Stop(ctx)
				})
			}
		}
		for i, p := range plays {
			all := steps{
				stop(p.f.ingress, &p.stopErr[0]), stop(p.f.executor, &p.stopErr[1]), func() { p.link.stall(silence) },
			}
			tasks.Go(func() { p.result = p.f.post("/lookup", "") })
			tasks.Go(func() {
				for p.f.executor.InFlight() == 0 {
					time.Sleep(5 * time.Millisecond)
				}
				for _, step := range orders[i] {
					all[step]()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		tasks.Wait()
		for _, p := range plays {
			Expect(p.result.err).NotTo(HaveOccurred(), p.name)
			Expect(p.result.status).To(Equal(http.StatusOK), "%s: %s", p.name, p.result.body)
			Expect(p.cut.Load()).To(BeZero(), p.name)
			Expect(p.stopErr).To(Equal([2]error{}), p.name)
		}
	})

	// Guards against lookups that wait until their deadline (15 s here) on a connection that went silent for good, while their
	// instance responds on others.
	It("no longer owes it on a connection that carries nothing although the instance responds", func() {
		var runs atomic.Int32
		release := make(chan struct{})
		defer close(release)
		link := new(blackholeLink)
		f := newFixture(true, newFakeLedger().server.Address(), 4, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && runs.Add(1) == 1 {
				<-release
			}
			fmt.Fprint(w, "whole")
		}, func(o *node.Options) { o.CallDialer, o.NoHedging = link.dial, true })
		results := make(chan callResult, 1)
		go func() { results <- f.post("/lookup", "") }()
		Eventually(f.executor.InFlight, eventuallyTimeout).Should(Equal(1))
		link.dropping.Store(true)
		time.AfterFunc(silence, func() { link.dropping.Store(false) })
		var result callResult
		Eventually(results, 10*time.Second).Should(Receive(&result))
		Expect(result.err).NotTo(HaveOccurred())
		Expect(result.status).To(Equal(http.StatusOK), "%s", result.body)
	})
})
