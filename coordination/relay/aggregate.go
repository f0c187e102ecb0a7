package relay

import (
	"cmp"
	"slices"
	"time"
)

// countReport is the state of the aggregates that go upward.
type countReport struct {
	// changed is set when the counts may differ from what was last sent; since when the change is waiting.
	changed   bool
	changedAt time.Time
	// Versions up to suppressedVersion are not reported before heldUntil, since former ancestors may still count them.
	suppressedVersion uint64
	suppressUntil     time.Time
	// maxReported is the greatest version that was ever maxReported.
	maxReported uint64
}

// suppressFirstVersion starts the hold of a process that takes its first version: the process that ran before it under the same
// ID may still be counted with this version.
func (c *countReport) suppressFirstVersion(version uint64, started time.Time) {
	c.suppressedVersion = version
	c.suppressUntil = started.Add(countSuppression)
}

// suppressCounts starts the hold after a change of the parent. A link to the same parent as before needs none, since the
// parent has dropped the counts of the old link.
func (p *Peer) suppressCounts(parent string) {
	c := &p.counts
	if p.search.lastParent == "" || p.search.lastParent == parent || c.maxReported == 0 {
		return
	}
	c.suppressedVersion = max(c.suppressedVersion, c.maxReported)
	until := p.search.parentLostAt.Add(countSuppression)
	if until.After(c.suppressUntil) {
		c.suppressUntil = until
	}
}

func (p *Peer) setCounts(l *link, a Aggregate) {
	if len(a.Versions) > maxVersions || len(a.Lagging) > maxLagging || len(a.Zones) > maxZones || a.Nodes < 0 {
		p.stats.CorruptMessages++
		return
	}
	l.counts = a
	p.counts.changed = true
}

// subtree counts the nodes below this peer and the peer itself.
func (p *Peer) subtree() Aggregate {
	var sum Aggregate
	if !p.config.Member {
		sum = p.ownCounts()
	}
	for _, child := range p.children() {
		sum = sum.add(child.counts)
	}
	return sum
}

// total adds the subtrees of the other members.
func (p *Peer) total() Aggregate {
	sum := p.subtree()
	for _, member := range p.linksOf(roleMember) {
		sum = sum.add(member.counts)
	}
	return sum
}

func (p *Peer) ownCounts() Aggregate {
	version := p.bundles.inForce.Version
	own := Aggregate{Nodes: 1, Lowest: version}
	if version > 0 {
		own.Versions = []VersionCount{{Version: version, Nodes: 1}}
	}
	if reason := p.lagReason(); reason != "" {
		own.Lagging = []Lag{{ID: p.config.ID, Version: version, Reason: reason}}
	}
	return own
}

// maxReasonBytes bounds the reason that a lagging node reports.
const maxReasonBytes = 160

func (p *Peer) lagReason() string {
	reason := p.fullLagReason()
	return reason[:min(len(reason), maxReasonBytes)]
}

func (p *Peer) fullLagReason() string {
	c := &p.bundles
	if reason := c.refusal(); reason != "" {
		return reason
	}
	if c.approved == nil || c.inForce.Version >= c.approved.Approval.Version || p.now.Sub(c.learnedAt) < laggingAfter {
		return ""
	}
	switch {
	case c.approved.Stopped && c.inForce.Version > 0:
		return "stopped"
	case !c.store.Holds(c.approved.Approval.Digest):
		return "parts missing"
	case c.newestVersion() == 0:
		return "not confirmed since start"
	default:
		return "activation pending"
	}
}

// report returns the counts that may be sent upward now.
func (p *Peer) report() Aggregate {
	sum := p.subtree()
	if p.config.Member {
		sum.Zones = p.ownZones()
	}
	if p.now.Before(p.counts.suppressUntil) {
		// Cloned, since the sum of one aggregate shares its slice.
		sum.Versions = slices.DeleteFunc(slices.Clone(sum.Versions), func(v VersionCount) bool { return v.Version <= p.counts.suppressedVersion })
	}
	return sum
}

func (p *Peer) noteReported(l *link, a Aggregate) {
	l.sentCounts = a
	if len(a.Versions) > 0 {
		p.counts.maxReported = max(p.counts.maxReported, a.Versions[0].Version)
	}
}

// flushCounts sends changed counts of versions shortly after the change. Other changes go with the next poll.
func (p *Peer) flushCounts() {
	c := &p.counts
	if !c.changed {
		return
	}
	if c.changedAt.IsZero() {
		c.changedAt = p.now
		return
	}
	if p.now.Sub(c.changedAt) < countReportDelay {
		return
	}
	c.changed, c.changedAt = false, time.Time{}
	report := p.report()
	for _, l := range p.linksOf(roleParent, roleMember) {
		if !slices.Equal(report.Versions, l.sentCounts.Versions) {
			p.noteReported(l, report)
			p.send(l, Message{Aggregate: &report})
		}
	}
}

// add returns the sum of two aggregates.
func (a Aggregate) add(b Aggregate) Aggregate {
	a.Zones, b.Zones = nil, nil
	if b.Nodes == 0 {
		return a
	}
	if a.Nodes == 0 {
		return b
	}
	return Aggregate{
		Nodes:    a.Nodes + b.Nodes,
		Versions: addVersions(a.Versions, b.Versions),
		Lowest:   min(a.Lowest, b.Lowest),
		Lagging:  mergeLagging(a.Lagging, b.Lagging),
	}
}

func addVersions(a, b []VersionCount) []VersionCount {
	sum := slices.Clone(a)
	for _, v := range b {
		i := slices.IndexFunc(sum, func(s VersionCount) bool { return s.Version == v.Version })
		if i >= 0 {
			sum[i].Nodes += v.Nodes
		} else {
			sum = append(sum, v)
		}
	}
	slices.SortFunc(sum, func(x, y VersionCount) int { return cmp.Compare(y.Version, x.Version) })
	return sum[:min(len(sum), maxVersions)]
}

func mergeLagging(a, b []Lag) []Lag {
	all := append(slices.Clone(a), b...)
	return all[:min(len(all), maxLagging)]
}

func (a Aggregate) equal(b Aggregate) bool {
	return a.Nodes == b.Nodes && a.Lowest == b.Lowest &&
		slices.Equal(a.Versions, b.Versions) && slices.Equal(a.Lagging, b.Lagging)
}
