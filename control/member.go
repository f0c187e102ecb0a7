// Package control is a control member: an instance with a disk that holds a replica of each log, applies it to the
// registry or the ledger, and serves its zone's nodes with the configuration. One goroutine owns the control state;
// one for each log writes to the disk.
package control

import (
	"context"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/credentials"

	"sapphiregate.example/sapphiregate/coordination/membership"
	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/coordination/relay"
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

// Options sets up a control member.
type Options struct {
	// Instance names the machine in logs.
	Instance string
	Zone     string
	// Mesh and Admin are open listeners; the member closes them.
	Mesh  net.Listener
	Admin net.Listener
	// Advertise and AdvertiseAdmin are the addresses that others use; empty takes the listeners' addresses.
	Advertise      string
	AdvertiseAdmin string
	// Founders lists the members of a new group, this one included. It is used only while the data folder is new. A
	// member that is added later has none.
	Founders []Founder
	// Registry and Ledgers are the folders of the logs. All members have the same number of ledger groups.
	Registry disk.FS
	Ledgers  []disk.FS
	Keys     *bundle.Keyring
	// Voters is the number of members that vote when nothing has failed. If it is set, the leader replaces members that
	// lost their disk or are gone by processes that ask to join; 0 leaves that to operators.
	Voters int
	// Seeds returns mesh addresses of processes that may know the group. A process that belongs to no group asks them.
	// It is used if Voters is set.
	Seeds    func() []string
	Identity *rpc.Identity
	// Dialer opens connections for configuration, LedgerDialer those for the ledger; nil dials TCP.
	Dialer       rpc.Dialer
	LedgerDialer rpc.Dialer
	Logger       zerolog.Logger

	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	MaxAppendBytes    int
	// SnapshotEntries is the number of log entries between two snapshots; 0 takes the default.
	SnapshotEntries uint64
	Ledger          ledger.Config
	// Relay overrides the limits of the distribution tree; zero fields take the defaults.
	Relay relay.Config
}

const (
	defaultSnapshotEntries = 10_000
	readHeaderTimeout      = 10 * time.Second
	// memberStopTime bounds the wait for streams that do not end by themselves.
	memberStopTime = 200 * time.Millisecond
	// transferTime lets a stopping leader hand over, so that a planned stop costs no election timeout.
	transferTime  = time.Second
	transferPause = 20 * time.Millisecond
)

// registryGroup is the group of the registry's log.
const registryGroup = 0

// Member is one running control member.
type Member struct {
	options Options
	logger  zerolog.Logger
	metrics *metrics

	host       *mesh.Host
	peer       *relay.Peer
	pool       *rpc.Pool
	ledgerPool *rpc.Pool
	mesh       *rpc.Server
	admin      *http.Server
	quarantine *quarantine.List

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	kill   sync.Once
	// ready is closed once the control goroutine runs.
	ready chan struct{}

	formedMu     sync.Mutex
	formedGroups map[uint32]bool
	// founding holds the first memberships of the groups whose snapshot is still that of their formation.
	founding map[uint32]raft.Membership

	// replicas are indexed by group. What they hold belongs to the control goroutine.
	replicas []*replica
	registry *registryMachine
	ledgers  []*ledgerMachine
	// candidates belongs to the control goroutine.
	candidates membership.Candidates
	// removed is closed once this process has learned that its identity was removed from the group.
	removed chan struct{}
}

// New opens the data folders and forms or rejoins the groups in the background.
func New(options Options) (*Member, error) {
	if options.SnapshotEntries == 0 {
		options.SnapshotEntries = defaultSnapshotEntries
	}
	if options.Advertise == "" {
		options.Advertise = options.Mesh.Addr().String()
	}
	if options.AdvertiseAdmin == "" {
		options.AdvertiseAdmin = options.Admin.Addr().String()
	}
	m := &Member{
		options: options, logger: logging.Part(options.Logger, "control"), ready: make(chan struct{}),
		formedGroups: make(map[uint32]bool), founding: make(map[uint32]raft.Membership), removed: make(chan struct{}),
	}
	m.metrics = newMetrics(m)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.connect()
	recovered, err := m.openReplicas()
	if err != nil {
		m.cancel()
		return nil, err
	}
	m.admin = &http.Server{Handler: m.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	m.mesh.ServeMember(m)
	m.tasks.Go(func() { m.run(recovered) })
	return m, nil
}

func (m *Member) connect() {
	var transport credentials.TransportCredentials
	if m.options.Identity != nil {
		transport = m.options.Identity.Credentials()
	}
	m.pool = rpc.NewPool(m.options.Dialer, transport)
	m.ledgerPool = rpc.NewPool(m.options.LedgerDialer, transport)
	m.mesh = rpc.NewServer(m.options.Mesh, transport)
}

// openReplicas reads the folders of all logs.
func (m *Member) openReplicas() ([]wal.Recovered, error) {
	m.registry = newRegistryMachine(m.options.Keys)
	registryReplica := m.newReplica(registryGroup, m.registry, m.pool)
	registryReplica.applied = m.publishSource
	registryReplica.membershipChanged = m.publishMembers
	folders := []disk.FS{m.options.Registry}
	for i, folder := range m.options.Ledgers {
		machine := newLedgerMachine(m.options.Ledger)
		m.ledgers = append(m.ledgers, machine)
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
		case isFounding(recovered.Snapshot):
			m.setFounding(r.group, recovered.Snapshot.Membership)
		case formed(recovered):
			m.setFormed(r.group)
		}
		all = append(all, recovered)
	}
	return all, nil
}

func (m *Member) newReplica(group uint32, machine machine, pool *rpc.Pool) *replica {
	r := &replica{
		group: group, machine: machine, pool: pool, address: m.options.Advertise, snapshotEntries: m.options.SnapshotEntries,
		logger: m.logger.With().Uint32("group", group).Logger(),
		post:   func(input func(now time.Time)) bool { return m.host.Post(input) },
		failed: m.fail,
	}
	m.replicas = append(m.replicas, r)
	return r
}

// fail stops the member after a failure of its disk.
func (m *Member) fail(err error) {
	m.logger.Error().Err(err).Msg("member stops")
	go m.Kill()
}

// Start begins to serve.
func (m *Member) Start() {
	m.logger.Info().Str("member", m.ID()).Str("mesh", m.options.Advertise).Msg("member starts")
	m.tasks.Go(func() {
		if err := m.mesh.Serve(); err != nil && m.ctx.Err() == nil {
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

// serveAdmin serves operators, who need a certificate of an accepted authority unless TLS is off.
func (m *Member) serveAdmin() error {
	if m.options.Identity == nil {
		return m.admin.Serve(m.options.Admin)
	}
	m.admin.TLSConfig = m.options.Identity.ServerConfig("h2", "http/1.1")
	return m.admin.ServeTLS(m.options.Admin, "", "")
}

// run forms or rejoins the groups and then becomes the control goroutine.
func (m *Member) run(recovered []wal.Recovered) {
	for i, r := range m.replicas {
		if formed(recovered[i]) || len(m.options.Founders) == 0 {
			continue
		}
		if err := m.form(r, &recovered[i]); err != nil {
			m.reportStartFailure(err)
			return
		}
	}
	if err := m.begin(recovered); err != nil {
		m.reportStartFailure(err)
		return
	}
	for _, r := range m.replicas {
		m.tasks.Go(func() { r.writeLoop(m.ctx) })
	}
	close(m.ready)
	if m.options.Voters > 0 {
		m.tasks.Go(m.seekGroup)
	}
	m.host.Run(m.ctx)
	for _, r := range m.replicas {
		r.abandon()
	}
}

func (m *Member) reportStartFailure(err error) {
	if m.ctx.Err() == nil {
		m.logger.Error().Err(err).Msg("cannot start")
	}
}

func (m *Member) begin(recovered []wal.Recovered) error {
	now := clock.Now()
	incarnation := uint64(time.Now().UnixNano())
	m.quarantine = quarantine.New(quarantine.Config{ID: m.ID(), Incarnation: incarnation})
	config := m.options.Relay
	config.ID, config.Zone, config.Address = m.ID(), m.options.Zone, m.options.Advertise
	config.Incarnation, config.Member, config.Keys = incarnation, true, m.options.Keys
	config.Rand = rand.New(rand.NewSource(int64(incarnation)))
	m.peer = relay.New(now, config)
	m.host = mesh.NewHost(mesh.Options{
		Peer: m.peer, Pool: m.pool, Logger: m.logger, Output: m.handleOutput, Tick: m.tick, AfterBatch: m.pump,
	})
	raftConfig := raft.Config{
		ElectionTimeout: m.options.ElectionTimeout, HeartbeatInterval: m.options.HeartbeatInterval,
		MaxAppendBytes: m.options.MaxAppendBytes,
	}
	for i, r := range m.replicas {
		if err := r.begin(m.ctx, now, raftConfig, recovered[i]); err != nil {
			return err
		}
	}
	m.publishSource(now)
	return nil
}

// tick lets time pass for the logs and hands the registry's freshness to the distribution tree.
func (m *Member) tick(now time.Time) {
	for _, r := range m.replicas {
		r.raft.Tick(now)
	}
	m.staff(now)
	if age, ok := m.replicas[registryGroup].raft.ConfirmedAge(now); ok {
		m.peer.SetConfirmed(now, age)
	}
}

func (m *Member) pump(now time.Time) {
	for _, r := range m.replicas {
		r.pump(now)
	}
}

// publishSource hands the registry's state to the distribution tree.
func (m *Member) publishSource(now time.Time) {
	state := m.registry.registry.State()
	source := relay.Source{Latest: state.Latest, Stopped: state.Stopped, Bundles: state.Held}
	m.peer.SetSource(now, source, m.registry.registry.Store())
}

// publishMembers tells the distribution tree who the members are.
func (m *Member) publishMembers(now time.Time, current raft.Membership) {
	infos := make([]relay.MemberInfo, 0, len(current.Members))
	for _, member := range current.Members {
		infos = append(infos, relay.MemberInfo{ID: string(member.ID), Zone: member.Zone, Address: member.Address})
	}
	m.peer.SetMembers(now, infos)
}

func (m *Member) handleOutput(now time.Time, output relay.Output) {
	if received, ok := output.(relay.CrashesReceived); ok {
		m.observeReports(now, received.Reports)
	}
}

// running waits until the control goroutine runs.
func (m *Member) running(ctx context.Context) error {
	select {
	case <-m.ready:
		return nil
	case <-m.ctx.Done():
		return ErrStopped
	case <-ctx.Done():
		return errors.Wrapf(ErrBootstrap, "%v", ctx.Err())
	}
}

// Step receives log messages of other members.
func (m *Member) Step(address string, frame *protocol.StepFrame) {
	if int(frame.Group) >= len(m.replicas) || m.running(m.ctx) != nil {
		return
	}
	m.setFormed(frame.Group)
	m.host.Post(func(now time.Time) { m.replicas[frame.Group].step(now, address, frame.Messages) })
}

// groupOf returns the group that a request is for.
func (m *Member) groupOf(request *protocol.ProposeRequest) (*replica, error) {
	switch {
	case request.Target == protocol.TargetRegistry:
		return m.replicas[registryGroup], nil
	case request.Target == protocol.TargetLedger && len(m.ledgers) > 0:
		return m.replicas[1+protocol.LedgerIndex(request.Key, len(m.ledgers))], nil
	case request.Target == protocol.TargetMembership && int(request.Group) < len(m.replicas):
		return m.replicas[request.Group], nil
	default:
		return nil, errors.Wrapf(protocol.ErrMalformed, "target %d, group %d", request.Target, request.Group)
	}
}

// Propose commits a command and returns its result once it is applied.
func (m *Member) Propose(ctx context.Context, request *protocol.ProposeRequest) (*protocol.ProposeReply, error) {
	if err := m.running(ctx); err != nil {
		return &protocol.ProposeReply{Status: protocol.ProposeNotLeader, Detail: err.Error()}, nil
	}
	r, err := m.groupOf(request)
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
	reply.LedgerGroups = len(m.ledgers)
	m.metrics.proposalTime.WithLabelValues(proposalResults[reply.Status]).Observe(time.Since(started).Seconds())
	return reply, nil
}

// Follow serves the nodes that follow this member.
func (m *Member) Follow(stream rpc.FollowServerStream) error {
	if err := m.running(stream.Context()); err != nil {
		return err
	}
	return m.host.Follow(stream)
}

// Stopped returns a context that ends when the member stops, also by itself after a failure of its disk.
func (m *Member) Stopped() context.Context { return m.ctx }

// ID returns the identity of the registry's folder, which names the member.
func (m *Member) ID() string { return string(m.replicas[registryGroup].id) }

// Leads reports whether this member takes itself for the leader of the registry's log, and its term.
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

// Stop hands the leadership over and ends the member.
func (m *Member) Stop(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, transferTime)
	defer cancel()
	if m.running(bounded) == nil {
		m.handOver(bounded)
	}
	closing, cancelClosing := context.WithTimeout(ctx, memberStopTime)
	defer cancelClosing()
	_ = m.admin.Shutdown(closing)
	m.Kill()
	return nil
}

// handOver transfers the leadership of all logs.
func (m *Member) handOver(ctx context.Context) {
	for ctx.Err() == nil {
		leading := false
		err := m.host.Query(ctx, func(now time.Time) {
			for _, r := range m.replicas {
				leading = r.transfer(now) || leading
			}
		})
		if err != nil || !leading {
			return
		}
		pause(ctx, transferPause)
	}
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Kill ends the member at once, as a crash would.
func (m *Member) Kill() {
	m.kill.Do(func() {
		m.cancel()
		m.mesh.Stop()
		_ = m.admin.Close()
		m.pool.Close()
		m.ledgerPool.Close()
		m.tasks.Wait()
		for _, r := range m.replicas {
			r.close()
		}
	})
}
