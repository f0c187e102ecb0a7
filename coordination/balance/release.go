package balance

import (
	"math"
	"slices"
)

// ReleaseRule divides the calls of a service between a release that is being rolled out and the other releases.
type ReleaseRule struct {
	Release string
	// Share is the share of calls that the release gets. At 1, the other releases get calls only while no upstream of the
	// release can receive them at all.
	Share float64
	// Focus rotates the choice of the release's upstreams that get its calls while Share is below 1.
	Focus int
	// Forbidden is set if the release gets no calls although no other one is left.
	Forbidden bool
}

// focusSlack is how far the load of the release's upstreams may exceed that of the others, as a share of one upstream's
// load, before its calls are spread over one more.
const focusSlack = 0.25

// releaseSplit holds the upstreams of a service by release while a rule applies. Their counters are those of the service.
type releaseSplit struct {
	rule ReleaseRule
	// newer holds the upstreams of the release that get calls, older those of all other releases.
	newer, older *service
}

// SetReleaseRules replaces the rules of all services. They apply from the next Update of a service on. It must be called
// from the same goroutine as Update.
func (b *Balancer) SetReleaseRules(rules map[string]ReleaseRule) { b.config.releaseRules = rules }

// splitByRelease divides the endpoints of the service, which are grouped by zone already, as the rule says.
func (s *service) splitByRelease(c Config, rule ReleaseRule) {
	split := &releaseSplit{rule: rule, newer: s.part(), older: s.part()}
	for _, e := range s.all.endpoints {
		split.side(e).all.endpoints = append(split.side(e).all.endpoints, e)
	}
	for _, e := range s.suspects.endpoints {
		split.side(e).suspects.endpoints = append(split.side(e).suspects.endpoints, e)
	}
	split.focus()
	split.newer.groupByZone(c)
	split.older.groupByZone(c)
	s.split = split
}

// part returns a service that shares the averages of s and has no endpoints yet.
func (s *service) part() *service {
	return &service{averages: s.averages, slowStart: s.slowStart, all: &group{}, suspects: &group{}}
}

func (r *releaseSplit) side(e *endpoint) *service {
	if e.Release == r.rule.Release {
		return r.newer
	}
	return r.older
}

// focus limits the release's upstreams to so few that each of them has about the load of the others: a fault that shows
// only under load would otherwise stay hidden while the release has a small share. All processes choose the same ones.
func (r *releaseSplit) focus() {
	all := r.newer.all.endpoints
	if r.rule.Share <= 0 || r.rule.Share >= 1 || len(all) < 2 {
		return
	}
	equalLoad := r.rule.Share / (1 - r.rule.Share) * float64(len(r.older.all.endpoints))
	count := min(max(int(math.Ceil(equalLoad-focusSlack)), 1), len(all))
	start := r.rule.Focus * count % len(all)
	rotated := slices.Concat(all[start:], all[:start])
	r.newer.all.endpoints = rotated[:count]
	r.newer.suspects.endpoints = nil
}

func (s *service) isEmpty() bool { return len(s.all.endpoints) == 0 && len(s.suspects.endpoints) == 0 }

// pickByRelease selects an endpoint of the release to which a call is assigned. A call that is not assigned to the
// release never falls to it because the others are busy: its share would grow beyond what it may get before it is judged.
func (p *picker) pickByRelease() *endpoint {
	split := p.service.split
	if split == nil {
		return p.pick()
	}
	var sides []*service
	switch rule := split.rule; {
	case rule.Forbidden:
		sides = []*service{split.older}
	case rule.Share >= 1 && p.request.MeetTargetOnly:
		// That the release's upstreams are busy is no reason to use one that may stop at any moment.
		sides = []*service{split.newer}
	case rule.Share >= 1:
		sides = []*service{split.newer, split.older}
	case split.older.isEmpty():
		sides = []*service{split.newer}
	case len(p.request.Exclude) == 0 && p.randomFraction() < rule.Share:
		sides = []*service{split.newer, split.older}
	default:
		// This includes all further attempts of a call: its caller should not meet a faulty release twice.
		sides = []*service{split.older}
	}
	for _, side := range sides {
		p.service = side
		if chosen := p.pick(); chosen != nil {
			return chosen
		}
	}
	return nil
}

// forReturned returns the upstreams to which a call may go that one has returned. As with further attempts, it does not fall
// to a release that is being rolled out.
func (s *service) forReturned() *service {
	switch split := s.split; {
	case split == nil:
		return s
	case split.rule.Forbidden:
		return split.older
	case split.rule.Share >= 1, split.older.isEmpty():
		return split.newer
	default:
		return split.older
	}
}
