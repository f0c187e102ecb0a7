// Package local runs a whole deployment in one process on loopback addresses, with the code of the real control members
// and nodes. The dev command and the experiments use it.
package local

import (
	"context"
	"crypto/ed25519"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/control"
	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/experiment"
	"sapphiregate.example/sapphiregate/local/loopback"
	"sapphiregate.example/sapphiregate/local/naive"
	"sapphiregate.example/sapphiregate/logging"
	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
	"sapphiregate.example/sapphiregate/transport/rpc"
	"sapphiregate.example/sapphiregate/transport/shape"
)

// Errors of this package.
var (
	// ErrUnknownProcess reports an identifier that no member or node has.
	ErrUnknownProcess = errors.New("local: unknown process")
	// ErrRunning reports an operation on a running process that must be down, ErrDown the opposite.
	ErrRunning = errors.New("local: process is running")
	ErrDown    = errors.New("local: process is down")
	// ErrNotInForce reports that the context ended before the first bundle was in force on every node.
	ErrNotInForce = errors.New("local: first bundle is not in force everywhere")
)

// kindLedger labels the traffic of the ledger of irreversible calls, which does not count as control traffic.
const kindLedger shape.Kind = "ledger"

// pollInterval is the pause between two checks of a condition that a method waits for.
const pollInterval = 5 * time.Millisecond

// Options are the settings of a Deployment that experiment.Spec does not have.
type Options struct {
	Logger zerolog.Logger
	Policy balance.Policy
	// Relay overrides limits of the distribution tree.
	Relay relay.Config
}

// Deployment implements experiment.Deployment with control.Member and node.Node.
type Deployment struct {
	experiment.NetworkFaults

	spec      experiment.Spec
	options   Options
	addresses *loopback.Addresses
	keyring   *bundle.Keyring

	mu sync.Mutex
	// members also holds replaced members; memberOrder holds the identifiers of the current ones.
	members     map[string]*memberInstance
	nodes       map[string]*nodeInstance
	memberOrder []string
	// replacements counts the members that ReplaceMember added.
	replacements int
}

var _ experiment.Deployment = (*Deployment)(nil)

// memberInstance is the instance on which a control member runs. It keeps its address and data folder while the member
// is down.
type memberInstance struct {
	spec   experiment.MemberSpec
	ip     string
	folder string
	// joinsGroup is set for a member that joins an existing group instead of founding one.
	joinsGroup bool
	// running is nil while the member is down.
	running *control.Member
}

func (s *memberInstance) mesh() string  { return loopback.WithPort(s.ip, loopback.PortMesh) }
func (s *memberInstance) admin() string { return loopback.WithPort(s.ip, loopback.PortAdmin) }

// nodeInstance is the instance on which a node runs. It keeps its address while the node is down.
type nodeInstance struct {
	spec experiment.NodeSpec
	ip   string
	// running is nil while the node is down.
	running *node.Node
	// applied is the last bundle that the node put in force since its start.
	applied experiment.Applied
}

// New prepares a deployment; Start starts its processes.
func New(spec experiment.Spec, options Options) (*Deployment, error) {
	addresses, err := loopback.New()
	if err != nil {
		return nil, err
	}
	keys := make(map[string][]ed25519.PublicKey, len(spec.Operators))
	for name, key := range spec.Operators {
		keys[name] = []ed25519.PublicKey{key.Public().(ed25519.PublicKey)}
	}
	d := &Deployment{
		NetworkFaults: experiment.NetworkFaults{Network: spec.Network},

		spec: spec, options: options, addresses: addresses, keyring: bundle.NewKeyring(keys),
		members: make(map[string]*memberInstance), nodes: make(map[string]*nodeInstance),
	}
	for _, member := range spec.Members {
		d.addMember(member)
	}
	for _, nodeSpec := range spec.Nodes {
		instance := &nodeInstance{spec: nodeSpec, ip: addresses.Next()}
		d.nodes[nodeSpec.ID] = instance
		for _, port := range []int{loopback.PortCallers, loopback.PortMesh, loopback.PortAdmin} {
			d.register(loopback.WithPort(instance.ip, port), nodeSpec.Zone, nodeSpec.ID)
		}
	}
	return d, nil
}

// Factory creates the deployment of an experiment, or the naive baseline if spec.Baseline is set. The processes log
// errors only, since the experiment's report has the rest.
func Factory(spec experiment.Spec) (experiment.Deployment, error) {
	if spec.Baseline {
		return naive.New(spec)
	}
	logger, err := logging.New(os.Stderr, "text", "error")
	if err != nil {
		return nil, err
	}
	return New(spec, Options{Logger: logger})
}

// addMember gives a new member an instance. The lock is held, except in New.
func (d *Deployment) addMember(spec experiment.MemberSpec) *memberInstance {
	instance := &memberInstance{spec: spec, ip: d.addresses.Next(), folder: filepath.Join(d.spec.DataFolder, spec.ID)}
	d.members[spec.ID] = instance
	d.memberOrder = append(d.memberOrder, spec.ID)
	d.register(instance.mesh(), spec.Zone, spec.ID)
	d.register(instance.admin(), spec.Zone, spec.ID)
	return instance
}

// register tells the simulated network which process listens on an address.
func (d *Deployment) register(address, zone, process string) {
	d.spec.Network.Register(address, shape.Endpoint{Zone: zone, Process: process})
}

// Start starts all processes and returns when the first bundle is in force on every node.
func (d *Deployment) Start(ctx context.Context) error {
	for _, id := range d.memberOrder {
		if err := d.StartMember(ctx, id); err != nil {
			return err
		}
	}
	for _, nodeSpec := range d.spec.Nodes {
		if err := d.StartNode(ctx, nodeSpec.ID); err != nil {
			return err
		}
	}
	if err := d.waitLeader(ctx); err != nil {
		return err
	}
	if d.spec.Initial.Bundle == nil {
		return nil
	}
	if err := d.approveInitial(ctx); err != nil {
		return err
	}
	return d.waitInForce(ctx, d.spec.Initial.Approval.Version)
}

func (d *Deployment) waitLeader(ctx context.Context) error {
	for {
		if _, ok := d.Leader(); ok {
			return nil
		}
		if err := pause(ctx); err != nil {
			return errors.Wrap(err, "local: no leader was elected")
		}
	}
}

// approveInitial stages and approves the first bundle, and tries again unless the group refuses it.
func (d *Deployment) approveInitial(ctx context.Context) error {
	for {
		leader, _ := d.Leader()
		verdict, err := d.Stage(ctx, leader, d.spec.Initial)
		if err == nil && verdict.Accepted {
			verdict, err = d.Approve(ctx, leader, d.spec.Initial)
		}
		switch {
		case err == nil && verdict.Accepted:
			return nil
		case err == nil:
			return errors.Newf("local: first bundle was refused: %s", verdict.Reason)
		}
		if err := pause(ctx); err != nil {
			return err
		}
	}
}

func (d *Deployment) waitInForce(ctx context.Context, version uint64) error {
	for {
		waiting := 0
		for _, nodeSpec := range d.spec.Nodes {
			if applied, ok := d.InForce(nodeSpec.ID); !ok || applied.Version < version {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
		if err := pause(ctx); err != nil {
			return errors.Wrapf(ErrNotInForce, "%d nodes do not have it in force: %v", waiting, err)
		}
	}
}

// pause waits for pollInterval, or returns an error if the context ends before.
func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pollInterval):
		return nil
	}
}

// Close kills all processes.
func (d *Deployment) Close() error {
	d.mu.Lock()
	var running []interface{ Kill() }
	for _, instance := range d.nodes {
		if instance.running != nil {
			running = append(running, instance.running)
			instance.running = nil
		}
	}
	for _, instance := range d.members {
		if instance.running != nil {
			running = append(running, instance.running)
			instance.running = nil
		}
	}
	d.mu.Unlock()
	var group sync.WaitGroup
	for _, process := range running {
		group.Go(process.Kill)
	}
	group.Wait()
	d.addresses.Release()
	return nil
}

// Address returns the addresses of a node, or empty ones if the node does not exist.
func (d *Deployment) Address(id string) experiment.NodeAddress {
	d.mu.Lock()
	defer d.mu.Unlock()
	instance := d.nodes[id]
	if instance == nil {
		return experiment.NodeAddress{}
	}
	return experiment.NodeAddress{HTTP: loopback.WithPort(instance.ip, loopback.PortCallers), Admin: loopback.WithPort(instance.ip, loopback.PortAdmin)}
}

// AdminAddresses returns the operator API addresses of the members.
func (d *Deployment) AdminAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for _, id := range d.memberOrder {
		list = append(list, d.members[id].admin())
	}
	return list
}

// Members returns the identifiers of the current members.
func (d *Deployment) Members() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.memberOrder...)
}

// meshAddresses returns the mesh addresses of the members, those in the given zone first. The lock is held.
func (d *Deployment) meshAddresses(zone string) []string {
	var sameZone, otherZones []string
	for _, id := range d.memberOrder {
		instance := d.members[id]
		if instance.spec.Zone == zone {
			sameZone = append(sameZone, instance.mesh())
		} else {
			otherZones = append(otherZones, instance.mesh())
		}
	}
	return append(sameZone, otherZones...)
}

func (d *Deployment) dialer(zone, process string, kind shape.Kind) rpc.Dialer {
	dial := d.spec.Network.Dialer(shape.Endpoint{Zone: zone, Process: process}, kind)
	return func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
}

// operatorClient returns a client of one member's operator API. It dials without the simulated network, as an operator
// on the member's own instance would.
func (d *Deployment) operatorClient(member string) (*operator.Client, error) {
	d.mu.Lock()
	instance := d.members[member]
	d.mu.Unlock()
	if instance == nil {
		return nil, errors.Wrapf(ErrUnknownProcess, "%s", member)
	}
	return operator.NewClient(operator.ClientConfig{
		Addresses: []string{instance.admin()}, Rounds: 1, Rand: rand.New(rand.NewSource(d.spec.Seed)),
	})
}

// ensureSigned returns the approval as it is if it has a signature, and signed by its operator otherwise.
func (d *Deployment) ensureSigned(approval bundle.Approval) bundle.Approval {
	if len(approval.Signature) > 0 {
		return approval
	}
	return bundle.Sign(d.spec.Operators[approval.Operator], approval)
}

// Stage sends a bundle to the group through a member, ahead of its approval.
func (d *Deployment) Stage(ctx context.Context, member string, signed experiment.Signed) (experiment.Verdict, error) {
	client, err := d.operatorClient(member)
	if err != nil {
		return experiment.Verdict{}, err
	}
	update, err := bundle.FullUpdate(signed.Bundle)
	if err != nil {
		return experiment.Verdict{}, err
	}
	encoded, err := registry.EncodeUpdate(update)
	if err != nil {
		return experiment.Verdict{}, err
	}
	_, err = client.Stage(ctx, operator.StageRequest{
		RequestID: operator.NewRequestID(), Operator: signed.Approval.Operator, Version: signed.Approval.Version,
		Digest: update.Target, Update: encoded,
	})
	return verdictFromError(err)
}

// Approve submits the approval of a staged bundle to the group through a member.
func (d *Deployment) Approve(ctx context.Context, member string, signed experiment.Signed) (experiment.Verdict, error) {
	client, err := d.operatorClient(member)
	if err != nil {
		return experiment.Verdict{}, err
	}
	_, err = client.Approve(ctx, operator.ApproveRequest{
		RequestID: operator.NewRequestID(), Approval: d.ensureSigned(signed.Approval),
	})
	return verdictFromError(err)
}

// verdictFromError turns the errors that refuse a request for good into a verdict. Other errors are returned: the
// request may have been executed or not, and may be sent again.
func verdictFromError(err error) (experiment.Verdict, error) {
	var refusal *operator.Error
	switch {
	case err == nil:
		return experiment.Verdict{Accepted: true}, nil
	case errors.IsAny(err, operator.ErrVersionTaken, operator.ErrVersionOld, operator.ErrWithdrawn,
		operator.ErrNotLatest, operator.ErrInvalidBundle, operator.ErrUnauthorized):
		verdict := experiment.Verdict{Reason: err.Error()}
		if errors.As(err, &refusal) && refusal.Winner != nil {
			verdict.Winner = refusal.Winner.Digest
		}
		return verdict, nil
	default:
		return experiment.Verdict{}, err
	}
}

// InForce returns the bundle in force on a node, or false if the node is down or has none.
func (d *Deployment) InForce(id string) (experiment.Applied, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	instance := d.nodes[id]
	if instance == nil || instance.running == nil || instance.applied.Version == 0 {
		return experiment.Applied{}, false
	}
	return instance.applied, true
}
