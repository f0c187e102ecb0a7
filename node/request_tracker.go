package node

import (
	"context"
	"sync"

	"sapphiregate.example/sapphiregate/protocol"
)

// requestTracker counts the callers' requests in flight. It bounds their number and lets a stop wait for them.
type requestTracker struct {
	// limit is the highest number of requests in flight.
	limit int

	mu       sync.Mutex
	closed   bool
	inFlight int
	// idle is closed when the last request in flight ends after drain was called.
	idle chan struct{}
}

// admit counts a request, or returns why it is refused. The caller must call done at the end of an admitted request.
func (t *requestTracker) admit() protocol.Reason {
	t.mu.Lock()
	defer t.mu.Unlock()
	reason := t.refusal()
	if reason == protocol.ReasonNone {
		t.inFlight++
	}
	return reason
}

// peek returns what admit would return.
func (t *requestTracker) peek() protocol.Reason {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusal()
}

// refusal returns why a request is refused. The caller holds t.mu.
func (t *requestTracker) refusal() protocol.Reason {
	switch {
	case t.closed:
		return protocol.ReasonDraining
	case t.inFlight >= t.limit:
		return protocol.ReasonShed
	}
	return protocol.ReasonNone
}

func (t *requestTracker) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if t.closed && t.inFlight == 0 {
		close(t.idle)
	}
}

// count returns the number of requests in flight.
func (t *requestTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

// drain refuses further requests and waits until none is in flight, or until the context ends.
func (t *requestTracker) drain(ctx context.Context) error {
	t.mu.Lock()
	if !t.closed {
		t.closed = true
		t.idle = make(chan struct{})
		if t.inFlight == 0 {
			close(t.idle)
		}
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	default:
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
