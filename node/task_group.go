package node

import (
	"context"
	"sync"
)

// background counts goroutines that outlive the call which started them. Unlike sync.WaitGroup it may be waited for
// while others still start: a stop waits for recordings while the last calls arrive.
type taskGroup struct {
	mu     sync.Mutex
	count  int
	closed bool
	// empty is closed when the count reaches 0; nil while nobody waits.
	idle chan struct{}
}

// start runs f on a goroutine. It returns false, and does not run f, once the group is closed.
func (b *taskGroup) start(f func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.count++
	go func() {
		defer b.done()
		f()
	}()
	return true
}

func (b *taskGroup) done() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count--
	if b.count == 0 && b.idle != nil {
		close(b.idle)
		b.idle = nil
	}
}

// wait returns once no goroutine runs, or when the context ends.
func (b *taskGroup) wait(ctx context.Context) error {
	b.mu.Lock()
	if b.count == 0 {
		b.mu.Unlock()
		return nil
	}
	if b.idle == nil {
		b.idle = make(chan struct{})
	}
	idle := b.idle
	b.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// close refuses further goroutines and waits for those that run.
func (b *taskGroup) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	_ = b.wait(context.Background())
}
