package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"sapphiregate.example/sapphiregate/experiment/load"
	"sapphiregate.example/sapphiregate/experiment/standin"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/shape"
)

const (
	startTimeout  = 2 * time.Minute
	warmupTimeout = 15 * time.Second
	warmupPause   = 50 * time.Millisecond
	warmUpAttempt = "warm-up"
	// scriptGrace is how long actions may go on after the load, for example a drain that began late.
	scriptGrace = 15 * time.Second
	// settleTime lets requests end whose callers gave up.
	settleTime       = 300 * time.Millisecond
	settlePause      = 20 * time.Millisecond
	progressInterval = 250 * time.Millisecond
	// callerNodes bounds the nodes that callers use, so that connections are reused when many nodes are added.
	callerNodes = 64
	// appliedBuffer holds pointer swaps until they are checked.
	appliedBuffer = 1 << 16
)

// Config is one run of a scenario.
type Config struct {
	Profile  Profile
	Scenario Scenario
	Seed     int64
	Baseline bool
	// Duration of the load; 0 takes the scenario's.
	Duration time.Duration
	// Nodes is the total number of nodes; values below the number of upstreams have no effect.
	Nodes   int
	Factory Factory
	// Progress receives the state of the run a few times per second, if it is set.
	Progress func(Progress)
}

// Progress is the state of a run.
type Progress struct {
	Elapsed, Duration time.Duration
	Load              load.Progress
	Violations        int64
	// Step is the last action of the script.
	Step string
}

// Result is the outcome of a run.
type Result struct {
	Report Report
	// Details describe some violations, and Notes what else went wrong in the run.
	Details []string
	Notes   []string
	// Internal counts violations of internal invariants, which are not part of the report.
	Internal int64
}

// Violated reports whether any invariant was violated.
func (r Result) Violated() bool { return r.Internal > 0 || r.Report.Violations.Total() > 0 }

// runner is one run in progress.
type runner struct {
	profile    Profile
	scenario   Scenario
	seed       int64
	duration   time.Duration
	deployment Deployment
	network    *shape.Network
	prefix     loopbackPrefix
	members    []MemberSpec
	nodes      []NodeSpec
	upstreams  []*standin.Upstream
	truth      *standin.Recorder
	faults     *faultLog
	violations *violationLog
	versions   *versionLog
	operators  *operators
	processes  *processes
	scripts    sync.WaitGroup

	mu    sync.Mutex
	rng   *rand.Rand
	step  string
	notes []string
}

// Run runs a scenario against a new Deployment.
func Run(ctx context.Context, c Config) (Result, error) {
	if c.Factory == nil {
		return Result{}, errors.New("experiment: no deployment is available")
	}
	folder, err := os.MkdirTemp("", "sapphiregate-experiment-")
	if err != nil {
		return Result{}, errors.Wrap(err, "experiment: create data folder")
	}
	defer os.RemoveAll(folder)
	r := newRunner(c)
	defer r.network.Close()
	applied := newAppliedQueue(r.versions)
	return r.run(ctx, c, folder, applied.add, applied.finish)
}

// appliedQueue checks pointer swaps on a goroutine of its own, so that nodes do not wait for the checks.
type appliedQueue struct {
	versions *versionLog
	queue    chan Applied
	done     chan struct{}
	checked  chan struct{}
}

func newAppliedQueue(v *versionLog) *appliedQueue {
	q := &appliedQueue{
		versions: v, queue: make(chan Applied, appliedBuffer), done: make(chan struct{}), checked: make(chan struct{}),
	}
	go q.run()
	return q
}

// add ignores swaps after finish, which a deployment that is closing may still report.
func (q *appliedQueue) add(a Applied) {
	select {
	case <-q.done:
	case q.queue <- a:
	}
}

func (q *appliedQueue) run() {
	defer close(q.checked)
	for {
		select {
		case a := <-q.queue:
			q.versions.apply(a)
		case <-q.done:
			q.drain()
			return
		}
	}
}

func (q *appliedQueue) drain() {
	for {
		select {
		case a := <-q.queue:
			q.versions.apply(a)
		default:
			return
		}
	}
}

// finish returns when all swaps so far are checked.
func (q *appliedQueue) finish() {
	close(q.done)
	<-q.checked
}

func newRunner(c Config) *runner {
	r := &runner{
		profile: c.Profile, scenario: c.Scenario, seed: c.Seed, duration: c.Duration,
		network: shape.NewNetwork(c.Seed), nodes: c.Profile.Nodes(c.Nodes), members: c.Profile.Members(), truth: &standin.Recorder{},
		faults: newFaultLog(), violations: newViolationLog(), rng: rand.New(rand.NewPCG(uint64(c.Seed), 1)),
	}
	prefix := runPrefix()
	for i := range r.nodes {
		r.nodes[i].IP = prefix.address(nodeAddresses + i)
	}
	for i := range r.members {
		r.members[i].IP = prefix.address(memberAddresses + i)
	}
	r.prefix = prefix
	if r.duration == 0 {
		r.duration = c.Scenario.Duration
	}
	r.versions = newVersionLog(r.violations)
	r.profile.Shape(r.network, c.Scenario.zoneLink)
	return r
}

// run drives the whole experiment. finish ends the delivery of pointer swaps and waits until all are checked.
func (r *runner) run(ctx context.Context, c Config, folder string, onApplied func(Applied), finish func()) (Result, error) {
	before := invariant.Counts()
	initial, err := r.deploy(c, folder, onApplied)
	if err != nil {
		finish()
		return Result{}, err
	}
	calls, bytes, err := r.measure(ctx, c)
	r.closeAll()
	finish()
	if err != nil {
		return Result{}, err
	}
	samples := r.versions.convergence(r.faults, initial)
	j := &judge{calls: calls, truth: r.truth, faults: r.faults, violations: r.violations, roundTrip: 2 * r.profile.CallerDelay}
	j.check()
	r.violations.addProcesses(before, invariant.Counts())
	return r.result(c, calls, samples, bytes), nil
}

// deploy builds the deployment and the operators.
func (r *runner) deploy(c Config, folder string, onApplied func(Applied)) (initialVersion uint64, err error) {
	const version = 1
	initial, err := signedBundle(r.profile.Bundle(version), version, operatorA)
	if err != nil {
		return 0, err
	}
	r.versions.submit(initial, true)
	r.versions.accept(initial)
	r.deployment, err = c.Factory(Spec{
		Profile: r.profile, Seed: r.seed, Baseline: c.Baseline, Network: r.network, Members: r.members, Nodes: r.nodes,
		Operators: operatorKeys(r.seed), Initial: initial, OnApplied: onApplied, DataFolder: folder,
	})
	if err != nil {
		return 0, errors.Wrap(err, "experiment: build deployment")
	}
	r.operators = &operators{
		profile: r.profile, deployment: r.deployment, versions: r.versions, version: version,
		previous: initial.Bundle, rng: rand.New(rand.NewPCG(uint64(r.seed), 2)),
	}
	r.processes = newProcesses(r.deployment, r.faults, r.members, r.nodes)
	return version, nil
}

// controlBytes is the configuration traffic during the measurement.
type controlBytes struct{ total, crossZone int64 }

// measure runs load and script, and returns after the deployment has settled.
func (r *runner) measure(ctx context.Context, c Config) ([]*load.Call, controlBytes, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.deployment.Start(startCtx); err != nil {
		return nil, controlBytes{}, errors.Wrap(err, "experiment: start deployment")
	}
	if err := r.startUpstreamsWarm(ctx); err != nil {
		return nil, controlBytes{}, err
	}
	total, crossZone := r.deployment.ControlBytes()
	generator := load.New(r.loadOptions())
	stop := r.showProgress(c.Progress, generator)
	r.script(ctx)
	calls := generator.Run(ctx)
	r.endScript()
	r.restore(ctx)
	r.settle(ctx)
	stop()
	totalAfter, crossZoneAfter := r.deployment.ControlBytes()
	return calls, controlBytes{totalAfter - total, crossZoneAfter - crossZone}, ctx.Err()
}

func (r *runner) startUpstreamsWarm(ctx context.Context) error {
	for i, node := range r.nodes {
		if node.Service == "" {
			continue
		}
		u := standin.New(r.upstreamOptions(i, node))
		u.SetFaults(r.scenario.upstream)
		if err := u.Start(); err != nil {
			return err
		}
		r.upstreams = append(r.upstreams, u)
	}
	return r.warmUp(ctx)
}

func (r *runner) upstreamOptions(i int, node NodeSpec) standin.Options {
	address := r.deployment.Address(node.ID)
	o := r.profile.Upstream(r.seed + int64(i))
	o.ID = fmt.Sprintf("upstream-%d", i)
	o.Service = node.Service
	o.NodeID, o.NodeAddress, o.NodeAdminAddress = node.ID, address.HTTP, address.Admin
	o.IP = r.prefix.address(upstreamAddresses + i)
	o.TimeScale = r.scenario.timeScale
	o.Recorder = r.truth
	for _, service := range r.profile.Services {
		o.NestPaths = append(o.NestPaths, RoutePath(service.Name, bundle.ClassLookup))
	}
	return o
}

// warmUp waits until every node that callers use reaches every service.
func (r *runner) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmupTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var group errgroup.Group
	for _, node := range r.callerNodes() {
		group.Go(func() error { return r.warmUpNode(ctx, client, node) })
	}
	return group.Wait()
}

func (r *runner) warmUpNode(ctx context.Context, client *http.Client, node load.Node) error {
	for _, service := range r.profile.Services {
		url := "http://" + node.Address + RoutePath(service.Name, bundle.ClassLookup)
		for !r.reaches(ctx, client, url) {
			if !pause(ctx, warmupPause) {
				return errors.Newf("experiment: %s does not reach service %s", node.ID, service.Name)
			}
		}
	}
	return nil
}

func (r *runner) reaches(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	request.Header.Set(standin.HeaderRequest, warmUpAttempt)
	request.Header.Set(standin.HeaderAttempt, warmUpAttempt)
	request.Header.Set(standin.HeaderClass, string(bundle.ClassLookup))
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *runner) callerNodes() []load.Node {
	var nodes []load.Node
	for _, node := range r.nodes[:min(len(r.nodes), callerNodes)] {
		nodes = append(nodes, load.Node{ID: node.ID, Address: r.deployment.Address(node.ID).HTTP})
	}
	return nodes
}

func (r *runner) loadOptions() load.Options {
	o := load.Options{
		Seed: r.seed, Nodes: r.callerNodes(),
		Dial:       r.network.Dialer(shape.Endpoint{Zone: CallerZone, Process: CallerZone}, shape.KindCaller),
		Path:       func(route load.Route) string { return RoutePath(route.Service, route.Class) },
		Deadlines:  r.profile.Deadlines,
		RoundTrip:  2 * r.profile.CallerDelay,
		CancelRate: r.scenario.leave, AttemptTimeout: r.scenario.patience, MaxSends: r.scenario.sends,
		CrashRate: r.scenario.crashRate, NestRate: r.scenario.nestRate, NestDepth: nestDepth,
	}
	for _, phase := range r.scenario.phases {
		rates := r.profile.Demand(phase.Foreground, phase.Reports)
		for route := range rates {
			if route.Class == bundle.ClassLookup && phase.LookupFactor > 0 {
				rates[route] *= phase.LookupFactor
			}
		}
		o.Phases = append(o.Phases, load.Phase{Duration: time.Duration(phase.Share * float64(r.duration)), Rates: rates})
	}
	return o
}

// settle waits until every node holds the latest accepted version, and checks what they hold.
func (r *runner) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, convergenceLimit)
	defer cancel()
	pause(ctx, settleTime)
	for !r.converged() && pause(ctx, settlePause) {
	}
	for _, node := range r.nodes {
		if !r.faults.absent(node.ID) {
			inForce, ok := r.deployment.InForce(node.ID)
			r.versions.checkFinal(node.ID, inForce, ok)
		}
	}
}

func (r *runner) converged() bool {
	latest, _ := r.versions.latestAccepted()
	for _, node := range r.nodes {
		if r.faults.absent(node.ID) {
			continue
		}
		if inForce, ok := r.deployment.InForce(node.ID); !ok || inForce.Version < latest {
			return false
		}
	}
	return true
}

func (r *runner) closeAll() {
	for _, u := range r.upstreams {
		u.Close()
	}
	if err := r.deployment.Close(); err != nil {
		r.note(errors.Wrap(err, "close deployment"))
	}
}

// showProgress reports until the returned function is called.
func (r *runner) showProgress(show func(Progress), g *load.Generator) (stop func()) {
	if show == nil {
		return func() {}
	}
	done := make(chan struct{})
	var running sync.WaitGroup
	started := time.Now()
	running.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				show(Progress{time.Since(started), r.duration, g.Progress(), r.violations.total(), r.currentStep()})
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		running.Wait()
	}
}

// note records what went wrong without being a violation.
func (r *runner) note(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, err.Error())
}
