package node

import (
	"context"
	"sync"

	"sapphiregate.example/sapphiregate/protocol"
)

// gate counts the callers' requests in this process, so that a stop can wait for them.
type gate struct {
	// limit bounds the requests inside.
	limit int

	mu     sync.Mutex
	closed bool
	count  int
	empty  chan struct{}
}

// enter lets a request in, or says why not. The caller must call leave at the end of a request that was let in.
func (g *gate) enter() protocol.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed:
		return protocol.ReasonDraining
	case g.count >= g.limit:
		return protocol.ReasonShed
	}
	g.count++
	return protocol.ReasonNone
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.closed && g.count == 0 {
		close(g.empty)
	}
}

// drain closes the gate and waits until nobody is inside.
func (g *gate) drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed {
		g.closed = true
		g.empty = make(chan struct{})
		if g.count == 0 {
			close(g.empty)
		}
	}
	empty := g.empty
	g.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
