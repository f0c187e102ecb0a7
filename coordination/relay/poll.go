package relay

import (
	"time"
)

// freshness is what a peer knows about how current its state is: at some time within the last ageAt(now), version was
// the latest approved version. It uses durations on the local monotonic clock only.
type freshness struct {
	confirmed  bool
	version    uint64
	measuredAt time.Time
	age        time.Duration // at anchor
	depth      int
}

// ageAt bounds the time since the confirmation. The factor covers clocks of different rate.
func (f *freshness) ageAt(now time.Time) time.Duration {
	if !f.confirmed {
		return 0
	}
	return time.Duration(float64(now.Sub(f.measuredAt)+f.age) * clockDriftFactor)
}

// update takes in a confirmation of a version that had the given age at anchor. A lower version than the known one is
// an older confirmation and is ignored. Of two ages the smaller one holds for the greater version too, since the
// greater version was confirmed later.
func (f *freshness) update(now time.Time, version uint64, anchor time.Time, age time.Duration) {
	if f.confirmed && version < f.version {
		return
	}
	f.version = version
	if !f.confirmed || now.Sub(anchor)+age < now.Sub(f.measuredAt)+f.age {
		f.measuredAt, f.age = anchor, age
	}
	f.confirmed = true
}

// currentFreshness is what this peer tells its children.
func (p *Peer) currentFreshness() Freshness {
	if !p.freshness.confirmed {
		return Freshness{Depth: p.freshness.depth}
	}
	age := p.freshness.ageAt(p.now)
	roundedUp := (age + time.Millisecond - 1) / time.Millisecond
	return Freshness{Confirmed: true, Version: p.freshness.version, AgeMs: int64(roundedUp), Depth: p.freshness.depth}
}

// updateFreshness takes in the parent's answer to a request that was sent at the given time.
func (p *Peer) updateFreshness(sent time.Time, f Freshness) {
	p.freshness.depth = f.Depth + 1
	if !f.Confirmed || f.AgeMs < 0 {
		return
	}
	p.freshness.update(p.now, f.Version, sent, time.Duration(f.AgeMs)*time.Millisecond)
}

// staleLimit is the confirmed age from which on the peer looks for another parent. Each level below the first adds half of
// the limit, so that the child closest to the stale source moves first and the subtrees below it stay as they are.
func (p *Peer) staleLimit() time.Duration {
	if p.bundles.newestVersion() == 0 && !p.config.Member {
		// Nothing is in force: any member that has the confirmation of a quorum is better than waiting for this one.
		return p.config.StaleAfter / 3
	}
	return p.config.StaleAfter + time.Duration(max(0, p.freshness.depth-1))*p.config.StaleAfter/2
}

// hasStaleParent reports whether the parent fails to give freshness.
func (p *Peer) hasStaleParent() bool {
	if p.parent == nil || p.now.Sub(p.parent.openedAt) < p.staleLimit() {
		return false
	}
	return !p.freshness.confirmed || p.freshness.ageAt(p.now) > p.staleLimit()
}

// pollAll sends the polls that are due: to the parent, and between members from the side that dialed.
func (p *Peer) pollAll() {
	for _, l := range p.linksOf(roleParent, roleMember) {
		if l.outbound && !p.now.Before(l.nextPoll) {
			p.poll(l)
		}
	}
}

func (p *Peer) poll(l *link) {
	l.sequence++
	l.pollSent[l.sequence%uint64(len(l.pollSent))] = p.now
	interval := p.config.PollInterval
	if p.bundles.newestVersion() == 0 && !p.config.Member && p.now.Sub(p.started) < 2*p.config.StaleAfter {
		// A node that has just started serves nobody until a quorum has confirmed its first version.
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

func (p *Peer) handlePollReply(l *link, reply PollReply) {
	if reply.Sequence == 0 || reply.Sequence > l.sequence || reply.Sequence+uint64(len(l.pollSent)) <= l.sequence {
		return
	}
	p.updateFreshness(l.pollSent[reply.Sequence%uint64(len(l.pollSent))], reply.Freshness)
	p.tryActivate()
}

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
