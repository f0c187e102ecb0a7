package raft

import (
	"slices"
	"time"
)

// progress is the leader's view of one member.
type progress struct {
	// match is the last index that the member has confirmed as durable. next is the next index to send.
	match, next uint64
	state       ProgressState
	// paused is set in ProgressProbe while the leader waits for the reply to an append.
	paused bool
	// inflight lists the last index of each append without a reply, in ProgressReplicate.
	inflight []uint64
	// snapshotIndex and snapshotSent describe the snapshot without a reply, in ProgressSnapshot. It counts as lost
	// snapshotTimeout after it was sent.
	snapshotIndex   uint64
	snapshotSent    time.Time
	snapshotTimeout time.Duration
	// lastContact is when the last message arrived in this term. If contacted is not set, there was none, and
	// lastContact is when the leader started to track the member.
	lastContact time.Time
	contacted   bool
	// silentSince is lastContact or, for the former leader until its first message in this term, the time of its last
	// message as the leader.
	silentSince time.Time
	// repliedRound is the last heartbeat round that the member replied to. appendRound is the heartbeat round during
	// which the last append or snapshot was sent.
	repliedRound, appendRound uint64
	// sentCommit is the commit index that was last sent to the member.
	sentCommit uint64
	// departure is set while the member is leaving.
	departure departure
}

// startProbe makes the leader search for the last index at which its log and the member's match, starting before next.
func (p *progress) startProbe(next uint64) {
	p.state = ProgressProbe
	p.next = max(next, p.match+1)
	p.paused = false
	p.inflight = nil
	p.sentCommit = 0
}

// confirm records that the member has made the leader's log durable up to an index.
func (p *progress) confirm(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	switch p.state {
	case ProgressProbe:
		p.state = ProgressReplicate
		p.next = p.match + 1
	case ProgressSnapshot:
		if p.match >= p.snapshotIndex {
			p.state = ProgressReplicate
			p.next = p.match + 1
			p.snapshotTimeout = 0
		}
	}
	confirmed := slices.IndexFunc(p.inflight, func(last uint64) bool { return last > index })
	if confirmed < 0 {
		confirmed = len(p.inflight)
	}
	p.inflight = p.inflight[confirmed:]
}

// recordAppend records that an append message with entries up to last was sent.
func (p *progress) recordAppend(last, commit, round uint64) {
	p.sentCommit = commit
	p.appendRound = round
	if p.state == ProgressProbe {
		p.paused = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, last)
}

// inContact reports whether the member has sent a message in this term within a time.
func (p *progress) inContact(now time.Time, within time.Duration) bool {
	return p.contacted && now.Sub(p.lastContact) < within
}

func (p *progress) status(now time.Time, electionTimeout time.Duration) MemberProgress {
	s := MemberProgress{Match: p.match, Next: p.next, State: p.state, Inflight: len(p.inflight), SinceContact: -1,
		InContact: p.inContact(now, electionTimeout),
		Silence:   now.Sub(p.silentSince), Leaving: p.departure.announced, Released: p.departure.released}
	if p.departure.announced {
		s.LeavingFor = now.Sub(p.departure.since)
	}
	if p.contacted {
		s.SinceContact = now.Sub(p.lastContact)
	}
	return s
}

// quorumOf returns the greatest value that more than half of the values reach, or zero for no values.
func quorumOf(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
