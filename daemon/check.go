package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"sapphiregate.example/sapphiregate/experiment"
	"sapphiregate.example/sapphiregate/experiment/standin"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Limits of dev --check.
const (
	checkLookups      = 200
	checkIrreversible = 20
	checkTimeout      = 20 * time.Second
	// checkConcurrency is the number of calls in flight. It is well below the number of slots in every profile, so that no
	// call is refused for lack of slots.
	checkConcurrency = 8
	// checkProgressInterval is the number of calls between two lines about the progress.
	checkProgressInterval = 50
	checkPollInterval     = 200 * time.Microsecond
	// checkStagingDelay is the time between staging and approval, in which the nodes receive the parts of the bundle. An
	// operator leaves some time between the two as well.
	checkStagingDelay = 200 * time.Millisecond
)

// errCheck means that dev --check found a fault.
var errCheck = errors.New("daemon: check failed")

// check sends calls, approves one version and prints the results. It fails with errCheck on the first fault that it
// finds in the calls, the approval or the invariants.
func (d *devDeployment) check(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	lookup, irreversible := d.exampleRoutes()
	if err := d.checkLookups(ctx, out, lookup); err != nil {
		return err
	}
	if err := d.checkIrreversible(ctx, out, irreversible); err != nil {
		return err
	}
	if err := d.checkApproval(ctx, out); err != nil {
		return err
	}
	for name, count := range invariant.Counts() {
		if count > 0 {
			return errors.Wrapf(errCheck, "invariant %s was violated %d times", name, count)
		}
	}
	fmt.Fprintln(out, "Invariants: none violated.")
	return nil
}

// checkLookups sends lookups through all nodes in turn; every one has to succeed.
func (d *devDeployment) checkLookups(ctx context.Context, out io.Writer, route bundle.Route) error {
	err := callConcurrently(ctx, out, "lookups", checkLookups, func(ctx context.Context, i int) error {
		node := d.spec.Nodes[i%len(d.spec.Nodes)]
		response, err := d.send(ctx, node.ID, route, uuid.NewString(), "")
		if err != nil {
			return err
		}
		if response.outcome != protocol.OutcomeDone {
			return errors.Wrapf(errCheck, "lookup through %s: outcome %q, %s", node.ID, response.outcome, response.reason)
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "Lookups: %d of %d got a complete response.\n", checkLookups, checkLookups)
	return nil
}

// callConcurrently runs call for 0 to count-1, at most checkConcurrency at a time, and prints the progress. It returns
// the first error.
func callConcurrently(
	ctx context.Context, out io.Writer, callKind string, count int, call func(ctx context.Context, i int) error,
) error {
	var done atomic.Int64
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(checkConcurrency)
	for i := range count {
		group.Go(func() error {
			if err := call(ctx, i); err != nil {
				return err
			}
			if made := done.Add(1); made%checkProgressInterval == 0 {
				fmt.Fprintf(out, "... %d of %d %s\n", made, count, callKind)
			}
			return nil
		})
	}
	return group.Wait()
}

// checkIrreversible sends each request twice with the same key through different nodes. Both have to get the same
// response, and the upstreams have to run the request once.
func (d *devDeployment) checkIrreversible(ctx context.Context, out io.Writer, route bundle.Route) error {
	err := callConcurrently(ctx, out, "irreversible calls", checkIrreversible, func(ctx context.Context, i int) error {
		request, key := uuid.NewString(), uuid.Must(uuid.NewV7()).String()
		var bodies []string
		for attempt := range 2 {
			node := d.spec.Nodes[(i+5*attempt)%len(d.spec.Nodes)]
			response, err := d.send(ctx, node.ID, route, request, key)
			if err != nil {
				return err
			}
			if response.outcome != protocol.OutcomeDone {
				return errors.Wrapf(errCheck, "irreversible call: outcome %q, %s", response.outcome, response.reason)
			}
			bodies = append(bodies, response.body)
		}
		if bodies[0] != bodies[1] {
			return errors.Wrapf(errCheck, "a resent request got another response than the first one")
		}
		if runs := d.countRuns(request); runs != 1 {
			return errors.Wrapf(errCheck, "an irreversible request ran %d times", runs)
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "Irreversible calls: %d sent twice each; each ran once and both requests got the same response.\n",
		checkIrreversible)
	return nil
}

// countRuns returns how often the upstreams ran a request.
func (d *devDeployment) countRuns(request string) int {
	count := 0
	for _, run := range d.truth.Runs() {
		if run.Request == request {
			count++
		}
	}
	return count
}

// checkApproval approves a second version and measures the time until it is in force on every node.
func (d *devDeployment) checkApproval(ctx context.Context, out io.Writer) error {
	changed, err := bundle.Load(d.bundlePath)
	if err != nil {
		return err
	}
	changed.Routes[0].DeadlineMs++
	update, err := bundle.FullUpdate(changed)
	if err != nil {
		return err
	}
	signed := experiment.Signed{
		Bundle: changed, Approval: bundle.Approval{Version: 2, Digest: update.Target, Operator: devOperator},
	}
	leader, _ := d.local.Leader()
	totalBefore, crossBefore := d.local.ControlBytes()
	if verdict, err := d.local.Stage(ctx, leader, signed); err != nil || !verdict.Accepted {
		return errors.Wrapf(errCheck, "bundle was not staged: %s %v", verdict.Reason, err)
	}
	time.Sleep(checkStagingDelay)
	approvedAt := time.Now()
	verdict, err := d.local.Approve(ctx, leader, signed)
	if err != nil || !verdict.Accepted {
		return errors.Wrapf(errCheck, "approval was not accepted: %s %v", verdict.Reason, err)
	}
	last, err := d.waitVersion(ctx, signed.Approval.Version)
	if err != nil {
		return err
	}
	total, cross := d.local.ControlBytes()
	fmt.Fprintf(out, "Approval: version 2 in force on %d proxies %.1f ms after the approval; %d control bytes, %d across "+
		"zones, from staging until then.\n", len(d.spec.Nodes), float64(last.Sub(approvedAt).Microseconds())/1000,
		total-totalBefore, cross-crossBefore)
	return nil
}

// waitVersion waits until a version or a later one is in force on every node and returns the time at which the last
// node put it into force.
func (d *devDeployment) waitVersion(ctx context.Context, version uint64) (time.Time, error) {
	var last time.Time
	for _, node := range d.spec.Nodes {
		for {
			applied, ok := d.local.InForce(node.ID)
			if ok && applied.Version >= version {
				if applied.At.After(last) {
					last = applied.At
				}
				break
			}
			if ctx.Err() != nil {
				return last, errors.Wrapf(errCheck, "version %d is not in force on %s", version, node.ID)
			}
			time.Sleep(checkPollInterval)
		}
	}
	return last, nil
}

// checkResponse holds the parts of a response that the checks compare.
type checkResponse struct {
	outcome protocol.Outcome
	reason  string
	body    string
}

// send calls a route through a node. The key is the idempotency key; it is empty for classes that need none.
func (d *devDeployment) send(
	ctx context.Context, node string, route bundle.Route, request, key string,
) (checkResponse, error) {
	method := http.MethodGet
	if len(route.Match.Methods) > 0 {
		method = route.Match.Methods[0]
	}
	url := "http://" + d.local.Address(node).HTTP + route.Match.PathPrefix
	outgoing, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(""))
	if err != nil {
		return checkResponse{}, err
	}
	outgoing.Host = route.Match.Host
	for name, value := range route.Match.Headers {
		outgoing.Header.Set(name, value)
	}
	outgoing.Header.Set(standin.HeaderRequest, request)
	outgoing.Header.Set(standin.HeaderAttempt, uuid.NewString())
	outgoing.Header.Set(standin.HeaderClass, string(route.Class))
	if key != "" {
		outgoing.Header.Set(protocol.HeaderIdempotencyKey, key)
	}
	response, err := http.DefaultClient.Do(outgoing)
	if err != nil {
		return checkResponse{}, errors.Wrapf(errCheck, "%v", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return checkResponse{}, errors.Wrapf(errCheck, "response ended early: %v", err)
	}
	return checkResponse{
		outcome: protocol.Outcome(response.Header.Get(protocol.HeaderOutcome)),
		reason:  response.Header.Get(protocol.HeaderReason), body: string(body),
	}, nil
}
