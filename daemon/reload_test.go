package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against a SIGHUP that kills a process during its graceful shutdown and so cuts off the requests in flight.
// SIGHUP kills a process that has no receiver for it, so the receiver must stay after watchSettings has returned.
func TestReloadSignalDuringShutdown(t *testing.T) {
	registerReloadSignal()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	watchSettings(ended, os.DevNull, zerolog.Nop(), func() error { return nil })
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-reloadSignals:
	case <-time.After(10 * time.Second):
		t.Fatal("SIGHUP was not received after watchSettings returned")
	}
}
