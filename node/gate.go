package node

import (
	"context"
	"sync"
)

// gate counts the callers' requests in this process, so that a stop can wait for them.
type gate struct {
	mu     sync.Mutex
	closed bool
	count  int
	empty  chan struct{}
}

// enter returns false once the gate is closed; otherwise the returned function must be called at the end.
func (g *gate) enter() (func(), bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, false
	}
	g.count++
	return g.leave, true
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
