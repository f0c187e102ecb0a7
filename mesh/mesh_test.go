package mesh_test

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gleak"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/mesh"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

const testTimeout = 20 * time.Second

func TestMesh(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mesh")
}

// fakePeer records its inputs and returns the outputs that a test has queued with emit.
type fakePeer struct {
	mu      sync.Mutex
	outputs []relay.Output
	ups     []relay.LinkID
	downs   []relay.LinkID
	steps   int
}

func (p *fakePeer) Hello() relay.Hello { return relay.Hello{ID: "fake"} }
func (p *fakePeer) Tick(time.Time)     {}

func (p *fakePeer) LinkUp(_ time.Time, id relay.LinkID, _ relay.Hello, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ups = append(p.ups, id)
}

func (p *fakePeer) LinkDown(_ time.Time, id relay.LinkID, _ error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.downs = append(p.downs, id)
}

func (p *fakePeer) Step(time.Time, relay.LinkID, relay.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.steps++
}

func (p *fakePeer) Outputs() []relay.Output {
	p.mu.Lock()
	defer p.mu.Unlock()
	outputs := p.outputs
	p.outputs = nil
	return outputs
}

func (p *fakePeer) emit(outputs ...relay.Output) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outputs = append(p.outputs, outputs...)
}

func (p *fakePeer) upLinks() []relay.LinkID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.ups)
}

func (p *fakePeer) downLinks() []relay.LinkID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.downs)
}

func (p *fakePeer) stepCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.steps
}

// process is a host with its server and its connection pool.
type process struct {
	peer   *fakePeer
	host   *mesh.Host
	server *rpc.Server
	pool   *rpc.Pool
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

func start() *process {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &process{peer: &fakePeer{}, server: rpc.NewServer(listener, nil), pool: rpc.NewPool(nil, nil)}
	p.host = mesh.NewHost(mesh.Options{
		Peer: p.peer, Pool: p.pool, Logger: zerolog.Nop(), Output: func(time.Time, relay.Output) {},
	})
	p.server.ServeNode(p)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.tasks.Go(func() { p.host.Run(ctx) })
	p.tasks.Go(func() { _ = p.server.Serve() })
	DeferCleanup(p.stop)
	return p
}

func (p *process) Follow(stream rpc.FollowServerStream) error { return p.host.Follow(stream) }
func (p *process) Call(rpc.CallServerStream) error            { return nil }

func (p *process) Ping(context.Context, *protocol.PingRequest) (*protocol.PingReply, error) {
	return &protocol.PingReply{}, nil
}

// stop stops the process in the order in which a node does.
func (p *process) stop() {
	p.cancel()
	p.server.Stop()
	p.pool.Close()
	p.tasks.Wait()
}

// follow opens a link as a child. The test sends and receives on the returned stream itself.
func (p *process) follow() (rpc.FollowClientStream, context.CancelFunc) {
	pool := rpc.NewPool(nil, nil)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(func() { cancel(); pool.Close() })
	stream, err := pool.Follow(ctx, p.server.Address())
	Expect(err).NotTo(HaveOccurred())
	Expect(stream.Send(&protocol.FollowFrame{Hello: &relay.Hello{ID: "child"}})).To(Succeed())
	first, err := stream.Recv()
	Expect(err).NotTo(HaveOccurred())
	Expect(first.Hello).NotTo(BeNil())
	return stream, cancel
}

var _ = Describe("a host", func() {
	var before []gleak.Goroutine
	BeforeEach(func() {
		before = gleak.Goroutines()
		// Guards against goroutines that keep running after a stop. The check is registered first, so that it runs after all
		// processes of the spec have stopped.
		DeferCleanup(func() { Eventually(gleak.Goroutines, testTimeout).ShouldNot(gleak.HaveLeaked(before)) })
	})

	// Guards against a peer that stops reading and so makes the queue grow without bound or blocks the control goroutine.
	It("drops a peer that stops reading, and serves the others", func() {
		p := start()
		slow, _ := p.follow()
		Eventually(p.peer.upLinks, testTimeout).Should(HaveLen(1))
		id := p.peer.upLinks()[0]
		healthy, _ := p.follow()
		Eventually(p.peer.upLinks, testTimeout).Should(HaveLen(2))
		large := relay.Message{Crashes: &relay.Crashes{Reports: []relay.CrashReport{{Payload: bytes.Repeat([]byte{1}, 64<<10)}}}}
		for range 2000 {
			p.peer.emit(relay.Send{Link: id, Message: large})
		}
		Eventually(p.peer.downLinks, testTimeout).Should(Equal([]relay.LinkID{id}))
		p.peer.emit(relay.Send{Link: p.peer.upLinks()[1], Message: large})
		frame, err := healthy.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(frame.Message.Crashes).NotTo(BeNil())
		// Frames in flight may still arrive before the stream ends.
		Eventually(func() error { _, err := slow.Recv(); return err }, testTimeout).Should(HaveOccurred())
		Expect(p.peer.downLinks()).To(Equal([]relay.LinkID{id}))
	})

	// Guards against a link that ends without a report, which leaves a child without a parent, and against a second report
	// of the same link, which could be applied to a later link.
	It("reports the end of each link once", func() {
		p, parent := start(), start()
		const outbound, refused = relay.LinkID(1 << 40), relay.LinkID(1<<40 + 1)
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(closed.Close()).To(Succeed())
		p.peer.emit(
			relay.Dial{Link: outbound, Address: parent.server.Address()},
			relay.Dial{Link: refused, Address: closed.Addr().String()},
		)
		child, disconnect := p.follow()
		Eventually(p.peer.upLinks, testTimeout).Should(ConsistOf(outbound, BeNumerically("<", outbound)))
		Eventually(p.peer.downLinks, testTimeout).Should(ConsistOf(refused))
		Expect(child.Send(&protocol.FollowFrame{Message: &relay.Message{Poll: &relay.Poll{Sequence: 1}}})).To(Succeed())
		Eventually(p.peer.stepCount, testTimeout).Should(Equal(1))
		disconnect()
		Eventually(p.peer.downLinks, testTimeout).Should(HaveLen(2))
		parent.stop()
		Eventually(p.peer.downLinks, testTimeout).Should(HaveLen(3))
		p.stop()
		Expect(p.peer.downLinks()).To(ConsistOf(outbound, refused, BeNumerically("<", outbound)))
	})

	// Guards against a report about a link that the peer itself closed, and against a close that drops queued messages.
	It("sends what is queued before a close and does not report it", func() {
		p := start()
		child, _ := p.follow()
		Eventually(p.peer.upLinks, testTimeout).Should(HaveLen(1))
		id := p.peer.upLinks()[0]
		p.peer.emit(relay.Send{Link: id, Message: relay.Message{Redirect: &relay.Redirect{}}}, relay.Close{Link: id})
		frame, err := child.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(frame.Message.Redirect).NotTo(BeNil())
		_, err = child.Recv()
		Expect(err).To(HaveOccurred())
		p.stop()
		Expect(p.peer.downLinks()).To(BeEmpty())
	})

	// Guards against a call of Query that waits forever for a control goroutine that has returned.
	It("returns ErrStopped from Query after it has stopped", func() {
		p := start()
		p.follow()
		p.cancel()
		Eventually(func() error { return p.host.Query(context.Background(), func(time.Time) {}) }, testTimeout).
			Should(MatchError(mesh.ErrStopped))
		p.stop()
	})

	// Guards against decisions by a time that was read before their input arrived, or before a suspension that has ended:
	// leases, confirmations and silences look shorter than they are.
	It("reads the clock for each input of a batch, and again after the batch", func() {
		const suspension = 3 * time.Second
		now := time.Unix(1_000, 0)
		var times []time.Time
		record := func(at time.Time) { times = append(times, at) }
		ctx, cancel := context.WithCancel(context.Background())
		host := mesh.NewHost(mesh.Options{
			Peer: &fakePeer{}, Now: func() time.Time { return now },
			AfterBatch: func(at time.Time) { record(at); cancel() },
		})
		suspend := func(at time.Time) { record(at); now = now.Add(suspension) }
		for range 3 {
			Expect(host.Post(suspend)).To(BeTrue())
		}
		host.Run(ctx)
		start := time.Unix(1_000, 0)
		Expect(times).To(Equal([]time.Time{
			start, start.Add(suspension), start.Add(2 * suspension), start.Add(3 * suspension),
		}))
	})
})
