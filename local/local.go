// Package local runs a whole deployment in one process on loopback: control members and nodes with their real code,
// for the dev command and for experiments.
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
	// ErrUnknownProcess reports a member or node that does not exist.
	ErrUnknownProcess = errors.New("local: unknown process")
	// ErrRunning and ErrDown report a process that is not in the state that the operation needs.
	ErrRunning = errors.New("local: process is running")
	ErrDown    = errors.New("local: process is down")
	// ErrNotInForce means that the first bundle did not come into force in time.
	ErrNotInForce = errors.New("local: first bundle is not in force everywhere")
)

// kindLedger labels the traffic of irreversible calls' records, which is no configuration traffic.
const kindLedger shape.Kind = "ledger"

// pollPause is the time between two looks at a condition that a caller waits for.
const pollPause = 5 * time.Millisecond

// Options adds to an experiment.Spec what only this implementation knows.
type Options struct {
	Logger zerolog.Logger
	Policy balance.Policy
	// Relay overrides limits of the distribution tree.
	Relay relay.Config
}

// Deployment implements experiment.Deployment with real processes' code.
type Deployment struct {
	experiment.NetworkFaults

	spec      experiment.Spec
	options   Options
	addresses *loopback.Addresses
	keyring   *bundle.Keyring

	mu      sync.Mutex
	members map[string]*memberSlot
	nodes   map[string]*nodeSlot
	order   []string
	spares  int
}

var _ experiment.Deployment = (*Deployment)(nil)

// memberSlot is the instance of a control member.
type memberSlot struct {
	spec   experiment.MemberSpec
	ip     string
	folder string
	// added tells that the member joined an existing group.
	added   bool
	running *control.Member
}

func (s *memberSlot) mesh() string  { return loopback.WithPort(s.ip, loopback.PortMesh) }
func (s *memberSlot) admin() string { return loopback.WithPort(s.ip, loopback.PortAdmin) }

// nodeSlot is the instance of a node.
type nodeSlot struct {
	spec    experiment.NodeSpec
	ip      string
	running *node.Node
	applied experiment.Applied
}

// New prepares a deployment.
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
		members: make(map[string]*memberSlot), nodes: make(map[string]*nodeSlot),
	}
	for _, member := range spec.Members {
		d.addMember(member)
	}
	for _, described := range spec.Nodes {
		slot := &nodeSlot{spec: described, ip: addresses.Take()}
		d.nodes[described.ID] = slot
		for _, port := range []int{loopback.PortCallers, loopback.PortMesh, loopback.PortAdmin} {
			d.register(loopback.WithPort(slot.ip, port), described.Zone, described.ID)
		}
	}
	return d, nil
}

// Factory builds deployments for experiments: the baseline if the spec asks for it. Only errors are logged, since the
// report says the rest.
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

func (d *Deployment) addMember(spec experiment.MemberSpec) *memberSlot {
	slot := &memberSlot{spec: spec, ip: d.addresses.Take(), folder: filepath.Join(d.spec.DataFolder, spec.ID)}
	d.members[spec.ID] = slot
	d.order = append(d.order, spec.ID)
	d.register(slot.mesh(), spec.Zone, spec.ID)
	d.register(slot.admin(), spec.Zone, spec.ID)
	return slot
}

func (d *Deployment) register(address, zone, process string) {
	d.spec.Network.Register(address, shape.Endpoint{Zone: zone, Process: process})
}

// Start starts all processes and returns when the first bundle is in force on every node.
func (d *Deployment) Start(ctx context.Context) error {
	for _, id := range d.order {
		if err := d.StartMember(ctx, id); err != nil {
			return err
		}
	}
	for _, described := range d.spec.Nodes {
		if err := d.StartNode(ctx, described.ID); err != nil {
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
			return errors.Wrap(err, "local: no leader")
		}
	}
}

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
		for _, described := range d.spec.Nodes {
			if applied, ok := d.InForce(described.ID); !ok || applied.Version < version {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
		if err := pause(ctx); err != nil {
			return errors.Wrapf(ErrNotInForce, "%d nodes wait: %v", waiting, err)
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pollPause):
		return nil
	}
}

// Close ends all processes at once.
func (d *Deployment) Close() error {
	d.mu.Lock()
	var running []interface{ Kill() }
	for _, slot := range d.nodes {
		if slot.running != nil {
			running = append(running, slot.running)
			slot.running = nil
		}
	}
	for _, slot := range d.members {
		if slot.running != nil {
			running = append(running, slot.running)
			slot.running = nil
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

// Address returns the addresses of a node.
func (d *Deployment) Address(id string) experiment.NodeAddress {
	d.mu.Lock()
	defer d.mu.Unlock()
	slot := d.nodes[id]
	if slot == nil {
		return experiment.NodeAddress{}
	}
	return experiment.NodeAddress{HTTP: loopback.WithPort(slot.ip, loopback.PortCallers), Admin: loopback.WithPort(slot.ip, loopback.PortAdmin)}
}

// AdminAddresses returns the operator API addresses of the members.
func (d *Deployment) AdminAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for _, id := range d.order {
		list = append(list, d.members[id].admin())
	}
	return list
}

// Members returns the identifiers of the current members.
func (d *Deployment) Members() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.order...)
}

// meshAddresses lists the members' addresses, those of the given zone first. The lock is held.
func (d *Deployment) meshAddresses(zone string) []string {
	var near, far []string
	for _, id := range d.order {
		slot := d.members[id]
		if slot.spec.Zone == zone {
			near = append(near, slot.mesh())
		} else {
			far = append(far, slot.mesh())
		}
	}
	return append(near, far...)
}

func (d *Deployment) dialer(zone, process string, kind shape.Kind) rpc.Dialer {
	dial := d.spec.Network.Dialer(shape.Endpoint{Zone: zone, Process: process}, kind)
	return func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
}

// operatorClient returns a client of one member. Operators sit beside the member that they talk to.
func (d *Deployment) operatorClient(member string) (*operator.Client, error) {
	d.mu.Lock()
	slot := d.members[member]
	d.mu.Unlock()
	if slot == nil {
		return nil, errors.Wrapf(ErrUnknownProcess, "%s", member)
	}
	return operator.NewClient(operator.ClientConfig{
		Addresses: []string{slot.admin()}, Rounds: 1, Rand: rand.New(rand.NewSource(d.spec.Seed)),
	})
}

func (d *Deployment) signed(approval bundle.Approval) bundle.Approval {
	if len(approval.Signature) > 0 {
		return approval
	}
	return bundle.Sign(d.spec.Operators[approval.Operator], approval)
}

// Stage sends a bundle's parts to the members ahead of its approval.
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
	return verdictOf(err)
}

// Approve submits the approval of a staged bundle.
func (d *Deployment) Approve(ctx context.Context, member string, signed experiment.Signed) (experiment.Verdict, error) {
	client, err := d.operatorClient(member)
	if err != nil {
		return experiment.Verdict{}, err
	}
	_, err = client.Approve(ctx, operator.ApproveRequest{
		RequestID: operator.NewRequestID(), Approval: d.signed(signed.Approval),
	})
	return verdictOf(err)
}

// verdictOf tells a refusal, which is final, from a lost answer.
func verdictOf(err error) (experiment.Verdict, error) {
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

// InForce returns what a node has in force.
func (d *Deployment) InForce(id string) (experiment.Applied, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slot := d.nodes[id]
	if slot == nil || slot.running == nil || slot.applied.Version == 0 {
		return experiment.Applied{}, false
	}
	return slot.applied, true
}
