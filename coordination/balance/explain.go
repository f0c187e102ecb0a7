package balance

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// explainDraws is the number of picks from which Explain computes the odds. Even a share of 1% shows up in so many.
const explainDraws = 1000

// Obstacle is why an endpoint does not receive a call.
type Obstacle string

// Obstacles.
const (
	NoObstacle Obstacle = ""
	// Suspended endpoints are on an instance that does not respond.
	Suspended Obstacle = "suspended"
	// Excluded endpoints were tried already.
	Excluded Obstacle = "excluded"
	// Ejected endpoints have failed connections.
	Ejected Obstacle = "ejected"
	// NotServing endpoints are suspect while others serve.
	NotServing Obstacle = "suspect"
	// OtherRelease endpoints are not those to which the rule of a rollout assigns the call.
	OtherRelease Obstacle = "release"
	// OtherZone endpoints are in a zone that is not worth the way, or expected to answer later than the chosen one.
	OtherZone Obstacle = "zone"
)

// Explanation describes what Pick would select, and why.
type Explanation struct {
	// Chosen is the ID of the endpoint that the next Pick would select; empty if there is none.
	Chosen string
	// Rule is the rule of a rollout; nil if there is none.
	Rule *ReleaseRule
	// Endpoints lists the serving and suspect endpoints of the service, sorted by ID.
	Endpoints []ExplainedEndpoint
}

// ExplainedEndpoint describes one endpoint with regard to a call.
type ExplainedEndpoint struct {
	EndpointStatus
	Release string
	// ResponseTime is the expected time until the response, including the round trip between zones.
	ResponseTime time.Duration
	// Odds is the share of such calls that would go to the endpoint now.
	Odds float64
	// Obstacle is why the endpoint gets none of them. It is empty if others are merely expected to be better.
	Obstacle Obstacle
}

// Explain returns what Pick would select for a call, with the same code. It counts no call and takes no turn.
func (b *Balancer) Explain(now time.Time, r Request) Explanation {
	s := b.snapshot.Load()
	if s == nil || s.services[r.Service] == nil {
		return Explanation{}
	}
	whole := s.services[r.Service]
	if r.Rand == nil {
		// With a copy of the state, the next Pick still gets the random numbers that were used here.
		var state atomic.Uint64
		state.Store(b.randomState.Load())
		r.Rand = (*counterSource)(&state)
	}
	var first picker
	var chosen *endpoint
	taken := make(map[*endpoint]int)
	turns := make(map[*group]uint64)
	for draw := range explainDraws {
		p := picker{config: &b.config, service: whole, request: &r, now: now.Sub(s.epoch), turns: turns}
		e := p.pickByRelease()
		if draw == 0 {
			first, chosen = p, e
		}
		taken[e]++
	}
	var result Explanation
	if chosen != nil {
		result.Chosen = chosen.ID
	}
	if whole.split != nil {
		rule := whole.split.rule
		result.Rule = &rule
	}
	for _, e := range whole.byID {
		suspect := slices.Contains(whole.suspects.endpoints, e)
		explained := ExplainedEndpoint{
			EndpointStatus: e.status(&b.config, first.now, whole.slowStart, suspect), Release: e.Release,
			ResponseTime: time.Duration(first.expectedResponseTime(e)), Odds: float64(taken[e]) / explainDraws,
		}
		if taken[e] == 0 {
			explained.Obstacle = first.whyNot(e, chosen)
		}
		result.Endpoints = append(result.Endpoints, explained)
	}
	slices.SortFunc(result.Endpoints, func(a, b ExplainedEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	return result
}

// whyNot returns why the picker has chosen another endpoint, or none. The picker is as its search has left it: service
// and level are those at which the search has ended.
func (p *picker) whyNot(e, chosen *endpoint) Obstacle {
	obstacle := p.obstacle(e)
	suspect := slices.Contains(p.service.suspects.endpoints, e)
	switch {
	case obstacle == Suspended:
		return obstacle
	case !suspect && !slices.Contains(p.service.all.endpoints, e):
		return OtherRelease
	case obstacle != NoObstacle:
		return obstacle
	case suspect && chosen != nil && !slices.Contains(p.service.suspects.endpoints, chosen):
		return NotServing
	case chosen != nil && e.Zone != chosen.Zone && p.request.Zone != bundle.ZoneAny:
		return OtherZone
	}
	return NoObstacle
}
