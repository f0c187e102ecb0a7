// Package slope measures how the cost of the control plane grows with the number of nodes. It runs the real
// nodes and control members in one process, and makes no calls through them.
package slope

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"sapphiregate.example/sapphiregate/experiment"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/shape"
)

// Config describes one measurement.
type Config struct {
	Profile experiment.Profile
	Nodes   int
	// Idle is the time over which the deployment is measured without changes.
	Idle time.Duration
	// Rollouts and Announcements are the numbers of versions and of upstream announcements whose cost is measured.
	Rollouts      int
	Announcements int
	Factory       experiment.Factory
}

// Point is the result of one measurement. All values are of the whole process, that is, of the members
// and all nodes together.
type Point struct {
	Nodes   int `json:"nodes"`
	Members int `json:"members"`
	// IdleCPU is the processor time per second of the idle deployment, in milliseconds.
	IdleCPU float64 `json:"idle_cpu_ms_per_s"`
	// IdleBytes is the control traffic of the idle deployment, in bytes per second.
	IdleBytes float64 `json:"idle_control_bytes_per_s"`
	// IdleCrossZone is the part of IdleBytes that crosses zones, in bytes per second.
	IdleCrossZone float64 `json:"idle_cross_zone_bytes_per_s"`
	// HeapBytes is the memory in use by heap and stacks after a garbage collection.
	HeapBytes  float64 `json:"heap_and_stack_bytes"`
	Goroutines float64 `json:"goroutines"`
	// RolloutCPU (milliseconds) and RolloutBytes are what one version costs above the idle deployment.
	RolloutCPU   float64 `json:"rollout_cpu_ms"`
	RolloutBytes float64 `json:"rollout_control_bytes"`
	// AnnouncementCPU (milliseconds) and AnnouncementBytes are what one changed announcement costs above the idle
	// deployment.
	AnnouncementCPU   float64 `json:"announcement_cpu_ms"`
	AnnouncementBytes float64 `json:"announcement_control_bytes"`
	// ConvergenceMs is the time from the approval of a version until it is in force on every node.
	ConvergenceMs Distribution `json:"convergence_ms"`
	// ProfileName is the name of the emulated profile.
	ProfileName string `json:"profile"`
}

// Distribution holds quantiles and the maximum of a distribution.
type Distribution struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

const (
	operatorName   = "operator"
	startTimeout   = 3 * time.Minute
	rolloutTimeout = 30 * time.Second
	// settleTime is the delay before the idle deployment is measured, so that joins, first announcements and garbage
	// collection after the start do not count as idle cost.
	settleTime = 4 * time.Second
	// rolloutPause is the delay between versions, so that one rollout does not slow down the next.
	rolloutPause = 300 * time.Millisecond
	// announcementInterval is the delay between announcements. After the last one, propagationTime is the time for it to
	// reach all nodes.
	announcementInterval     = 20 * time.Millisecond
	propagationTime          = 2 * time.Second
	maxParallelAnnouncements = 32
	initialSlots             = 10
)

// fleet is a running deployment under measurement.
type fleet struct {
	config     Config
	network    *shape.Network
	deployment experiment.Deployment
	nodes      []experiment.NodeSpec
	// upstream is the one listener that all nodes are told is their upstream.
	upstream net.Listener
	client   *http.Client
	// version is the latest version that was built.
	version uint64

	mu          sync.Mutex
	activations map[uint64]*activation
}

// activation tracks on how many nodes a version is not in force yet. done is closed when it is in force on all of them,
// and lastAt is the time at which the latest node put it in force.
type activation struct {
	remaining int
	lastAt    time.Time
	done      chan struct{}
}

// Measure starts a deployment, measures it and stops it.
func Measure(ctx context.Context, config Config) (Point, error) {
	folder, err := os.MkdirTemp("", "sapphiregate-slope-")
	if err != nil {
		return Point{}, errors.Wrap(err, "slope: create data folder")
	}
	defer os.RemoveAll(folder)
	f := &fleet{config: config, activations: make(map[uint64]*activation), client: &http.Client{Timeout: rolloutTimeout}}
	if err := f.start(ctx, folder); err != nil {
		f.stop()
		return Point{}, err
	}
	defer f.stop()
	return f.measure(ctx)
}

// start starts the deployment with its first version and announces an upstream to each node.
func (f *fleet) start(ctx context.Context, folder string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f.network = shape.NewNetwork(1)
	f.config.Profile.Shape(f.network, shape.Link{})
	f.nodes = f.config.Profile.Nodes(f.config.Nodes)[:f.config.Nodes]
	_, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return errors.Wrap(err, "slope: generate key")
	}
	initial, err := f.nextVersion()
	if err != nil {
		return err
	}
	f.trackVersion(initial.Approval.Version)
	f.deployment, err = f.config.Factory(experiment.Spec{
		Profile: f.config.Profile, Network: f.network, Members: f.config.Profile.Members(), Nodes: f.nodes,
		Operators: map[string]ed25519.PrivateKey{operatorName: key}, Initial: initial, OnApplied: f.recordApplied,
		DataFolder: folder,
	})
	if err != nil {
		return err
	}
	if err := f.deployment.Start(ctx); err != nil {
		return err
	}
	return f.announceAll(ctx)
}

func (f *fleet) stop() {
	if f.deployment != nil {
		_ = f.deployment.Close()
	}
	if f.upstream != nil {
		_ = f.upstream.Close()
	}
	if f.network != nil {
		f.network.Close()
	}
}

// nextVersion returns the bundle and approval of the next version: the profile's bundle with one changed resource.
func (f *fleet) nextVersion() (experiment.Signed, error) {
	f.version++
	b := f.config.Profile.Bundle(f.version)
	update, err := bundle.FullUpdate(b)
	return experiment.Signed{
		Bundle:   b,
		Approval: bundle.Approval{Version: f.version, Digest: update.Target, Operator: operatorName},
	}, err
}

// trackVersion starts to count the nodes that put a version in force.
func (f *fleet) trackVersion(version uint64) *activation {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &activation{remaining: f.config.Nodes, done: make(chan struct{})}
	f.activations[version] = s
	return s
}

// recordApplied records that a node has put a version in force.
func (f *fleet) recordApplied(a experiment.Applied) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.activations[a.Version]
	if s == nil {
		return
	}
	s.remaining--
	s.lastAt = a.At
	if s.remaining == 0 {
		close(s.done)
		delete(f.activations, a.Version)
	}
}

// announceAll announces an upstream to every node. All share one listener that accepts and closes connections, which is
// enough because no calls are made.
func (f *fleet) announceAll(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "slope: listen")
	}
	f.upstream = listener
	go acceptAndClose(listener)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelAnnouncements)
	for i := range f.nodes {
		group.Go(func() error { return f.announce(ctx, i, initialSlots) })
	}
	return group.Wait()
}

func acceptAndClose(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// announce announces the upstream with a number of slots to the node with the given index.
func (f *fleet) announce(ctx context.Context, node, slots int) error {
	services := f.config.Profile.Services
	body, err := json.Marshal(map[string]any{
		"service": services[node%len(services)].Name, "address": f.upstream.Addr().String(), "slots": slots,
	})
	if err != nil {
		return err
	}
	url := "http://" + f.deployment.Address(f.nodes[node].ID).Admin + "/v1/upstream"
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "slope: announce")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Newf("slope: announcement got status %d", response.StatusCode)
	}
	return nil
}

// usage is the processor time and control traffic of the process from its start until at.
type usage struct {
	at                           time.Time
	cpu                          time.Duration
	controlBytes, crossZoneBytes int64
}

func (f *fleet) usage() usage {
	var r syscall.Rusage
	// RUSAGE_SELF with a valid pointer cannot fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	total, cross := f.deployment.ControlBytes()
	return usage{
		at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), controlBytes: total, crossZoneBytes: cross,
	}
}

// measure measures the idle deployment, then rollouts and announcements, whose cost is taken above the idle one.
func (f *fleet) measure(ctx context.Context) (Point, error) {
	sleep(ctx, settleTime)
	point := Point{Nodes: f.config.Nodes, Members: len(f.deployment.Members()), ProfileName: f.config.Profile.Name}
	before := f.usage()
	sleep(ctx, f.config.Idle)
	after := f.usage()
	seconds := after.at.Sub(before.at).Seconds()
	point.IdleCPU = milliseconds(after.cpu-before.cpu) / seconds
	point.IdleBytes = float64(after.controlBytes-before.controlBytes) / seconds
	point.IdleCrossZone = float64(after.crossZoneBytes-before.crossZoneBytes) / seconds
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	point.HeapBytes = float64(memory.HeapAlloc + memory.StackInuse)
	point.Goroutines = float64(runtime.NumGoroutine())
	if err := f.measureRollouts(ctx, &point); err != nil {
		return point, err
	}
	return point, f.measureAnnouncements(ctx, &point)
}

// measureRollouts rolls out versions one after another and sets their cost and convergence times in the point.
func (f *fleet) measureRollouts(ctx context.Context, point *Point) error {
	times := hdrhistogram.New(1, rolloutTimeout.Microseconds(), 3)
	before := f.usage()
	for range f.config.Rollouts {
		took, err := f.rollOut(ctx)
		if err != nil {
			return err
		}
		_ = times.RecordValue(took.Microseconds())
		sleep(ctx, rolloutPause)
	}
	cost := f.costAboveIdle(before, point)
	if f.config.Rollouts > 0 {
		point.RolloutCPU = cost.cpu / float64(f.config.Rollouts)
		point.RolloutBytes = cost.bytes / float64(f.config.Rollouts)
	}
	point.ConvergenceMs = Distribution{
		P50: float64(times.ValueAtQuantile(50)) / 1000, P99: float64(times.ValueAtQuantile(99)) / 1000,
		Max: float64(times.Max()) / 1000,
	}
	return nil
}

// rollOut stages and approves the next version and returns the time from the approval until it is in force on every
// node.
func (f *fleet) rollOut(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	signed, err := f.nextVersion()
	if err != nil {
		return 0, err
	}
	member, ok := f.deployment.Leader()
	if !ok {
		return 0, errors.New("slope: no leader")
	}
	if verdict, err := f.deployment.Stage(ctx, member, signed); err != nil || !verdict.Accepted {
		return 0, errors.Newf("slope: stage: %s %v", verdict.Reason, err)
	}
	activated := f.trackVersion(signed.Approval.Version)
	approvedAt := time.Now()
	if verdict, err := f.deployment.Approve(ctx, member, signed); err != nil || !verdict.Accepted {
		return 0, errors.Newf("slope: approve: %s %v", verdict.Reason, err)
	}
	select {
	case <-activated.done:
		return activated.lastAt.Sub(approvedAt), nil
	case <-ctx.Done():
		return 0, errors.Newf("slope: version %d is missing on %d nodes", signed.Approval.Version, activated.remaining)
	}
}

// measureAnnouncements changes the announced slots of nodes in turn and sets the cost of a change in the point.
func (f *fleet) measureAnnouncements(ctx context.Context, point *Point) error {
	before := f.usage()
	for i := range f.config.Announcements {
		if err := f.announce(ctx, i%len(f.nodes), initialSlots+1+i/len(f.nodes)); err != nil {
			return err
		}
		sleep(ctx, announcementInterval)
	}
	sleep(ctx, propagationTime)
	cost := f.costAboveIdle(before, point)
	if f.config.Announcements > 0 {
		point.AnnouncementCPU = cost.cpu / float64(f.config.Announcements)
		point.AnnouncementBytes = cost.bytes / float64(f.config.Announcements)
	}
	return nil
}

// cost is in milliseconds of processor time and bytes.
type cost struct{ cpu, bytes float64 }

// costAboveIdle returns what was used since before, less what the idle deployment uses in that time. It can be slightly
// negative if the changes cost less than the noise of the idle measurement.
func (f *fleet) costAboveIdle(before usage, point *Point) cost {
	after := f.usage()
	seconds := after.at.Sub(before.at).Seconds()
	return cost{
		cpu:   milliseconds(after.cpu-before.cpu) - point.IdleCPU*seconds,
		bytes: float64(after.controlBytes-before.controlBytes) - point.IdleBytes*seconds,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// String describes the point in one line.
func (p Point) String() string {
	return fmt.Sprintf("%5d nodes: idle %.1f ms/s cpu, %.0f B/s; %.1f MB; rollout %.2f ms cpu, %.0f B, p99 %.1f ms; "+
		"announcement %.3f ms cpu, %.0f B", p.Nodes, p.IdleCPU, p.IdleBytes, p.HeapBytes/1e6, p.RolloutCPU, p.RolloutBytes,
		p.ConvergenceMs.P99, p.AnnouncementCPU, p.AnnouncementBytes)
}
