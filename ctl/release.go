package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/release"
)

func (a *app) releaseCommand() *cobra.Command {
	return commandGroup("release", "Roll out a new release of a service's software",
		a.startReleaseCommand(), a.listReleasesCommand(), a.cancelReleaseCommand())
}

func (a *app) startReleaseCommand() *cobra.Command {
	var duration time.Duration
	command := &cobra.Command{
		Use:   "start SERVICE RELEASE --duration D",
		Short: "Move the calls of a service to the upstreams of a release, step by step",
		Long: "Move the calls of a service to the upstreams of a release. The control members compare them with those of the\n" +
			"former release, and complete the rollout or roll it back within the duration.",
		Args: exactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			if duration < time.Millisecond || duration > release.MaxDuration {
				return usageError("--duration: allowed: from 1ms to %s", release.MaxDuration)
			}
			return a.changeRelease(c, args, func(ctx context.Context, client operator.Backend, name string) (operator.Decision, error) {
				return client.StartRollout(ctx, operator.StartRolloutRequest{
					Operator: name, Service: args[0], Release: args[1], DurationMs: duration.Milliseconds(),
				})
			})
		},
	}
	command.Flags().DurationVar(&duration, "duration", 0, "time within which the rollout has to end")
	return command
}

func (a *app) cancelReleaseCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "cancel SERVICE RELEASE",
		Short: "Roll a running rollout back: the release gets no further calls",
		Args:  exactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			return a.changeRelease(c, args, func(ctx context.Context, client operator.Backend, name string) (operator.Decision, error) {
				return client.CancelRollout(ctx, operator.CancelRolloutRequest{Operator: name, Service: args[0], Release: args[1]})
			})
		},
	}
}

// changeRelease sends an order about the rollout of a service's release, the two arguments, and prints its result.
func (a *app) changeRelease(
	c *cobra.Command, args []string,
	send func(ctx context.Context, client operator.Backend, name string) (operator.Decision, error),
) error {
	name, err := a.operatorName()
	if err != nil {
		return err
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := a.requestContext(c)
	defer cancel()
	decision, err := send(ctx, client, name)
	if err != nil {
		return err
	}
	return a.print(c, decision, func(w io.Writer) {
		fmt.Fprintf(w, "release %s of service %s: %s at log index %d\n", printable(args[1]), printable(args[0]),
			decision.Effect, decision.Index)
	})
}

func (a *app) listReleasesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "Show the latest rollout of a release of each service, and why it is where it is",
		Args:  exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			ctx, cancel := a.requestContext(c)
			defer cancel()
			response, err := client.Rollouts(ctx)
			if err != nil {
				return err
			}
			return a.print(c, response, func(w io.Writer) { printReleases(w, response.Rollouts) })
		},
	}
}

func printReleases(w io.Writer, rollouts []operator.ReleaseRollout) {
	fmt.Fprintln(w, "SERVICE\tRELEASE\tSTATE\tSHARE\tDURATION\tBY\tREASON\tEVIDENCE")
	for _, r := range rollouts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f%%\t%s\t%s\t%s\t%s\n", printable(r.Service), printable(r.Release), r.State,
			100*float64(r.Share)/release.FullShare, r.Duration(), printable(r.Operator), printable(r.Reason), printable(r.Evidence))
	}
}
