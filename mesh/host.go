// Package mesh hosts the relay.Peer of a process, which is the place of the process in the distribution tree. It runs
// the peer on one goroutine, the control goroutine, and exchanges its messages over Follow streams with the parent,
// the children and other control members.
package mesh

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/internal/clock"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

const (
	// tickInterval is the interval at which the peer is told the time.
	tickInterval = 50 * time.Millisecond
	// helloTimeout is the timeout for opening a link, which includes a new connection and the exchange of hellos.
	helloTimeout = 3 * time.Second
	// maxQueuedInputs is large enough that many children can deliver their polls while one message is handled.
	maxQueuedInputs = 1024
	// maxQueuedFrames bounds the frames that wait for a slow peer. The link is aborted when the queue is full.
	maxQueuedFrames = 256
	// maxBatchInputs bounds the inputs between two runs of AfterBatch.
	maxBatchInputs = 256
)

// Peer is the state machine that a Host drives. relay.Peer implements it.
type Peer interface {
	Hello() relay.Hello
	Tick(now time.Time)
	LinkUp(now time.Time, link relay.LinkID, remote relay.Hello, outbound bool)
	LinkDown(now time.Time, link relay.LinkID, reason error)
	Step(now time.Time, link relay.LinkID, m relay.Message)
	Outputs() []relay.Output
}

// Options configures a Host. The callbacks run on the control goroutine; the time that they get was read after the inputs
// before them had arrived.
type Options struct {
	Peer   Peer
	Pool   *rpc.Pool
	Logger zerolog.Logger
	// Output receives the outputs of the peer other than Send, Dial and Close, which the host executes.
	Output func(now time.Time, output relay.Output)
	// Tick runs at each tick before the Tick of the peer; it may be nil.
	Tick func(now time.Time)
	// AfterBatch runs after each batch of inputs and before their outputs are executed; it may be nil.
	AfterBatch func(now time.Time)
	// Now is the clock of the peer; nil means clock.Now, which also counts the time for which the instance was suspended.
	Now func() time.Time
}

// Host runs the control goroutine of one process. Its exported methods are safe for concurrent use.
type Host struct {
	options Options
	inputs  chan func(now time.Time)
	stopped chan struct{}

	// Only the control goroutine uses the fields below.
	links       map[relay.LinkID]*link
	nextInbound relay.LinkID
	ctx         context.Context
}

// NewHost returns a host. Run starts it.
func NewHost(options Options) *Host {
	if options.Now == nil {
		options.Now = clock.Now
	}
	return &Host{
		options: options,
		inputs:  make(chan func(now time.Time), maxQueuedInputs),
		stopped: make(chan struct{}),
		links:   make(map[relay.LinkID]*link),
	}
}

// Run is the body of the control goroutine. It aborts all links and returns when the context ends.
func (h *Host) Run(ctx context.Context) {
	defer close(h.stopped)
	h.ctx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer h.closeLinks()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.tick()
		case input := <-h.inputs:
			h.runBatch(input)
		}
	}
}

func (h *Host) tick() {
	if h.options.Tick != nil {
		h.options.Tick(h.options.Now())
	}
	h.options.Peer.Tick(h.options.Now())
	h.finishBatch()
}

// runBatch runs the input and those that already wait, so that they share costs per batch, such as a synced write.
//
// Each input gets a reading of the clock that was made after the input had arrived. They must not share one: the process
// may be suspended in the middle of a batch, and inputs that arrive afterwards would be decided by the time before, at
// which leases, confirmations and links that have since expired look valid.
func (h *Host) runBatch(input func(now time.Time)) {
	input(h.options.Now())
	for range maxBatchInputs {
		select {
		case next := <-h.inputs:
			next(h.options.Now())
			continue
		default:
		}
		break
	}
	h.finishBatch()
}

// finishBatch runs AfterBatch and then executes the outputs of the peer until there are no more.
func (h *Host) finishBatch() {
	now := h.options.Now()
	if h.options.AfterBatch != nil {
		h.options.AfterBatch(now)
	}
	for outputs := h.options.Peer.Outputs(); len(outputs) > 0; outputs = h.options.Peer.Outputs() {
		for _, output := range outputs {
			h.execute(now, output)
		}
	}
}

// execute executes one output of the peer.
func (h *Host) execute(now time.Time, output relay.Output) {
	switch output := output.(type) {
	case relay.Send:
		h.send(now, output.Link, output.Message)
	case relay.Dial:
		h.dial(output.Link, output.Address)
	case relay.Close:
		if l := h.links[output.Link]; l != nil {
			delete(h.links, output.Link)
			l.closeQueue()
		}
	default:
		h.options.Output(now, output)
	}
}

// send queues a message. It aborts the link and reports this to the peer if the queue is full.
func (h *Host) send(now time.Time, id relay.LinkID, message relay.Message) {
	l := h.links[id]
	if l == nil {
		return
	}
	if !l.enqueue(&protocol.FollowFrame{Message: &message}) {
		h.options.Logger.Warn().Uint64("link", uint64(id)).Msg("closed a link to a peer that does not keep up")
		delete(h.links, id)
		l.abort()
		h.options.Peer.LinkDown(now, id, errSlowPeer)
	}
}

// Post runs a function on the control goroutine. It returns false if the host has stopped; the function then does
// not run.
func (h *Host) Post(input func(now time.Time)) bool {
	select {
	case h.inputs <- input:
		return true
	case <-h.stopped:
		return false
	}
}

// Query runs a function on the control goroutine and waits until it has run. It returns ErrStopped if the host stops
// first. If the context ends first, it returns the error of the context and the function may still run.
func (h *Host) Query(ctx context.Context, query func(now time.Time)) error {
	done := make(chan struct{})
	if !h.Post(func(now time.Time) { query(now); close(done) }) {
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-h.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Host) closeLinks() {
	for id, l := range h.links {
		delete(h.links, id)
		l.abort()
	}
}
