// Package logging configures zerolog. Each part of a process logs under a fixed prefix.
package logging

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"sapphiregate.example/sapphiregate/invariant"
)

// partField is the key of the prefix that names the part of the process.
const partField = "part"

// New returns the logger of a process. The format is "text" or "json"; the level is one of those of zerolog.
func New(out io.Writer, format, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrapf(err, "logging: level %q", level)
	}
	switch format {
	case "json":
	case "text":
		out = zerolog.ConsoleWriter{
			Out:           out,
			TimeFormat:    "15:04:05.000",
			NoColor:       os.Getenv("NO_COLOR") != "",
			PartsOrder:    []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, partField, zerolog.MessageFieldName},
			FieldsExclude: []string{partField},
		}
	default:
		return zerolog.Nop(), errors.Newf("logging: format %q is not text or json", format)
	}
	return zerolog.New(out).Level(parsed).With().Timestamp().Logger(), nil
}

const (
	// maxQueuedLines bounds the lines that wait for a slow reader of the log. Further lines are dropped.
	maxQueuedLines = 4096
	// flushTimeout bounds how long Close waits for a reader of the log that has stopped reading. A working reader needs a
	// few milliseconds for maxQueuedLines lines.
	flushTimeout = 500 * time.Millisecond
)

// ErrNotFlushed means that the queued lines were not written in time.
var ErrNotFlushed = errors.New("logging: the last lines were not written")

// Output queues log lines and writes them on a separate goroutine.
type Output struct {
	queue diode.Writer
}

// NewNonBlockingOutput returns an output whose Write never blocks, so that no request waits for the reader of the log.
// Lines beyond maxQueuedLines are dropped, and a log line reports how many.
func NewNonBlockingOutput(out io.Writer) *Output {
	// The struct hides any Close method of out, because the queue would call it.
	writer := struct{ io.Writer }{out}
	return &Output{queue: diode.NewWriter(writer, maxQueuedLines, 0, func(missed int) {
		// The line is written directly, because the logger writes into the queue. A blocked reader gets it when it reads
		// again.
		_, _ = fmt.Fprintf(out, `{"level":"warn","part":"log:","dropped":%d,"message":"log lines dropped"}`+"\n", missed)
	})}
}

// Write queues a line.
func (o *Output) Write(line []byte) (int, error) { return o.queue.Write(line) }

// Close writes the queued lines. It returns ErrNotFlushed if that takes longer than flushTimeout. Write must not be
// called afterwards.
func (o *Output) Close() error { return o.closeWithin(flushTimeout) }

// CloseBefore is Close for a process that must have ended at the given time.
func (o *Output) CloseBefore(exit time.Time) error {
	return o.closeWithin(min(flushTimeout, time.Until(exit)))
}

func (o *Output) closeWithin(timeout time.Duration) error {
	closed := make(chan error, 1)
	go func() { closed <- o.queue.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(timeout):
		return ErrNotFlushed
	}
}

// Part returns a logger that adds the prefix of one part of the process.
func Part(logger zerolog.Logger, name string) zerolog.Logger {
	return logger.With().Str(partField, name+":").Logger()
}

// ReportViolations makes the logger report each violated invariant.
func ReportViolations(logger zerolog.Logger) {
	logger = Part(logger, "invariant")
	invariant.SetHandler(func(name invariant.Name, message string, values map[string]any) {
		logger.Error().Str("invariant", string(name)).Fields(values).Msg(message)
	})
}
