package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/platform"
)

// settingsCheckInterval is the time between two looks whether the settings file has changed, since a change may come
// without a signal.
const settingsCheckInterval = 2 * time.Second

// reloadSignals receives SIGHUP until the process exits. Without a receiver, the signal would kill a process that is still
// starting, or one that is shutting down and still has requests in flight.
var reloadSignals = make(chan os.Signal, 1)

func registerReloadSignal() { signal.Notify(reloadSignals, syscall.SIGHUP) }

// addSettingsFlag adds the flag that names the settings file.
func addSettingsFlag(command *cobra.Command, file *string) {
	command.Flags().StringVar(file, "settings", os.Getenv(platform.SettingsVariable), "JSON settings file")
	if os.Getenv(platform.SettingsVariable) == "" {
		_ = command.MarkFlagRequired("settings")
	}
}

// watchSettings applies changes of the settings file until the context ends. A file that cannot be used is reported and
// changes nothing.
func watchSettings(ctx context.Context, file string, logger zerolog.Logger, reload func() error) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	last := modificationTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
		case <-ticker.C:
			if modificationTime(file).Equal(last) {
				continue
			}
		}
		last = modificationTime(file)
		if err := reload(); err != nil {
			logger.Error().Err(err).Msg("kept the former settings")
			continue
		}
		logger.Info().Str("file", file).Msg("settings reloaded")
	}
}

func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
