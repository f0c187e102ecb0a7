package daemon

import (
	"context"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/control"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/coordination/rollout"
	"sapphiregate.example/sapphiregate/platform"
	"sapphiregate.example/sapphiregate/settings"
	"sapphiregate.example/sapphiregate/state/disk"
	"sapphiregate.example/sapphiregate/state/ledger"
)

const (
	// maxMemberStopTime limits a planned stop of a control member, including the transfer of its leadership.
	maxMemberStopTime = 4 * time.Second
	// maxOperatorDrainTime limits the wait for the responses to operators before a member stops.
	maxOperatorDrainTime = time.Second
)

// memberStopTimes divides the time of a stop between the responses to operators, the member's own stop and the exit of
// the process.
func memberStopTimes(total time.Duration) (operators, member time.Duration) {
	return min(maxOperatorDrainTime, total/6), min(maxMemberStopTime, total*2/3)
}

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
			return logs.run(func(logger zerolog.Logger) error {
				return runControl(command.Context(), file, loaded, logger.With().Str("instance", loaded.Instance).Logger())
			})
		},
	}
	addSettingsFlag(command, &file)
	logs.register(command)
	return command
}

// runControl runs a control member until the context ends or the member stops by itself, which is an error.
func runControl(ctx context.Context, file string, loaded settings.Control, logger zerolog.Logger) error {
	options, err := controlOptions(loaded, logger)
	if err != nil {
		return err
	}
	limitMemory(loaded.Limits.MemoryMB)
	listeners, err := openListeners(loaded.Mesh, loaded.Admin)
	if err != nil {
		return err
	}
	options.MeshListener, options.AdminListener = listeners[0], listeners[1]
	var seeds atomic.Pointer[[]string]
	seeds.Store(&loaded.Join)
	options.Seeds = func() []string { return *seeds.Load() }
	member, err := control.New(options)
	if err != nil {
		return err
	}
	member.Start()
	logger.Info().Str("member", member.ID()).Msg("control member started")
	adapter := new(platform.Adapter)
	if loaded.Platform != nil {
		if adapter, err = platform.ServeControl(member, *loaded.Platform, logger); err != nil {
			member.Kill()
			return err
		}
		defer adapter.Close()
	}
	runContext, cancelRun := context.WithCancel(ctx)
	defer cancelRun()
	context.AfterFunc(member.Stopped(), cancelRun)
	watchSettings(runContext, file, logger, func() error {
		changed, err := settings.LoadControl(file)
		if err == nil {
			seeds.Store(&changed.Join)
		}
		return err
	})
	if member.Stopped().Err() != nil {
		err := stopReason(member)
		logger.Error().Err(err).Msg("control member stopped")
		return err
	}
	logger.Info().Msg("control member leaves")
	// The member answers the operators' requests only as long as it runs.
	operatorTime, memberTime := memberStopTimes(loaded.Limits.StopTimeout.Std())
	adapter.Shutdown(operatorTime)
	stopContext, cancel := context.WithTimeout(context.Background(), memberTime)
	defer cancel()
	err = member.Stop(stopContext)
	logger.Info().Err(err).Msg("control member stopped")
	return err
}

// stopReason returns the error for a member that stopped without being told to.
func stopReason(member *control.Member) error {
	select {
	case <-member.Removed():
		// The process must not end before the state is discarded.
		member.Kill()
		return control.ErrRemoved
	default:
		return errors.New("daemon: the control member stopped because of a failure; see its log")
	}
}

// controlOptions reads the files that the settings name and returns the options of the member.
func controlOptions(loaded settings.Control, logger zerolog.Logger) (control.Options, error) {
	keys, err := loadKeyring(loaded.Keyring, loaded.TrustedOperators)
	if err != nil {
		return control.Options{}, err
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
		RegistryFolder: registryFolder, Keys: keys, Identity: identity, Logger: logger,
		ElectionTimeout:   loaded.Limits.ElectionTimeout.Std(),
		HeartbeatInterval: loaded.Limits.HeartbeatInterval.Std(),
		MaxAppendBytes:    loaded.Limits.MaxAppendBytes,
		SnapshotEntries:   uint64(loaded.Limits.SnapshotEntries),
		ApplyWithin:       loaded.Objectives.ApplyWithin.Std(),
		RepairWithin:      loaded.Objectives.RepairWithin.Std(),
		ResendWithin:      loaded.Objectives.ResendWithin.Std(),
		Rollout: rollout.Config{
			CanaryShare: loaded.Objectives.CanaryShare, CanaryAllowance: loaded.Objectives.CanaryAllowance,
		},
		QuotaBounds: quotaBounds(loaded.Objectives),
		Ledger:      ledger.Config{MaxTotalResponseBytes: loaded.Limits.MaxLedgerBytes},
		Relay: relay.Config{
			ZoneFollowers: loaded.Limits.DirectFollowers, JoinsPerSecond: float64(loaded.Limits.JoinsPerSecond),
		},
	}
	for _, peer := range loaded.Peers {
		options.Founders = append(options.Founders,
			control.Founder{Address: peer.Address, Zone: peer.Zone, Learner: peer.Learner})
	}
	if loaded.Platform != nil {
		platform.ConfigureControl(&options, loaded)
	}
	for group := range loaded.LedgerGroups {
		folder, err := disk.NewOS(filepath.Join(loaded.DataFolder, fmt.Sprintf("ledger-%d", group+1)))
		if err != nil {
			return control.Options{}, errors.Mark(err, errUsage)
		}
		options.LedgerFolders = append(options.LedgerFolders, folder)
	}
	return options, nil
}
