package node

import (
	"context"
	"sync"

	"sapphiregate.example/sapphiregate/protocol"
)

// gate counts the callers' requests in this process, so that a stop can wait for them.
type requestTracker struct {
	// limit bounds the requests inside.
	limit int

	mu       sync.Mutex
	closed   bool
	inFlight int
	idle     chan struct{}
}

// enter lets a request in, or says why not. The caller must call leave at the end of a request that was let in.
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

// drain closes the gate and waits until nobody is inside.
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
