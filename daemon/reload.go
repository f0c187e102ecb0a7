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

// reloads receives SIGHUP. It stays registered until the process ends: without a receiver, the signal would end a process
// that is starting, or one that is leaving and still has requests in flight.
var reloads = make(chan os.Signal, 1)

func receiveReloads() { signal.Notify(reloads, syscall.SIGHUP) }

// registerSettings adds the flag that names the settings file.
func registerSettings(command *cobra.Command, file *string) {
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
	last := modified(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		case <-ticker.C:
			if modified(file).Equal(last) {
				continue
			}
		}
		last = modified(file)
		if err := reload(); err != nil {
			logger.Error().Err(err).Msg("kept the former settings")
			continue
		}
		logger.Info().Str("file", file).Msg("settings reloaded")
	}
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
