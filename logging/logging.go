// Package logging configures zerolog: each part of a process logs under a fixed prefix.
package logging

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"sapphiregate.example/sapphiregate/invariant"
)

// partField holds the prefix of the part that logs.
const partField = "part"

// New returns the logger of a process. The format is "text" or "json".
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

// queueLength bounds the lines that wait for a slow reader of the log.
const queueLength = 4096

// NonBlocking returns a writer that never makes a request wait for the reader of the log: lines beyond queueLength are
// dropped, and a line says how many.
func NonBlocking(out io.Writer) io.WriteCloser {
	return diode.NewWriter(out, queueLength, 0, func(missed int) {
		// The logger itself is behind this writer; a blocked reader gets the line once it reads again.
		_, _ = fmt.Fprintf(out, `{"level":"warn","part":"log:","dropped":%d,"message":"log lines dropped"}`+"\n", missed)
	})
}

// Part returns the logger of one part of the process.
func Part(logger zerolog.Logger, name string) zerolog.Logger {
	return logger.With().Str(partField, name+":").Logger()
}

// ReportViolations logs each violated invariant.
func ReportViolations(logger zerolog.Logger) {
	logger = Part(logger, "invariant")
	invariant.SetHandler(func(name invariant.Name, message string, values map[string]any) {
		logger.Error().Str("invariant", string(name)).Fields(values).Msg(message)
	})
}
