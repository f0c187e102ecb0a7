package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/release"
)

const (
	// resultsInterval is the time between two reports of results during a rollout. Verdicts are wanted within about a
	// second of the evidence.
	resultsInterval = 400 * time.Millisecond
	// maxReportedRoutes bounds the routes of one report.
	maxReportedRoutes = 256
	// staleShare is the part of Limits.RollbackWithin after which a node that hears nothing of a quorum assumes that a
	// running rollout may have been rolled back.
	staleShare = 0.5
)

// rolloutState is what the control goroutine knows of the rollouts of releases.
type rolloutState struct {
	byService map[string]release.Rollout
	rules     map[string]balance.ReleaseRule
	// reportedAt is the time of the last report of results.
	reportedAt time.Time
}

// observeRollouts takes the rollouts that have changed. It runs on the control goroutine.
func (n *Node) observeRollouts(changed []release.Rollout) {
	s := &n.rollouts
	for _, r := range changed {
		level := zerolog.InfoLevel
		if former, ok := s.byService[r.Service]; ok && former.Started == r.Started && former.State == r.State {
			level = zerolog.DebugLevel
		}
		s.byService[r.Service] = r
		n.logger.WithLevel(level).Str("service", r.Service).Str("release", r.Release).Str("state", string(r.State)).
			Int("share_permille", r.Share).Uint64("revision", r.Revision).Msg("rollout of a release")
	}
	published := maps.Clone(s.byService)
	n.executor.rollouts.Store(&published)
}

// applyRollouts gives the balancer its rules, and reports the results of the upstream beside this node while its service
// has a running rollout. It runs on the control goroutine after each batch of inputs.
func (n *Node) applyRollouts(now time.Time) {
	s := &n.rollouts
	if len(s.byService) == 0 {
		return
	}
	age, confirmed := n.peer.ConfirmedAge(now)
	stale := !confirmed || age > time.Duration(staleShare*float64(n.options.Limits.RollbackWithin))
	rules := make(map[string]balance.ReleaseRule, len(s.byService))
	for service, r := range s.byService {
		rules[service] = releaseRule(r, stale)
	}
	if !maps.Equal(rules, s.rules) {
		s.rules = rules
		n.balancer.SetReleaseRules(rules)
		n.refreshAll = true
	}
	if now.Sub(s.reportedAt) >= resultsInterval {
		if results, ok := n.executor.results.report(n.executor); ok {
			s.reportedAt = now
			n.peer.ReportResults(now, results)
		}
	}
}

// releaseRule returns the balancer's rule for a rollout. A release that was rolled back while this node was cut off must
// get no calls, so that a node without a recent confirmation gives a running one none. A release that had all calls keeps
// them: more likely it was completed, and the others have stopped.
func releaseRule(r release.Rollout, stale bool) balance.ReleaseRule {
	rule := balance.ReleaseRule{Release: r.Release, Focus: r.Focus}
	switch {
	case r.State == release.Completed:
		rule.Share, rule.Focus = 1, 0
	case r.State == release.RolledBack, stale && r.Share < release.FullShare:
		rule.Forbidden, rule.Focus = true, 0
	default:
		rule.Share = float64(r.Share) / release.FullShare
	}
	return rule
}

// rolloutOf returns the rollout of a service, if there is one.
func (e *executor) rolloutOf(service string) (release.Rollout, bool) {
	known := e.rollouts.Load()
	if known == nil {
		return release.Rollout{}, false
	}
	r, ok := (*known)[service]
	return r, ok
}

// isRolledBack reports whether the release of an upstream was rolled back.
func (e *executor) isRolledBack(a *Announcement) bool {
	r, ok := e.rolloutOf(a.Service)
	return ok && r.State == release.RolledBack && r.Release == a.Release
}

// resultCounter counts the results of the calls that the upstream beside this node has run during a rollout.
type resultCounter struct {
	mu sync.Mutex
	// started is the log index of the rollout's order.
	started  uint64
	release  string
	sequence uint64
	routes   map[string]*release.RouteResults
}

// observe counts a call that the upstream has run. The time of a call counts only while the upstream is not slow because
// of its start.
func (c *resultCounter) observe(e *executor, meta *protocol.CallMetadata, reply *callReply) {
	r, ok := e.rolloutOf(meta.Service)
	if !ok || r.State != release.Running || reply.metadata.Outcome == protocol.OutcomeNotRun {
		return
	}
	failed := reply.failedByUpstream()
	if reply.metadata.Outcome == protocol.OutcomeUnknown {
		failed = reply.metadata.Reason == protocol.ReasonUpstreamFailed || reply.metadata.Reason == protocol.ReasonTruncated
		if !failed && reply.abandonedAfter == 0 {
			return
		}
	}
	announced, warm := e.announced()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetFor(r, announced.Release)
	counted := c.routes[meta.Route]
	if counted == nil {
		if len(c.routes) >= maxReportedRoutes {
			return
		}
		counted = &release.RouteResults{Route: meta.Route}
		c.routes[meta.Route] = counted
	}
	if reply.metadata.Outcome != protocol.OutcomeUnknown || failed {
		counted.Calls++
	}
	if failed {
		counted.Failures++
	}
	if elapsed := max(reply.metadata.UpstreamTime, reply.abandonedAfter); warm && !failed && elapsed > 0 {
		counted.AddTime(elapsed)
	}
}

// resetFor begins to count anew for another rollout, or for an upstream of another release. The caller holds c.mu.
func (c *resultCounter) resetFor(r release.Rollout, name string) {
	if c.routes == nil || c.started != r.Started || c.release != name {
		c.started, c.release, c.routes = r.Started, name, make(map[string]*release.RouteResults)
	}
}

// report returns the results for the control members; false if the upstream's service has no running rollout.
func (c *resultCounter) report(e *executor) (release.Results, bool) {
	announced, _ := e.announced()
	r, ok := e.rolloutOf(announced.Service)
	if !ok || r.State != release.Running {
		return release.Results{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetFor(r, announced.Release)
	c.sequence++
	results := release.Results{
		Node: e.id, Incarnation: e.incarnation, Sequence: c.sequence, Service: announced.Service, Release: announced.Release,
		InFlight: e.callsInFlight(),
	}
	for _, counted := range c.routes {
		route := *counted
		route.Times = slices.Clone(counted.Times)
		results.Routes = append(results.Routes, route)
	}
	return results, true
}

// announced returns the announcement of the upstream, which is zero before the first one, and whether it is warm.
func (e *executor) announced() (a Announcement, warm bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upstream == nil {
		return Announcement{}, false
	}
	return e.upstream.announcement, !time.Now().Before(e.warmup.until)
}
