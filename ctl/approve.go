package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

// rolloutOptions holds the arguments and flags of approve and replace.
type rolloutOptions struct {
	bundlePath string
	version    uint64
	// replaces is the version that must still be the latest; 0 for approve.
	replaces uint64
	// approvalFile holds an approval that was signed before. If it is empty, the command signs one with the key of --key.
	approvalFile string
	wait         bool
}

func (a *app) approveCommand() *cobra.Command {
	r := rolloutOptions{}
	command := &cobra.Command{
		Use:   "approve FOLDER|FILE --version N",
		Short: "Validate, stage and approve a bundle",
		Long: "Validate, stage and approve a bundle. Running the command again with the same bundle and version is safe:\n" +
			"it takes effect once and returns the first result again.",
		Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r.bundlePath = args[0]
			return a.rollOut(c, r)
		},
	}
	command.Flags().Uint64Var(&r.version, "version", 0, "version of the bundle, greater than the latest one")
	command.Flags().StringVar(&r.approvalFile, "approval", "", "approval file of 'bundle sign', instead of --version and --key")
	command.Flags().BoolVar(&r.wait, "wait", false, "watch until the version is in force on every proxy")
	return command
}

func (a *app) replaceCommand() *cobra.Command {
	r := rolloutOptions{}
	command := &cobra.Command{
		Use:   "replace OLD NEW FOLDER|FILE",
		Short: "Approve a bundle as version NEW if OLD is still the latest version",
		Args:  exactArgs(3),
		RunE: func(c *cobra.Command, args []string) error {
			var err error
			if r.replaces, err = parseVersion(args[0]); err != nil {
				return err
			}
			if r.version, err = parseVersion(args[1]); err != nil {
				return err
			}
			if r.version <= r.replaces {
				return usageError("NEW must be greater than OLD, as versions only increase")
			}
			r.bundlePath = args[2]
			return a.rollOut(c, r)
		},
	}
	command.Flags().BoolVar(&r.wait, "wait", false, "watch until the version is in force on every proxy")
	return command
}

// rollOut validates, stages and approves a bundle. With --wait it then watches the rollout. Its JSON output with --wait
// is that of the watch alone.
func (a *app) rollOut(c *cobra.Command, r rolloutOptions) error {
	b, err := openBundle(r.bundlePath)
	if err != nil {
		return err
	}
	approval, err := a.approvalFor(b, r)
	if err != nil {
		return err
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := a.requestContext(c)
	defer cancel()
	decision, err := submit(ctx, client, b, approval)
	if err != nil {
		return err
	}
	if r.wait && a.output == outputJSON {
		return a.watch(c, client, approval.Version)
	}
	if err := a.print(c, decision, func(w io.Writer) {
		printDecision(w, decision, approval.Version)
		fmt.Fprintf(w, "access %s\n", b.bundle.Access.Describe())
	}); err != nil {
		return err
	}
	if r.wait {
		return a.watch(c, client, approval.Version)
	}
	return nil
}

// approvalFor reads the approval of the bundle from the approval file, or signs one if no file is given.
func (a *app) approvalFor(b builtBundle, r rolloutOptions) (bundle.Approval, error) {
	if r.approvalFile == "" {
		return a.sign(b.update.Target, r.version, r.replaces)
	}
	if r.version != 0 {
		return bundle.Approval{}, usageError("--version and --approval exclude each other")
	}
	var approval bundle.Approval
	data, err := os.ReadFile(r.approvalFile)
	if err != nil {
		return approval, errors.Wrap(err, "read approval")
	}
	if err := json.Unmarshal(data, &approval); err != nil {
		return approval, errors.Wrapf(err, "decode approval %s", r.approvalFile)
	}
	if approval.Digest != b.update.Target {
		return approval, usageError("%s approves digest %s, but the bundle has %s", r.approvalFile, approval.Digest.Short(),
			b.update.Target.Short())
	}
	return approval, nil
}

// submit stages and approves a bundle. It repeats both steps once if the members no longer have the bundle when the
// approval arrives: they keep a limited number of staged bundles and drop the oldest.
func submit(ctx context.Context, api operator.Backend, b builtBundle, approval bundle.Approval) (operator.Decision, error) {
	decision, err := stageAndApprove(ctx, api, b, approval)
	if errors.Is(err, operator.ErrNotStaged) {
		return stageAndApprove(ctx, api, b, approval)
	}
	return decision, err
}

func stageAndApprove(
	ctx context.Context, api operator.Backend, b builtBundle, approval bundle.Approval,
) (operator.Decision, error) {
	if _, err := api.Stage(ctx, operator.StageRequest{
		Operator: approval.Operator, Version: approval.Version, Digest: approval.Digest, Update: b.encoded,
	}); err != nil {
		return operator.Decision{}, errors.Wrap(err, "stage")
	}
	var decision operator.Decision
	var err error
	if approval.Replaces != 0 {
		decision, err = api.Replace(ctx, operator.ReplaceRequest{Approval: approval})
	} else {
		decision, err = api.Approve(ctx, operator.ApproveRequest{Approval: approval})
	}
	return decision, errors.Wrap(err, "approve")
}

func printDecision(w io.Writer, d operator.Decision, version uint64) {
	fmt.Fprintf(w, "version %d %s at log index %d\n", version, d.Effect, d.Index)
	if d.Approval != nil {
		fmt.Fprintf(w, "digest %s, approved by %s\n", d.Approval.Digest, d.Approval.Operator)
	}
}

func (a *app) stopCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "stop VERSION",
		Short: "Withdraw a staged version, or stop the rollout of the latest one",
		Long: "Withdraw a staged version, or stop the rollout of the latest one. Proxies that have applied the version keep\n" +
			"it; no version is ever rolled back. To return to earlier content, approve it as a new version with 'replace'.",
		Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			version, err := parseVersion(args[0])
			if err != nil {
				return err
			}
			key, err := a.loadKey()
			if err != nil {
				return err
			}
			client, err := a.client()
			if err != nil {
				return err
			}
			ctx, cancel := a.requestContext(c)
			defer cancel()
			stop := registry.SignStop(key.Key, registry.Stop{Version: version, Operator: key.Operator})
			decision, err := client.Stop(ctx, operator.StopRequest{Stop: stop})
			if err != nil {
				return err
			}
			return a.print(c, decision, func(w io.Writer) { printDecision(w, decision, version) })
		},
	}
}
