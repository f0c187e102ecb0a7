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

// settingsCheckInterval is the time between two checks of the settings file's modification time, which find changes
// that come without a SIGHUP.
const settingsCheckInterval = 2 * time.Second

// reloadSignals receives SIGHUP until the process exits. Without a receiver, the signal would kill a process that is
// still starting, or one that is shutting down and still has requests in flight.
var reloadSignals = make(chan os.Signal, 1)

func registerReloadSignal() { signal.Notify(reloadSignals, syscall.SIGHUP) }

// addSettingsFlag adds the --settings flag, which is required unless the environment names the file.
func addSettingsFlag(command *cobra.Command, file *string) {
	command.Flags().StringVar(file, "settings", os.Getenv(platform.SettingsVariable), "JSON settings file")
	if os.Getenv(platform.SettingsVariable) == "" {
		_ = command.MarkFlagRequired("settings")
	}
}

// watchSettings calls reload after a SIGHUP and after each change of the settings file, and returns when the context
// ends. An error of reload is logged; the process then keeps the settings that it has.
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
			logger.Error().Err(err).Msg("settings not reloaded; the process keeps the settings it has")
			continue
		}
		logger.Info().Str("file", file).Msg("settings reloaded")
	}
}

// modificationTime returns the zero time if the file cannot be read.
func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
