package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// untrackedAfter is longer than the time after its last call for which an instance is tracked.
const untrackedAfter = time.Second

// blackholeLink is a link to an instance that can drop all traffic without closing connections, like a loss of power.
type blackholeLink struct {
	dropping atomic.Bool
}

func (l *blackholeLink) dial(ctx context.Context, address string) (net.Conn, error) {
	if l.dropping.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &blackholeConn{Conn: conn, link: l, closed: make(chan struct{})}, nil
}

// blackholeConn stays open and carries no more data once its link has dropped traffic, even if the peer has stopped.
type blackholeConn struct {
	net.Conn
	link       *blackholeLink
	blackholed atomic.Bool
	once       sync.Once
	closed     chan struct{}
}

func (c *blackholeConn) isBlackholed() bool {
	if c.link.dropping.Load() {
		c.blackholed.Store(true)
	}
	return c.blackholed.Load()
}

func (c *blackholeConn) Write(data []byte) (int, error) {
	if c.isBlackholed() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *blackholeConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.isBlackholed() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *blackholeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

var _ = Describe("an instance that loses power", func() {
	var link *blackholeLink
	var ingress string
	var firstRuns, secondRuns atomic.Int64
	var release chan struct{}
	var ingressNode *node.Node
	// restart kills the first instance and starts it again at the same address.
	var restart func()

	lookup := func(query string) time.Duration {
		started := time.Now()
		response, err := http.Get("http://" + ingress + "/lookup" + query)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		return time.Since(started)
	}

	// Two instances serve lookups. The link to the first one can drop all traffic, and lookups with the parameter
	// "hold" block there.
	BeforeEach(func() {
		link = &blackholeLink{}
		firstRuns.Store(0)
		secondRuns.Store(0)
		release = make(chan struct{})
		callersListener := listen()
		var firstAddress string
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			if address == firstAddress {
				return link.dial(ctx, address)
			}
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
		ingressNode = node.New(node.Options{
			ID: "ingress", Zone: "a", Callers: callersListener, Mesh: listen(), Admin: listen(), Members: []string{"127.0.0.1:9"},
			Keys: bundle.NewKeyring(nil), Logger: zerolog.Nop(), NoHedging: true, CallDialer: dial,
		})
		ingressNode.Start()
		DeferCleanup(ingressNode.Kill)
		Expect(ingressNode.PutInForce(bundle.Approval{Version: 1}, testBundle())).To(Succeed())
		ingress = callersListener.Addr().String()
		for i, runs := range []*atomic.Int64{&firstRuns, &secondRuns} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				if r.URL.Query().Get("hold") != "" && runs == &firstRuns {
					<-release
				}
				fmt.Fprint(w, "ok")
			}))
			DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
			start := func(mesh net.Listener) *node.Node {
				executor := node.New(node.Options{
					ID: fmt.Sprintf("executor%d", i), Zone: "a", Callers: listen(), Mesh: mesh, Admin: listen(),
					Members: []string{"127.0.0.1:9"}, Keys: bundle.NewKeyring(nil), Logger: zerolog.Nop(),
				})
				executor.Start()
				DeferCleanup(executor.Kill)
				Expect(executor.PutInForce(bundle.Approval{Version: 1}, testBundle())).To(Succeed())
				Expect(executor.AcceptUpstream(node.Announcement{
					Service: "desk", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4,
				})).To(Succeed())
				Eventually(func() bool { _, ok := executor.OwnRecord(); return ok }, eventuallyTimeout).Should(BeTrue())
				record, _ := executor.OwnRecord()
				Expect(ingressNode.MergeEndpoint(record)).To(Succeed())
				return executor
			}
			mesh := listen()
			executor := start(mesh)
			if i == 0 {
				firstAddress = mesh.Addr().String()
				restart = func() {
					executor.Kill()
					listener, err := net.Listen("tcp", firstAddress)
					Expect(err).NotTo(HaveOccurred())
					start(listener)
				}
			}
		}
		DeferCleanup(func() { close(release) })
		for firstRuns.Load() == 0 || secondRuns.Load() == 0 {
			lookup("")
		}
	})

	// Guards against lookups that wait until their deadline (15 s here) for an instance that has lost power, and
	// against sending it further ones.
	It("loses its lookups to another instance within two seconds, and gets calls again once it responds", func() {
		durations := make(chan time.Duration, 40)
		before := firstRuns.Load()
		sent := 0
		for firstRuns.Load() == before {
			sent++
			go func() {
				defer GinkgoRecover()
				durations <- lookup("?hold=1")
			}()
			time.Sleep(20 * time.Millisecond)
		}
		link.dropping.Store(true)
		for range sent {
			var took time.Duration
			Eventually(durations, eventuallyTimeout).Should(Receive(&took))
			Expect(took).To(BeNumerically("<", 2*time.Second))
		}
		before = firstRuns.Load()
		for range 20 {
			Expect(lookup("")).To(BeNumerically("<", time.Second))
		}
		Expect(firstRuns.Load()).To(Equal(before))

		link.dropping.Store(false)
		Eventually(func() int64 {
			lookup("")
			return firstRuns.Load()
		}, 3*time.Second).Should(BeNumerically(">", before))
	})

	// As below, but so long after the last call that the instance is no longer tracked.
	It("gets calls on a new connection after a restart while it had no calls", func() {
		time.Sleep(untrackedAfter)
		link.dropping.Store(true)
		restart()
		link.dropping.Store(false)
		before := firstRuns.Load()
		for firstRuns.Load() == before {
			Expect(lookup("")).To(BeNumerically("<", 300*time.Millisecond))
		}
	})

	// Guards against calls to a restarted instance on the connection to its former process, which carries no data.
	It("gets calls on a new connection after a restart", func() {
		link.dropping.Store(true)
		Expect(lookup("")).To(BeNumerically("<", 2*time.Second))
		restart()
		link.dropping.Store(false)
		before := firstRuns.Load()
		for firstRuns.Load() == before {
			Expect(lookup("")).To(BeNumerically("<", 300*time.Millisecond))
		}
	})
})
