package node

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"

	"sapphiregate.example/sapphiregate/coordination/admission"
	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/coordination/retry"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/release"
)

// Explanation tells where a request would go at this moment, and why. The request is not sent, and counts nowhere.
type Explanation struct {
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Version uint64 `json:"version"`
	// Refused is why the request would be refused; empty if it would be sent to Target.
	Refused protocol.Reason `json:"refused,omitempty"`
	// Status and RetryAfterMs are those of the refusal. RetryAfterMs has a random part.
	Status       int             `json:"status,omitempty"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	Route        *ExplainedRoute `json:"route,omitempty"`
	Team         *ExplainedTeam  `json:"team,omitempty"`
	// Service is the service whose turn it is; Split lists all services of the route with their weights.
	Service string         `json:"service,omitempty"`
	Split   []bundle.Share `json:"split,omitempty"`
	// Rollout is the latest rollout of the service, and ReleaseRule what this node makes of it.
	Rollout     *release.Rollout      `json:"rollout,omitempty"`
	ReleaseRule *ExplainedReleaseRule `json:"release_rule,omitempty"`
	// Target is the ID of the upstream that would be taken now.
	Target     string               `json:"target,omitempty"`
	Candidates []ExplainedCandidate `json:"candidates,omitempty"`
	// OwnUpstream is set if the upstream beside this node has the service.
	OwnUpstream *ExplainedUpstream `json:"own_upstream,omitempty"`
}

// ExplainedRoute is the route that matches the request.
type ExplainedRoute struct {
	Name       string       `json:"name"`
	Class      bundle.Class `json:"class"`
	DeadlineMs int          `json:"deadline_ms"`
	TargetMs   int          `json:"target_ms,omitempty"`
}

// ExplainedTeam is the caller's team. Quota is empty if the team has none.
type ExplainedTeam struct {
	Name              string  `json:"name"`
	Priority          int     `json:"priority,omitempty"`
	Quota             string  `json:"quota,omitempty"`
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Burst             float64 `json:"burst,omitempty"`
	InHand            int     `json:"tokens_in_hand"`
}

// quotaAsksOwner is a value of ExplainedTeam.Quota besides those of the label "decision": the owner of the accounts would
// decide.
const quotaAsksOwner = "asks-owner"

// ExplainedReleaseRule is the share of the calls that a release gets from this node.
type ExplainedReleaseRule struct {
	Release   string  `json:"release"`
	Share     float64 `json:"share"`
	Forbidden bool    `json:"forbidden,omitempty"`
}

// ExplainedCandidate is an upstream of the service. RuledOut is empty if it may get the call.
type ExplainedCandidate struct {
	ID       string           `json:"id"`
	Zone     string           `json:"zone"`
	State    string           `json:"state"`
	Release  string           `json:"release,omitempty"`
	RuledOut balance.Obstacle `json:"ruled_out,omitempty"`
	// Odds is the share of such requests that would go to the upstream now.
	Odds  float64 `json:"odds"`
	Slots int     `json:"slots"`
	// Load is the expected number of calls per slot, with the request.
	Load  float64 `json:"load"`
	Speed float64 `json:"speed"`
	// ServiceMs is the expected service time of a call of any route, ResponseMs the expected time until the response to the
	// request, with its wait and the way.
	ServiceMs  float64 `json:"service_ms"`
	ResponseMs float64 `json:"response_ms"`
}

// ExplainedUpstream is what the upstream beside the node would do with the request: one of the upstream* decisions.
type ExplainedUpstream struct {
	Decision string `json:"decision"`
	// Reason is why it would refuse the request, WaitMs the expected time until it would start it.
	Reason protocol.Reason `json:"reason,omitempty"`
	WaitMs float64         `json:"wait_ms,omitempty"`
	// RetryAfterMs is what a caller would be told whose request no other upstream takes. It has a random part.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	Slots        int   `json:"slots"`
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
}

// Decisions of ExplainedUpstream.
const (
	upstreamRuns    = "run"
	upstreamWaits   = "wait"
	upstreamReturns = "return" // to the ingress, for another upstream
	upstreamRefuses = "refuse"
)

// explainKey stands for the key of the request: callers choose a new one each time.
const explainKey = "explain"

func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	target, err := url.ParseRequestURI(query.Get("path"))
	if err != nil || !strings.HasPrefix(query.Get("path"), "/") {
		http.Error(w, "path must be the path of a URL", http.StatusBadRequest)
		return
	}
	request := &http.Request{
		Method: query.Get("method"), Host: query.Get("host"), URL: target, RequestURI: query.Get("path"),
		Header: http.Header{protocol.HeaderIdempotencyKey: {explainKey}},
	}
	current := n.snapshot.Load()
	if team := query.Get("team"); team != "" && (current == nil || current.teamNamed(team) == nil) {
		http.Error(w, "no team of this name has a key in the configuration in force", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the connection is closed.
	_ = json.NewEncoder(w).Encode(n.explain(request, query.Get("team")))
}

// explain decides about a request like ServeHTTP, up to the point at which it would be sent. Nothing is counted, charged
// or reserved.
func (n *Node) explain(r *http.Request, team string) *Explanation {
	x := &Explanation{Node: n.id, Zone: n.options.Zone, Version: n.Version()}
	if reason := n.requests.peek(); reason != protocol.ReasonNone {
		return x.refuse(reason, retry.Refusal{})
	}
	call, reason := n.match(time.Now(), r)
	if call != nil {
		x.Version = call.snapshot.version
	}
	if reason != protocol.ReasonNone {
		return x.refuse(reason, retry.Refusal{})
	}
	x.Route = &ExplainedRoute{
		Name: call.route.Name, Class: call.route.Class, DeadlineMs: call.route.DeadlineMs, TargetMs: call.route.TargetMs,
	}
	x.Split = call.route.Split
	call.team = call.snapshot.teamNamed(team)
	if reason := call.check(r, call.policy.allowsCall, call.policy.split.Peek); reason != protocol.ReasonNone {
		return x.refuse(reason, retry.Refusal{})
	}
	if reason := call.checkQuarantine(); reason != protocol.ReasonNone {
		return x.refuse(reason, call.refusal(protocol.LoadReport{}))
	}
	x.Service = call.metadata.Service
	quotaReason := x.explainQuota(call)
	x.explainPlacing(call)
	if quotaReason != protocol.ReasonNone {
		x.Target = ""
		x.refuse(quotaReason, call.refusal(protocol.LoadReport{}))
		x.RetryAfterMs = call.quotaRetryAfter.Milliseconds()
	}
	return x
}

func (x *Explanation) refuse(reason protocol.Reason, refusal retry.Refusal) *Explanation {
	x.Refused, x.Status = reason, refusalStatusCode(reason)
	after, _ := retryAfter(reason, x.Status, refusal)
	x.RetryAfterMs = after.Milliseconds()
	return x
}

// explainQuota describes the call's team, and returns why its quota refuses the call.
func (x *Explanation) explainQuota(c *ingressCall) protocol.Reason {
	if c.team == nil {
		return protocol.ReasonNone
	}
	x.Team = &ExplainedTeam{
		Name: c.team.Name, Priority: c.team.Priority, RequestsPerSecond: c.team.RequestsPerSecond, Burst: c.team.Burst,
	}
	if c.team.RequestsPerSecond == 0 {
		return protocol.ReasonNone
	}
	q := c.node.quotas
	for _, held := range q.status() {
		if held.Team == c.team.Name {
			x.Team.InHand = held.InHand
		}
	}
	decision, lost := q.peek(c.team.Name)
	switch {
	case decision.Verdict == quota.Allowed:
		x.Team.Quota = quotaAllowed
	case decision.Verdict == quota.OverQuota:
		x.Team.Quota = quotaRefused
		c.quotaRetryAfter = spread(decision.RetryAfter)
		return protocol.ReasonQuota
	case !lost:
		x.Team.Quota = quotaAsksOwner
	case q.hasReserve(c.team.Name):
		x.Team.Quota = quotaReserved
	default:
		x.Team.Quota = quotaUnknown
		c.quotaRetryAfter = spread(quotaLostRetryAfter)
		return protocol.ReasonQuotaUnknown
	}
	return protocol.ReasonNone
}

// explainPlacing describes the upstreams of the call's service and which of them it would go to.
func (x *Explanation) explainPlacing(c *ingressCall) {
	n := c.node
	if rollout, ok := n.executor.rolloutOf(x.Service); ok {
		x.Rollout = &rollout
	}
	now := time.Now()
	request := c.balancerRequest(nil, protocol.ReasonNone)
	request.Rand = rand.NewPCG(rand.Uint64(), rand.Uint64())
	placing := n.balancer.Explain(now, request)
	if rule := placing.Rule; rule != nil {
		x.ReleaseRule = &ExplainedReleaseRule{Release: rule.Release, Share: rule.Share, Forbidden: rule.Forbidden}
	}
	for _, e := range placing.Endpoints {
		x.Candidates = append(x.Candidates, explainedCandidate(e))
	}
	x.Target = placing.Chosen
	x.explainOwnUpstream(c, now, request)
	switch {
	case x.Target == "":
		x.refuse(protocol.ReasonNoUpstream, c.refusal(protocol.LoadReport{}))
	case x.Target == n.id && x.OwnUpstream != nil && x.OwnUpstream.Decision == upstreamRefuses:
		next := n.balancer.Explain(now, c.balancerRequest([]string{n.id}, x.OwnUpstream.Reason))
		if x.Target = next.Chosen; next.Chosen == "" || next.Chosen == n.id {
			x.Target = ""
			x.refuse(x.OwnUpstream.Reason, c.refusal(n.executor.load()))
		}
	}
}

func explainedCandidate(e balance.ExplainedEndpoint) ExplainedCandidate {
	candidate := ExplainedCandidate{
		ID: e.ID, Zone: e.Zone, State: "serving", Release: e.Release, RuledOut: e.Obstacle, Odds: e.Odds, Slots: e.Slots,
		Load: e.Load, Speed: e.Speed, ServiceMs: milliseconds(e.Latency), ResponseMs: milliseconds(e.ResponseTime),
	}
	if e.Suspect {
		candidate.State = "suspect"
	}
	return candidate
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// explainOwnUpstream describes what the upstream beside this node would do with the call, if it has the call's service.
func (x *Explanation) explainOwnUpstream(c *ingressCall, now time.Time, request balance.Request) {
	e := c.node.executor
	if e.localService() != x.Service {
		return
	}
	meta := c.metadata
	meta.TargetRemaining, meta.Exclusive = c.timeUntilTarget(), c.exclusive
	meta.ReturnIfBusy = c.mayReturn(0, request)
	x.OwnUpstream = e.preview(now, &meta, c.node.callDeadline(c.deadline))
	if x.OwnUpstream.Decision == upstreamRefuses {
		reason := x.OwnUpstream.Reason
		after, _ := retryAfter(reason, refusalStatusCode(reason), c.refusal(e.load()))
		x.OwnUpstream.RetryAfterMs = after.Milliseconds()
	}
}

// preview describes what admit would do with a call now.
func (e *executor) preview(now time.Time, meta *protocol.CallMetadata, deadline time.Time) *ExplainedUpstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.queue.Load()
	x := &ExplainedUpstream{Slots: load.Slots, Running: load.InFlight, Waiting: load.Queued}
	if reason := e.unavailableReason(meta); reason != protocol.ReasonNone {
		x.Decision, x.Reason = upstreamRefuses, reason
		return x
	}
	ticket := ticketOf(now, meta, deadline)
	if e.returnsCall(now, meta, ticket) {
		x.Decision = upstreamReturns
		return x
	}
	verdict, wait := e.queue.Preview(now, ticket)
	switch verdict.Action {
	case admission.Run:
		x.Decision = upstreamRuns
	case admission.Wait:
		x.Decision, x.WaitMs = upstreamWaits, milliseconds(wait)
	default:
		x.Decision, x.Reason = upstreamRefuses, shedReason(e.ctx, verdict.Reason)
	}
	return x
}
