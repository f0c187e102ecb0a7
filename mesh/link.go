package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

// Errors of this package.
var (
	// ErrStopped means that the host has stopped: its control goroutine has returned.
	ErrStopped = errors.New("mesh: host has stopped")
	// ErrHandshake means that the exchange of hellos on a new link failed.
	ErrHandshake = errors.New("mesh: exchange of hellos failed")

	// errSlowPeer is the reason for a link that is aborted because its queue is full.
	errSlowPeer = errors.New("mesh: peer does not keep up")
)

// link is one Follow stream. The control goroutine queues frames for it, a second goroutine sends them, and a third one
// receives frames.
type link struct {
	queue     chan *protocol.FollowFrame
	cancel    context.CancelFunc
	closeOnce sync.Once
}

func newLink(cancel context.CancelFunc) *link {
	return &link{queue: make(chan *protocol.FollowFrame, maxQueuedFrames), cancel: cancel}
}

// enqueue returns false if the queue is full. Only the control goroutine calls it.
func (l *link) enqueue(frame *protocol.FollowFrame) bool {
	select {
	case l.queue <- frame:
		return true
	default:
		return false
	}
}

// closeQueue ends the link when the queued frames have been sent.
func (l *link) closeQueue() { l.closeOnce.Do(func() { close(l.queue) }) }

// abort ends the link immediately and drops the queued frames.
func (l *link) abort() {
	l.cancel()
	l.closeQueue()
}

// frameStream is the client or server side of a Follow stream.
type frameStream interface {
	Send(*protocol.FollowFrame) error
	Recv() (*protocol.FollowFrame, error)
}

// write sends the queued frames. It cancels the link when the stream fails or the queue is closed and empty.
func (l *link) write(stream frameStream) {
	defer l.cancel()
	for frame := range l.queue {
		if err := stream.Send(frame); err != nil {
			return
		}
	}
}

// dial opens a link to an address and reports its start, or its failure, to the peer.
func (h *Host) dial(id relay.LinkID, address string) {
	ctx, cancel := context.WithCancel(h.ctx)
	l := newLink(cancel)
	h.links[id] = l
	hello := h.options.Peer.Hello()
	go func() {
		defer cancel()
		timer := time.AfterFunc(helloTimeout, cancel)
		stream, err := h.options.Pool.Follow(ctx, address)
		if err != nil {
			h.reportDown(id, l, err)
			return
		}
		remote, err := exchangeHellos(stream, hello)
		timer.Stop()
		if err != nil {
			h.reportDown(id, l, err)
			return
		}
		h.runLink(id, l, stream, remote, true)
	}()
}

// Follow serves a link that another process opened. It returns when the link ends.
func (h *Host) Follow(stream rpc.FollowServerStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	l := newLink(cancel)
	registered := make(chan relay.Hello, 1)
	var id relay.LinkID
	posted := h.Post(func(time.Time) {
		h.nextInbound++
		id = h.nextInbound
		h.links[id] = l
		registered <- h.options.Peer.Hello()
	})
	if !posted {
		return ErrStopped
	}
	var hello relay.Hello
	select {
	case hello = <-registered:
	case <-h.stopped:
		return ErrStopped
	}
	remote, err := exchangeHellos(stream, hello)
	if err != nil {
		h.reportDown(id, l, err)
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.runLink(id, l, stream, remote, false)
	}()
	// grpc-go ends the stream when this method returns, which also stops the goroutine that receives.
	<-ctx.Done()
	select {
	case <-done:
	default:
	}
	return nil
}

// exchangeHellos sends the hello of this process and returns that of the other one. The error is ErrHandshake.
func exchangeHellos(stream frameStream, hello relay.Hello) (relay.Hello, error) {
	if err := stream.Send(&protocol.FollowFrame{Hello: &hello}); err != nil {
		return relay.Hello{}, errors.Wrapf(ErrHandshake, "%v", err)
	}
	frame, err := stream.Recv()
	if err != nil {
		return relay.Hello{}, errors.Wrapf(ErrHandshake, "%v", err)
	}
	if frame.Hello == nil {
		return relay.Hello{}, ErrHandshake
	}
	return *frame.Hello, nil
}

// runLink reports the start of a link to the peer, sends its queued frames and posts the received messages until it
// ends.
func (h *Host) runLink(id relay.LinkID, l *link, stream frameStream, remote relay.Hello, outbound bool) {
	h.postLink(id, l, func(now time.Time) { h.options.Peer.LinkUp(now, id, remote, outbound) })
	go l.write(stream)
	for {
		frame, err := stream.Recv()
		if err != nil {
			h.reportDown(id, l, err)
			return
		}
		if frame.Message == nil {
			continue
		}
		message := *frame.Message
		h.postLink(id, l, func(now time.Time) { h.options.Peer.Step(now, id, message) })
	}
}

// postLink posts an input that runs only if the link is still registered.
func (h *Host) postLink(id relay.LinkID, l *link, input func(now time.Time)) {
	h.Post(func(now time.Time) {
		if h.links[id] == l {
			input(now)
		}
	})
}

// reportDown reports the end of a link to the peer, unless the link is no longer registered because the control
// goroutine ended it.
func (h *Host) reportDown(id relay.LinkID, l *link, err error) {
	h.postLink(id, l, func(now time.Time) {
		delete(h.links, id)
		l.abort()
		h.options.Peer.LinkDown(now, id, err)
	})
	l.cancel()
}
