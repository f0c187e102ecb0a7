package daemon

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/settings"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

func newNodeCommand() *cobra.Command {
	var file string
	var logs logFlags
	command := &cobra.Command{
		Use:   "node --settings FILE",
		Short: "Run the node beside an upstream",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := settings.LoadNode(file)
			if err != nil {
				return errors.Mark(err, errUsage)
			}
			logger, err := logs.logger()
			if err != nil {
				return err
			}
			return runNode(command.Context(), loaded, logger)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "JSON settings file")
	_ = command.MarkFlagRequired("settings")
	logs.register(command)
	return command
}

func runNode(ctx context.Context, loaded settings.Node, logger zerolog.Logger) error {
	keys, err := bundle.LoadKeyring(loaded.Keyring)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	identity, err := loadIdentity(loaded.TLS)
	if err != nil {
		return err
	}
	listeners, err := openListeners(loaded.Callers, loaded.Mesh, loaded.Admin)
	if err != nil {
		return err
	}
	process := node.New(node.Options{
		ID: loaded.Instance, Zone: loaded.Zone, Callers: listeners[0], Mesh: listeners[1], Admin: listeners[2],
		Advertise: loaded.Advertise, Members: loaded.Join, Keys: keys, Identity: identity,
		ZoneDelay: zoneDelays(loaded.ZoneDelays), Logger: logger, Limits: nodeLimits(loaded),
	})
	process.Start()
	logger.Info().Str("instance", loaded.Instance).Str("callers", loaded.Callers).Msg("node started")
	if loaded.Upstream != nil {
		if err := process.AcceptUpstream(announcementOf(*loaded.Upstream)); err != nil {
			process.Kill()
			return errors.Mark(err, errUsage)
		}
	}
	<-ctx.Done()
	logger.Info().Msg("node leaves; requests in flight finish")
	stopping, cancel := context.WithTimeout(context.Background(), loaded.Limits.DrainTimeout.Std())
	defer cancel()
	return process.Stop(stopping)
}

func nodeLimits(loaded settings.Node) node.Limits {
	limits := node.Limits{
		MaxCalls: loaded.Limits.MaxCalls, MaxHeaderBytes: loaded.Limits.MaxHeaderBytes,
		MaxBodyBytes: loaded.Limits.MaxBodyBytes,
	}
	if loaded.Upstream != nil {
		limits.HealthInterval = loaded.Upstream.HealthInterval.Std()
	}
	return limits
}

func announcementOf(u settings.Upstream) node.Announcement {
	return node.Announcement{
		Service: u.Service, Address: u.Address, Slots: u.Slots, Connections: u.Connections,
		HealthPath: u.HealthPath, LoadPath: u.LoadPath,
	}
}

// loadIdentity returns nil if TLS is switched off.
func loadIdentity(t settings.TLS) (*rpc.Identity, error) {
	if t.Insecure {
		return nil, nil
	}
	identity, err := rpc.LoadIdentity(rpc.TLSFiles{Certificate: t.Certificate, Key: t.Key, Authorities: t.CA})
	return identity, errors.Mark(err, errUsage)
}

func zoneDelays(delays map[string]settings.Duration) func(zone string) time.Duration {
	return func(zone string) time.Duration { return delays[zone].Std() }
}

// openListeners opens all addresses or none.
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
