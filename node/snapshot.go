package node

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"sapphiregate.example/sapphiregate/coordination/retry"
	"sapphiregate.example/sapphiregate/coordination/routing"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// snapshot is the configuration in force as the ingress and the executor read it. It is immutable once published,
// apart from the counters of its budgets and limiters, which are safe for concurrent use.
type snapshot struct {
	version  uint64
	digest   bundle.Digest
	routes   *routing.Table
	services map[string]bundle.Service
	// maxBodyBytes bounds request bodies on routes that set no limit; 0 means that Limits.MaxBodyBytes applies.
	maxBodyBytes int64
	policies     map[string]*routePolicy
	access       bundle.Access
	// teams holds the callers' teams by the digests of their keys.
	teams map[bundle.KeyDigest]*bundle.Team
	// since is the time at which this node put the version into force.
	since time.Time
}

// maxSplitOffset bounds the random position at which a process starts in the sequence of a split route, so that the
// processes do not all send their first calls to the same service.
const maxSplitOffset = 100

// routePolicy holds the retry budget, header fields, call limit, traffic split and returning callers of a route.
type routePolicy struct {
	budget  *retry.Budget
	headers map[string]string
	limiter *rate.Limiter
	split   *routing.Splitter
	returns *retry.Returns
}

// takeCall reports whether the call limit of the route allows a call, and counts it.
func (p *routePolicy) takeCall(now time.Time) bool {
	return p.limiter == nil || p.limiter.AllowN(now, 1)
}

// allowsCall returns what takeCall would return.
func (p *routePolicy) allowsCall(now time.Time) bool {
	return p.limiter == nil || p.limiter.TokensAt(now) >= 1
}

// newSnapshot builds the snapshot of a bundle. It keeps budgets and limiters of unchanged routes from the previous
// snapshot, so that a new version does not refill them.
func newSnapshot(
	now time.Time, approval bundle.Approval, b *bundle.Bundle, previous *snapshot, fleet *retry.Fleet,
) (*snapshot, error) {
	routes, err := routing.New(b)
	if err != nil {
		return nil, err
	}
	next := &snapshot{
		version:  approval.Version,
		digest:   approval.Digest,
		routes:   routes,
		services: make(map[string]bundle.Service, len(b.Services)),
		policies: make(map[string]*routePolicy, len(b.Routes)),
		access:   b.Access,
		teams:    teamsByKey(b),
		since:    now,
	}
	for _, resource := range b.Resources {
		if resource.CallerLimits != nil {
			next.maxBodyBytes = resource.CallerLimits.MaxBodyBytes
		}
	}
	for _, service := range b.Services {
		next.services[service.Name] = service
	}
	for _, definition := range b.Routes {
		route, ok := routes.ByName(definition.Name)
		invariant.Check(ok, invariant.DanglingRoute, "route is missing from the routing table",
			map[string]any{"route": definition.Name, "version": approval.Version})
		next.policies[route.Name] = newRoutePolicy(route, previous, fleet)
	}
	return next, nil
}

// newRoutePolicy builds the policy of a route. It keeps the budget of the previous snapshot if the route's retry
// settings are unchanged.
func newRoutePolicy(route *routing.Route, previous *snapshot, fleet *retry.Fleet) *routePolicy {
	policy := &routePolicy{returns: new(retry.Returns)}
	if len(route.Split) > 0 {
		policy.split = routing.NewSplitter(route.Split, rand.IntN(maxSplitOffset))
	} else {
		policy.split = routing.NewSplitter(route.Shares(), 0)
	}
	var previousPolicy *routePolicy
	if previous != nil {
		if old, ok := previous.routes.ByName(route.Name); ok {
			previousPolicy = previous.policies[route.Name]
			policy.returns = previousPolicy.returns
			if old.Retry == route.Retry {
				policy.budget = previousPolicy.budget
			}
		}
	}
	if policy.budget == nil {
		policy.budget = retry.NewBudget(retry.Config{
			MaxAttempts: route.Retry.MaxAttempts, Percent: route.Retry.BudgetPercent, Fleet: fleet,
		})
	}
	for _, resource := range route.Resources {
		policy.apply(resource, previousPolicy)
	}
	return policy
}

// apply adds a resource of the route to the policy. It keeps the limiter of the previous policy if the limit is
// unchanged.
func (p *routePolicy) apply(resource bundle.Resource, previous *routePolicy) {
	switch {
	case resource.Kind == bundle.ResourceHeaders:
		if p.headers == nil {
			p.headers = make(map[string]string)
		}
		for name, value := range resource.Headers {
			p.headers[name] = value
		}
	case resource.Kind == bundle.ResourceCallLimit && resource.CallLimit != nil:
		limit, burst := rate.Limit(resource.CallLimit.CallsPerSecond), resource.CallLimit.Burst
		if previous != nil && previous.limiter != nil && previous.limiter.Limit() == limit && previous.limiter.Burst() == burst {
			p.limiter = previous.limiter
			return
		}
		p.limiter = rate.NewLimiter(limit, burst)
	}
}
