package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/state/release"
)

// maxResultsPerMessage bounds the reports of one message; each node sends one at a time.
const maxResultsPerMessage = 1024

// mergeRollouts keeps the latest revision of each rollout, and passes those that changed on to the children and to the
// caller.
func (p *Peer) mergeRollouts(rollouts []release.Rollout) {
	var changed []release.Rollout
	for _, r := range rollouts {
		if known, ok := p.rollouts[r.Service]; !ok || r.Revision > known.Revision {
			p.rollouts[r.Service] = r
			changed = append(changed, r)
		}
	}
	if len(changed) == 0 {
		return
	}
	for _, child := range p.children() {
		p.send(child, Message{Rollouts: &Rollouts{Rollouts: changed}})
	}
	p.emit(RolloutsChanged{Rollouts: changed})
}

// Rollouts lists the latest rollout of each service that the peer knows, by service.
func (p *Peer) Rollouts() []release.Rollout {
	return slices.SortedFunc(maps.Values(p.rollouts), func(a, b release.Rollout) int {
		return cmp.Compare(a.Service, b.Service)
	})
}

// ReportResults sends the results of calls during a rollout to the control members. A node without a parent sends
// nothing: its next report contains these results too.
func (p *Peer) ReportResults(now time.Time, results release.Results) {
	p.advance(now)
	p.forwardResults([]release.Results{results})
}

// ConfirmedAge returns an upper bound of the time since a quorum confirmed the state that this peer has; false if none
// has.
func (p *Peer) ConfirmedAge(now time.Time) (time.Duration, bool) {
	return p.freshness.ageAt(now), p.freshness.confirmed
}

// receiveResults passes reports on: a node to its parent, a member to the other members and its caller. A report that
// comes from another member has reached all of them.
func (p *Peer) receiveResults(l *link, reports []release.Results) {
	if len(reports) > maxResultsPerMessage {
		p.stats.CorruptMessages++
		return
	}
	if p.config.Member {
		p.emit(ResultsReceived{Reports: reports})
	}
	if l.role == roleChild {
		p.forwardResults(reports)
	}
}

func (p *Peer) forwardResults(reports []release.Results) {
	for _, l := range p.linksOf(roleParent, roleMember) {
		p.send(l, Message{Results: &Results{Reports: reports}})
	}
}
