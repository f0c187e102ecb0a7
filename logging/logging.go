// Package logging configures zerolog: each part of a process logs under a fixed prefix.
package logging

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

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
