// Package naive is the baseline of the experiments, a simple system such as a team would otherwise write: one control
// process that keeps its state in memory and pushes whole bundles, and proxies that forward calls round robin and retry
// without regard to load.
package naive

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/experiment"
	"sapphiregate.example/sapphiregate/local/loopback"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/shape"
)

// Errors of this package.
var (
	// ErrUnknownProcess reports an identifier that no member or node has.
	ErrUnknownProcess = errors.New("naive: unknown process")
	// ErrRunning reports an operation on a running process that must be down, ErrDown the opposite.
	ErrRunning = errors.New("naive: process is running")
	ErrDown    = errors.New("naive: process is down")
)

const (
	// kindOperator labels the traffic between an operator and the control process on the same instance, which does not
	// count as control traffic.
	kindOperator shape.Kind = "operator"
	// pollInterval is the pause between two checks of a condition that a method waits for.
	pollInterval = 5 * time.Millisecond
)

// member is the instance of a control member. Only the first member runs the control process. The others run nothing:
// each only provides a zone from which an operator sends requests to the control process.
type member struct {
	spec    experiment.MemberSpec
	running bool
	// control is nil on all members but the first, and while that is down.
	control *controller
}

// nodeInstance is the instance on which a node, a proxy, runs. It keeps its address while the proxy is down.
type nodeInstance struct {
	spec experiment.NodeSpec
	ip   string
	// running is nil while the proxy is down.
	running *proxy
}

func (i *nodeInstance) admin() string { return loopback.WithPort(i.ip, loopback.PortAdmin) }

// Deployment implements experiment.Deployment with the baseline.
type Deployment struct {
	experiment.NetworkFaults

	spec      experiment.Spec
	addresses *loopback.Addresses
	keyring   *bundle.Keyring
	controlIP string
	nodes     map[string]*nodeInstance

	mu           sync.Mutex
	members      []*member
	replacements int
}

var _ experiment.Deployment = (*Deployment)(nil)

// New prepares a deployment; Start starts its processes.
func New(spec experiment.Spec) (*Deployment, error) {
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

		spec: spec, addresses: addresses, keyring: bundle.NewKeyring(keys), controlIP: addresses.Next(),
		nodes: make(map[string]*nodeInstance),
	}
	for _, memberSpec := range spec.Members {
		d.members = append(d.members, &member{spec: memberSpec})
	}
	d.registerControl()
	for _, nodeSpec := range spec.Nodes {
		instance := &nodeInstance{spec: nodeSpec, ip: addresses.Next()}
		d.nodes[nodeSpec.ID] = instance
		for _, port := range []int{loopback.PortCallers, loopback.PortAdmin} {
			endpoint := shape.Endpoint{Zone: nodeSpec.Zone, Process: nodeSpec.ID}
			spec.Network.Register(loopback.WithPort(instance.ip, port), endpoint)
		}
	}
	return d, nil
}

func (d *Deployment) control() string { return loopback.WithPort(d.controlIP, loopback.PortMesh) }

// registerControl tells the simulated network that the first member listens on the control address.
func (d *Deployment) registerControl() {
	first := d.members[0].spec
	d.spec.Network.Register(d.control(), shape.Endpoint{Zone: first.Zone, Process: first.ID})
}

// Start starts all processes and returns when the first bundle is in force on every node.
func (d *Deployment) Start(ctx context.Context) error {
	for _, id := range d.Members() {
		if err := d.StartMember(ctx, id); err != nil {
			return err
		}
	}
	for _, nodeSpec := range d.spec.Nodes {
		if err := d.StartNode(ctx, nodeSpec.ID); err != nil {
			return err
		}
	}
	if d.spec.Initial.Bundle == nil {
		return nil
	}
	if err := d.approveInitial(ctx); err != nil {
		return err
	}
	for !d.allInForce() {
		if err := pause(ctx); err != nil {
			return errors.Wrap(err, "naive: first bundle is not in force everywhere")
		}
	}
	return nil
}

// approveInitial approves the first bundle, and tries again after errors such as timeouts on a busy machine.
func (d *Deployment) approveInitial(ctx context.Context) error {
	for {
		verdict, err := d.Approve(ctx, d.Members()[0], d.spec.Initial)
		if err == nil && !verdict.Accepted {
			return errors.Newf("naive: first bundle was refused: %s", verdict.Reason)
		}
		if err == nil {
			return nil
		}
		if pauseErr := pause(ctx); pauseErr != nil {
			return err
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

func (d *Deployment) allInForce() bool {
	for id := range d.nodes {
		if _, ok := d.InForce(id); !ok {
			return false
		}
	}
	return true
}

// Close kills all processes.
func (d *Deployment) Close() error {
	for _, id := range d.Members() {
		_ = d.KillMember(id) // Fails only for a member that is down.
	}
	var group sync.WaitGroup
	for id := range d.nodes {
		group.Go(func() { _ = d.KillNode(id) })
	}
	group.Wait()
	d.addresses.Release()
	return nil
}

// Address returns the addresses of a node, or empty ones if the node does not exist.
func (d *Deployment) Address(id string) experiment.NodeAddress {
	instance := d.nodes[id]
	if instance == nil {
		return experiment.NodeAddress{}
	}
	return experiment.NodeAddress{HTTP: loopback.WithPort(instance.ip, loopback.PortCallers), Admin: instance.admin()}
}

// Members returns the identifiers of the current members.
func (d *Deployment) Members() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for _, m := range d.members {
		list = append(list, m.spec.ID)
	}
	return list
}

// Leader returns the first member, or false while it is down.
func (d *Deployment) Leader() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.members[0].running {
		return "", false
	}
	return d.members[0].spec.ID, true
}

// find returns the index of a member, which must be running or down as the caller requires; otherwise it returns
// ErrDown or ErrRunning. The lock is held.
func (d *Deployment) find(id string, running bool) (int, error) {
	for i, m := range d.members {
		switch {
		case m.spec.ID != id:
			continue
		case running && !m.running:
			return 0, errors.Wrapf(ErrDown, "%s", id)
		case !running && m.running:
			return 0, errors.Wrapf(ErrRunning, "%s", id)
		}
		return i, nil
	}
	return 0, errors.Wrapf(ErrUnknownProcess, "%s", id)
}

// StartMember starts a member without any state.
func (d *Deployment) StartMember(ctx context.Context, id string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	position, err := d.find(id, false)
	if err != nil {
		return err
	}
	m := d.members[position]
	if position == 0 {
		listeners, err := loopback.Listen(ctx, d.controlIP, loopback.PortMesh)
		if err != nil {
			return err
		}
		var proxies []string
		for _, instance := range d.nodes {
			proxies = append(proxies, instance.admin())
		}
		dial := d.spec.Network.Dialer(shape.Endpoint{Zone: m.spec.Zone, Process: id}, shape.KindControl)
		m.control = startController(listeners[0], dial, d.keyring, proxies)
	}
	m.running = true
	return nil
}

// detachMember marks a member as down and returns its process, or nil if it runs none.
func (d *Deployment) detachMember(id string) (*controller, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	position, err := d.find(id, true)
	if err != nil {
		return nil, err
	}
	m := d.members[position]
	process := m.control
	m.running, m.control = false, nil
	return process, nil
}

// StopMember stops a member gracefully.
func (d *Deployment) StopMember(ctx context.Context, id string) error {
	process, err := d.detachMember(id)
	if err != nil || process == nil {
		return err
	}
	return process.stop(ctx)
}

// KillMember stops a member without a shutdown and aborts its connections, as in a crash.
func (d *Deployment) KillMember(id string) error {
	process, err := d.detachMember(id)
	if err != nil || process == nil {
		return err
	}
	process.kill()
	d.spec.Network.Abort(id)
	return nil
}

// WipeMember only checks that the member is down, since members store no data.
func (d *Deployment) WipeMember(id string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, err := d.find(id, false)
	return err
}

// ReplaceMember kills a member, if it is running, and starts a new one without any state on the same address. It
// returns the identifier of the new member.
func (d *Deployment) ReplaceMember(ctx context.Context, id string) (string, error) {
	if err := d.KillMember(id); err != nil && !errors.Is(err, ErrDown) {
		return "", err
	}
	d.mu.Lock()
	position, err := d.find(id, false)
	if err != nil {
		d.mu.Unlock()
		return "", err
	}
	d.replacements++
	spec := d.members[position].spec
	spec.ID = fmt.Sprintf("%s-r%d", id, d.replacements)
	d.members[position] = &member{spec: spec}
	d.registerControl()
	d.mu.Unlock()
	return spec.ID, d.StartMember(ctx, spec.ID)
}

// StartNode starts a node without any state.
func (d *Deployment) StartNode(ctx context.Context, id string) error {
	instance := d.nodes[id]
	if instance == nil {
		return errors.Wrapf(ErrUnknownProcess, "%s", id)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if instance.running != nil {
		return errors.Wrapf(ErrRunning, "%s", id)
	}
	listeners, err := loopback.Listen(ctx, instance.ip, loopback.PortCallers, loopback.PortAdmin)
	if err != nil {
		return err
	}
	instance.running = startProxy(listeners[0], listeners[1], proxyOptions{
		spec: instance.spec, control: d.control(), admin: instance.admin(), network: d.spec.Network,
		zoneDelay: d.spec.Profile.ZoneDelay, onApplied: d.spec.OnApplied,
	})
	return nil
}

// detachNode marks a node as down and returns its process.
func (d *Deployment) detachNode(id string) (*proxy, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	instance := d.nodes[id]
	if instance == nil {
		return nil, errors.Wrapf(ErrUnknownProcess, "%s", id)
	}
	if instance.running == nil {
		return nil, errors.Wrapf(ErrDown, "%s", id)
	}
	process := instance.running
	instance.running = nil
	process.ignorePushes()
	return process, nil
}

// StopNode stops a node gracefully.
func (d *Deployment) StopNode(ctx context.Context, id string) error {
	process, err := d.detachNode(id)
	if err != nil {
		return err
	}
	defer process.calls.CloseIdleConnections()
	return process.stop(ctx)
}

// KillNode stops a node without a shutdown and aborts its connections, as in a crash.
func (d *Deployment) KillNode(id string) error {
	process, err := d.detachNode(id)
	if err != nil {
		return err
	}
	process.kill()
	process.calls.CloseIdleConnections()
	d.spec.Network.Abort(id)
	return nil
}

// Stage only checks that the member is running, since an approval carries the whole bundle.
func (d *Deployment) Stage(_ context.Context, id string, _ experiment.Signed) (experiment.Verdict, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, err := d.find(id, true)
	return experiment.Verdict{Accepted: err == nil}, err
}

// Approve sends a bundle with its approval to the control process, from the zone of the given member.
func (d *Deployment) Approve(ctx context.Context, id string, s experiment.Signed) (experiment.Verdict, error) {
	d.mu.Lock()
	position, err := d.find(id, true)
	zone := d.members[position].spec.Zone
	d.mu.Unlock()
	if err != nil {
		return experiment.Verdict{}, err
	}
	approval := s.Approval
	if len(approval.Signature) == 0 {
		approval = bundle.Sign(d.spec.Operators[approval.Operator], approval)
	}
	kind := shape.KindControl
	if position == 0 {
		kind = kindOperator
	}
	local := shape.Endpoint{Zone: zone, Process: id}
	transport := &http.Transport{DialContext: d.spec.Network.Dialer(local, kind)}
	defer transport.CloseIdleConnections()
	var verdict experiment.Verdict
	err = sendJSON(ctx, &http.Client{Transport: transport}, http.MethodPost, "http://"+d.control()+pathApprove,
		approvedBundle{Approval: approval, Bundle: s.Bundle}, &verdict)
	return verdict, err
}

// InForce returns the bundle in force on a node, or false if the node is down or has none.
func (d *Deployment) InForce(id string) (experiment.Applied, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	instance := d.nodes[id]
	if instance == nil || instance.running == nil {
		return experiment.Applied{}, false
	}
	current := instance.running.current.Load()
	if current == nil {
		return experiment.Applied{}, false
	}
	return current.applied, true
}
