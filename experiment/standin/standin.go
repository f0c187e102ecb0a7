// Package standin emulates the upstreams of the systems that sapphiregate serves, and records which requests they ran.
package standin

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Options describes one upstream.
type Options struct {
	Seed    int64
	ID      string
	Service string
	// IP is the loopback address to listen on; empty takes 127.0.0.1. An address of its own keeps the port free while
	// the upstream is down.
	IP string
	// NodeID is the node beside the upstream. Admin is that node's address for announcements, and Node its address
	// for nested calls.
	NodeID           string
	NodeAdminAddress string
	NodeAddress      string
	// NestPaths are the paths that nested calls take in turn.
	NestPaths   []string
	Slots       int
	Connections int
	// ConnectDelay is the extra time before the first byte of a new connection is read.
	ConnectDelay time.Duration
	// ServiceTimes are the mean service times by class. TimeScale multiplies them; 0 takes 1.
	ServiceTimes map[bundle.Class]time.Duration
	TimeScale    float64
	// Recorder receives the ground truth.
	Recorder *Recorder
}

// Faults are misbehaviours that can be changed while the upstream runs. Rates are probabilities per request.
type Faults struct {
	// SlowFactor multiplies service times; 0 takes 1.
	SlowFactor float64
	// ReportIdle makes the load endpoint report an idle upstream, and LieHealth a healthy one.
	ReportIdle    bool
	ReportHealthy bool
	// Unhealthy makes the health endpoint report failure unless it lies.
	Unhealthy bool
	// ShedRate refuses requests as not run.
	ShedRate float64
	// TruncateRate cuts answers after half of the body.
	TruncateRate float64
	// LateRate delays finished answers by Late.
	LateRate  float64
	LateDelay time.Duration
}

const (
	// coldTime is how long a restarted upstream is slower, by up to coldFactor, falling evenly.
	coldTime   = 1500 * time.Millisecond
	coldFactor = 4.0
	// crashTime is how long a crashed upstream refuses connections.
	crashTime = time.Second
	// reportLag is the age that values of the health and load endpoints can reach.
	reportLag = 200 * time.Millisecond
	// stopTimeout bounds a graceful stop.
	stopTimeout = 10 * time.Second
)

// ErrStopped reports an operation on an upstream that does not run.
var ErrStopped = errors.New("standin: upstream is stopped")

// Upstream is one emulated upstream. It is safe for concurrent use.
type Upstream struct {
	options  Options
	address  string
	client   *http.Client
	announce *announcer
	faults   atomic.Pointer[Faults]
	slots    chan struct{}
	inside   atomic.Int64
	running  atomic.Int64
	receipts atomic.Int64
	lagging  laggingLoad

	mu      sync.Mutex
	server  *http.Server
	started time.Time
	warm    bool
	drainAt time.Time
	// stopped keeps a crashed upstream from coming back. dead is set from the end without notice to the next start.
	stopped bool
	dead    bool
}

// New returns an upstream that is not started.
func New(o Options) *Upstream {
	if o.TimeScale == 0 {
		o.TimeScale = 1
	}
	u := &Upstream{options: o, slots: make(chan struct{}, o.Slots), client: newLocalClient()}
	u.faults.Store(&Faults{})
	return u
}

// newLocalClient returns a client for the node beside the upstream, which is on the same machine and not shaped.
func newLocalClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

// Start opens the server and announces the upstream. The first start is warm, later ones are cold.
func (u *Upstream) Start() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server != nil {
		return nil
	}
	u.stopped = false
	u.drainAt = time.Time{}
	return u.serve(u.address == "")
}

// serve opens the server; the mutex is held.
func (u *Upstream) serve(warm bool) error {
	address := u.address
	if address == "" {
		address = net.JoinHostPort(cmp.Or(u.options.IP, "127.0.0.1"), "0")
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "standin: start %s", u.options.ID)
	}
	u.address = listener.Addr().String()
	u.started = time.Now()
	u.dead = false
	u.warm = warm
	u.server = &http.Server{Handler: u.handler()}
	go func(server *http.Server) {
		_ = server.Serve(newLimitListener(listener, u.options.Connections, u.options.ConnectDelay))
	}(u.server)
	if u.announce == nil {
		u.announce = newAnnouncer(u.client, u.options, u.address)
	}
	u.announce.serving()
	return nil
}

// Address returns the address of the server.
func (u *Upstream) Address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.address
}

// SetFaults replaces the active faults.
func (u *Upstream) SetFaults(f Faults) { u.faults.Store(&f) }

// Drain announces to the node that the upstream is leaving. The upstream keeps serving. It returns when the node has
// acknowledged the announcement.
func (u *Upstream) Drain(ctx context.Context) error {
	u.mu.Lock()
	announce := u.announce
	u.mu.Unlock()
	if announce == nil {
		return ErrStopped
	}
	if err := announce.draining(ctx); err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drainAt = time.Now()
	return nil
}

// Stop completes the requests in flight and closes the server.
func (u *Upstream) Stop(ctx context.Context) error {
	server := u.detach(false, true)
	if server == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return server.Shutdown(ctx)
}

// Kill drops all connections and refuses new ones until Start.
func (u *Upstream) Kill() {
	if server := u.detach(true, true); server != nil {
		_ = server.Close()
	}
}

// detach takes the server out of service and stops announcements. It returns nil if the upstream is down already.
func (u *Upstream) detach(dead, stopped bool) *http.Server {
	u.mu.Lock()
	defer u.mu.Unlock()
	server := u.server
	if server == nil {
		u.stopped = u.stopped || stopped
		return nil
	}
	u.server = nil
	u.stopped = stopped
	u.dead = dead
	u.announce.silent()
	return server
}

// Crash drops all connections and comes back cold after a second.
func (u *Upstream) Crash() {
	if server := u.detach(true, false); server != nil {
		_ = server.Close()
		time.AfterFunc(crashTime, u.recoverFromCrash)
	}
}

func (u *Upstream) recoverFromCrash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped || u.server != nil {
		return
	}
	if err := u.serve(false); err != nil {
		// Nothing else listens on the address, so that only a machine without resources gets here.
		panic(err)
	}
}

// Close ends the upstream and its announcements.
func (u *Upstream) Close() {
	u.Kill()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.announce != nil {
		u.announce.close()
	}
	u.client.CloseIdleConnections()
}

// slowness returns the current factor on service times.
func (u *Upstream) slowness() float64 {
	u.mu.Lock()
	age, warm := time.Since(u.started), u.warm
	u.mu.Unlock()
	factor := 1.0
	if !warm && age < coldTime {
		factor += (coldFactor - 1) * (1 - age.Seconds()/coldTime.Seconds())
	}
	if slow := u.faults.Load().SlowFactor; slow > 0 {
		factor *= slow
	}
	return factor
}

func (u *Upstream) nextReceipt() string {
	return fmt.Sprintf("%s-%d", u.options.ID, u.receipts.Add(1))
}
