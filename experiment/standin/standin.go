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
	// IP is the loopback address to listen on; empty means 127.0.0.1. With an address of its own, no other process
	// can take the upstream's port while the upstream is down.
	IP string
	// NodeID is the node beside the upstream, NodeAdminAddress that node's address for announcements, and NodeAddress
	// its address for nested calls.
	NodeID           string
	NodeAdminAddress string
	NodeAddress      string
	// NestPaths are the URL paths that nested calls use in turn.
	NestPaths []string
	// Slots is how many requests run at once. Requests beyond Connections, running and waiting, are shed.
	Slots       int
	Connections int
	// ConnectDelay is the extra time before the first byte of a new connection is read.
	ConnectDelay time.Duration
	// ServiceTimes are the mean service times by class. TimeScale multiplies them; 0 means 1.
	ServiceTimes map[bundle.Class]time.Duration
	TimeScale    float64
	// Recorder records the runs and the late requests of this upstream.
	Recorder *Recorder
}

// Faults are misbehaviours that can be changed while the upstream runs. Rates are probabilities per request.
type Faults struct {
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64
	// ReportIdle makes the load endpoint report an idle upstream whatever its load is. ReportHealthy makes the health
	// endpoint report success even if Unhealthy is set.
	ReportIdle    bool
	ReportHealthy bool
	// Unhealthy makes the health endpoint report failure, unless ReportHealthy is set.
	Unhealthy bool
	// ShedRate is for requests that are refused before they run.
	ShedRate float64
	// TruncateRate is for responses that are cut after half of the body.
	TruncateRate float64
	// LateRate is for responses that are sent LateDelay after the run has finished.
	LateRate  float64
	LateDelay time.Duration
}

const (
	// coldDuration is how long an upstream is slower after a restart. Service times are coldSlowdown times as long at
	// first, and fall linearly to their usual value.
	coldDuration = 1500 * time.Millisecond
	coldSlowdown = 4.0
	// crashDowntime is how long a crashed upstream refuses connections.
	crashDowntime = time.Second
	// maxReportAge is the maximum age of the values that the load endpoint returns.
	maxReportAge = 200 * time.Millisecond
	// stopTimeout is the maximum time for which Stop waits for requests in flight.
	stopTimeout = 10 * time.Second
)

// ErrStopped is returned by Drain for an upstream that was never started.
var ErrStopped = errors.New("standin: upstream is stopped")

// Upstream is one emulated upstream. It is safe for concurrent use.
type Upstream struct {
	options  Options
	address  string
	client   *http.Client
	announce *announcer
	faults   atomic.Pointer[Faults]
	// slots holds one element for each slot in use.
	slots chan struct{}
	// admitted counts the requests in the upstream, running those of them that have a slot.
	admitted    atomic.Int64
	running     atomic.Int64
	receipts    atomic.Int64
	loadReports loadReportCache

	mu      sync.Mutex
	server  *http.Server
	started time.Time
	// warm is set during the first run of the server, which has its full speed from the start.
	warm          bool
	drainingSince time.Time
	// stopped prevents the automatic restart after a crash. killed is set from a kill or crash until the next start.
	stopped bool
	killed  bool
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

// newLocalClient returns a client for the node beside the upstream, whose connections get no emulated network delays.
func newLocalClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

// Start opens the server and announces the upstream. After the first start the upstream has its full speed at once;
// after later ones it is slower for coldDuration.
func (u *Upstream) Start() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server != nil {
		return nil
	}
	u.stopped = false
	u.drainingSince = time.Time{}
	return u.serve(u.address == "")
}

// serve opens the server and starts the announcements. The caller holds u.mu.
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
	u.killed = false
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
	u.drainingSince = time.Now()
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

// detach stops the announcements and returns the server, which the caller has to close, or nil if the upstream is down
// already. killed and stopped set the fields of these names.
func (u *Upstream) detach(killed, stopped bool) *http.Server {
	u.mu.Lock()
	defer u.mu.Unlock()
	server := u.server
	if server == nil {
		u.stopped = u.stopped || stopped
		return nil
	}
	u.server = nil
	u.stopped = stopped
	u.killed = killed
	u.announce.stopAnnouncing()
	return server
}

// Crash drops all connections, and restarts the upstream after crashDowntime unless it was stopped in the meantime.
func (u *Upstream) Crash() {
	if server := u.detach(true, false); server != nil {
		_ = server.Close()
		time.AfterFunc(crashDowntime, u.recoverFromCrash)
	}
}

func (u *Upstream) recoverFromCrash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped || u.server != nil {
		return
	}
	if err := u.serve(false); err != nil {
		// Nothing else listens on this address, so this fails only if the system is out of resources.
		panic(err)
	}
}

// Close kills the upstream and ends its announcements for good.
func (u *Upstream) Close() {
	u.Kill()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.announce != nil {
		u.announce.close()
	}
	u.client.CloseIdleConnections()
}

// slowdown returns the factor that currently multiplies service times.
func (u *Upstream) slowdown() float64 {
	u.mu.Lock()
	age, warm := time.Since(u.started), u.warm
	u.mu.Unlock()
	factor := 1.0
	if !warm && age < coldDuration {
		factor += (coldSlowdown - 1) * (1 - age.Seconds()/coldDuration.Seconds())
	}
	if slow := u.faults.Load().SlowFactor; slow > 0 {
		factor *= slow
	}
	return factor
}

// nextReceipt returns the identifier of the next run.
func (u *Upstream) nextReceipt() string {
	return fmt.Sprintf("%s-%d", u.options.ID, u.receipts.Add(1))
}
