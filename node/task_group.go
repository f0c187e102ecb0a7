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

// close makes start return false and waits for the goroutines that run.
func (b *taskGroup) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	_ = b.wait(context.Background())
}
