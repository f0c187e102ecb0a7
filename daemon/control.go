package daemon

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/control"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/settings"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/disk"
	"sapphiregate.example/sapphiregate/state/ledger"
)

// memberStopTimeout bounds a planned stop of a control member, with the hand-over of the leadership.
const memberStopTimeout = 5 * time.Second

func newControlCommand() *cobra.Command {
	var file string
	var logs logFlags
	command := &cobra.Command{
		Use:   "control --settings FILE",
		Short: "Run a control member on an instance with a disk",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := settings.LoadControl(file)
			if err != nil {
				return errors.Mark(err, errUsage)
			}
			logger, err := logs.logger()
			if err != nil {
				return err
			}
			return runControl(command.Context(), loaded, logger)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "JSON settings file")
	_ = command.MarkFlagRequired("settings")
	logs.register(command)
	return command
}

func runControl(ctx context.Context, loaded settings.Control, logger zerolog.Logger) error {
	options, err := controlOptions(loaded, logger)
	if err != nil {
		return err
	}
	listeners, err := openListeners(loaded.Mesh, loaded.Admin)
	if err != nil {
		return err
	}
	options.Mesh, options.Admin = listeners[0], listeners[1]
	member, err := control.New(options)
	if err != nil {
		return err
	}
	member.Start()
	logger.Info().Str("instance", loaded.Instance).Str("member", member.ID()).Msg("control member started")
	select {
	case <-ctx.Done():
	case <-member.Done():
		return errors.New("daemon: the control member stopped by itself; see the log")
	}
	stopping, cancel := context.WithTimeout(context.Background(), memberStopTimeout)
	defer cancel()
	return member.Stop(stopping)
}

func controlOptions(loaded settings.Control, logger zerolog.Logger) (control.Options, error) {
	keys, err := bundle.LoadKeyring(loaded.Keyring)
	if err != nil {
		return control.Options{}, errors.Mark(err, errUsage)
	}
	identity, err := loadIdentity(loaded.TLS)
	if err != nil {
		return control.Options{}, err
	}
	registryFolder, err := disk.NewOS(filepath.Join(loaded.DataFolder, "registry"))
	if err != nil {
		return control.Options{}, errors.Mark(err, errUsage)
	}
	options := control.Options{
		Instance: loaded.Instance, Zone: loaded.Zone, Advertise: loaded.Advertise, AdvertiseAdmin: loaded.AdvertiseAdmin,
		Registry: registryFolder, Keys: keys, Identity: identity, Logger: logger,
		ElectionTimeout:   loaded.Limits.ElectionTimeout.Std(),
		HeartbeatInterval: loaded.Limits.HeartbeatInterval.Std(),
		MaxAppendBytes:    loaded.Limits.MaxAppendBytes,
		SnapshotEntries:   uint64(loaded.Limits.SnapshotEntries),
		Ledger:            ledger.Config{MaxTotalAnswerBytes: loaded.Limits.MaxLedgerBytes},
		Relay: relay.Config{
			ZoneFollowers: loaded.Limits.DirectFollowers, JoinsPerSecond: float64(loaded.Limits.JoinsPerSecond),
		},
	}
	for _, peer := range loaded.Peers {
		options.Founders = append(options.Founders,
			control.Founder{Address: peer.Address, Zone: peer.Zone, Learner: peer.Learner})
	}
	for group := range loaded.LedgerGroups {
		folder, err := disk.NewOS(filepath.Join(loaded.DataFolder, fmt.Sprintf("ledger-%d", group+1)))
		if err != nil {
			return control.Options{}, errors.Mark(err, errUsage)
		}
		options.Ledgers = append(options.Ledgers, folder)
	}
	return options, nil
}
