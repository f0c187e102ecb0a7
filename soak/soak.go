// Package soak runs the real programs as separate processes on loopback, injects faults from outside them by a seeded
// schedule, and checks what callers, upstreams and operators see. See docs/soak.md.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

const (
	// startTimeout bounds the forming of the group and the first version.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the promise for the time after the last fault: service is back and new versions are in force.
	recoveryTimeout = 15 * time.Second
	// callTimeout bounds one request of a caller.
	callTimeout = 3 * time.Second
	callers     = 6
	callPause   = 25 * time.Millisecond
	// changePause is the time between two changes of the configuration.
	changePause = 700 * time.Millisecond
	// historyLimit is more than the versions of the longest seed: 20 s of faults and 15 s of recovery at lookPause.
	historyLimit = 1000
	// lookPause is the time between two looks at the versions of the nodes.
	lookPause = 100 * time.Millisecond
)

// Options set up a run of one seed.
type Options struct {
	// Binary is the path of the daemon.
	Binary string
	Seed   uint64
	// Faults is the time for which faults are injected.
	Faults time.Duration
}

// Result is the result of one seed.
type Result struct {
	Seed     uint64
	Sent     int
	Served   int
	Approved uint64
	Recovery time.Duration
	Broken   []string
	Timeline []event
	// Folder holds the logs. It is removed if no promise was broken.
	Folder string
}

// Run plays one seed. The error tells that the run could not be judged; broken promises are in the report.
func Run(ctx context.Context, options Options) (Result, error) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", options.Seed))
	if err != nil {
		return Result{}, errors.Wrap(err, "soak: create a folder")
	}
	report := Result{Seed: options.Seed, Folder: folder}
	seen := newHistory()
	d, err := newDeployment(options.Binary, folder, seen)
	if err != nil {
		return report, err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return report, err
	}
	r := &run{deployment: d, seen: seen, inForce: make(map[string]uint64), acknowledged: make(map[uint64]bundle.Digest)}
	if err := r.connect(); err != nil {
		return report, err
	}
	if !r.await(ctx, startTimeout, func() bool { return r.change(ctx) && r.allInForce(r.approved) }) {
		report.Timeline = seen.timeline
		return report, errors.Newf("soak: the deployment did not start within %v; logs are in %s", startTimeout, folder)
	}
	d.formed()
	report.Recovery = r.play(ctx, options)
	seen.settle()
	report.Sent, report.Served, report.Approved = seen.sent, seen.served, r.approved
	report.Broken, report.Timeline = seen.broken, seen.timeline
	if len(report.Broken) == 0 {
		return report, errors.Wrap(os.RemoveAll(folder), "soak: remove the logs")
	}
	return report, nil
}

// run is one seed in progress.
type run struct {
	deployment *deployment
	seen       *history
	operator   *operator.Client
	// next and approved are the last version that was sent and the last one that was acknowledged.
	next, approved uint64
	// acknowledged holds the digest of each acknowledged version.
	acknowledged map[uint64]bundle.Digest
	// waiting is set while the last version that was sent has no acknowledgement.
	waiting bool
	// inForce is the greatest version seen of each process, by name and life.
	mu      sync.Mutex
	inForce map[string]uint64
}

func (r *run) connect() error {
	var addresses []string
	for _, m := range r.deployment.members {
		addresses = append(addresses, m.admin)
	}
	var err error
	r.operator, err = operator.NewClient(operator.ClientConfig{
		Addresses: addresses, AttemptTimeout: time.Second, Rounds: 1,
	})
	return errors.Wrap(err, "soak: connect to the operator API")
}

// play injects faults under load and returns the time to recover after the last one.
func (r *run) play(ctx context.Context, options Options) time.Duration {
	load, stopLoad := context.WithCancel(ctx)
	var background sync.WaitGroup
	for c := range callers {
		background.Go(func() { r.call(load, c) })
	}
	background.Go(func() { r.watch(load) })
	changes, stopChanges := context.WithCancel(ctx)
	var changing sync.WaitGroup
	changing.Go(func() {
		for changes.Err() == nil {
			r.change(changes)
			pause(changes, changePause)
		}
	})
	faults, stopFaults := context.WithTimeout(ctx, options.Faults)
	newInjector(r.deployment, r.seen, options.Seed).run(faults)
	stopFaults()
	r.seen.note("the last fault has ended")
	healed := time.Now()
	stopChanges()
	changing.Wait()
	if !r.await(ctx, recoveryTimeout, func() bool { return r.change(ctx) && r.allInForce(r.approved) }) {
		r.seen.breach("no new version was in force on all nodes %v after the last fault (%s)", recoveryTimeout, r.versions())
	}
	r.checkHistory(ctx)
	before := r.seen.servedCount()
	if !r.await(ctx, recoveryTimeout, func() bool { return r.seen.servedCount() >= before+callers }) {
		r.seen.breach("callers were not served again within %v", recoveryTimeout)
	}
	recovery := time.Since(healed)
	stopLoad()
	background.Wait()
	return recovery
}

func (r *run) await(ctx context.Context, limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, lookPause) {
		if done() {
			return true
		}
	}
	return false
}

// checkHistory looks for acknowledged versions that the group has lost or that have another content.
func (r *run) checkHistory(ctx context.Context) {
	var answer operator.HistoryResponse
	read := func() bool {
		var err error
		answer, err = r.operator.History(ctx, operator.HistoryRequest{Limit: historyLimit})
		return err == nil
	}
	if !r.await(ctx, recoveryTimeout, read) {
		r.seen.breach("the history was not readable within %v", recoveryTimeout)
		return
	}
	for _, version := range lost(r.acknowledged, answer.Records) {
		r.seen.breach("version %d was acknowledged and is lost", version)
	}
}

// lost returns the acknowledged versions that no record of an approval with their digest confirms.
func lost(acknowledged map[uint64]bundle.Digest, records []registry.HistoryRecord) []uint64 {
	confirmed := make(map[uint64]bundle.Digest)
	for _, record := range records {
		if record.Action == registry.ActionApproved {
			confirmed[record.Version] = record.Digest
		}
	}
	var missing []uint64
	for _, version := range slices.Sorted(maps.Keys(acknowledged)) {
		if confirmed[version] != acknowledged[version] {
			missing = append(missing, version)
		}
	}
	return missing
}

// change approves the next version, and reports whether that was acknowledged. A version without an answer is sent again.
func (r *run) change(ctx context.Context) bool {
	if r.next == r.approved {
		r.next++
	}
	update, err := bundle.Complete(configuration(r.next))
	if err != nil {
		r.seen.breach("the configuration cannot be split: %v", err)
		return false
	}
	encoded, err := registry.EncodeUpdate(update)
	if err != nil {
		r.seen.breach("the configuration cannot be encoded: %v", err)
		return false
	}
	id := fmt.Sprintf("change-%d", r.next)
	_, err = r.operator.Stage(ctx, operator.StageRequest{
		RequestID: id + "-stage", Operator: operatorName, Version: r.next, Digest: update.Target, Update: encoded,
	})
	if err == nil {
		approval := bundle.Approval{Version: r.next, Digest: update.Target, Operator: operatorName}
		_, err = r.operator.Approve(ctx, operator.ApproveRequest{
			RequestID: id, Approval: bundle.Sign(r.deployment.key.Key, approval),
		})
	}
	if err != nil {
		if !r.waiting {
			r.seen.note("version %d has no acknowledgement: %v", r.next, err)
		}
		r.waiting = true
		return false
	}
	if r.waiting {
		r.seen.note("version %d is acknowledged", r.next)
	}
	r.approved, r.waiting = r.next, false
	r.acknowledged[r.next] = update.Target
	return true
}

func configuration(version uint64) *bundle.Bundle {
	route := func(name string, class bundle.Class, keyless bool) bundle.Route {
		return bundle.Route{
			Name: name, Match: bundle.Match{PathPrefix: "/" + name}, Service: service, Class: class, Keyless: keyless,
			DeadlineMs: 2000,
		}
	}
	b := &bundle.Bundle{
		Services: []bundle.Service{{Name: service}},
		Routes: []bundle.Route{
			route("lookup", bundle.ClassLookup, false), route("promote", bundle.ClassIrreversible, true),
			route(fmt.Sprintf("version-%d", version), bundle.ClassLookup, false),
		},
	}
	bundle.Canonicalize(b)
	return b
}

// call sends requests through the nodes in turn, each with an attempt of its own.
func (r *run) call(ctx context.Context, caller int) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		kind, path := "l", "/lookup"
		if n%3 == 0 {
			kind, path = "p", "/promote"
		}
		node := r.deployment.nodes[(caller+n)%nodeCount]
		r.send(ctx, client, node, path, fmt.Sprintf("%s-%d-%d", kind, caller, n))
		pause(ctx, callPause)
	}
}

func (r *run) send(ctx context.Context, client *http.Client, node *program, path, attempt string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.callers+path, strings.NewReader(attempt))
	if err != nil {
		r.seen.breach("request %s cannot be made: %v", attempt, err)
		return
	}
	request.Header.Set(headerAttempt, attempt)
	request.GetBody = nil // The client itself must not send a request twice.
	response, err := client.Do(request)
	if err != nil {
		return // The node is down or paused; what its upstream saw still counts.
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return // The answer is cut, and the caller knows it.
	}
	r.seen.answered(attempt, response, body)
}

// watch checks that no process goes back to an earlier version.
func (r *run) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range r.deployment.nodes {
			r.version(ctx, n)
		}
		pause(ctx, lookPause)
	}
}

// version returns the version in force on a node; 0 if it does not answer.
func (r *run) version(ctx context.Context, n *program) uint64 {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.admin+"/debug/dump", nil)
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
	life := fmt.Sprintf("%s/%d", n.name, dump.Incarnation)
	r.mu.Lock()
	defer r.mu.Unlock()
	if dump.Version < r.inForce[life] {
		r.seen.breach("%s went back from version %d to %d", n.name, r.inForce[life], dump.Version)
	}
	r.inForce[life] = max(r.inForce[life], dump.Version)
	return dump.Version
}

func (r *run) allInForce(version uint64) bool {
	for _, n := range r.deployment.nodes {
		if r.version(context.Background(), n) < version {
			return false
		}
	}
	return true
}

func (r *run) versions() string {
	var list []string
	for _, n := range r.deployment.nodes {
		list = append(list, fmt.Sprintf("%s: %d", n.name, r.version(context.Background(), n)))
	}
	return fmt.Sprintf("approved %d; %s", r.approved, strings.Join(list, ", "))
}
