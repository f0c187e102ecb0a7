// Package control implements a control member: the process on an instance with a disk that holds a replica of each
// replicated log, applies it to the registry or the ledger, and distributes the configuration to the nodes of its zone.
// One goroutine, the control goroutine, owns the state; one further goroutine for each log writes to the disk.
package control

import (
	"cmp"
	"context"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/credentials"

	"sapphiregate.example/sapphiregate/coordination/membership"
	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/coordination/rollout"
	"sapphiregate.example/sapphiregate/internal/clock"
	"sapphiregate.example/sapphiregate/logging"
	"sapphiregate.example/sapphiregate/mesh"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/disk"
	"sapphiregate.example/sapphiregate/state/ledger"
	"sapphiregate.example/sapphiregate/state/wal"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

// Options are the settings of a control member.
type Options struct {
	// Instance is the name of the instance in logs and dumps.
	Instance string
	Zone     string
	// MeshListener accepts the connections of nodes and other members, AdminListener those of operators. The member
	// closes both.
	MeshListener  net.Listener
	AdminListener net.Listener
	// Advertise and AdvertiseAdmin are the addresses under which others reach MeshListener and AdminListener. If they are
	// empty, the addresses of the listeners are used.
	Advertise      string
	AdvertiseAdmin string
	// Founders lists the first members of a new group, this one included. It is used only while the data folder is new,
	// and is empty for a member that is added later.
	Founders []Founder
	// RegistryFolder and LedgerFolders hold the logs, one folder each. All members have the same number of ledger groups.
	RegistryFolder disk.FS
	LedgerFolders  []disk.FS
	Keys           *bundle.Keyring
	// Voters is the number of members that vote when nothing has failed. If it is set, the leader replaces members that
	// have lost their disk or do not respond by processes that ask to join; this covers only the registry's group. 0
	// leaves the membership to operators.
	Voters int
	// Placement says where these members stand. The zero value lets them stand anywhere.
	Placement membership.Placement
	// Seeds returns mesh addresses of processes that may know the group. A process that belongs to no group sends its join
	// requests to them. It is used only if Voters is set.
	Seeds    func() []string
	Identity *rpc.Identity
	// Dialer opens connections for the registry and the configuration, LedgerDialer those for the ledger; nil dials TCP.
	Dialer       rpc.Dialer
	LedgerDialer rpc.Dialer
	Logger       zerolog.Logger

	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	MaxAppendBytes    int
	// SnapshotEntries is the number of log entries between two snapshots; 0 takes the default.
	SnapshotEntries uint64
	Ledger          ledger.Config
	// ApplyWithin is the time after its acknowledgement within which a version is in force on every node; 0 means 2 s.
	ApplyWithin time.Duration
	// QuotaBounds says by how much all nodes together may exceed a team's quota.
	QuotaBounds quota.Bounds
	// RepairWithin is the time within which a process that takes the place of a member counts as its full replacement; 0
	// means 4 s.
	RepairWithin time.Duration
	// ResendWithin is the time for which operators send an order without an identifier again if they got no response; 0
	// means 4 s.
	ResendWithin time.Duration
	// Rollout holds the objectives for rollouts of releases; zero fields take the defaults.
	Rollout rollout.Config
	// Relay overrides the limits of the distribution tree; zero fields take the defaults.
	Relay relay.Config
}

const (
	defaultSnapshotEntries = 10_000
	defaultApplyWithin     = 2 * time.Second
	defaultRepairWithin    = 4 * time.Second
	defaultResendWithin    = 4 * time.Second
	// registryTrailingEntries is the number of entries of the registry that are kept after a snapshot. A member that lacks
	// more gets the snapshot, which takes less time to restore than so many entries take to apply.
	registryTrailingEntries = 32
	readHeaderTimeout       = 10 * time.Second
	// adminShutdownTimeout bounds the wait for open requests of operators when the member stops.
	adminShutdownTimeout = 200 * time.Millisecond
)

// registryGroup is the group of the registry's log; the groups of the ledger follow it.
const registryGroup = 0

// Member is one running control member.
type Member struct {
	options Options
	logger  zerolog.Logger
	metrics *metrics

	host        *mesh.Host
	peer        *relay.Peer
	pool        *rpc.Pool
	ledgerPool  *rpc.Pool
	meshServer  *rpc.Server
	adminServer *http.Server
	quarantine  *quarantine.List
	quotas      *quotaOwner

	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	killOnce sync.Once
	// ready is closed once the control goroutine runs.
	ready chan struct{}

	// formedMu guards formedGroups and founding.
	formedMu     sync.Mutex
	formedGroups map[uint32]bool
	// initialMemberships holds the initial membership of each group that this process has formed, or whose newest snapshot
	// was still the first one when the process started.
	initialMemberships map[uint32]raft.Membership

	// replicas is indexed by group. Only the control goroutine uses the content of the replicas.
	replicas      []*replica
	registryState *registryStateMachine
	ledgerStates  []*ledgerStateMachine
	// candidates lists the processes that ask to join. Only the control goroutine uses it.
	candidates membership.Candidates
	rollouts   rollouts
	// removed is closed once this member has learned that the group removed its identity.
	removed    chan struct{}
	removeOnce sync.Once
	// toldMembers holds the addresses of members that a leader has sent; nil before.
	toldMembers atomic.Pointer[[]string]
}

// New opens the data folders and then forms or rejoins the groups in the background. It returns ErrStorage if a folder
// cannot be read.
func New(options Options) (*Member, error) {
	if options.SnapshotEntries == 0 {
		options.SnapshotEntries = defaultSnapshotEntries
	}
	options.ApplyWithin = cmp.Or(options.ApplyWithin, defaultApplyWithin)
	options.RepairWithin = cmp.Or(options.RepairWithin, defaultRepairWithin)
	options.ResendWithin = cmp.Or(options.ResendWithin, defaultResendWithin)
	if options.Advertise == "" {
		options.Advertise = options.MeshListener.Addr().String()
	}
	if options.AdvertiseAdmin == "" {
		options.AdvertiseAdmin = options.AdminListener.Addr().String()
	}
	m := &Member{
		options: options, logger: logging.Part(options.Logger, "control"), ready: make(chan struct{}),
		formedGroups: make(map[uint32]bool), initialMemberships: make(map[uint32]raft.Membership), removed: make(chan struct{}),
		rollouts: newRollouts(options.Rollout),
	}
	m.metrics = newMetrics(m)
	m.quotas = newQuotaOwner(&m.options, m.logger)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.connect()
	recovered, err := m.openReplicas()
	if err != nil {
		m.cancel()
		return nil, err
	}
	m.adminServer = &http.Server{Handler: m.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	m.meshServer.ServeMember(m)
	m.meshServer.ServeQuotas(m)
	m.tasks.Go(func() { m.run(recovered) })
	return m, nil
}

// connect creates the connection pools and the mesh server.
func (m *Member) connect() {
	var transport credentials.TransportCredentials
	if m.options.Identity != nil {
		transport = m.options.Identity.Credentials()
	}
	m.pool = rpc.NewPool(m.options.Dialer, transport)
	m.ledgerPool = rpc.NewPool(m.options.LedgerDialer, transport)
	m.meshServer = rpc.NewServer(m.options.MeshListener, transport)
}

// openReplicas creates the replicas and reads their folders.
func (m *Member) openReplicas() ([]wal.Recovered, error) {
	m.registryState = newRegistryStateMachine(m.options.Keys)
	m.registryState.latestOrder = m.latestOrder
	registryReplica := m.newReplica(registryGroup, m.registryState, m.pool)
	registryReplica.onApplied = m.publishSource
	registryReplica.onMembershipChange = m.publishMembers
	folders := []disk.FS{m.options.RegistryFolder}
	for i, folder := range m.options.LedgerFolders {
		machine := newLedgerStateMachine(m.options.Ledger)
		m.ledgerStates = append(m.ledgerStates, machine)
		m.newReplica(uint32(i+1), machine, m.ledgerPool)
		folders = append(folders, folder)
	}
	var all []wal.Recovered
	for i, r := range m.replicas {
		recovered, err := r.open(folders[i])
		if err != nil {
			return nil, err
		}
		switch {
		case isInitialSnapshot(recovered.Snapshot):
			m.setInitialMembership(r.group, recovered.Snapshot.Membership)
		case hasGroupState(recovered):
			m.markFormed(r.group)
		}
		all = append(all, recovered)
	}
	return all, nil
}

func (m *Member) newReplica(group uint32, machine stateMachine, pool *rpc.Pool) *replica {
	r := &replica{
		group: group, machine: machine, pool: pool, address: m.options.Advertise, snapshotEntries: m.options.SnapshotEntries,
		logger:    m.logger.With().Uint32("group", group).Logger(),
		post:      func(input func(now time.Time)) bool { return m.host.Post(input) },
		onFailure: m.fail,
	}
	m.replicas = append(m.replicas, r)
	return r
}

// fail stops the member after a failure of its disk.
func (m *Member) fail(err error) {
	m.logger.Error().Err(err).Msg("member stops")
	go m.Kill()
}

// Start begins to serve the mesh and operators.
func (m *Member) Start() {
	m.logger.Info().Str("member", m.ID()).Str("mesh", m.options.Advertise).Msg("member starts")
	m.tasks.Go(func() {
		if err := m.meshServer.Serve(); err != nil && m.ctx.Err() == nil {
			m.logger.Error().Err(err).Msg("stopped serving the mesh")
		}
	})
	m.tasks.Go(func() {
		err := m.serveAdmin()
		if err != nil && !errors.Is(err, http.ErrServerClosed) && m.ctx.Err() == nil {
			m.logger.Error().Err(err).Msg("stopped serving operators")
		}
	})
}

// serveAdmin serves operators. With TLS, they need a certificate of an accepted authority.
func (m *Member) serveAdmin() error {
	if m.options.Identity == nil {
		return m.adminServer.Serve(m.options.AdminListener)
	}
	m.adminServer.TLSConfig = m.options.Identity.ServerConfig("h2", "http/1.1")
	return m.adminServer.ServeTLS(m.options.AdminListener, "", "")
}

// run forms or rejoins the groups and then becomes the control goroutine.
func (m *Member) run(recovered []wal.Recovered) {
	for i, r := range m.replicas {
		if hasGroupState(recovered[i]) || len(m.options.Founders) == 0 {
			continue
		}
		if err := m.formGroup(r, &recovered[i]); err != nil {
			m.reportStartFailure(err)
			return
		}
	}
	if err := m.startReplicas(recovered); err != nil {
		m.reportStartFailure(err)
		return
	}
	for _, r := range m.replicas {
		m.tasks.Go(func() { r.writeLoop(m.ctx) })
	}
	close(m.ready)
	if m.options.Voters > 0 {
		m.tasks.Go(m.joinGroup)
	}
	m.host.Run(m.ctx)
	for _, r := range m.replicas {
		r.endOpenProposals()
	}
}

func (m *Member) reportStartFailure(err error) {
	if m.ctx.Err() == nil {
		m.logger.Error().Err(err).Msg("cannot start")
	}
}

// startReplicas creates the parts that the control goroutine owns and starts the logs from their recovered state.
func (m *Member) startReplicas(recovered []wal.Recovered) error {
	now := clock.Now()
	incarnation := uint64(time.Now().UnixNano())
	m.quarantine = quarantine.New(quarantine.Config{ID: m.ID(), Incarnation: incarnation})
	config := m.options.Relay
	config.ID, config.Zone, config.Address = m.ID(), m.options.Zone, m.options.Advertise
	config.Incarnation, config.Member, config.Keys = incarnation, true, m.options.Keys
	config.Rand = rand.New(rand.NewSource(int64(incarnation)))
	m.peer = relay.New(now, config)
	m.host = mesh.NewHost(mesh.Options{
		Peer: m.peer, Pool: m.pool, Logger: m.logger, Output: m.handleOutput, Tick: m.tick, AfterBatch: m.processReady,
	})
	raftConfig := raft.Config{
		ElectionTimeout: m.options.ElectionTimeout, HeartbeatInterval: m.options.HeartbeatInterval,
		MaxAppendBytes: m.options.MaxAppendBytes,
	}
	for i, r := range m.replicas {
		raftConfig.TrailingEntries = 0
		if i == registryGroup {
			raftConfig.TrailingEntries = registryTrailingEntries
		}
		if err := r.start(m.ctx, now, raftConfig, recovered[i]); err != nil {
			return err
		}
	}
	m.publishSource(now)
	return nil
}

// tick advances the time of the logs, lets the leader propose membership changes, and tells the distribution tree how
// old the confirmed state of the registry is.
func (m *Member) tick(now time.Time) {
	for _, r := range m.replicas {
		r.raft.Tick(now)
		r.transport.replaceSilent(now)
	}
	m.proposeMembershipChange(now)
	m.decideRollouts(now)
	m.updateQuotaOwner(now)
	if age, ok := m.replicas[registryGroup].raft.ConfirmedAge(now); ok {
		m.peer.SetConfirmed(now, age)
	}
}

// processReady processes the pending batches of all logs.
func (m *Member) processReady(now time.Time) {
	for _, r := range m.replicas {
		r.processReady(now)
	}
}

// publishSource passes the registry's state to the distribution tree.
func (m *Member) publishSource(now time.Time) {
	state := m.registryState.registry.State()
	source := relay.Source{Latest: state.Latest, Stopped: state.Stopped, Bundles: state.StoredBundles, Rollouts: state.Rollouts}
	m.peer.SetSource(now, source, m.registryState.registry.Store())
	m.rollouts.track(now, state.Rollouts)
	m.refreshQuotaLimits(now)
}

// publishMembers passes the membership of the registry's group to the distribution tree, by which the nodes learn it.
func (m *Member) publishMembers(now time.Time, current raft.Membership) {
	infos := make([]relay.MemberInfo, 0, len(current.Members))
	for _, member := range current.Members {
		infos = append(infos, relay.MemberInfo{ID: string(member.ID), Zone: member.Zone, Address: member.Address})
	}
	m.peer.SetMembers(now, infos)
}

func (m *Member) handleOutput(now time.Time, output relay.Output) {
	switch received := output.(type) {
	case relay.CrashesReceived:
		m.observeReports(now, received.Reports)
	case relay.ResultsReceived:
		for _, results := range received.Reports {
			m.rollouts.judge.Observe(now, results)
		}
	}
}

// waitRunning waits until the control goroutine runs. It returns ErrStopped if the member stops first, and ErrBootstrap
// if ctx ends first.
func (m *Member) waitRunning(ctx context.Context) error {
	select {
	case <-m.ready:
		return nil
	case <-m.ctx.Done():
		return ErrStopped
	case <-ctx.Done():
		return errors.Wrapf(ErrBootstrap, "%v", ctx.Err())
	}
}

// Step receives Raft messages from the member at an address.
func (m *Member) Step(address string, frame *protocol.StepFrame) {
	if int(frame.Group) >= len(m.replicas) || m.waitRunning(m.ctx) != nil {
		return
	}
	m.markFormed(frame.Group)
	// Only the first frame of a stream carries the address itself.
	newStream := frame.Address != ""
	m.host.Post(func(now time.Time) { m.replicas[frame.Group].step(now, address, newStream, frame.Messages) })
}

// replicaFor returns the replica of the group that a request is for.
func (m *Member) replicaFor(request *protocol.ProposeRequest) (*replica, error) {
	switch {
	case request.Target == protocol.TargetRegistry:
		return m.replicas[registryGroup], nil
	case request.Target == protocol.TargetLedger && len(m.ledgerStates) > 0:
		return m.replicas[1+protocol.LedgerIndex(request.Key, len(m.ledgerStates))], nil
	case request.Target == protocol.TargetMembership && int(request.Group) < len(m.replicas):
		return m.replicas[request.Group], nil
	default:
		return nil, errors.Wrapf(protocol.ErrMalformed, "target %d, group %d", request.Target, request.Group)
	}
}

// Propose proposes a command and returns its result once it is applied. Refusals and unknown outcomes are statuses of
// the reply; the error is always nil.
func (m *Member) Propose(ctx context.Context, request *protocol.ProposeRequest) (*protocol.ProposeReply, error) {
	if err := m.waitRunning(ctx); err != nil {
		return &protocol.ProposeReply{Status: protocol.ProposeNotLeader, Detail: err.Error()}, nil
	}
	r, err := m.replicaFor(request)
	if err != nil {
		return &protocol.ProposeReply{Status: protocol.ProposeRefused, Detail: err.Error()}, nil
	}
	started := time.Now()
	done := make(chan *protocol.ProposeReply, 1)
	posted := m.host.Post(func(now time.Time) {
		if request.Target == protocol.TargetMembership {
			done <- r.proposeMembership(now, request.Command)
			return
		}
		if request.Target == protocol.TargetRegistry && r.isLeader() && m.membershipPolicy().IsForming(r.raft.Status()) {
			done <- &protocol.ProposeReply{Status: protocol.ProposeForming, Detail: "processes are still joining the group"}
			return
		}
		r.propose(now, request.Command, done)
	})
	if !posted {
		return &protocol.ProposeReply{Status: protocol.ProposeNotLeader, Detail: ErrStopped.Error()}, nil
	}
	reply := &protocol.ProposeReply{Status: protocol.ProposeUncertain, Detail: ErrUncertain.Error()}
	select {
	case reply = <-done:
	case <-m.ctx.Done():
	case <-ctx.Done():
	}
	reply.LedgerGroups = len(m.ledgerStates)
	m.metrics.proposalTime.WithLabelValues(proposalResults[reply.Status]).Observe(time.Since(started).Seconds())
	return reply, nil
}

// Follow serves a node or member that follows this member in the distribution tree.
func (m *Member) Follow(stream rpc.FollowServerStream) error {
	if err := m.waitRunning(stream.Context()); err != nil {
		return err
	}
	return m.host.Follow(stream)
}

// Stopped returns a context that ends when the member stops, whether it was told to or its disk failed.
func (m *Member) Stopped() context.Context { return m.ctx }

// ID returns the identity of the member, which is that of its registry folder.
func (m *Member) ID() string { return string(m.replicas[registryGroup].id) }

// Leads returns the term of the registry's log and whether this member acts as its leader. A leader that was cut off
// may not know yet that there is a newer one.
func (m *Member) Leads() (term uint64, leads bool) {
	select {
	case <-m.ready:
	default:
		return 0, false
	}
	_ = m.host.Query(m.ctx, func(time.Time) {
		status := m.replicas[registryGroup].raft.Status()
		term, leads = status.Term, status.Role == raft.RoleLeader
	})
	return term, leads
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Kill stops the member at once, without a transfer of the leadership, as a crash would. It returns once the member has
// stopped and, if the group has removed it, has discarded its state.
func (m *Member) Kill() {
	m.killOnce.Do(func() {
		m.cancel()
		m.meshServer.Stop()
		_ = m.adminServer.Close()
		m.pool.Close()
		m.ledgerPool.Close()
		m.tasks.Wait()
		for _, r := range m.replicas {
			r.close()
		}
		m.discardIfRemoved()
	})
}
