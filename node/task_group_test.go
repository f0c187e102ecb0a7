package node

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
)

// TestTaskGroupStartsWhileWaiting guards against the panic of sync.WaitGroup ("reused before previous Wait has
// returned"), which crashed a process in the scenario herd-crash (profile kartuli, seed 2): a call started while a stop
// waited.
func TestTaskGroupStartsWhileWaiting(t *testing.T) {
	var group taskGroup
	var ran, started atomic.Int64
	var starters sync.WaitGroup
	for range 8 {
		starters.Go(func() {
			for range 1000 {
				if group.start(func() { ran.Add(1) }) {
					started.Add(1)
				}
			}
		})
		starters.Go(func() {
			for range 100 {
				if err := group.wait(context.Background()); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.close()
	starters.Wait()
	if err := group.wait(context.Background()); err != nil {
		t.Fatal(err)
	}
	if ran.Load() != started.Load() {
		t.Fatalf("%d of %d goroutines ran to their end", ran.Load(), started.Load())
	}
	if group.start(func() {}) {
		t.Fatal("a closed group started a goroutine")
	}
}
