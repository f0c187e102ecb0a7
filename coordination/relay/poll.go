package relay

import (
	"time"
)

// freshness tells how current a peer's state is: at some time within the last ageAt(now), version was the latest
// approved version. It depends on durations of the local monotonic clock only.
type freshness struct {
	confirmed bool
	version   uint64
	// age is the age of the confirmation at the time measuredAt.
	measuredAt time.Time
	age        time.Duration
	depth      int // number of links to the member at the root of the tree
}

// ageAt returns an upper bound of the time since the confirmation. clockDriftFactor covers clocks of different rates.
func (f *freshness) ageAt(now time.Time) time.Duration {
	if !f.confirmed {
		return 0
	}
	return time.Duration(float64(now.Sub(f.measuredAt)+f.age) * clockDriftFactor)
}

// update processes a confirmation of a version that had the given age at the time measuredAt. A confirmation of a lower
// version than the known one is older and is ignored. The smaller of the known and the given age is kept, also for a
// greater version, since the greater version was confirmed later.
func (f *freshness) update(now time.Time, version uint64, measuredAt time.Time, age time.Duration) {
	if f.confirmed && version < f.version {
		return
	}
	f.version = version
	if !f.confirmed || now.Sub(measuredAt)+age < now.Sub(f.measuredAt)+f.age {
		f.measuredAt, f.age = measuredAt, age
	}
	f.confirmed = true
}

// ConfirmedAt returns a time at which the version in force was the latest approved one; false if it is not known to have
// been.
func (p *Peer) ConfirmedAt() (time.Time, bool) {
	// While a rollout is stopped, nodes keep the version that they have.
	outdated := p.bundles.inForce.Version < p.freshness.version && !p.bundles.stopped()
	if !p.freshness.confirmed || outdated {
		return time.Time{}, false
	}
	return p.now.Add(-p.freshness.ageAt(p.now)), true
}

// currentFreshness returns the freshness that this peer tells its children.
func (p *Peer) currentFreshness() Freshness {
	if !p.freshness.confirmed {
		return Freshness{Depth: p.freshness.depth}
	}
	age := p.freshness.ageAt(p.now)
	roundedUp := (age + time.Millisecond - 1) / time.Millisecond
	return Freshness{Confirmed: true, Version: p.freshness.version, AgeMs: int64(roundedUp), Depth: p.freshness.depth}
}

// updateFreshness processes the freshness in the parent's reply to a request that was sent at the given time. Its age
// is counted from that time, which gives an upper bound, since the parent replied later.
func (p *Peer) updateFreshness(sent time.Time, f Freshness) {
	p.freshness.depth = f.Depth + 1
	if !f.Confirmed || f.AgeMs < 0 {
		return
	}
	p.freshness.update(p.now, f.Version, sent, time.Duration(f.AgeMs)*time.Millisecond)
}

// staleLimit returns the age of the confirmation from which on the peer looks for another parent. Each level below the
// first adds half of Config.StaleAfter, so that the child closest to the outdated member moves first and the subtrees
// below it remain as they are.
func (p *Peer) staleLimit() time.Duration {
	if p.bundles.newestVersion() == 0 && !p.config.Member {
		// Nothing is in force here: to follow any member that has a quorum is better than to wait for this one.
		return p.config.StaleAfter / 3
	}
	return p.config.StaleAfter + time.Duration(max(0, p.freshness.depth-1))*p.config.StaleAfter/2
}

// hasStaleParent reports whether the parent has been silent for Config.StaleAfter, or whether there is no confirmation or
// only one older than staleLimit, although the link to the parent has been open for staleLimit. Silence does not depend
// on the depth: no ancestor replaces a parent that is itself unreachable.
func (p *Peer) hasStaleParent() bool {
	if p.parent == nil {
		return false
	}
	if p.isParentSilent() {
		return true
	}
	if p.now.Sub(p.parent.openedAt) < p.staleLimit() {
		return false
	}
	return !p.freshness.confirmed || p.freshness.ageAt(p.now) > p.staleLimit()
}

// isParentSilent reports whether the parent has sent nothing for Config.StaleAfter.
func (p *Peer) isParentSilent() bool { return p.now.Sub(p.parent.lastReceived) >= p.config.StaleAfter }

// pollAll sends the polls that are due: to the parent, and from a member to the members that it dialed.
func (p *Peer) pollAll() {
	for _, l := range p.linksOf(roleParent, roleMember) {
		if l.outbound && !p.now.Before(l.nextPoll) {
			p.poll(l)
		}
	}
}

// poll sends a poll with the counts if they changed, and schedules the next one.
func (p *Peer) poll(l *link) {
	l.sequence++
	l.pollSent[l.sequence%uint64(len(l.pollSent))] = p.now
	interval := p.config.PollInterval
	if p.bundles.newestVersion() == 0 && !p.config.Member && p.now.Sub(p.started) < 2*p.config.StaleAfter {
		// A node that has just started serves no call until a quorum has confirmed its first version.
		interval /= startupPollFactor
	}
	jitter := time.Duration((2*p.config.Rand.Float64() - 1) * pollJitter * float64(interval))
	l.nextPoll = p.now.Add(interval + jitter)
	poll := &Poll{Sequence: l.sequence, TableDigest: p.propagation.table.Digest()}
	if report := p.report(); !report.equal(l.sentCounts) {
		poll.Counts = &report
		p.noteReported(l, report)
	}
	p.send(l, Message{Poll: poll})
}

// handlePollReply updates the freshness. Replies to polls whose send time is no longer known are ignored.
func (p *Peer) handlePollReply(l *link, reply PollReply) {
	if reply.Sequence == 0 || reply.Sequence > l.sequence || reply.Sequence+uint64(len(l.pollSent)) <= l.sequence {
		return
	}
	p.updateFreshness(l.pollSent[reply.Sequence%uint64(len(l.pollSent))], reply.Freshness)
	p.tryActivate()
}

// handlePoll replies to a poll. The first poll on a link starts the exchange of the state; later ones compare the
// tables.
func (p *Peer) handlePoll(l *link, poll Poll) {
	p.send(l, Message{PollReply: &PollReply{Sequence: poll.Sequence, Freshness: p.currentFreshness()}})
	if poll.Counts != nil {
		p.setCounts(l, *poll.Counts)
	}
	if !l.synced {
		l.synced = true
		p.syncLink(l, poll.TableDigest)
		return
	}
	p.compareDigest(l, poll.TableDigest)
}
