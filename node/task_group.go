package node

import (
	"context"
	"sync"
)

// taskGroup counts goroutines that outlive the call that started them. Unlike with sync.WaitGroup, start and wait may
// be called concurrently: a stop waits for responses to be recorded while the last calls still arrive.
type taskGroup struct {
	mu     sync.Mutex
	count  int
	closed bool
	// idle is closed when count reaches 0; nil while no goroutine waits.
	idle chan struct{}
}

// start runs f on a goroutine. It returns false, and does not run f, once the group is closed.
func (g *taskGroup) start(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.count++
	go func() {
		defer g.done()
		f()
	}()
	return true
}

func (g *taskGroup) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.count == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// wait returns once no goroutine runs, or when the context ends.
func (g *taskGroup) wait(ctx context.Context) error {
	g.mu.Lock()
	if g.count == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
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

// close makes start return false and waits for the goroutines that run.
func (g *taskGroup) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	_ = g.wait(context.Background())
}
