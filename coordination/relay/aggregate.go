package relay

import (
	"cmp"
	"slices"
	"time"
)

// countReport is the state of the counts that a peer reports to its parent or, between members, to the others.
type countReport struct {
	// changed is set when the counts may differ from those that were last sent. changedAt is when flushCounts first saw
	// the change; zero before.
	changed   bool
	changedAt time.Time
	// Versions up to suppressedVersion are not reported before suppressUntil, since former ancestors may still count
	// them; see countSuppression.
	suppressedVersion uint64
	suppressUntil     time.Time
	// maxReported is the greatest version that was ever reported.
	maxReported uint64
}

// suppressFirstVersion suppresses the first version of a process: the ancestors may still count the process that ran
// under the same ID before with this version.
func (c *countReport) suppressFirstVersion(version uint64, started time.Time) {
	c.suppressedVersion = version
	c.suppressUntil = started.Add(countSuppression)
}

// suppressCounts suppresses the reported versions after a change of the parent. If the new parent is the former one,
// nothing is suppressed, since it has removed the counts of the old link.
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

// setCounts stores the counts that a child or another member sent.
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

// total counts the nodes of this peer's subtree and, in a member, those of the other members.
func (p *Peer) total() Aggregate {
	sum := p.subtree()
	for _, member := range p.linksOf(roleMember) {
		sum = sum.add(member.counts)
	}
	return sum
}

// ownCounts counts this node alone.
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

// maxReasonBytes is the length to which the reason that a lagging node reports is cut.
const maxReasonBytes = 160

func (p *Peer) lagReason() string {
	reason := p.fullLagReason()
	return reason[:min(len(reason), maxReasonBytes)]
}

// fullLagReason returns why the approved version is not in force; empty if it is or was approved only just now.
func (p *Peer) fullLagReason() string {
	s := &p.bundles
	if reason := s.refusal(); reason != "" {
		return reason
	}
	if s.approved == nil || s.inForce.Version >= s.approved.Approval.Version || p.now.Sub(s.approvedAt) < laggingAfter {
		return ""
	}
	switch {
	case s.approved.Stopped && s.inForce.Version > 0:
		return "stopped"
	case !s.store.Holds(s.approved.Approval.Digest):
		return "parts missing"
	case s.newestVersion() == 0:
		return "not confirmed since start"
	default:
		return "activation pending"
	}
}

// report returns the counts without the suppressed versions, as they may be sent now.
func (p *Peer) report() Aggregate {
	sum := p.subtree()
	if p.config.Member {
		sum.Zones = p.ownZones()
	}
	if p.now.Before(p.counts.suppressUntil) {
		// Cloned, since add returns its operand's slice if the other operand is empty.
		sum.Versions = slices.DeleteFunc(slices.Clone(sum.Versions), func(v VersionCount) bool { return v.Version <= p.counts.suppressedVersion })
	}
	return sum
}

// noteReported records that counts are sent on a link.
func (p *Peer) noteReported(l *link, a Aggregate) {
	l.sentCounts = a
	if len(a.Versions) > 0 {
		p.counts.maxReported = max(p.counts.maxReported, a.Versions[0].Version)
	}
}

// flushCounts sends the counts countReportDelay after a change if those of versions changed. Other changes are sent
// with the next poll.
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

// add returns the sum of two aggregates, without their zones.
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

// addVersions adds two lists of counts and returns the counts of the newest versions.
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

// mergeLagging returns the first maxLagging of the nodes in a and b.
func mergeLagging(a, b []Lag) []Lag {
	all := append(slices.Clone(a), b...)
	return all[:min(len(all), maxLagging)]
}

// equal reports whether two aggregates are equal apart from their zones.
func (a Aggregate) equal(b Aggregate) bool {
	return a.Nodes == b.Nodes && a.Lowest == b.Lowest &&
		slices.Equal(a.Versions, b.Versions) && slices.Equal(a.Lagging, b.Lagging)
}
