package logging

import (
	"bytes"
	"log"
	"sync"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// standardRate (lines per second) and standardBurst (lines) bound the lines of the standard logger. net/http writes
	// one for each peer that breaks the protocol, so that peers would decide how much is logged.
	standardRate  = 1
	standardBurst = 10
	// maxStandardBytes is enough for the first frames of a panic's stack.
	maxStandardBytes = 4 << 10
)

// RedirectStandardLog passes the lines of the standard logger to the logger of the process, within a rate and cut to
// maxStandardBytes each. The returned function undoes it.
func RedirectStandardLog(logger zerolog.Logger) (undo func()) {
	out, flags := log.Writer(), log.Flags()
	log.SetFlags(0)
	log.SetOutput(&standardWriter{
		logger: Part(logger, "library"), limiter: rate.NewLimiter(standardRate, standardBurst),
	})
	return func() {
		log.SetOutput(out)
		log.SetFlags(flags)
	}
}

// standardWriter logs the lines of the standard logger.
type standardWriter struct {
	logger  zerolog.Logger
	limiter *rate.Limiter

	mu      sync.Mutex
	dropped int
}

// Write implements io.Writer. It gets one line at a time.
func (w *standardWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.limiter.Allow() {
		w.dropped++
		return len(line), nil
	}
	event := w.logger.Warn()
	if w.dropped > 0 {
		event.Int("lines_dropped", w.dropped)
	}
	w.dropped = 0
	event.Msg(string(bytes.TrimSpace(line[:min(len(line), maxStandardBytes)])))
	return len(line), nil
}
