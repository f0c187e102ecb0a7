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
	// paused is set in ProgressProbe while an append is unanswered.
	paused bool
	// inflight lists the last index of each append that is unanswered, in ProgressReplicate.
	inflight []uint64
	// snapshotIndex, snapshotSent and snapshotWait describe the unanswered snapshot and when it counts as lost.
	snapshotIndex uint64
	snapshotSent  time.Time
	snapshotWait  time.Duration
	// contact is the time of the last message; heard is false while it is only the start of the term.
	contact time.Time
	heard   bool
	// answered is the last heartbeat round that the member answered. sendRound is the round of the last append.
	answered, sendRound uint64
	sentCommit          uint64
}

// probe makes the leader search for the end of the common prefix.
func (p *progress) probe(next uint64) {
	p.state = ProgressProbe
	p.next = max(next, p.match+1)
	p.paused = false
	p.inflight = nil
	p.sentCommit = 0
}

// confirm notes that the member holds the log up to an index.
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
			p.snapshotWait = 0
		}
	}
	done := slices.IndexFunc(p.inflight, func(last uint64) bool { return last > index })
	if done < 0 {
		done = len(p.inflight)
	}
	p.inflight = p.inflight[done:]
}

// sent notes an append message with entries up to last.
func (p *progress) sent(last, commit, round uint64) {
	p.sentCommit = commit
	p.sendRound = round
	if p.state == ProgressProbe {
		p.paused = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, last)
}

func (p *progress) status(now time.Time) MemberProgress {
	s := MemberProgress{Match: p.match, Next: p.next, State: p.state, Inflight: len(p.inflight), SinceContact: -1,
		Silence: now.Sub(p.contact)}
	if p.heard {
		s.SinceContact = now.Sub(p.contact)
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
