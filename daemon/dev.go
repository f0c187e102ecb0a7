package daemon

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/examples"
	"sapphiregate.example/sapphiregate/experiment"
	"sapphiregate.example/sapphiregate/experiment/standin"
	"sapphiregate.example/sapphiregate/local"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/shape"
)

const (
	// devOperator is the operator that signs the bundles of a dev deployment.
	devOperator = "dev"
	// devStartTimeout limits the start, until the first version is in force and every node knows all upstreams.
	devStartTimeout = 20 * time.Second
	// devPollInterval is the time between two checks whether a node knows all upstreams.
	devPollInterval = 50 * time.Millisecond
	// devStopTimeout limits a graceful stop of all processes.
	devStopTimeout = 10 * time.Second
)

// devFlags are the flags of dev.
type devFlags struct {
	profile string
	check   bool
	logs    logFlags
}

func newDevCommand() *cobra.Command {
	var flags devFlags
	command := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole small deployment in one process on loopback",
		Long: "Runs control members, nodes and stand-in upstreams in one process on loopback, with the delays between\n" +
			"zones of the profile, applies the profile's example bundle and prints commands to try. TLS is off.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return flags.logs.run(func(logger zerolog.Logger) error {
				return runDev(command.Context(), flags, logger, command.OutOrStdout())
			})
		},
	}
	command.Flags().StringVar(&flags.profile, "profile", "kalasag", "the deployment to emulate: kalasag or kartuli")
	command.Flags().BoolVar(&flags.check, "check", false, "send calls, approve one version, print the results and exit")
	flags.logs.register(command)
	command.Flags().Lookup("log-level").DefValue = "warn"
	flags.logs.level = "warn"
	flags.logs.format = "text"
	return command
}

// devDeployment is the deployment that the dev command runs, with its files in a temporary folder.
type devDeployment struct {
	profile    experiment.Profile
	folder     string
	bundlePath string
	keyPath    string
	network    *shape.Network
	local      *local.Deployment
	spec       experiment.Spec
	upstreams  []*standin.Upstream
	truth      *standin.Recorder
}

func runDev(ctx context.Context, flags devFlags, logger zerolog.Logger, out io.Writer) error {
	profile, err := experiment.FindProfile(flags.profile)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	folder, err := os.MkdirTemp("", "sapphiregate-dev-")
	if err != nil {
		return errors.Wrap(err, "daemon: create data folder")
	}
	defer os.RemoveAll(folder)
	d := &devDeployment{profile: profile, folder: folder, truth: &standin.Recorder{}}
	defer d.close()
	if err := d.prepare(local.Options{Logger: logger}); err != nil {
		return err
	}
	started := time.Now()
	if err := d.start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "Deployment %q is up after %d ms.\n", profile.Name, time.Since(started).Milliseconds())
	if flags.check {
		return d.check(ctx, out)
	}
	d.printGuide(out)
	<-ctx.Done()
	fmt.Fprintln(out, "Stopping; requests in flight finish.")
	stopContext, cancel := context.WithTimeout(context.Background(), devStopTimeout)
	defer cancel()
	return d.stop(stopContext)
}

// prepare writes the example bundle and an operator's key, and creates the deployment without starting it.
func (d *devDeployment) prepare(options local.Options) error {
	d.bundlePath = filepath.Join(d.folder, "bundle")
	if err := os.CopyFS(d.folder, examples.Bundles); err != nil {
		return errors.Wrap(err, "daemon: write example bundle")
	}
	if err := os.Rename(filepath.Join(d.folder, d.profile.Name), d.bundlePath); err != nil {
		return errors.Wrap(err, "daemon: write example bundle")
	}
	loaded, err := bundle.Load(d.bundlePath)
	if err != nil {
		return err
	}
	update, err := bundle.FullUpdate(loaded)
	if err != nil {
		return err
	}
	key, err := d.writeKey()
	if err != nil {
		return err
	}
	d.network = shape.NewNetwork(time.Now().UnixNano())
	d.profile.Shape(d.network, shape.Link{})
	d.spec = experiment.Spec{
		Profile: d.profile, Network: d.network, Members: d.profile.Members(), Nodes: devNodes(d.profile, loaded),
		Operators: map[string]ed25519.PrivateKey{devOperator: key},
		Initial: experiment.Signed{
			Bundle:   loaded,
			Approval: bundle.Approval{Version: 1, Digest: update.Target, Operator: devOperator},
		},
		DataFolder: filepath.Join(d.folder, "data"),
	}
	d.local, err = local.New(d.spec, options)
	return err
}

// writeKey generates the operator's key, writes it to the folder and returns it.
func (d *devDeployment) writeKey() (ed25519.PrivateKey, error) {
	d.keyPath = filepath.Join(d.folder, "operator.key")
	key, err := bundle.GenerateKey(devOperator, rand.Reader)
	if err != nil {
		return nil, err
	}
	return key.Key, key.Save(d.keyPath)
}

// devNodes returns one node for each worker of the bundle's services, spread over the zones.
func devNodes(profile experiment.Profile, b *bundle.Bundle) []experiment.NodeSpec {
	var nodes []experiment.NodeSpec
	for s, service := range b.Services {
		for worker := range profile.Workers {
			nodes = append(nodes, experiment.NodeSpec{
				ID:      fmt.Sprintf("%s-%d", service.Name, worker+1),
				Zone:    profile.Zones[(s+worker)%len(profile.Zones)],
				Service: service.Name,
			})
		}
	}
	return nodes
}

// start starts the members and the nodes, then a stand-in upstream beside each node.
func (d *devDeployment) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	if err := d.local.Start(ctx); err != nil {
		return err
	}
	for i, node := range d.spec.Nodes {
		address := d.local.Address(node.ID)
		options := d.profile.Upstream(int64(i))
		options.ID, options.Service, options.NodeID = "upstream-"+node.ID, node.Service, node.ID
		options.NodeAddress, options.NodeAdminAddress, options.Recorder = address.HTTP, address.Admin, d.truth
		upstream := standin.New(options)
		if err := upstream.Start(); err != nil {
			return err
		}
		d.upstreams = append(d.upstreams, upstream)
	}
	return d.waitUpstreams(ctx)
}

// waitUpstreams returns once every node knows every upstream.
func (d *devDeployment) waitUpstreams(ctx context.Context) error {
	for _, node := range d.spec.Nodes {
		for d.local.KnownUpstreams(node.ID) < len(d.upstreams) {
			select {
			case <-ctx.Done():
				return errors.New("daemon: timeout before every node knew all upstreams")
			case <-time.After(devPollInterval):
			}
		}
	}
	return nil
}

// printGuide prints the addresses of the nodes, and commands that can be pasted into a shell.
func (d *devDeployment) printGuide(out io.Writer) {
	firstNode := d.local.Address(d.spec.Nodes[0].ID)
	lookup, irreversible := d.exampleRoutes()
	fmt.Fprintf(out, "\nCall a lookup:\n  curl -i http://%s%s\n", firstNode.HTTP, lookup.Match.PathPrefix)
	fmt.Fprintf(out, "\nCall an irreversible route twice with one key; it runs once:\n"+
		"  curl -i -X %s -H 'Idempotency-Key: demo-1' -d 'demo' http://%s%s\n",
		irreversible.Match.Methods[0], firstNode.HTTP, irreversible.Match.PathPrefix)
	fmt.Fprintf(out, "\nChange the bundle in %s, then approve it and watch it come into force:\n", d.bundlePath)
	fmt.Fprintf(out, "  export SAPPHIRECTL_CONTROL=%s SAPPHIRECTL_INSECURE=true SAPPHIRECTL_KEY=%s\n",
		strings.Join(d.local.AdminAddresses(), ","), d.keyPath)
	fmt.Fprintf(out, "  go run ./cmd/sapphirectl approve --version 2 --wait %s\n", d.bundlePath)
	fmt.Fprintf(out, "  go run ./cmd/sapphirectl status\n")
	fmt.Fprintf(out, "\nNodes (callers' address, administration):\n")
	for _, node := range d.spec.Nodes {
		address := d.local.Address(node.ID)
		fmt.Fprintf(out, "  %-26s %-12s http://%s  http://%s/debug/dump\n", node.ID, node.Zone, address.HTTP, address.Admin)
	}
	fmt.Fprintf(out, "\nStop with Ctrl-C.\n")
}

// exampleRoutes returns the first lookup route and the first irreversible route of the example bundle.
func (d *devDeployment) exampleRoutes() (lookup, irreversible bundle.Route) {
	for _, route := range d.spec.Initial.Bundle.Routes {
		switch {
		case route.Class == bundle.ClassLookup && lookup.Name == "":
			lookup = route
		case route.Class == bundle.ClassIrreversible && irreversible.Name == "":
			irreversible = route
		}
	}
	return lookup, irreversible
}

// stop drains the upstreams, then stops the nodes and then the members gracefully. It returns the errors of all.
func (d *devDeployment) stop(ctx context.Context) error {
	var all error
	for _, upstream := range d.upstreams {
		all = errors.CombineErrors(all, upstream.Drain(ctx))
	}
	for _, node := range d.spec.Nodes {
		all = errors.CombineErrors(all, d.local.StopNode(ctx, node.ID))
	}
	for _, member := range d.local.Members() {
		all = errors.CombineErrors(all, d.local.StopMember(ctx, member))
	}
	return all
}

// close releases what is still running, without a graceful stop.
func (d *devDeployment) close() {
	for _, upstream := range d.upstreams {
		upstream.Close()
	}
	if d.local != nil {
		_ = d.local.Close()
	}
	if d.network != nil {
		d.network.Close()
	}
}
