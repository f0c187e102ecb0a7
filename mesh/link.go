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
	// ErrStopped means that the control goroutine has ended.
	ErrStopped = errors.New("mesh: host has stopped")
	// ErrHandshake means that the other side did not introduce itself.
	ErrHandshake = errors.New("mesh: peer sent no hello")

	errSlowPeer = errors.New("mesh: peer does not keep up")
)

// link is one Follow stream. The control goroutine sends through it; two other goroutines move the frames.
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

// closeQueue ends the link after the queued frames.
func (l *link) closeQueue() { l.closeOnce.Do(func() { close(l.queue) }) }

// abort ends the link at once.
func (l *link) abort() {
	l.cancel()
	l.closeQueue()
}

// frameStream is either side of a Follow stream.
type frameStream interface {
	Send(*protocol.FollowFrame) error
	Recv() (*protocol.FollowFrame, error)
}

// write moves queued frames to the stream. It cancels the link when the stream fails or the queue is closed.
func (l *link) write(stream frameStream) {
	defer l.cancel()
	for frame := range l.queue {
		if err := stream.Send(frame); err != nil {
			return
		}
	}
}

// dial opens a link and reports it to the peer.
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
	// The stream ends when this method returns, which also ends the reading goroutine.
	<-ctx.Done()
	select {
	case <-done:
	default:
	}
	return nil
}

// exchangeHellos exchanges hellos.
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

// runLink moves frames between the stream and the control goroutine until the link ends.
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

// postLink runs an input only while the link is registered.
func (h *Host) postLink(id relay.LinkID, l *link, input func(now time.Time)) {
	h.Post(func(now time.Time) {
		if h.links[id] == l {
			input(now)
		}
	})
}

// reportDown reports the end of a link, unless the control goroutine ended it itself.
func (h *Host) reportDown(id relay.LinkID, l *link, err error) {
	h.postLink(id, l, func(now time.Time) {
		delete(h.links, id)
		l.abort()
		h.options.Peer.LinkDown(now, id, err)
	})
	l.cancel()
}
