// Package soak tests the daemon under faults. It runs control members and nodes as separate processes on loopback,
// kills, pauses and disconnects them by a random schedule that depends on a seed, and checks the guarantees that
// callers, upstreams and operators rely on. See docs/soak.md.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
	"sapphiregate.example/sapphiregate/state/release"
)

const (
	// startTimeout bounds the time until the group is formed and the first version is in force on all nodes.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the guaranteed time after the last fault within which callers are served and a new version is
	// in force on all nodes.
	recoveryTimeout = 15 * time.Second
	// changeInterval is the pause between two new versions of the configuration.
	changeInterval = 700 * time.Millisecond
	// historyLimit exceeds the number of versions of a seed with 20 s of faults and 15 s of recovery, even if every
	// pollInterval had a new one.
	historyLimit = 1000
	// pollInterval is the pause between two polls of the nodes' versions.
	pollInterval = 100 * time.Millisecond
)

// DefaultNodes is the usual number of nodes.
const DefaultNodes = 4

// Options configure the run of one seed.
type Options struct {
	// Binary is the path of the daemon.
	Binary string
	Seed   uint64
	// FaultDuration is the time during which new faults are started.
	FaultDuration time.Duration
	// Nodes is the number of nodes.
	Nodes int
	// Planned selects series of planned work instead of random faults.
	Planned bool
	// Core selects faults of the control members, and a check of the time in which versions come into force. There are
	// no callers but those that probe the versions.
	Core bool
	// Replacements selects planned stops of members in series, with spare processes that take their places, as well as the
	// checks of Core.
	Replacements bool
	// Teams adds teams to Core: keys that versions add and remove, a quota, and herds of nodes that are killed.
	Teams bool
}

// memberTotal returns the number of control members of a seed.
func (o *Options) memberTotal() int {
	switch {
	case o.Replacements:
		return coreMemberCount + spareCount
	case o.Core:
		return coreMemberCount
	default:
		return memberCount
	}
}

// toleratedMembers returns the number of control members that may be lost at once.
func (o *Options) toleratedMembers() int {
	if o.Core {
		return coreMemberCount / 2
	}
	return memberCount / 2
}

// Result is what the run of one seed observed.
type Result struct {
	Seed      uint64
	Responses int
	Served    int
	// Crossed counts the requests that crossed the close of their connection, and Kept those that were sent on a
	// connection that had carried others.
	Crossed, Kept   int
	ApprovedVersion uint64
	// Busiest is the greatest number of requests of the limited team that ran in a quotaWindow.
	Busiest int
	// Completed and RolledBack count the rollouts that ended so.
	Completed, RolledBack int
	// LeadersKilled counts the rollouts during which the leader of the control members was killed.
	LeadersKilled int
	Recovery      time.Duration
	Violations    []string
	Timeline      []event
	// Folder holds the logs and settings of the processes. It is removed if no guarantee was violated.
	Folder string
}

// Run runs one seed. Violated guarantees are in the result; an error means that the run could not be completed.
func Run(ctx context.Context, options Options) (Result, error) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", options.Seed))
	if err != nil {
		return Result{}, errors.Wrap(err, "soak: create a folder")
	}
	report, err := runSeed(ctx, options, folder)
	if err != nil || len(report.Violations) > 0 {
		return report, err
	}
	return report, errors.Wrap(os.RemoveAll(folder), "soak: remove the logs")
}

// runSeed runs one seed whose processes write to a folder. They have ended when it returns.
func runSeed(ctx context.Context, options Options, folder string) (Result, error) {
	report := Result{Seed: options.Seed, Folder: folder}
	recorder := newRecorder()
	d, err := newDeployment(options, folder, recorder)
	if err != nil {
		return report, err
	}
	defer d.close()
	for _, m := range d.members {
		recorder.members[m.name] = true
	}
	if err := d.start(); err != nil {
		return report, err
	}
	r := &seedRun{
		options: options, deployment: d, recorder: recorder, inForce: make(map[string]uint64), acknowledged: make(map[uint64]bundle.Digest),
	}
	if err := r.connect(); err != nil {
		return report, err
	}
	if !r.await(ctx, startTimeout, func() bool { return r.approveNext(ctx) && r.allInForce(r.approved) }) {
		report.Timeline = recorder.timeline
		return report, errors.Newf("soak: the deployment did not start within %v; logs are in %s", startTimeout, folder)
	}
	d.joinOnRestart()
	report.Recovery = r.injectAndRecover(ctx, options)
	recorder.checkNotRun()
	recorder.checkCuts()
	recorder.checkVersions()
	if options.Replacements {
		recorder.checkAcknowledgements(r.acknowledgements)
	}
	report.Busiest = recorder.checkQuota()
	recorder.checkRollouts()
	report.LeadersKilled = recorder.leadersKilled
	for _, e := range recorder.rollouts {
		if e.state == release.Completed {
			report.Completed++
		} else {
			report.RolledBack++
		}
	}
	report.Crossed, report.Kept = recorder.crossed, recorder.keptCount()
	report.Responses, report.Served, report.ApprovedVersion = recorder.responses, recorder.served, r.approved
	report.Violations, report.Timeline = recorder.violations, recorder.timeline
	return report, nil
}

// seedRun is the state of one running seed.
type seedRun struct {
	options    Options
	deployment *deployment
	recorder   *recorder
	operator   *operator.Client
	// watcher is the client that rolls out releases, so that it does not wait for changes of the configuration.
	watcher *operator.Client
	// submitted is the last version that was sent to the group, and approved the last one whose approval the group
	// acknowledged.
	submitted, approved uint64
	// newest is submitted, for the goroutines that probe.
	newest atomic.Uint64
	// finalProbes counts the requests of wrongKeys.
	finalProbes int
	// submittedBundle is the configuration of the submitted version, and furtherRoutes the number of its routes that
	// serve no caller.
	submittedBundle *bundle.Bundle
	// withoutTeams leaves all teams out of the versions that follow.
	withoutTeams  bool
	furtherRoutes int
	// acknowledgements lists the acknowledged versions in order. mu guards it.
	acknowledgements []acknowledgement
	// acknowledged holds the digest of each version whose approval the group acknowledged.
	acknowledged map[uint64]bundle.Digest
	// unacknowledged is set from the first failed attempt to approve the submitted version until it succeeds.
	unacknowledged bool

	mu sync.Mutex
	// inForce holds the highest version observed on each node, by "name/incarnation": a restarted node begins anew.
	inForce map[string]uint64
}

// connect creates the client of the operator API.
func (r *seedRun) connect() error {
	var addresses []string
	for _, m := range r.deployment.members {
		addresses = append(addresses, m.adminAddress)
	}
	for _, client := range []**operator.Client{&r.operator, &r.watcher} {
		var err error
		if *client, err = operator.NewClient(operator.ClientConfig{Addresses: addresses, AttemptTimeout: time.Second, Rounds: 1}); err != nil {
			return errors.Wrap(err, "soak: connect to the operator API")
		}
	}
	return nil
}

// injectAndRecover injects faults while callers and an operator are active, and returns the time from the end of the
// last fault until a new version is in force on all nodes and callers are served again.
func (r *seedRun) injectAndRecover(ctx context.Context, options Options) time.Duration {
	loadCtx, stopLoad := context.WithCancel(ctx)
	var background sync.WaitGroup
	for index := range options.callerTotal() {
		background.Go(func() { r.newCaller(options.Seed, index).loop(loadCtx) })
	}
	for _, n := range r.deployment.nodes {
		if options.Teams {
			background.Go(func() { r.probeKeys(loadCtx, n) })
			background.Go(func() { r.exceedQuota(loadCtx, n) })
		}
		if options.Core {
			background.Go(func() { r.probeNode(loadCtx, n) })
			continue
		}
		background.Go(func() { watchReadiness(loadCtx, n) })
	}
	background.Go(func() { r.watchVersions(loadCtx) })
	changeCtx, stopChanges := context.WithCancel(ctx)
	var changeLoop sync.WaitGroup
	changeLoop.Go(func() {
		if options.Planned {
			r.changeInBursts(changeCtx)
		}
		for changeCtx.Err() == nil {
			r.approveNext(changeCtx)
			sleep(changeCtx, changeInterval)
		}
	})
	var rollouts sync.WaitGroup
	if options.Teams {
		rollouts.Go(func() { r.rollOutReleases(changeCtx, r.watcher) })
	}
	faultCtx, stopFaults := context.WithTimeout(ctx, options.FaultDuration)
	injector := newInjector(r.deployment, r.recorder, options.Seed)
	injector.operator = r.operator
	switch {
	case options.Teams:
		injector.runTeams(faultCtx)
	case options.Replacements:
		injector.runReplacements(faultCtx)
	case options.Core:
		injector.runCore(faultCtx)
	case options.Planned:
		injector.runPlanned(faultCtx)
	default:
		injector.run(faultCtx)
	}
	stopFaults()
	r.recorder.logEvent("the last fault has ended")
	lastFaultEnd := time.Now()
	stopChanges()
	changeLoop.Wait()
	if !r.await(ctx, recoveryTimeout, func() bool { return r.approveNext(ctx) && r.allInForce(r.approved) }) {
		r.recorder.reportViolation("no new version was in force on all nodes %v after the last fault (%s)", recoveryTimeout, r.describeVersions())
	}
	r.checkHistory(ctx)
	if options.Teams && !r.await(ctx, recoveryTimeout, func() bool { return r.wrongKeys(ctx) == "" }) {
		r.recorder.reportViolation("keys were not in force on all nodes within %v: %s", recoveryTimeout, r.wrongKeys(ctx))
	}
	before := r.recorder.servedCount()
	if !options.Core && !r.await(ctx, recoveryTimeout, func() bool { return r.recorder.servedCount() >= before+callerCount }) {
		r.recorder.reportViolation("callers were not served again within %v", recoveryTimeout)
	}
	recovery := time.Since(lastFaultEnd)
	rollouts.Wait()
	stopLoad()
	background.Wait()
	if options.Teams {
		r.removeAllTeams(ctx)
	}
	return recovery
}

// await polls until done returns true, and returns false if that takes longer than limit or the context ends.
func (r *seedRun) await(ctx context.Context, limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, pollInterval) {
		if done() {
			return true
		}
	}
	return false
}

// checkHistory checks that the group's history has each acknowledged version with its digest. A member that has just
// started lists what it has applied so far, so that versions may be missing at first.
func (r *seedRun) checkHistory(ctx context.Context) {
	readable := false
	var lost []uint64
	complete := func() bool {
		response, err := r.operator.History(ctx, operator.HistoryRequest{Limit: historyLimit})
		if err != nil {
			return false
		}
		readable, lost = true, lostVersions(r.acknowledged, response.Records)
		return len(lost) == 0
	}
	if r.await(ctx, recoveryTimeout, complete) {
		return
	}
	if !readable {
		r.recorder.reportViolation("the history was not readable within %v", recoveryTimeout)
	}
	for _, version := range lost {
		r.recorder.reportViolation("version %d was acknowledged and is lost", version)
	}
}

// lostVersions returns the acknowledged versions whose approval is not in the records or has another digest there.
func lostVersions(acknowledged map[uint64]bundle.Digest, records []registry.HistoryRecord) []uint64 {
	approved := make(map[uint64]bundle.Digest)
	for _, record := range records {
		if record.Action == registry.ActionApproved {
			approved[record.Version] = record.Digest
		}
	}
	var missing []uint64
	for _, version := range slices.Sorted(maps.Keys(acknowledged)) {
		if approved[version] != acknowledged[version] {
			missing = append(missing, version)
		}
	}
	return missing
}

// approveNext stages and approves the next version, or again the submitted one if that was not acknowledged. It reports
// whether the group acknowledged the approval.
func (r *seedRun) approveNext(ctx context.Context) bool {
	if r.submitted == r.approved {
		r.submitted++
		r.submittedBundle = newBundle(r.submitted, r.furtherRoutes, r.options.routeDeadline())
		if r.options.Teams {
			r.submittedBundle.Access = bundle.AccessKeys
			if !r.withoutTeams {
				r.submittedBundle.Teams = soakTeams(r.submitted)
			}
			bundle.Canonicalize(r.submittedBundle)
		}
		r.newest.Store(r.submitted)
	}
	defer r.recorder.endWork(r.recorder.startWork(workChange, ""))
	update, err := bundle.FullUpdate(r.submittedBundle)
	if err != nil {
		r.recorder.reportViolation("the configuration cannot be split: %v", err)
		return false
	}
	encoded, err := registry.EncodeUpdate(update)
	if err != nil {
		r.recorder.reportViolation("the configuration cannot be encoded: %v", err)
		return false
	}
	id := fmt.Sprintf("change-%d", r.submitted)
	_, err = r.operator.Stage(ctx, operator.StageRequest{
		RequestID: id + "-stage", Operator: operatorName, Version: r.submitted, Digest: update.Target, Update: encoded,
	})
	if err == nil {
		approval := bundle.Approval{Version: r.submitted, Digest: update.Target, Operator: operatorName}
		_, err = r.operator.Approve(ctx, operator.ApproveRequest{
			RequestID: id, Approval: bundle.Sign(r.deployment.key.Key, approval),
		})
	}
	if err != nil {
		if !r.unacknowledged {
			r.recorder.logEvent("version %d has no acknowledgement: %v", r.submitted, err)
		}
		r.unacknowledged = true
		return false
	}
	if r.unacknowledged {
		r.recorder.logEvent("version %d is acknowledged", r.submitted)
	}
	r.approved, r.unacknowledged = r.submitted, false
	r.acknowledged[r.submitted] = update.Target
	r.mu.Lock()
	r.acknowledgements = append(r.acknowledgements, acknowledgement{version: r.submitted, at: time.Now()})
	r.mu.Unlock()
	return true
}

// newBundle returns a configuration in which each of the last versions has added a route.
func newBundle(version uint64, furtherRoutes int, deadline time.Duration) *bundle.Bundle {
	route := func(name string, class bundle.Class, keyless bool) bundle.Route {
		return bundle.Route{
			Name: name, Match: bundle.Match{PathPrefix: "/" + name}, Service: service, Class: class, Keyless: keyless,
			DeadlineMs: int(deadline.Milliseconds()),
		}
	}
	b := &bundle.Bundle{
		Services: []bundle.Service{{Name: service}},
		Routes: []bundle.Route{
			route("lookup", bundle.ClassLookup, false), route("promote", bundle.ClassIrreversible, true),
			route("upload", bundle.ClassUpload, false),
		},
	}
	for added := max(1, version-min(version, addedRoutes)+1); added <= version; added++ {
		b.Routes = append(b.Routes, route(addedRoute(added), bundle.ClassLookup, false))
	}
	for n := range furtherRoutes {
		b.Routes = append(b.Routes, route(fmt.Sprintf("further-%d", n), bundle.ClassLookup, false))
	}
	bundle.Canonicalize(b)
	return b
}

// watchVersions polls the versions of all nodes until the context ends.
func (r *seedRun) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range r.deployment.nodes {
			r.observeVersion(ctx, n)
		}
		sleep(ctx, pollInterval)
	}
}

// observeVersion returns the version in force on a node, or 0 if the node does not respond. A version lower than one that
// was observed on the same incarnation of the node before the request is a violation. Observations may overlap, and the
// response to one may be older than that to another which ended before it.
func (r *seedRun) observeVersion(ctx context.Context, n *process) uint64 {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r.mu.Lock()
	before := maps.Clone(r.inForce)
	r.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.adminAddress+"/debug/dump", nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var dump struct {
		Incarnation, Version uint64
	}
	if json.NewDecoder(response.Body).Decode(&dump) != nil {
		return 0
	}
	instance := fmt.Sprintf("%s/%d", n.name, dump.Incarnation)
	r.mu.Lock()
	defer r.mu.Unlock()
	if dump.Version < before[instance] {
		r.recorder.reportViolation("%s went back from version %d to %d", n.name, before[instance], dump.Version)
	}
	r.inForce[instance] = max(r.inForce[instance], dump.Version)
	return dump.Version
}

func (r *seedRun) allInForce(version uint64) bool {
	for _, n := range r.deployment.nodes {
		if r.observeVersion(context.Background(), n) < version {
			return false
		}
	}
	return true
}

func (r *seedRun) describeVersions() string {
	var list []string
	for _, n := range r.deployment.nodes {
		list = append(list, fmt.Sprintf("%s: %d", n.name, r.observeVersion(context.Background(), n)))
	}
	return fmt.Sprintf("approved %d; %s", r.approved, strings.Join(list, ", "))
}
