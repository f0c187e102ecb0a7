// Package node implements the process beside an upstream. Its ingress forwards callers' requests to the upstreams of
// the mesh, its executor runs calls on the upstream beside it, and it receives configuration from the control members.
// One goroutine owns the control state; traffic reads immutable snapshots.
package node

import (
	"cmp"
	"context"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/credentials"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/coordination/retry"
	"sapphiregate.example/sapphiregate/coordination/shutdown"
	"sapphiregate.example/sapphiregate/coordination/zonedelay"
	"sapphiregate.example/sapphiregate/internal/clock"
	"sapphiregate.example/sapphiregate/logging"
	"sapphiregate.example/sapphiregate/mesh"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/release"
	"sapphiregate.example/sapphiregate/transport/rpc"
	"sapphiregate.example/sapphiregate/transport/web"
)

// Options configures a node.
type Options struct {
	// ID identifies the instance and stays the same across restarts.
	ID   string
	Zone string
	// Callers, Mesh and Admin are open listeners; the node closes them.
	Callers net.Listener
	Mesh    net.Listener
	Admin   net.Listener
	// Advertise is the mesh address that other processes dial; if empty, the address of the Mesh listener.
	Advertise string
	// Members lists the mesh addresses of control members.
	Members []string
	// JoinAddresses lists further mesh addresses by which the node can join the mesh.
	JoinAddresses []string
	Keys          relay.Verifier
	// Identity is this process's TLS identity for connections between processes; nil switches TLS off.
	Identity *rpc.Identity
	// ControlDialer, LedgerDialer and CallDialer open connections; nil dials TCP.
	ControlDialer rpc.Dialer
	LedgerDialer  rpc.Dialer
	CallDialer    rpc.Dialer
	// ZoneDelay returns the one-way delay to a zone; nil means no delay.
	ZoneDelay func(zone string) time.Duration
	Policy    balance.Policy
	Limits    Limits
	// Dialect names the header fields that callers and upstreams use; the zero value means protocol.DefaultDialect.
	Dialect protocol.Dialect
	// Service is the service beside the node; an upstream that announces itself replaces it.
	Service string
	// NoHedging disables hedging: a second attempt beside a slow first one.
	NoHedging bool
	Logger    zerolog.Logger
	// OnApplied is called on the control goroutine after each activation of a bundle; it may be nil.
	OnApplied func(approval bundle.Approval, b *bundle.Bundle, at time.Time)
	// KeyLimits bounds the age of the configuration by which the keys of teams are judged.
	KeyLimits KeyLimits
	// RetryLimits bounds the retries of all nodes together; zero fields mean the defaults.
	RetryLimits retry.Limits
	// QuotaBounds says by how much all nodes together may exceed a team's quota.
	QuotaBounds quota.Bounds
	// Relay overrides the limits of the distribution tree; zero fields mean the defaults.
	Relay relay.Config
}

// Limits bounds the resources of a node. Zero fields mean the defaults.
type Limits struct {
	// MaxCalls bounds the callers' requests in flight.
	MaxCalls int
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// MaxBodyBytes bounds request bodies on routes that set no limit.
	MaxBodyBytes int64
	// LeaveNotice is how long a stopping node still accepts requests after it has begun to report that it is not
	// ready, so that callers have time to notice.
	LeaveNotice time.Duration
	// DrainWithin is the time after which an upstream that leaves must receive no new call.
	DrainWithin time.Duration
	// LinkMegabits is the rate of the instance's link in Mbit/s; 0 sets no limit.
	LinkMegabits float64
	// MaxReturns is how often a call is handed back by an upstream without a free slot, to start elsewhere, before it waits; 0
	// switches returns off.
	MaxReturns int
	// HealthInterval is the time between two probes of a serving upstream, which detect a crash while there are no
	// calls. A negative value disables them, for upstreams that send heartbeats.
	HealthInterval time.Duration
	// RollbackWithin is the time within which a release that is rolled back must receive no new call.
	RollbackWithin time.Duration
}

// The defaults of Limits.
const (
	defaultMaxCalls       = 10_000
	defaultMaxBodyBytes   = 1 << 20
	defaultHealthInterval = time.Second
	defaultDrainWithin    = 3 * time.Second
	defaultRollbackWithin = 5 * time.Second
)

func (l Limits) withDefaults() Limits {
	l.MaxCalls = cmp.Or(l.MaxCalls, defaultMaxCalls)
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, protocol.MaxHeaderBytes)
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, defaultMaxBodyBytes)
	l.HealthInterval = cmp.Or(l.HealthInterval, defaultHealthInterval)
	l.DrainWithin = cmp.Or(l.DrainWithin, defaultDrainWithin)
	l.RollbackWithin = cmp.Or(l.RollbackWithin, defaultRollbackWithin)
	return l
}

// zoneDelay returns the one-way delay to a zone.
func (n *Node) zoneDelay(zone string) time.Duration {
	if zone == n.options.Zone {
		return 0
	}
	return n.delays.Delay(zone)
}

const (
	// readHeaderTimeout bounds how long a caller may take to send a request's header.
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 2 * time.Minute
)

// Node is the process beside one upstream.
type Node struct {
	options     Options
	id          string
	incarnation uint64
	logger      zerolog.Logger

	control    *mesh.Host
	peer       *relay.Peer
	executor   *executor
	balancer   *balance.Balancer
	quarantine *quarantine.List
	snapshot   atomic.Pointer[snapshot]
	// confirmedAt is a time at which the version in force was the latest; nil if none is known.
	confirmedAt atomic.Pointer[time.Time]
	delays      *zonedelay.Estimator
	// fleet holds this node's share of the retries.
	fleet *retry.Fleet
	// members holds the addresses of the control members.
	members    *controlMembers
	quotas     *quotas
	requests   requestTracker
	uploads    uploadBuffers
	requestLog *requestLog
	// closeConnections makes responses ask callers to close their connections.
	closeConnections atomic.Bool
	// stopping makes the node report that it is not ready.
	stopping atomic.Bool
	// stopPlan is nil before the node stops.
	stopPlan atomic.Pointer[shutdown.Schedule]
	metrics  *metrics

	controlPool *rpc.Pool
	ledgerPool  *rpc.Pool
	quotaPool   *rpc.Pool
	calls       *rpc.Pool
	// probes holds the connections for probes of failed instances.
	probes   *rpc.Pool
	liveness *liveness
	mesh     *rpc.Server
	callers  *http.Server
	// callerListener accepts the connections of callers.
	callerListener *web.DrainListener
	admin          *http.Server

	ctx    context.Context
	cancel context.CancelFunc
	// requestsContext is the parent of the contexts of callers' requests; abandonRequests ends it.
	requestsContext context.Context
	abandonRequests context.CancelCauseFunc
	// tasks are the serving goroutines and the control goroutine.
	tasks sync.WaitGroup

	// Only the control goroutine uses the fields below. changedIDs and refreshAll describe the changes that the
	// balancer has not been told yet.
	changedIDs     map[string]bool
	refreshAll     bool
	rollouts       rolloutState
	knownEndpoints map[string]knownEndpoint
}

// New returns a node that has no configuration and does not serve yet.
func New(options Options) *Node {
	now := time.Now()
	if options.Advertise == "" {
		options.Advertise = options.Mesh.Addr().String()
	}
	options.Limits = options.Limits.withDefaults()
	if options.Dialect == (protocol.Dialect{}) {
		options.Dialect = protocol.DefaultDialect
	}
	n := &Node{
		requests:       requestTracker{limit: options.Limits.MaxCalls},
		options:        options,
		id:             options.ID,
		incarnation:    uint64(now.UnixNano()),
		logger:         logging.Part(options.Logger, "node"),
		metrics:        newMetrics(),
		changedIDs:     make(map[string]bool),
		knownEndpoints: make(map[string]knownEndpoint),
		rollouts:       rolloutState{byService: make(map[string]release.Rollout)},
	}
	n.requestLog = newRequestLog(n.logger, n.metrics.linesDropped)
	n.metrics.observeState(n)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.requestsContext, n.abandonRequests = context.WithCancelCause(context.Background())
	n.createTransports()
	n.delays = zonedelay.New(options.ZoneDelay)
	n.balancer = balance.New(balance.Config{Policy: options.Policy, ID: n.id, Zone: options.Zone, ZoneDelay: n.zoneDelay})
	n.fleet = retry.NewFleet(options.RetryLimits)
	n.members = newControlMembers(options.Members)
	n.quotas = newQuotas(n)
	n.quarantine = quarantine.New(quarantine.Config{ID: n.id, Incarnation: n.incarnation})
	n.executor = n.newExecutor()
	n.liveness = &liveness{
		balancer: n.balancer, calls: n.calls, probes: n.probes, zoneDelay: n.zoneDelay, logger: n.logger,
		instances: make(map[string]*remoteInstance),
	}
	n.peer = relay.New(clock.Now(), n.relayConfig())
	n.control = mesh.NewHost(mesh.Options{
		Peer: n.peer, Pool: n.controlPool, Logger: logging.Part(options.Logger, "control"),
		Output: n.handleOutput,
		AfterBatch: func(now time.Time) {
			n.applyRollouts(now)
			n.refreshEndpoints(now)
			n.publishConfirmation(now)
		},
	})
	n.mesh.ServeNode(n)
	n.callerListener = web.NewDrainListener(options.Callers)
	n.callers = &http.Server{
		Handler: n, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: options.Limits.MaxHeaderBytes,
		ConnState:      n.callerListener.ConnState, ConnContext: n.callerListener.ConnContext,
		BaseContext: func(net.Listener) context.Context { return n.requestsContext },
	}
	n.admin = &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	return n
}

// createTransports creates the connection pools and the mesh server.
func (n *Node) createTransports() {
	var transport credentials.TransportCredentials
	if n.options.Identity != nil {
		transport = n.options.Identity.Credentials()
	}
	n.controlPool = rpc.NewPool(n.options.ControlDialer, transport)
	n.ledgerPool = rpc.NewPool(n.options.LedgerDialer, transport)
	n.quotaPool = rpc.NewPool(n.options.ControlDialer, transport)
	n.calls = rpc.NewPool(n.options.CallDialer, transport)
	n.probes = rpc.NewPool(n.options.CallDialer, transport)
	n.mesh = rpc.NewServer(n.options.Mesh, transport)
}

func (n *Node) relayConfig() relay.Config {
	config := n.options.Relay
	config.ID = n.id
	config.Zone = n.options.Zone
	config.Address = n.options.Advertise
	config.Incarnation = n.incarnation
	config.JoinAddresses = append(append([]string{}, n.options.Members...), n.options.JoinAddresses...)
	config.Keys = n.options.Keys
	config.Validate = func(b *bundle.Bundle) error { return bundle.Validate(b).Err() }
	config.Rand = rand.New(rand.NewSource(int64(n.incarnation)))
	return config
}

// Start begins to serve. Requests are refused with the reason "not-ready" until a version is in force.
func (n *Node) Start() {
	n.tasks.Go(func() { n.control.Run(n.ctx) })
	n.tasks.Go(n.executor.monitorUpstream)
	n.serve("mesh", n.mesh.Serve)
	n.serve("callers", func() error { return n.callers.Serve(n.callerListener) })
	n.serve("admin", func() error { return n.admin.Serve(n.options.Admin) })
}

func (n *Node) serve(name string, run func() error) {
	n.tasks.Go(func() {
		if err := run(); err != nil && n.ctx.Err() == nil && !isClosed(err) {
			n.logger.Error().Err(err).Str("listener", name).Msg("stopped serving")
		}
	})
}

func isClosed(err error) bool { return err == http.ErrServerClosed }

// Version returns the configuration version in force; 0 if there is none.
func (n *Node) Version() uint64 {
	if current := n.snapshot.Load(); current != nil {
		return current.version
	}
	return 0
}

// AcceptUpstream puts the upstream that the settings describe into service, for an upstream that does not announce
// itself.
func (n *Node) AcceptUpstream(announcement Announcement) error {
	return n.executor.acceptAnnouncement(announcement)
}

// SetJoinAddresses replaces the addresses by which the node joins the mesh.
func (n *Node) SetJoinAddresses(addresses []string) {
	n.control.Post(func(time.Time) { n.peer.SetJoinAddresses(addresses) })
	n.members.configure(addresses)
}

// Follow serves a child of this node in the distribution tree.
func (n *Node) Follow(stream rpc.FollowServerStream) error { return n.control.Follow(stream) }
