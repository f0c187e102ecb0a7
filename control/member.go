// Package control is a control member: an instance with a disk that holds a replica of the log, applies it to the
// registry and the ledger, and serves its zone's nodes with the configuration. One goroutine owns the control state,
// one writes to the disk.
package control

import (
	"context"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/coordination/relay"
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
	FS       disk.FS
	Keys     *bundle.Keyring
	Identity *rpc.Identity
	Dialer   rpc.Dialer
	Logger   zerolog.Logger

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
	// writeQueueLength is 1 batch and 1 snapshot.
	writeQueueLength  = 2
	readHeaderTimeout = 10 * time.Second
	// memberStopTime bounds the wait for streams that do not end by themselves.
	memberStopTime = 200 * time.Millisecond
	// transferTime lets a stopping leader hand over, so that a planned stop costs no election timeout.
	transferTime = time.Second
)

// Member is one running control member.
type Member struct {
	options Options
	id      raft.MemberID
	logger  zerolog.Logger

	host       *mesh.Host
	peer       *relay.Peer
	pool       *rpc.Pool
	mesh       *rpc.Server
	admin      *http.Server
	quarantine *quarantine.List

	wal      *wal.Log
	writes   chan write
	isFormed atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	kill   sync.Once
	// ready is closed once the control goroutine runs.
	ready chan struct{}

	// The fields below belong to the control goroutine.
	raft          *raft.Node
	peers         *peers
	machines      *machines
	membership    raft.Membership
	proposals     map[uint64]proposal
	writing       bool
	failed        bool
	applied       uint64
	snapshotIndex uint64
}

// New opens the data folder. The member does not run yet.
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
		options:   options,
		logger:    logging.Part(options.Logger, "control"),
		writes:    make(chan write, writeQueueLength),
		ready:     make(chan struct{}),
		machines:  newMachines(options.Keys, options.Ledger),
		proposals: make(map[uint64]proposal),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	log, recovered, err := wal.Open(options.FS)
	if err != nil {
		return nil, errors.Wrapf(ErrStorage, "%v", err)
	}
	m.wal = log
	m.id = recovered.Identity
	m.isFormed.Store(formed(recovered))
	m.connect()
	m.admin = &http.Server{Handler: m.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	m.mesh.ServeMember(m)
	m.tasks.Go(func() { m.run(recovered) })
	return m, nil
}

func (m *Member) connect() {
	if m.options.Identity == nil {
		m.pool = rpc.NewPool(m.options.Dialer, nil)
		m.mesh = rpc.NewServer(m.options.Mesh, nil)
		return
	}
	credentials := m.options.Identity.Credentials()
	m.pool = rpc.NewPool(m.options.Dialer, credentials)
	m.mesh = rpc.NewServer(m.options.Mesh, credentials)
}

// Start begins to serve.
func (m *Member) Start() {
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

// run forms or rejoins the group and then becomes the control goroutine.
func (m *Member) run(recovered wal.Recovered) {
	if !formed(recovered) && len(m.options.Founders) > 0 {
		if err := m.form(&recovered); err != nil {
			if m.ctx.Err() == nil {
				m.logger.Error().Err(err).Msg("cannot form the group")
			}
			return
		}
	}
	if err := m.begin(recovered); err != nil {
		m.logger.Error().Err(err).Msg("cannot start")
		return
	}
	m.tasks.Go(m.writeLoop)
	close(m.ready)
	m.host.Run(m.ctx)
	m.abandonProposals()
}

func (m *Member) form(recovered *wal.Recovered) error {
	membership, founding, err := m.found(m.ctx)
	if err != nil {
		return err
	}
	if !founding {
		m.logger.Info().Str("member", string(m.id)).Msg("the group exists; waiting for its leader")
		return nil
	}
	recovered.Snapshot = raft.Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: membership}
	if err := m.wal.SaveSnapshot(recovered.Snapshot); err != nil {
		return errors.Wrapf(ErrStorage, "%v", err)
	}
	m.isFormed.Store(true)
	return nil
}

func (m *Member) begin(recovered wal.Recovered) error {
	now := time.Now()
	if err := m.machines.restore(recovered.Snapshot.Data); err != nil {
		return errors.Wrapf(ErrStorage, "%v", err)
	}
	m.applied = recovered.Snapshot.Index
	m.snapshotIndex = recovered.Snapshot.Index
	rng := rand.New(rand.NewSource(now.UnixNano()))
	replica, err := raft.New(now, raft.Config{
		ID: m.id, ElectionTimeout: m.options.ElectionTimeout, HeartbeatInterval: m.options.HeartbeatInterval,
		MaxAppendBytes: m.options.MaxAppendBytes, Rand: rng,
	}, raft.Restored{HardState: recovered.HardState, Snapshot: recovered.Snapshot, Entries: recovered.Entries})
	if err != nil {
		return errors.Wrapf(ErrStorage, "%v", err)
	}
	m.raft = replica
	m.peers = newPeers(m.ctx, m.id, m.pool)
	incarnation := uint64(now.UnixNano())
	m.quarantine = quarantine.New(quarantine.Config{ID: string(m.id), Incarnation: incarnation})
	config := m.options.Relay
	config.ID, config.Zone, config.Address = string(m.id), m.options.Zone, m.options.Advertise
	config.Incarnation, config.Member, config.Rand, config.Keys = incarnation, true, rng, m.options.Keys
	m.peer = relay.New(now, config)
	m.host = mesh.NewHost(mesh.Options{
		Peer: m.peer, Pool: m.pool, Logger: m.logger, Output: m.handleOutput, Tick: m.tick, AfterBatch: m.pump,
	})
	m.publishSource(now)
	m.membershipChanged(now)
	return nil
}

// tick lets time pass for the log and hands its freshness to the distribution tree.
func (m *Member) tick(now time.Time) {
	m.raft.Tick(now)
	if age, ok := m.raft.ConfirmedAge(now); ok {
		m.peer.SetConfirmed(now, age)
	}
}

func (m *Member) handleOutput(now time.Time, output relay.Output) {
	if received, ok := output.(relay.CrashesReceived); ok {
		m.observeReports(now, received.Reports)
	}
}

// abandonProposals answers proposals that are still open when the member stops.
func (m *Member) abandonProposals() {
	for index, waiting := range m.proposals {
		delete(m.proposals, index)
		waiting.done <- &protocol.ProposeReply{Status: protocol.ProposeUncertain}
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
func (m *Member) Step(frame *protocol.StepFrame) {
	if m.running(m.ctx) != nil {
		return
	}
	m.host.Post(func(now time.Time) {
		for _, message := range frame.Messages {
			if err := m.raft.Step(now, message); err != nil {
				m.logger.Debug().Err(err).Str("from", string(message.From)).Msg("ignored a log message")
			}
		}
		m.isFormed.Store(true)
	})
}

// Propose commits a command and returns its result once it is applied.
func (m *Member) Propose(ctx context.Context, request *protocol.ProposeRequest) (*protocol.ProposeReply, error) {
	if err := m.running(ctx); err != nil {
		return &protocol.ProposeReply{Status: protocol.ProposeNotLeader, Detail: err.Error()}, nil
	}
	done := make(chan *protocol.ProposeReply, 1)
	if !m.host.Post(func(now time.Time) { m.propose(now, request, done) }) {
		return &protocol.ProposeReply{Status: protocol.ProposeNotLeader, Detail: ErrStopped.Error()}, nil
	}
	select {
	case reply := <-done:
		return reply, nil
	case <-m.ctx.Done():
	case <-ctx.Done():
	}
	return &protocol.ProposeReply{Status: protocol.ProposeUncertain, Detail: ErrUncertain.Error()}, nil
}

// Follow serves the nodes that follow this member.
func (m *Member) Follow(stream rpc.FollowServerStream) error {
	if err := m.running(stream.Context()); err != nil {
		return err
	}
	return m.host.Follow(stream)
}

// Done is closed when the member stops, also by itself after a failure of its disk.
func (m *Member) Done() <-chan struct{} { return m.ctx.Done() }

// ID returns the identity of the member's data folder.
func (m *Member) ID() string { return string(m.id) }

// Stop hands the leadership over and ends the member.
func (m *Member) Stop(ctx context.Context) error {
	if m.running(ctx) == nil {
		m.handOver(ctx)
	}
	bounded, cancel := context.WithTimeout(ctx, memberStopTime)
	defer cancel()
	_ = m.admin.Shutdown(bounded)
	m.Kill()
	return nil
}

// handOver transfers the leadership to the voter with the longest log.
func (m *Member) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTime)
	defer cancel()
	for ctx.Err() == nil {
		leading := false
		err := m.host.Query(ctx, func(now time.Time) { leading = m.transfer(now) })
		if err != nil || !leading {
			return
		}
		pause(ctx, bootstrapPause/4)
	}
}

// transfer reports whether this member still leads.
func (m *Member) transfer(now time.Time) bool {
	status := m.raft.Status()
	if status.Role != raft.RoleLeader {
		return false
	}
	var target raft.MemberID
	var longest uint64
	for _, id := range status.Membership.Voters() {
		progress, ok := status.Progress[id]
		if id == m.id || !ok || progress.Match < longest {
			continue
		}
		target, longest = id, progress.Match
	}
	if target == "" {
		return false
	}
	if err := m.raft.TransferLeadership(now, target); err != nil {
		m.logger.Warn().Err(err).Msg("cannot hand over the leadership")
		return false
	}
	return true
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
		m.tasks.Wait()
		if m.peers != nil {
			m.peers.running.Wait()
		}
		_ = m.wal.Close()
	})
}

// Leads reports whether this member takes itself for the leader, and its term.
func (m *Member) Leads() (term uint64, leads bool) {
	select {
	case <-m.ready:
	default:
		return 0, false
	}
	_ = m.host.Query(m.ctx, func(time.Time) {
		status := m.raft.Status()
		term, leads = status.Term, status.Role == raft.RoleLeader
	})
	return term, leads
}
