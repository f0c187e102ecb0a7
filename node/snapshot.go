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

// snapshot is the configuration that traffic reads. It is immutable once it is published, apart from the counters of
// its budgets and limiters, which are safe for concurrent use.
type snapshot struct {
	version  uint64
	digest   bundle.Digest
	routes   *routing.Table
	services map[string]bundle.Service
	// maxBodyBytes bounds the bodies on routes without a bound of their own; 0 leaves that to the settings.
	maxBodyBytes int64
	policies     map[string]*routePolicy
	since        time.Time
}

// maxSkippedTurns spreads the turns of split routes over processes.
const maxSkippedTurns = 100

// routePolicy holds what a route needs per call.
type routePolicy struct {
	budget  *retry.Budget
	headers map[string]string
	limiter *rate.Limiter
	split   *routing.Splitter
}

// newSnapshot builds the traffic view of a bundle. Policies of unchanged routes are kept from the previous snapshot,
// so that a new version does not refill budgets and limiters.
func newSnapshot(now time.Time, approval bundle.Approval, b *bundle.Bundle, previous *snapshot) (*snapshot, error) {
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
		next.policies[route.Name] = newRoutePolicy(route, previous)
	}
	return next, nil
}

func newRoutePolicy(route *routing.Route, previous *snapshot) *routePolicy {
	policy := &routePolicy{}
	if len(route.Split) > 0 {
		policy.split = routing.NewSplitter(route.Split, rand.IntN(maxSkippedTurns))
	} else {
		policy.split = routing.NewSplitter(route.Shares(), 0)
	}
	var kept *routePolicy
	if previous != nil {
		if old, ok := previous.routes.ByName(route.Name); ok {
			kept = previous.policies[route.Name]
			if old.Retry != route.Retry {
				policy.budget = nil
			} else {
				policy.budget = kept.budget
			}
		}
	}
	if policy.budget == nil {
		policy.budget = retry.NewBudget(retry.Config{
			MaxAttempts: route.Retry.MaxAttempts, Percent: route.Retry.BudgetPercent,
		})
	}
	for _, resource := range route.Resources {
		policy.apply(resource, kept)
	}
	return policy
}

func (p *routePolicy) apply(resource bundle.Resource, kept *routePolicy) {
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
		if kept != nil && kept.limiter != nil && kept.limiter.Limit() == limit && kept.limiter.Burst() == burst {
			p.limiter = kept.limiter
			return
		}
		p.limiter = rate.NewLimiter(limit, burst)
	}
}
