// Package slope measures how the cost of the control plane grows with the number of nodes: real nodes and members in
// one process, without calls.
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

// Config is one measurement.
type Config struct {
	Profile experiment.Profile
	Nodes   int
	// Idle is how long the fleet is watched without changes.
	Idle time.Duration
	// Rollouts and Announcements are the changes that are made and measured.
	Rollouts      int
	Announcements int
	Factory       experiment.Factory
}

// Point is the result of one measurement. Rates are of the whole process: the members and all nodes.
type Point struct {
	Nodes   int `json:"nodes"`
	Members int `json:"members"`
	// IdleCPU is the processor time per second of an idle fleet, in milliseconds.
	IdleCPU float64 `json:"idle_cpu_ms_per_s"`
	// IdleBytes is the control traffic of an idle fleet, in bytes per second.
	IdleBytes float64 `json:"idle_control_bytes_per_s"`
	// IdleCrossZone is its share between zones.
	IdleCrossZone float64 `json:"idle_cross_zone_bytes_per_s"`
	HeapBytes     float64 `json:"heap_and_stack_bytes"`
	Goroutines    float64 `json:"goroutines"`
	// RolloutCPU and RolloutBytes are what one version costs beyond the idle fleet.
	RolloutCPU   float64 `json:"rollout_cpu_ms"`
	RolloutBytes float64 `json:"rollout_control_bytes"`
	// AnnouncementCPU and AnnounceBytes are what one changed announcement costs beyond the idle fleet.
	AnnouncementCPU   float64      `json:"announcement_cpu_ms"`
	AnnouncementBytes float64      `json:"announcement_control_bytes"`
	ConvergenceMs     Distribution `json:"convergence_ms"`
	// ProfileName tells the emulated deployment.
	ProfileName string `json:"profile"`
}

// Distribution is a distribution.
type Distribution struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

const (
	operatorName   = "operator"
	startTimeout   = 3 * time.Minute
	rolloutTimeout = 30 * time.Second
	// settleTime lets joins, first announcements and garbage end before the idle fleet is watched.
	settleTime = 4 * time.Second
	// rolloutPause separates versions, so that one does not wait for the other.
	rolloutPause = 300 * time.Millisecond
	// announcePause spreads announcements; the last ones get spreadTime to reach all nodes.
	announcePause  = 20 * time.Millisecond
	spreadTime     = 2 * time.Second
	announceAtOnce = 32
	slots          = 10
)

// fleet is a running deployment under measurement.
type fleet struct {
	config     Config
	network    *shape.Network
	deployment experiment.Deployment
	nodes      []experiment.NodeSpec
	upstream   net.Listener
	client     *http.Client
	version    uint64

	mu      sync.Mutex
	waiting map[uint64]*swaps
}

// swaps counts the nodes that have a version in force.
type swaps struct {
	left int
	last time.Time
	done chan struct{}
}

// Measure starts a fleet, watches it and ends it.
func Measure(ctx context.Context, config Config) (Point, error) {
	folder, err := os.MkdirTemp("", "sapphiregate-slope-")
	if err != nil {
		return Point{}, errors.Wrap(err, "slope: create data folder")
	}
	defer os.RemoveAll(folder)
	f := &fleet{config: config, waiting: make(map[uint64]*swaps), client: &http.Client{Timeout: rolloutTimeout}}
	if err := f.start(ctx, folder); err != nil {
		f.stop()
		return Point{}, err
	}
	defer f.stop()
	return f.measure(ctx)
}

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
	initial, err := f.next()
	if err != nil {
		return err
	}
	f.expect(initial.Approval.Version)
	f.deployment, err = f.config.Factory(experiment.Spec{
		Profile: f.config.Profile, Network: f.network, Members: f.config.Profile.Members(), Nodes: f.nodes,
		Operators: map[string]ed25519.PrivateKey{operatorName: key}, Initial: initial, OnApplied: f.applied,
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

// next returns the next version: the profile's bundle with one changed resource.
func (f *fleet) next() (experiment.Signed, error) {
	f.version++
	b := f.config.Profile.Bundle(f.version)
	update, err := bundle.FullUpdate(b)
	return experiment.Signed{
		Bundle:   b,
		Approval: bundle.Approval{Version: f.version, Digest: update.Target, Operator: operatorName},
	}, err
}

func (f *fleet) expect(version uint64) *swaps {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &swaps{left: f.config.Nodes, done: make(chan struct{})}
	f.waiting[version] = s
	return s
}

func (f *fleet) applied(a experiment.Applied) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.waiting[a.Version]
	if s == nil {
		return
	}
	s.left--
	s.last = a.At
	if s.left == 0 {
		close(s.done)
		delete(f.waiting, a.Version)
	}
}

// announceAll gives every node an upstream: one listener that accepts connections, since no calls are made.
func (f *fleet) announceAll(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "slope: listen")
	}
	f.upstream = listener
	go acceptAndClose(listener)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(announceAtOnce)
	for i := range f.nodes {
		group.Go(func() error { return f.announce(ctx, i, slots) })
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

// usage is what the process has used so far.
type usage struct {
	at           time.Time
	cpu          time.Duration
	total, cross int64
}

func (f *fleet) usage() usage {
	var r syscall.Rusage
	// RUSAGE_SELF with a valid pointer cannot fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	total, cross := f.deployment.ControlBytes()
	return usage{
		at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), total: total, cross: cross,
	}
}

func (f *fleet) measure(ctx context.Context) (Point, error) {
	sleep(ctx, settleTime)
	point := Point{Nodes: f.config.Nodes, Members: len(f.deployment.Members()), ProfileName: f.config.Profile.Name}
	before := f.usage()
	sleep(ctx, f.config.Idle)
	after := f.usage()
	seconds := after.at.Sub(before.at).Seconds()
	point.IdleCPU = milliseconds(after.cpu-before.cpu) / seconds
	point.IdleBytes = float64(after.total-before.total) / seconds
	point.IdleCrossZone = float64(after.cross-before.cross) / seconds
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
	cost := f.beyondIdle(before, point)
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

// rollOut stages and approves the next version and returns the time from sign-off until it is in force on every node.
func (f *fleet) rollOut(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	signed, err := f.next()
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
	reached := f.expect(signed.Approval.Version)
	signedOff := time.Now()
	if verdict, err := f.deployment.Approve(ctx, member, signed); err != nil || !verdict.Accepted {
		return 0, errors.Newf("slope: approve: %s %v", verdict.Reason, err)
	}
	select {
	case <-reached.done:
		return reached.last.Sub(signedOff), nil
	case <-ctx.Done():
		return 0, errors.Newf("slope: version %d is missing on %d nodes", signed.Approval.Version, reached.left)
	}
}

func (f *fleet) measureAnnouncements(ctx context.Context, point *Point) error {
	before := f.usage()
	for i := range f.config.Announcements {
		if err := f.announce(ctx, i%len(f.nodes), slots+1+i/len(f.nodes)); err != nil {
			return err
		}
		sleep(ctx, announcePause)
	}
	sleep(ctx, spreadTime)
	cost := f.beyondIdle(before, point)
	if f.config.Announcements > 0 {
		point.AnnouncementCPU = cost.cpu / float64(f.config.Announcements)
		point.AnnouncementBytes = cost.bytes / float64(f.config.Announcements)
	}
	return nil
}

// cost is in milliseconds of processor time and bytes.
type cost struct{ cpu, bytes float64 }

// beyondIdle returns what was used since, less what the idle fleet uses in that time. It can be slightly negative
// where the changes cost less than the noise of the idle figure.
func (f *fleet) beyondIdle(before usage, point *Point) cost {
	after := f.usage()
	seconds := after.at.Sub(before.at).Seconds()
	return cost{
		cpu:   milliseconds(after.cpu-before.cpu) - point.IdleCPU*seconds,
		bytes: float64(after.total-before.total) - point.IdleBytes*seconds,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

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
