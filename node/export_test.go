package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/coordination/forward"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/coordination/routing"
	"sapphiregate.example/sapphiregate/internal/clock"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/release"
)

// PutInForce activates a bundle that does not come from the distribution tree.
func (n *Node) PutInForce(approval bundle.Approval, b *bundle.Bundle) error {
	next, err := newSnapshot(time.Now(), approval, b, n.snapshot.Load(), n.fleet)
	if err != nil {
		return err
	}
	return n.control.Query(context.Background(), func(time.Time) {
		n.snapshot.Store(next)
		n.quotas.setTeams(b.Teams)
		n.executor.reconfigure()
	})
}

// Activate passes on a version that the distribution tree gives to the node.
func (n *Node) Activate(approval bundle.Approval, b *bundle.Bundle) error {
	return n.control.Query(context.Background(), func(now time.Time) {
		n.handleOutput(now, relay.Activate{Approval: approval, Bundle: b})
	})
}

// OwnRecord returns the endpoint record of the node's upstream.
func (n *Node) OwnRecord() (record endpoints.Record, ok bool) {
	_ = n.control.Query(context.Background(), func(time.Time) { record, ok = n.peer.Table().Get(n.id) })
	return record, ok && record.Service != ""
}

// CloseBefore is closeBefore.
var CloseBefore = closeBefore

// LongBodyBytes returns the memory that is reserved for long responses to irreversible calls.
func (n *Node) LongBodyBytes() int64 { return n.executor.longBodyBytes.Load() }

// Load returns the load of the node's upstream.
func (n *Node) Load() protocol.LoadReport { return n.executor.load() }

// MergeEndpoint merges a record into the endpoint table, like one from the distribution tree, and passes it to the
// balancer.
func (n *Node) MergeEndpoint(record endpoints.Record) error {
	return n.control.Query(context.Background(), func(now time.Time) {
		n.peer.Table().Merge([]endpoints.Record{record})
		n.changedIDs[record.ID] = true
		n.refreshEndpoints(now)
	})
}

// SetRollout passes a rollout on as one from the distribution tree.
func (n *Node) SetRollout(r release.Rollout) error {
	return n.control.Query(context.Background(), func(now time.Time) {
		n.handleOutput(now, relay.RolloutsChanged{Rollouts: []release.Rollout{r}})
	})
}

// ReleaseRule is the balancer's rule for a rollout.
var ReleaseRule = releaseRule

// Results returns the next report of the upstream's results; false if it has none.
func (n *Node) Results() (release.Results, bool) { return n.executor.results.report(n.executor) }

// RecallLeaving passes on what the parent knows of the upstream of a former process.
func (n *Node) RecallLeaving(leaving endpoints.UpstreamProcess) error {
	return n.control.Query(context.Background(), func(now time.Time) {
		n.handleOutput(now, relay.UpstreamLeaving{Upstream: leaving})
	})
}

// InFlight returns the number of calls that hold or wait for a slot.
func (n *Node) InFlight() int {
	n.executor.mu.Lock()
	defer n.executor.mu.Unlock()
	return len(n.executor.active)
}

// BlockRecording starts a background task that lasts until the node stops, like recording a response while the ledger
// is unreachable.
func (n *Node) BlockRecording() {
	n.executor.background.start(func() { <-n.executor.ctx.Done() })
}

// UpstreamServes reports whether the upstream beside the node takes calls.
func (n *Node) UpstreamServes() bool {
	n.executor.mu.Lock()
	defer n.executor.mu.Unlock()
	return n.executor.state == upstreamServing
}

// RequestsInFlight returns the number of callers' requests that were admitted and not answered yet.
func (n *Node) RequestsInFlight() int { return n.requests.count() }

// SetLinkMegabits sets the rate of the instance's link before the first call.
func (n *Node) SetLinkMegabits(rate float64) { n.executor.downloads = newDownloads(rate) }

// SetKeyLimits sets Options.KeyLimits.
func (n *Node) SetKeyLimits(limits KeyLimits) { n.options.KeyLimits = limits }

// SetConfirmedAge sets the time since the configuration was confirmed.
func (n *Node) SetConfirmedAge(age time.Duration) {
	at := clock.Now().Add(-age)
	n.confirmedAt.Store(&at)
}

// ReservedUploadBytes returns what uploads hold of the node's memory.
func (n *Node) ReservedUploadBytes() int64 { return n.uploads.reserved.Load() }

// ExcludedByAttempts starts attempts of a call, one for each element of endedAt, and then lets each end at that upstream, as
// if the upstream that it was sent to had returned the call. It returns what the attempts exclude before and after that.
func (n *Node) ExcludedByAttempts(service string, endedAt []string) (before, after [][]string) {
	c := &ingressCall{node: n, route: &routing.Route{Route: bundle.Route{Class: bundle.ClassLookup}}}
	c.metadata.Service = service
	f := &forwarder{call: c, plan: forward.New(forward.Config{Class: bundle.ClassLookup}), random: rand.NewPCG(1, 1)}
	var attempts []*attempt
	for range endedAt {
		started, ok := f.startAttempt(context.Background())
		if !ok {
			break
		}
		attempts = append(attempts, started)
		before = append(before, slices.Clone(started.request.Exclude))
	}
	for i, started := range attempts {
		f.tried[i] = endedAt[i]
		f.cancels[i]()
		after = append(after, started.request.Exclude)
	}
	return before, after
}

// BlockQuotaReply makes the request to the owner of the quotas, once it has ended, wait until unblock is called.
func (n *Node) BlockQuotaReply() (unblock func()) {
	n.quotas.mu.Lock()
	return n.quotas.mu.Unlock
}
