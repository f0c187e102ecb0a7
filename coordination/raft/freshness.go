package raft

import "time"

const (
	// clockDriftPercent is the allowance for clocks that differ in rate.
	clockDriftPercent = 1
	// maxConfirmations and maxPolls bound what is remembered while the state or the leader lags.
	maxConfirmations = 32
	maxPolls         = 8
)

// freshness tracks how old the applied state may be. All instants are on the local monotonic clock.
type freshness struct {
	// The applied state holds everything that was committed before base.
	known bool
	base  time.Time
	index uint64 // the log up to here holds everything that was committed before base
	// waiting holds confirmations of entries that are not applied yet, in order.
	waiting []confirmation
	// poll is the number of the last poll, and polls lists the unanswered ones.
	poll     uint64
	polls    []sentPoll
	nextPoll time.Time
}

// confirmation says that the log up to index holds everything that was committed before base.
type confirmation struct {
	index uint64
	base  time.Time
}

type sentPoll struct {
	number uint64
	sent   time.Time
}

// forgetRounds drops what depends on the present leader. What was confirmed stays true.
func (f *freshness) forgetRounds() { f.polls, f.nextPoll = nil, time.Time{} }

// add notes a confirmation. If too many wait, the newest replaces the one before.
func (f *freshness) add(c confirmation, applied uint64) {
	if len(f.waiting) == maxConfirmations {
		f.waiting = f.waiting[:maxConfirmations-1]
	}
	f.waiting = append(f.waiting, c)
	f.advance(applied)
}

// advance takes the confirmations whose entries are applied.
func (f *freshness) advance(applied uint64) {
	kept := f.waiting[:0]
	for _, c := range f.waiting {
		switch {
		case c.index > applied:
			kept = append(kept, c)
		case !f.known || c.base.After(f.base):
			f.known, f.base, f.index = true, c.base, c.index
		}
	}
	f.waiting = kept
}

// noteRound takes the last round that a quorum answered. A round that started before the leader committed an entry of
// its own term confirms nothing, since the leader may not know yet what is committed.
func (n *Node) noteRound() {
	quorum := n.quorumValue(func(id MemberID) uint64 { return n.leading.progress[id].answered })
	rounds := n.leading.rounds
	for len(rounds) > 0 && rounds[0].number <= quorum {
		if rounds[0].commit >= n.leading.termStart {
			n.freshness.add(confirmation{index: rounds[0].commit, base: rounds[0].start}, n.applied)
			n.leading.confirmed = true
		}
		rounds = rounds[1:]
	}
	n.leading.rounds = rounds
	n.answerHeldPolls()
}

// answerHeldPolls answers the polls that arrived before a quorum had confirmed anything in this term.
func (n *Node) answerHeldPolls() {
	if !n.leading.confirmed {
		return
	}
	for _, member := range n.membership().Members {
		if poll, held := n.leading.heldPolls[member.ID]; held {
			delete(n.leading.heldPolls, member.ID)
			n.answerPoll(Message{From: member.ID, Poll: poll})
		}
	}
}

// startPoll returns the number of a poll that is sent now.
func (n *Node) startPoll() uint64 {
	f := &n.freshness
	f.poll++
	f.polls = append(f.polls, sentPoll{number: f.poll, sent: n.now})
	if len(f.polls) > maxPolls {
		f.polls = f.polls[1:]
	}
	f.nextPoll = n.now.Add(n.config.PollInterval)
	return f.poll
}

// tickPoll polls the leader if no heartbeat has given the occasion.
func (n *Node) tickPoll() {
	overdue := n.freshness.nextPoll.Add(n.config.HeartbeatInterval)
	if n.leader != "" && n.now.After(overdue) {
		n.send(Message{To: n.leader, Type: MessagePoll, Poll: n.startPoll()})
	}
}

// answerPoll answers with the age of the leader's state.
func (n *Node) answerPoll(m Message) {
	if n.role != RoleLeader || n.leading.progress[m.From] == nil {
		return
	}
	age, known := n.ConfirmedAge(n.now)
	if !known || !n.leading.confirmed {
		// What the former leader told would be an old answer, and the follower would wait for its next poll.
		n.leading.heldPolls[m.From] = m.Poll
		return
	}
	n.send(Message{To: m.From, Type: MessagePollReply, Poll: m.Poll, Index: n.freshness.index, Age: age})
}

func (n *Node) handlePollReply(m Message) {
	for i, poll := range n.freshness.polls {
		if poll.number == m.Poll {
			n.freshness.polls = n.freshness.polls[i+1:]
			n.freshness.add(confirmation{index: m.Index, base: poll.sent.Add(-m.Age)}, n.applied)
			return
		}
	}
}

// ConfirmedAge returns an upper bound on the time since a quorum confirmed the applied state as current. It returns
// false if that never happened since the start of this member. The age of a member that is cut off grows.
func (n *Node) ConfirmedAge(now time.Time) (time.Duration, bool) {
	if !n.freshness.known {
		return 0, false
	}
	age := max(now.Sub(n.freshness.base), 0)
	return age + age*clockDriftPercent/100, true
}
