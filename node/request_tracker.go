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
	idle     chan struct{}
}

// admit counts a request, or returns why it is refused. The caller must call done at the end of an admitted request.
func (g *requestTracker) admit() protocol.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed:
		return protocol.ReasonDraining
	case g.inFlight >= g.limit:
		return protocol.ReasonShed
	}
	g.inFlight++
	return protocol.ReasonNone
}

func (g *requestTracker) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.closed && g.inFlight == 0 {
		close(g.idle)
	}
}

// drain refuses further requests and waits until none is in flight, or until the context ends.
func (g *requestTracker) drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed {
		g.closed = true
		g.idle = make(chan struct{})
		if g.inFlight == 0 {
			close(g.idle)
		}
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
