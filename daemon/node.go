package daemon

import (
	"context"
	"net"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/coordination/retry"
	"sapphiregate.example/sapphiregate/coordination/shutdown"
	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/platform"
	"sapphiregate.example/sapphiregate/settings"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

func newNodeCommand() *cobra.Command {
	var file string
	var logs logFlags
	command := &cobra.Command{
		Use:   "node --settings FILE",
		Short: "Run a node, the proxy beside an upstream",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := settings.LoadNode(file)
			if err != nil {
				return errors.Mark(err, errUsage)
			}
			return logs.run(func(logger zerolog.Logger) error {
				logger = logger.With().Str("instance", loaded.Instance).Logger()
				return runNode(command.Context(), file, loaded, logger, logs.setExit)
			})
		},
	}
	addSettingsFlag(command, &file)
	logs.register(command)
	return command
}

// upstreamDrainTimeout is the longest wait for the responses to heartbeats after a node has stopped.
const upstreamDrainTimeout = 200 * time.Millisecond

// descriptorsPerCall is the number of descriptors for each call in flight: the connections of its caller and to its
// upstream, and a share of those to other processes.
const descriptorsPerCall = 3

// memoryShare is the share of its memory at which a process collects garbage more often, well before the instance ends
// it.
const memoryShare = 0.8

// limitMemory makes the runtime keep the process within its memory; 0 sets no limit.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(megabytes<<20)))
	}
}

// runNode runs a node until the context ends, then stops it gracefully. It calls setExit with the time by which the process
// must end once it stops.
func runNode(
	ctx context.Context, file string, loaded settings.Node, logger zerolog.Logger, setExit func(by time.Time),
) error {
	keys, err := loadKeyring(loaded.Keyring, loaded.TrustedOperators)
	if err != nil {
		return err
	}
	identity, err := loadIdentity(loaded.TLS)
	if err != nil {
		return err
	}
	listeners, err := openListeners(loaded.Callers, loaded.Mesh, loaded.Admin)
	if err != nil {
		return err
	}
	limitMemory(loaded.Limits.MemoryMB)
	options := node.Options{
		ID: loaded.Instance, Zone: loaded.Zone, Callers: listeners[0], Mesh: listeners[1], Admin: listeners[2],
		Advertise: loaded.Advertise, Members: loaded.Join, Keys: keys, Identity: identity,
		ZoneDelay: zoneDelays(loaded), Logger: logger, Limits: nodeLimits(loaded), RetryLimits: retryLimits(loaded.Objectives),
		KeyLimits:   keyLimits(loaded.Objectives),
		QuotaBounds: quotaBounds(loaded.Objectives),
	}
	if loaded.Platform != nil {
		platform.ConfigureNode(&options, loaded)
	}
	process := node.New(options)
	process.Start()
	logger.Info().Str("callers", loaded.Callers).Msg("node started")
	adapter := new(platform.Adapter)
	if loaded.Platform != nil {
		if adapter, err = platform.ServeNode(process, *loaded.Platform, logger); err != nil {
			process.Kill()
			return err
		}
		defer adapter.Close()
	}
	if loaded.Upstream != nil {
		if err := process.AcceptUpstream(announcementOf(*loaded.Upstream)); err != nil {
			process.Kill()
			return errors.Mark(err, errUsage)
		}
	}
	watchSettings(ctx, file, logger, func() error {
		changed, err := settings.LoadNode(file)
		if err == nil {
			process.SetJoinAddresses(changed.Join)
		}
		return err
	})
	logger.Info().Msg("node leaves; requests in flight finish")
	exit := shutdown.NewSchedule(time.Now(), shutdown.Budget{Grace: loaded.Limits.DrainTimeout.Std()}).Exit
	setExit(exit)
	stopContext, cancel := context.WithTimeout(context.Background(), loaded.Limits.DrainTimeout.Std())
	defer cancel()
	err = process.Stop(stopContext)
	adapter.Shutdown(min(upstreamDrainTimeout, time.Until(exit)/2)) // The other half is for the log.
	logger.Info().Err(err).Msg("node stopped")
	return err
}

func nodeLimits(loaded settings.Node) node.Limits {
	limits := node.Limits{
		MaxCalls: loaded.Limits.MaxCalls, MaxHeaderBytes: loaded.Limits.MaxHeaderBytes,
		MaxBodyBytes: loaded.Limits.MaxBodyBytes, LeaveNotice: loaded.Limits.LeaveNotice.Std(),
		DrainWithin: loaded.Objectives.DrainWithin.Std(), LinkMegabits: loaded.Limits.LinkMegabits,
		MaxReturns:     loaded.Limits.MaxReturns,
		RollbackWithin: loaded.Objectives.RollbackWithin.Std(),
	}
	if loaded.Limits.MaxDescriptors > 0 {
		limits.MaxCalls = min(limits.MaxCalls, loaded.Limits.MaxDescriptors/descriptorsPerCall)
	}
	if loaded.Upstream != nil {
		limits.HealthInterval = loaded.Upstream.HealthInterval.Std()
	}
	return limits
}

func keyLimits(o settings.Objectives) node.KeyLimits {
	limits := node.KeyLimits{AddedWithin: o.ApplyWithin.Std()}
	if o.RevokeStrict {
		limits.RevokedWithin = o.RevokeWithin.Std()
	}
	return limits
}

func retryLimits(o settings.Objectives) retry.Limits {
	return retry.Limits{Share: o.RetryShare, Window: o.RetryWindow.Std(), Allowance: o.RetryAllowance}
}

func quotaBounds(o settings.Objectives) quota.Bounds {
	return quota.Bounds{Window: o.QuotaWindow.Std(), Overshoot: o.QuotaOvershoot, Allowance: o.QuotaAllowance}
}

// loadKeyring reads the public keys of the operators. The trusted operators are accepted without a signature; if there
// are any, the file name may be empty.
func loadKeyring(file string, trusted []string) (*bundle.Keyring, error) {
	keys := bundle.NewKeyring(nil)
	if file != "" {
		loaded, err := bundle.LoadKeyring(file)
		if err != nil {
			return nil, errors.Mark(err, errUsage)
		}
		keys = loaded
	}
	return keys.WithTrustedOperators(trusted...), nil
}

func announcementOf(u settings.Upstream) node.Announcement {
	return node.Announcement{
		Service: u.Service, Address: u.Address, Slots: u.Slots, Connections: u.Connections,
		HealthPath: u.HealthPath, LoadPath: u.LoadPath,
	}
}

// loadIdentity reads the certificates and the key of the process. It returns nil if the settings switch TLS off.
func loadIdentity(t settings.TLS) (*rpc.Identity, error) {
	if t.Insecure {
		return nil, nil
	}
	identity, err := rpc.LoadIdentity(rpc.TLSFiles{Certificate: t.Certificate, Key: t.Key, Authorities: t.CA})
	return identity, errors.Mark(err, errUsage)
}

// zoneDelays returns a function that gives the delay to a zone from the settings.
func zoneDelays(loaded settings.Node) func(zone string) time.Duration {
	return func(zone string) time.Duration {
		if delay, listed := loaded.ZoneDelays[zone]; listed {
			return delay.Std()
		}
		return loaded.OtherZoneDelay.Std()
	}
}

// openListeners listens on all addresses. If one of them fails, it closes the listeners that it has opened.
func openListeners(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, errors.Wrapf(err, "daemon: listen on %s", address)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}
