package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against a SIGHUP that ends a process which is leaving: its requests in flight would be cut off.
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
		t.Fatal("the signal was not received")
	}
}
