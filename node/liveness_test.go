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

// silentLink is a way to an instance that can lose everything without closing a connection, as a loss of power does.
type silentLink struct {
	silent atomic.Bool
}

func (l *silentLink) dial(ctx context.Context, address string) (net.Conn, error) {
	if l.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: conn, link: l, closed: make(chan struct{})}, nil
}

// silentConn stays open and silent once its link has been silent, also when the other side is gone.
type silentConn struct {
	net.Conn
	link   *silentLink
	dead   atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func (c *silentConn) lost() bool {
	if c.link.silent.Load() {
		c.dead.Store(true)
	}
	return c.dead.Load()
}

func (c *silentConn) Write(data []byte) (int, error) {
	if c.lost() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *silentConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.lost() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

var _ = Describe("an instance that loses power", func() {
	var link *silentLink
	var ingress string
	var silentRuns, otherRuns atomic.Int64
	var release chan struct{}
	var ingressNode *node.Node
	// restart starts the first instance anew at its address.
	var restart func()

	lookup := func(query string) time.Duration {
		started := time.Now()
		response, err := http.Get("http://" + ingress + "/lookup" + query)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		return time.Since(started)
	}

	// Two instances serve lookups; the link to the first one can fall silent. Calls that ask for it are held there.
	BeforeEach(func() {
		link = &silentLink{}
		silentRuns.Store(0)
		otherRuns.Store(0)
		release = make(chan struct{})
		callersAt := listen()
		var lossy string
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			if address == lossy {
				return link.dial(ctx, address)
			}
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
		ingressNode = node.New(node.Options{
			ID: "ingress", Zone: "a", Callers: callersAt, Mesh: listen(), Admin: listen(), Members: []string{"127.0.0.1:9"},
			Keys: bundle.NewKeyring(nil), Logger: zerolog.Nop(), NoHedging: true, CallDialer: dial,
		})
		ingressNode.Start()
		DeferCleanup(ingressNode.Kill)
		Expect(ingressNode.PutInForce(bundle.Approval{Version: 1}, testBundle())).To(Succeed())
		ingress = callersAt.Addr().String()
		for i, runs := range []*atomic.Int64{&silentRuns, &otherRuns} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				if r.URL.Query().Get("hold") != "" && runs == &silentRuns {
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
				Eventually(func() bool { _, ok := executor.OwnRecord(); return ok }, patience).Should(BeTrue())
				record, _ := executor.OwnRecord()
				Expect(ingressNode.Learn(record)).To(Succeed())
				return executor
			}
			mesh := listen()
			executor := start(mesh)
			if i == 0 {
				lossy = mesh.Addr().String()
				restart = func() {
					executor.Kill()
					again, err := net.Listen("tcp", lossy)
					Expect(err).NotTo(HaveOccurred())
					start(again)
				}
			}
		}
		DeferCleanup(func() { close(release) })
		for silentRuns.Load() == 0 || otherRuns.Load() == 0 {
			lookup("")
		}
	})

	// Guards against lookups that wait for their whole deadline (15 s here) for an instance that has lost power, and against
	// further ones that are sent there.
	It("loses its lookups to another instance within two seconds, and gets calls again once it answers", func() {
		held := make(chan time.Duration, 40)
		before := silentRuns.Load()
		sent := 0
		for silentRuns.Load() == before {
			sent++
			go func() {
				defer GinkgoRecover()
				held <- lookup("?hold=1")
			}()
			time.Sleep(20 * time.Millisecond)
		}
		link.silent.Store(true)
		for range sent {
			var took time.Duration
			Eventually(held, patience).Should(Receive(&took))
			Expect(took).To(BeNumerically("<", 2*time.Second))
		}
		before = silentRuns.Load()
		for range 20 {
			Expect(lookup("")).To(BeNumerically("<", time.Second))
		}
		Expect(silentRuns.Load()).To(Equal(before))

		link.silent.Store(false)
		Eventually(func() int64 {
			lookup("")
			return silentRuns.Load()
		}, 3*time.Second).Should(BeNumerically(">", before))
	})

	// Guards against calls to an instance that has started again which go out on the connection to its former process.
	It("gets calls on a new connection after it has started again", func() {
		link.silent.Store(true)
		Expect(lookup("")).To(BeNumerically("<", 2*time.Second))
		restart()
		link.silent.Store(false)
		before := silentRuns.Load()
		for silentRuns.Load() == before {
			Expect(lookup("")).To(BeNumerically("<", 300*time.Millisecond))
		}
	})
})
