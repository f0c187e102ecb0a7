package local

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/control"
	"sapphiregate.example/sapphiregate/experiment"
	"sapphiregate.example/sapphiregate/local/loopback"
	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/disk"
	"sapphiregate.example/sapphiregate/transport/shape"
)

// runnable is an instance on which one process can run.
type runnable interface {
	comparable
	isRunning() bool
}

func (s *memberInstance) isRunning() bool { return s.running != nil }
func (s *nodeInstance) isRunning() bool   { return s.running != nil }

// findInstance returns the instance of a process, which must be running or down as the caller requires; otherwise it
// returns ErrDown or ErrRunning. The lock is held.
func findInstance[S runnable](instances map[string]S, id string, running bool) (S, error) {
	var none S
	found := instances[id]
	switch {
	case found == none:
		return none, errors.Wrapf(ErrUnknownProcess, "%s", id)
	case running && !found.isRunning():
		return none, errors.Wrapf(ErrDown, "%s", id)
	case !running && found.isRunning():
		return none, errors.Wrapf(ErrRunning, "%s", id)
	}
	return found, nil
}

// StartMember starts a member with the data folder of its instance.
func (d *Deployment) StartMember(ctx context.Context, id string) error {
	d.mu.Lock()
	instance, err := findInstance(d.members, id, false)
	founders := d.founders()
	d.mu.Unlock()
	if err != nil {
		return err
	}
	if instance.joinsGroup {
		founders = nil
	}
	registryFolder, err := disk.NewOS(filepath.Join(instance.folder, "registry"))
	if err != nil {
		return err
	}
	ledgerFolder, err := disk.NewOS(filepath.Join(instance.folder, "ledger"))
	if err != nil {
		return err
	}
	listeners, err := loopback.Listen(ctx, instance.ip, loopback.PortMesh, loopback.PortAdmin)
	if err != nil {
		return err
	}
	member, err := control.New(control.Options{
		Instance: id, Zone: instance.spec.Zone, MeshListener: listeners[0], AdminListener: listeners[1], Founders: founders,
		RegistryFolder: registryFolder, LedgerFolders: []disk.FS{ledgerFolder}, Keys: d.keyring,
		Dialer:       d.dialer(instance.spec.Zone, id, shape.KindControl),
		LedgerDialer: d.dialer(instance.spec.Zone, id, kindLedger),
		Logger:       d.options.Logger.With().Str("process", id).Logger(), Relay: d.options.Relay,
	})
	if err != nil {
		return err
	}
	member.Start()
	d.mu.Lock()
	instance.running = member
	d.mu.Unlock()
	return nil
}

// founders returns the members of which the group is first formed. The lock is held.
func (d *Deployment) founders() []control.Founder {
	var founders []control.Founder
	for _, spec := range d.spec.Members {
		instance := d.members[spec.ID]
		founders = append(founders, control.Founder{Address: instance.mesh(), Zone: spec.Zone, Learner: spec.Learner})
	}
	return founders
}

// detachMember marks a member as down and returns its process for the caller to stop.
func (d *Deployment) detachMember(id string) (*control.Member, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	instance, err := findInstance(d.members, id, true)
	if err != nil {
		return nil, err
	}
	member := instance.running
	instance.running = nil
	return member, nil
}

// StopMember stops a member gracefully.
func (d *Deployment) StopMember(ctx context.Context, id string) error {
	member, err := d.detachMember(id)
	if err != nil {
		return err
	}
	return member.Stop(ctx)
}

// KillMember stops a member without a shutdown and aborts its connections, as in a crash.
func (d *Deployment) KillMember(id string) error {
	member, err := d.detachMember(id)
	if err != nil {
		return err
	}
	member.Kill()
	d.spec.Network.Abort(id)
	return nil
}

// WipeMember deletes the data folder of a member that is down.
func (d *Deployment) WipeMember(id string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	instance, err := findInstance(d.members, id, false)
	if err != nil {
		return err
	}
	return os.RemoveAll(instance.folder)
}

// ReplaceMember starts a new member with an empty data folder in the zone of an old one, which may be down, and
// replaces the old member by it in the group. It returns the identifier of the new member.
func (d *Deployment) ReplaceMember(ctx context.Context, id string) (string, error) {
	d.mu.Lock()
	old := d.members[id]
	if old == nil {
		d.mu.Unlock()
		return "", errors.Wrapf(ErrUnknownProcess, "%s", id)
	}
	d.replacements++
	spec := experiment.MemberSpec{ID: fmt.Sprintf("%s-r%d", id, d.replacements), Zone: old.spec.Zone}
	added := d.addMember(spec)
	added.joinsGroup = true
	oldAddress := old.mesh()
	d.mu.Unlock()
	if err := d.StartMember(ctx, spec.ID); err != nil {
		return "", err
	}
	if err := d.replace(ctx, oldAddress, added); err != nil {
		return "", err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, other := range d.memberOrder {
		if other == id {
			d.memberOrder = append(d.memberOrder[:i:i], d.memberOrder[i+1:]...)
			break
		}
	}
	return spec.ID, nil
}

// replace repeats tryReplace until it succeeds or the context ends.
func (d *Deployment) replace(ctx context.Context, oldAddress string, added *memberInstance) error {
	for {
		err := d.tryReplace(ctx, oldAddress, added)
		if err == nil {
			return nil
		}
		if pauseErr := pause(ctx); pauseErr != nil {
			return err
		}
	}
}

// tryReplace asks the leader to replace a member. It succeeds without a request if the old member has left the group
// already, so that it can be repeated after a lost reply.
func (d *Deployment) tryReplace(ctx context.Context, oldAddress string, added *memberInstance) error {
	leader, ok := d.Leader()
	if !ok {
		return errors.New("local: no leader")
	}
	client, err := d.operatorClient(leader)
	if err != nil {
		return err
	}
	members, err := client.Members(ctx)
	if err != nil {
		return err
	}
	for _, member := range members.Members {
		if member.Address != oldAddress {
			continue
		}
		_, err := client.ReplaceMember(ctx, operator.ReplaceMemberRequest{
			RequestID: operator.NewRequestID(), Old: member.ID, New: added.running.ID(),
			Address: added.mesh(), Zone: added.spec.Zone,
		})
		return err
	}
	return nil
}

// Leader returns the identifier of the current leader of the group.
func (d *Deployment) Leader() (string, bool) {
	d.mu.Lock()
	running := make(map[string]*control.Member, len(d.members))
	for id, instance := range d.members {
		if instance.running != nil {
			running[id] = instance.running
		}
	}
	d.mu.Unlock()
	// A former leader that lost its connections may consider itself the leader for a short time; the highest term wins.
	leader, greatest := "", uint64(0)
	for id, member := range running {
		if term, leads := member.Leads(); leads && term >= greatest {
			leader, greatest = id, term
		}
	}
	return leader, leader != ""
}

// StartNode starts a node without any state.
func (d *Deployment) StartNode(ctx context.Context, id string) error {
	d.mu.Lock()
	instance, err := findInstance(d.nodes, id, false)
	var members []string
	if err == nil {
		members = d.meshAddresses(instance.spec.Zone)
		instance.applied = experiment.Applied{}
	}
	d.mu.Unlock()
	if err != nil {
		return err
	}
	listeners, err := loopback.Listen(ctx, instance.ip, loopback.PortCallers, loopback.PortMesh, loopback.PortAdmin)
	if err != nil {
		return err
	}
	process := node.New(node.Options{
		ID: id, Zone: instance.spec.Zone, Callers: listeners[0], Mesh: listeners[1], Admin: listeners[2],
		Members: members, Keys: d.keyring,
		ControlDialer: d.dialer(instance.spec.Zone, id, shape.KindControl),
		LedgerDialer:  d.dialer(instance.spec.Zone, id, kindLedger),
		CallDialer:    d.dialer(instance.spec.Zone, id, shape.KindCall),
		ZoneDelay:     func(string) time.Duration { return d.spec.Profile.ZoneDelay },
		Policy:        d.options.Policy,
		Logger:        d.options.Logger.With().Str("process", id).Logger(),
		OnApplied:     func(a bundle.Approval, b *bundle.Bundle, at time.Time) { d.recordApplied(instance, a, b, at) },
		Relay:         d.options.Relay,
	})
	process.Start()
	d.mu.Lock()
	instance.running = process
	d.mu.Unlock()
	return nil
}

// recordApplied records the bundle that a node put in force and reports it to the experiment.
func (d *Deployment) recordApplied(instance *nodeInstance, approval bundle.Approval, b *bundle.Bundle, at time.Time) {
	applied := experiment.Applied{
		Node: instance.spec.ID, Version: approval.Version, Digest: approval.Digest, Bundle: b, At: at,
	}
	d.mu.Lock()
	instance.applied = applied
	d.mu.Unlock()
	if d.spec.OnApplied != nil {
		d.spec.OnApplied(applied)
	}
}

// detachNode marks a node as down and returns its process for the caller to stop.
func (d *Deployment) detachNode(id string) (*node.Node, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	instance, err := findInstance(d.nodes, id, true)
	if err != nil {
		return nil, err
	}
	process := instance.running
	instance.running = nil
	return process, nil
}

// StopNode stops a node gracefully.
func (d *Deployment) StopNode(ctx context.Context, id string) error {
	process, err := d.detachNode(id)
	if err != nil {
		return err
	}
	return process.Stop(ctx)
}

// KillNode stops a node without a shutdown and aborts its connections, as in a crash.
func (d *Deployment) KillNode(id string) error {
	process, err := d.detachNode(id)
	if err != nil {
		return err
	}
	process.Kill()
	d.spec.Network.Abort(id)
	return nil
}

// KnownUpstreams returns the number of serving upstreams that a node knows, or 0 if the node is down.
func (d *Deployment) KnownUpstreams(id string) int {
	d.mu.Lock()
	instance := d.nodes[id]
	d.mu.Unlock()
	if instance == nil || instance.running == nil {
		return 0
	}
	return instance.running.KnownUpstreams()
}
