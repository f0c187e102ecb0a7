package raft

import "time"

const (
	// clockDriftPercent is added to ages, because the clocks of two members may differ in rate.
	clockDriftPercent = 1
	// maxConfirmations and maxPolls limit what is stored while entries are not applied or the leader does not reply.
	maxConfirmations = 32
	maxPolls         = 8
)

// freshness tracks how old the applied state may be. All times are on this member's own monotonic clock.
type freshness struct {
	// The applied state holds everything that was committed before asOf, if known is set.
	known bool
	asOf  time.Time
	index uint64 // the log up to and including this index holds everything that was committed before asOf
	// pending holds confirmations of entries that are not applied yet, in order.
	pending []confirmation
	// lastPoll is the number of the last poll that was sent, and openPolls lists the polls without a reply.
	lastPoll  uint64
	openPolls []sentPoll
	nextPoll  time.Time
}

// confirmation says that the log up to index holds everything that was committed before asOf.
type confirmation struct {
	index uint64
	asOf  time.Time
}

type sentPoll struct {
	number uint64
	sent   time.Time
}

// resetPolls discards the polls sent to the present leader. Confirmations stay valid under another leader.
func (f *freshness) resetPolls() { f.openPolls, f.nextPoll = nil, time.Time{} }

// addConfirmation adds a confirmation. If maxConfirmations are pending, it replaces the newest of them.
func (f *freshness) addConfirmation(c confirmation, applied uint64) {
	if len(f.pending) == maxConfirmations {
		f.pending = f.pending[:maxConfirmations-1]
	}
	f.pending = append(f.pending, c)
	f.applyConfirmations(applied)
}

// applyConfirmations raises asOf by the confirmations whose entries are applied, and removes them.
func (f *freshness) applyConfirmations(applied uint64) {
	remaining := f.pending[:0]
	for _, c := range f.pending {
		switch {
		case c.index > applied:
			remaining = append(remaining, c)
		case !f.known || c.asOf.After(f.asOf):
			f.known, f.asOf, f.index = true, c.asOf, c.index
		}
	}
	f.pending = remaining
}

// confirmRounds removes the heartbeat rounds to which a quorum has replied, and confirms the leader's state as of their
// start. A round that started before the leader committed an entry of its own term confirms nothing: until then the
// leader may not know which entries are committed.
func (n *Node) confirmRounds() {
	quorum := n.quorumValue(func(id MemberID) uint64 { return n.leaderState.progress[id].repliedRound })
	rounds := n.leaderState.rounds
	for len(rounds) > 0 && rounds[0].number <= quorum {
		if rounds[0].commit >= n.leaderState.termStart {
			n.freshness.addConfirmation(confirmation{index: rounds[0].commit, asOf: rounds[0].start}, n.applied)
			n.leaderState.stateConfirmed = true
		}
		rounds = rounds[1:]
	}
	n.leaderState.rounds = rounds
	n.replyToDeferredPolls()
}

// replyToDeferredPolls replies to the polls that arrived before a quorum had confirmed the state in this term.
func (n *Node) replyToDeferredPolls() {
	if !n.leaderState.stateConfirmed {
		return
	}
	for _, member := range n.membership().Members {
		if poll, deferred := n.leaderState.deferredPolls[member.ID]; deferred {
			delete(n.leaderState.deferredPolls, member.ID)
			n.replyToPoll(Message{From: member.ID, Poll: poll})
		}
	}
}

// startPoll records a poll that is sent now and returns its number.
func (n *Node) startPoll() uint64 {
	f := &n.freshness
	f.lastPoll++
	f.openPolls = append(f.openPolls, sentPoll{number: f.lastPoll, sent: n.now})
	if len(f.openPolls) > maxPolls {
		f.openPolls = f.openPolls[1:]
	}
	f.nextPoll = n.now.Add(n.config.PollInterval)
	return f.lastPoll
}

// tickPoll sends a poll of its own if no heartbeat arrived whose reply could have carried the poll.
func (n *Node) tickPoll() {
	overdue := n.freshness.nextPoll.Add(n.config.HeartbeatInterval)
	if n.leader != "" && n.now.After(overdue) {
		n.send(Message{To: n.leader, Type: MessagePoll, Poll: n.startPoll()})
	}
}

// replyToPoll replies with the age of the leader's state.
func (n *Node) replyToPoll(m Message) {
	if n.role != RoleLeader || n.leaderState.progress[m.From] == nil {
		return
	}
	age, known := n.ConfirmedAge(n.now)
	if !known || !n.leaderState.stateConfirmed {
		// The state known so far was confirmed under the former leader and may be old. The follower could ask again only
		// with its next poll, so the reply is sent as soon as the state is confirmed in this term.
		n.leaderState.deferredPolls[m.From] = m.Poll
		return
	}
	n.send(Message{To: m.From, Type: MessagePollReply, Poll: m.Poll, Index: n.freshness.index, Age: age})
}

func (n *Node) handlePollReply(m Message) {
	for i, poll := range n.freshness.openPolls {
		if poll.number == m.Poll {
			n.freshness.openPolls = n.freshness.openPolls[i+1:]
			n.freshness.addConfirmation(confirmation{index: m.Index, asOf: poll.sent.Add(-m.Age)}, n.applied)
			return
		}
	}
}

// KnowsCommitted reports whether this member leads and has applied an entry of its own term. From then on it has proposed
// every entry itself that it has not applied; before, it may lack committed entries of former leaders.
func (n *Node) KnowsCommitted() bool {
	return n.role == RoleLeader && n.applied >= n.leaderState.termStart
}

// ProposedSince returns a time before the proposal of the entry at an index; false unless this member leads and has proposed
// the entry in its present term.
func (n *Node) ProposedSince(index uint64) (time.Time, bool) {
	if n.role != RoleLeader || index < n.leaderState.termStart {
		return time.Time{}, false
	}
	return n.leaderState.electedAt, true
}

// ConfirmedAge returns an upper bound on the time since a quorum confirmed the applied state as current. It returns
// false if there was no confirmation since the start of this member. The age grows while a member is partitioned from
// the group.
func (n *Node) ConfirmedAge(now time.Time) (time.Duration, bool) {
	if !n.freshness.known {
		return 0, false
	}
	age := max(now.Sub(n.freshness.asOf), 0)
	return age + age*clockDriftPercent/100, true
}
