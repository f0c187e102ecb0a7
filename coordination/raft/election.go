package raft

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// setInitialElectionDeadline chooses a random timeout between 1/8 and 1/2 of the election timeout for a member that has
// just started: when all members restart at the same time, there is no leader to wait for. If there is a leader, the
// pre-vote fails and changes nothing.
func (n *Node) setInitialElectionDeadline() {
	shortest := n.config.ElectionTimeout / 8
	n.electionDeadline = n.now.Add(shortest + time.Duration(n.rng.Int63n(int64(3*shortest)+1)))
}

// resetElectionDeadline chooses a random timeout between 1 and 1.5 election timeouts, so that members rarely start an
// election at the same time.
func (n *Node) resetElectionDeadline() {
	timeout := n.config.ElectionTimeout
	n.electionDeadline = n.now.Add(timeout + time.Duration(n.rng.Int63n(int64(timeout)/2+1)))
}

// hasLeaderContact reports whether this member is the leader or heard from one within the election timeout. A leader
// need not check its quorum here, because it steps down when it loses the quorum.
func (n *Node) hasLeaderContact() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.leader != "" && n.now.Sub(n.leaderContact) < n.config.ElectionTimeout
}

// leaderSilence returns the time since this member last replied to a leader, or was one. A restarted member may have
// replied until its restart.
func (n *Node) leaderSilence() time.Duration {
	last := n.startedAt
	for _, at := range []time.Time{n.leaderContact, n.lastLed} {
		if at.After(last) {
			last = at
		}
	}
	return n.now.Sub(last)
}

func (n *Node) becomeFollower(term uint64, leader MemberID) {
	n.check(term >= n.term, "term would decrease", map[string]any{"new": term})
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader = RoleFollower, leader
	if leader != "" {
		n.lastLeader, n.leaderContact = leader, n.now
		n.quorumLost = false
	}
	n.votes = nil
	n.leaderState = leaderState{}
	n.freshness.resetPolls()
	n.resetElectionDeadline()
}

// isElectable reports whether this member may start an election.
func (n *Node) isElectable() bool {
	return n.membership().IsVoter(n.config.ID) && n.pendingSnapshot == nil
}

// startPreVote asks the voters whether an election could succeed. It changes no term, so a member that was partitioned
// does not disrupt the group when it reconnects.
func (n *Node) startPreVote() {
	n.resetElectionDeadline()
	if !n.isElectable() {
		return
	}
	n.role, n.leader = RolePreCandidate, ""
	n.votes = map[MemberID]bool{n.config.ID: true}
	if n.hasVotes(true) {
		n.startElection(false)
		return
	}
	n.broadcast(isVoter, Message{
		Type: MessagePreVote, Term: n.term + 1, Index: n.log.last(), LogTerm: n.log.lastTerm(),
	})
}

func (n *Node) startElection(force bool) {
	n.becomeFollower(n.term+1, "")
	n.role, n.vote = RoleCandidate, n.config.ID
	n.votes = map[MemberID]bool{n.config.ID: true}
	n.votersSilence = n.leaderSilence()
	if n.hasVotes(true) {
		n.becomeLeader()
		return
	}
	n.broadcast(isVoter, Message{Type: MessageVote, Index: n.log.last(), LogTerm: n.log.lastTerm(), Force: force})
}

// hasVotes reports whether a quorum granted its votes or, if granted is false, whether a quorum rejected them.
func (n *Node) hasVotes(granted bool) bool {
	voters := n.membership().Voters()
	count := 0
	for _, id := range voters {
		if vote, ok := n.votes[id]; ok && vote == granted {
			count++
		}
	}
	return count > len(voters)/2
}

// isUpToDate reports whether the candidate's log is at least as recent as this member's, by term and index of the last
// entry. It then holds every entry that this member may have helped to commit.
func (n *Node) isUpToDate(m Message) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.Index >= n.log.last()
}

func (n *Node) handlePreVote(m Message) {
	granted := m.Term > n.term && !n.hasLeaderContact() && n.isUpToDate(m)
	reply := Message{To: m.From, Type: MessagePreVoteReply, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	n.send(reply)
}

func (n *Node) handlePreVoteReply(m Message) {
	if n.role != RolePreCandidate || !m.Reject && m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = !m.Reject
	if n.hasVotes(true) {
		n.startElection(false)
	} else if n.hasVotes(false) {
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) handleVote(m Message) {
	canVote := n.vote == m.From || n.vote == "" && n.leader == ""
	granted := canVote && n.isUpToDate(m)
	if granted {
		n.vote = m.From
		n.resetElectionDeadline()
	}
	n.send(Message{To: m.From, Type: MessageVoteReply, Reject: !granted, Age: n.leaderSilence()})
}

func (n *Node) handleVoteReply(m Message) {
	if n.role != RoleCandidate {
		return
	}
	n.votes[m.From] = !m.Reject
	if !m.Reject {
		n.votersSilence = min(n.votersSilence, m.Age)
	}
	if n.hasVotes(true) {
		n.becomeLeader()
	} else if n.hasVotes(false) {
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) becomeLeader() {
	n.check(n.role == RoleCandidate, "became leader without being a candidate", map[string]any{"role": n.role.String()})
	n.role, n.leader = RoleLeader, n.config.ID
	n.votes = nil
	n.quorumLost = false
	n.freshness.openPolls = nil
	n.leaderState = leaderState{
		progress: make(map[MemberID]*progress), deferredPolls: make(map[MemberID]uint64), termStart: n.log.last() + 1,
		electedAt: n.now, formerSilence: n.votersSilence,
	}
	for _, entry := range n.log.entries[n.commit-n.log.offset:] {
		n.leaderState.uncommittedBytes += entry.size()
	}
	n.updateTrackedMembers()
	if p := n.leaderState.progress[n.lastLeader]; p != nil {
		p.silentSince = n.leaderContact
	}
	n.appendEntry(n.firstEntry())
	n.startRound()
}

// firstEntry returns the first entry of a leader's term: earlier entries are committed only together with one of the
// leader's own term. The first leader of a group records the initial membership, so that members that join later find
// it in the log.
func (n *Node) firstEntry() Entry {
	if n.memberships[len(n.memberships)-1].index > 0 {
		return Entry{Kind: EntryNoop}
	}
	return Entry{Kind: EntryMembership, Data: encodeMembership(n.membership())}
}

// hasQuorumContact reports whether a quorum, including this leader, sent messages within the election timeout.
func (n *Node) hasQuorumContact() bool {
	recent := n.quorumValue(func(id MemberID) uint64 {
		p := n.leaderState.progress[id]
		if id == n.config.ID || n.now.Sub(p.lastContact) < n.config.ElectionTimeout {
			return 1
		}
		return 0
	})
	return recent == 1
}

// TransferLeadership hands the leadership to another voter. Proposals are refused until the target is the leader or
// the election timeout has passed. The error is ErrNotLeader or ErrUnknownMember.
func (n *Node) TransferLeadership(now time.Time, to MemberID) error {
	n.setNow(now)
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if to == n.config.ID {
		return nil
	}
	if !n.membership().IsVoter(to) {
		return errors.Wrapf(ErrUnknownMember, "%q is not a voter", to)
	}
	n.leaderState.transferee = to
	n.leaderState.transferDeadline = n.now.Add(n.config.ElectionTimeout)
	n.leaderState.replicationPending = true
	n.continueTransfer(to)
	return nil
}

// continueTransfer asks the target of a leadership transfer to start an election once it holds the whole log.
func (n *Node) continueTransfer(id MemberID) {
	if id == n.leaderState.transferee && n.leaderState.progress[id].match == n.log.last() {
		n.send(Message{To: id, Type: MessageTimeoutNow})
	}
}

func (n *Node) handleTimeoutNow() {
	if n.isElectable() {
		n.startElection(true)
	}
}

// stepDownAfterRemoval gives up the leadership after the removal of this member was committed. It asks the voter with
// the longest confirmed log to start an election at once.
func (n *Node) stepDownAfterRemoval() {
	n.replicateAll()
	voters := n.membership().Voters()
	successor := slices.MaxFunc(voters, func(a, b MemberID) int {
		return int(n.leaderState.progress[a].match) - int(n.leaderState.progress[b].match)
	})
	n.send(Message{To: successor, Type: MessageTimeoutNow})
	n.becomeFollower(n.term, "")
}
