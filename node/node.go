// Package node is the process beside an upstream. It takes callers' requests, runs calls on its upstream, and follows
// the control members for configuration. One goroutine owns the control state; traffic reads immutable snapshots.
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

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/credentials"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/internal/clock"
	"sapphiregate.example/sapphiregate/logging"
	"sapphiregate.example/sapphiregate/mesh"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

// Options sets up a node.
type Options struct {
	// ID names the instance and stays the same across restarts.
	ID   string
	Zone string
	// Callers, Mesh and Admin are open listeners; the node closes them.
	Callers net.Listener
	Mesh    net.Listener
	Admin   net.Listener
	// Advertise is the mesh address that others dial; empty takes the listener's address.
	Advertise string
	// Members lists mesh addresses of control members.
	Members []string
	// Join lists further mesh addresses to join by.
	Join []string
	Keys relay.Verifier
	// Identity secures connections between processes; nil switches TLS off.
	Identity *rpc.Identity
	// ControlDialer, LedgerDialer and CallDialer open connections; nil dials TCP.
	ControlDialer rpc.Dialer
	LedgerDialer  rpc.Dialer
	CallDialer    rpc.Dialer
	// ZoneDelay returns the one-way delay to a zone; nil means no delay.
	ZoneDelay func(zone string) time.Duration
	Policy    balance.Policy
	Limits    Limits
	// Dialect names the headers of callers and upstreams; the zero value takes protocol.DefaultDialect.
	Dialect protocol.Dialect
	// Service is what runs beside the node until an upstream announces itself.
	Service string
	// NoHedging switches second attempts beside a slow first one off.
	NoHedging bool
	Logger    zerolog.Logger
	// OnApplied is told of every pointer swap, on the control goroutine; it may be nil.
	OnApplied func(approval bundle.Approval, b *bundle.Bundle, at time.Time)
	// Relay overrides the limits of the distribution tree; zero fields take the defaults.
	Relay relay.Config
}

// Limits bounds the resources of a node. Zero fields take the defaults.
type Limits struct {
	// MaxCalls bounds the callers' requests in flight.
	MaxCalls int
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the bodies on routes without a bound of their own.
	MaxBodyBytes int64
	// LeaveNotice is the time for which a stopping node still takes requests, after it has said that it is not ready.
	// It is what callers need to notice that.
	LeaveNotice time.Duration
	// HealthInterval is the time between two looks at a serving upstream, which find a crash while there are no calls. A
	// negative value switches them off, for upstreams that announce themselves again and again.
	HealthInterval time.Duration
}

// The defaults of Limits.
const (
	defaultMaxCalls       = 10_000
	defaultMaxBodyBytes   = 1 << 20
	defaultHealthInterval = time.Second
)

func (l Limits) withDefaults() Limits {
	l.MaxCalls = cmp.Or(l.MaxCalls, defaultMaxCalls)
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, protocol.MaxHeaderBytes)
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, defaultMaxBodyBytes)
	l.HealthInterval = cmp.Or(l.HealthInterval, defaultHealthInterval)
	return l
}

func (o *Options) zoneDelay(zone string) time.Duration {
	if o.ZoneDelay == nil || zone == o.Zone {
		return 0
	}
	return o.ZoneDelay(zone)
}

const (
	// readHeaderTimeout bounds how long a caller may hold a connection without a request.
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 2 * time.Minute
	// departureTime lets the announcement of a leaving node spread before it closes its listener.
	departureTime = 300 * time.Millisecond
	// lingerTime lets callers notice that this node leaves before it closes their connections.
	lingerTime = 500 * time.Millisecond
)

// Node is one running node.
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
	gate       gate
	requestLog *requestLog
	// leaving tells callers to close their connections.
	leaving atomic.Bool
	// stopping makes the node not ready.
	stopping atomic.Bool
	metrics  *metrics

	controlPool *rpc.Pool
	ledgerPool  *rpc.Pool
	calls       *rpc.Pool
	// probes has the connections for probes of failed instances.
	probes   *rpc.Pool
	liveness *liveness
	mesh     *rpc.Server
	callers  *http.Server
	admin    *http.Server

	ctx    context.Context
	cancel context.CancelFunc
	// tasks are the serving goroutines and the control goroutine.
	tasks sync.WaitGroup

	// The fields below belong to the control goroutine. changedIDs and refreshAll are what the balancer has not been
	// told yet.
	changedIDs map[string]bool
	refreshAll bool
	seen       map[string]seenEndpoint
}

// New prepares a node with empty memory.
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
		gate:        gate{limit: options.Limits.MaxCalls},
		options:     options,
		id:          options.ID,
		incarnation: uint64(now.UnixNano()),
		logger:      logging.Part(options.Logger, "node"),
		metrics:     newMetrics(),
		changedIDs:  make(map[string]bool),
		seen:        make(map[string]seenEndpoint),
	}
	n.requestLog = newRequestLog(n.logger, n.metrics.linesDropped)
	n.metrics.observeState(n)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.connect()
	n.balancer = balance.New(balance.Config{Policy: options.Policy, Zone: options.Zone, ZoneDelay: options.zoneDelay})
	n.quarantine = quarantine.New(quarantine.Config{ID: n.id, Incarnation: n.incarnation})
	n.executor = n.newExecutor()
	n.liveness = &liveness{
		balancer: n.balancer, calls: n.calls, probes: n.probes, zoneDelay: options.zoneDelay, logger: n.logger,
		instances: make(map[string]*instance),
	}
	n.peer = relay.New(clock.Now(), n.relayConfig())
	n.control = mesh.NewHost(mesh.Options{
		Peer: n.peer, Pool: n.controlPool, Logger: logging.Part(options.Logger, "control"),
		Output: n.handleOutput, AfterBatch: n.refreshEndpoints,
	})
	n.mesh.ServeNode(n)
	n.callers = &http.Server{
		Handler: n, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: options.Limits.MaxHeaderBytes,
	}
	n.admin = &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	return n
}

func (n *Node) connect() {
	var transport credentials.TransportCredentials
	if n.options.Identity != nil {
		transport = n.options.Identity.Credentials()
	}
	n.controlPool = rpc.NewPool(n.options.ControlDialer, transport)
	n.ledgerPool = rpc.NewPool(n.options.LedgerDialer, transport)
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
	config.JoinAddresses = append(append([]string{}, n.options.Members...), n.options.Join...)
	config.Keys = n.options.Keys
	config.Validate = func(b *bundle.Bundle) error { return bundle.Validate(b).Err() }
	config.Rand = rand.New(rand.NewSource(int64(n.incarnation)))
	return config
}

// Start begins to serve. Callers get "not ready" answers until a version is in force.
func (n *Node) Start() {
	n.tasks.Go(func() { n.control.Run(n.ctx) })
	n.tasks.Go(n.executor.watch)
	n.serve("mesh", n.mesh.Serve)
	n.serve("callers", func() error { return n.callers.Serve(n.options.Callers) })
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

// Stop leaves gracefully: the node is no longer ready, the upstream is announced as leaving and its calls in flight
// finish, callers are told to close their connections while their requests are still served through other nodes, the
// listeners close, and the answers of irreversible calls are recorded. It gives up when the context ends. Each step is
// taken even if the one before it gave up, and the records come last: an unreachable ledger must not cut off requests.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.executor.leave()
	noticed := time.Now().Add(n.options.Limits.LeaveNotice)
	sleep(ctx, departureTime)
	// Closing an idle connection can meet a request that is already on its way, so callers close theirs first.
	n.leaving.Store(true)
	err := n.executor.idle(ctx)
	sleep(ctx, max(lingerTime, time.Until(noticed)))
	err = errors.CombineErrors(err, n.gate.drain(ctx))
	err = errors.CombineErrors(err, n.callers.Shutdown(ctx))
	err = errors.CombineErrors(err, n.executor.background.wait(ctx))
	n.mesh.GracefulStop(shortly(ctx))
	n.Kill()
	return errors.Wrap(err, "node: stop gave up on calls or on records of their answers")
}

// shortly bounds the wait for Follow streams of children, which do not end by themselves.
func shortly(ctx context.Context) context.Context {
	bounded, cancel := context.WithTimeout(ctx, departureTime)
	context.AfterFunc(bounded, cancel)
	return bounded
}

// Kill ends the node at once, as a crash would.
func (n *Node) Kill() {
	n.cancel()
	n.executor.close()
	n.mesh.Stop()
	_ = n.callers.Close()
	_ = n.admin.Close()
	n.controlPool.Close()
	n.ledgerPool.Close()
	n.liveness.stop()
	n.calls.Close()
	n.probes.Close()
	n.tasks.Wait()
}

// Version returns the configuration version in force; 0 if there is none.
func (n *Node) Version() uint64 {
	if current := n.snapshot.Load(); current != nil {
		return current.version
	}
	return 0
}

// AcceptUpstream takes an announcement from settings, for an upstream that does not announce itself.
func (n *Node) AcceptUpstream(announcement Announcement) error {
	return n.executor.accept(announcement)
}

// SetJoin replaces the addresses by which the node finds the group.
func (n *Node) SetJoin(addresses []string) {
	n.control.Post(func(time.Time) { n.peer.SetJoinAddresses(addresses) })
}

// Follow serves the children of this node in the distribution tree.
func (n *Node) Follow(stream rpc.FollowServerStream) error { return n.control.Follow(stream) }
