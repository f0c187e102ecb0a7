package raft

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// setFirstDeadline draws a shorter timeout for a member that has just started: when all members return at the same moment,
// there is no leader to wait for. If there is one, the pre-vote fails and changes nothing.
func (n *Node) setFirstDeadline() {
	shortest := n.config.ElectionTimeout / 8
	n.electionDeadline = n.now.Add(shortest + time.Duration(n.rng.Int63n(int64(3*shortest)+1)))
}

// resetElectionDeadline draws a timeout between 1 and 1.5 election timeouts, so that members rarely start together.
func (n *Node) resetElectionDeadline() {
	timeout := n.config.ElectionTimeout
	n.electionDeadline = n.now.Add(timeout + time.Duration(n.rng.Int63n(int64(timeout)/2+1)))
}

// hearsLeader reports whether there is a leader, to this member's knowledge. A leader without a quorum steps down by
// itself.
func (n *Node) hearsLeader() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.leader != "" && n.now.Sub(n.leaderContact) < n.config.ElectionTimeout
}

func (n *Node) becomeFollower(term uint64, leader MemberID) {
	n.check(term >= n.term, "term moves back", map[string]any{"new": term})
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader = RoleFollower, leader
	if leader != "" {
		n.leaderContact = n.now
		n.quorumLost = false
	}
	n.votes = nil
	n.leading = leading{}
	n.freshness.forgetRounds()
	n.resetElectionDeadline()
}

// isElectable reports whether this member may start an election.
func (n *Node) isElectable() bool {
	return n.membership().IsVoter(n.config.ID) && n.pendingSnapshot == nil
}

// startPreVote asks whether an election could succeed. It changes no term, so a member that was cut off does not
// disrupt the group when it returns.
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
	if n.hasVotes(true) {
		n.becomeLeader()
		return
	}
	n.broadcast(isVoter, Message{Type: MessageVote, Index: n.log.last(), LogTerm: n.log.lastTerm(), Force: force})
}

// hasVotes reports whether a quorum answered with granted.
func (n *Node) hasVotes(granted bool) bool {
	voters := n.membership().Voters()
	count := 0
	for _, id := range voters {
		if answer, ok := n.votes[id]; ok && answer == granted {
			count++
		}
	}
	return count > len(voters)/2
}

// isUpToDate reports whether the candidate's log holds every entry that this member may have helped to commit.
func (n *Node) isUpToDate(m Message) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.Index >= n.log.last()
}

func (n *Node) handlePreVote(m Message) {
	granted := m.Term > n.term && !n.hearsLeader() && n.isUpToDate(m)
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
	free := n.vote == m.From || n.vote == "" && n.leader == ""
	granted := free && n.isUpToDate(m)
	if granted {
		n.vote = m.From
		n.resetElectionDeadline()
	}
	n.send(Message{To: m.From, Type: MessageVoteReply, Reject: !granted})
}

func (n *Node) handleVoteReply(m Message) {
	if n.role != RoleCandidate {
		return
	}
	n.votes[m.From] = !m.Reject
	if n.hasVotes(true) {
		n.becomeLeader()
	} else if n.hasVotes(false) {
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) becomeLeader() {
	n.check(n.role == RoleCandidate, "leader without an election", map[string]any{"role": n.role.String()})
	n.role, n.leader = RoleLeader, n.config.ID
	n.votes = nil
	n.quorumLost = false
	n.freshness.polls = nil
	n.leading = leading{
		progress: make(map[MemberID]*progress), heldPolls: make(map[MemberID]uint64), termStart: n.log.last() + 1,
	}
	for _, entry := range n.log.entries[n.commit-n.log.offset:] {
		n.leading.uncommittedBytes += entry.size()
	}
	n.updateProgress()
	n.appendEntry(n.firstEntry())
	n.startRound()
}

// firstEntry returns the entry that lets a new leader commit. The first leader of a group records the initial
// membership, so that members that join later find it in the log.
func (n *Node) firstEntry() Entry {
	if n.memberships[len(n.memberships)-1].index > 0 {
		return Entry{Kind: EntryNoop}
	}
	return Entry{Kind: EntryMembership, Data: encodeMembership(n.membership())}
}

// hasQuorumContact reports whether a quorum was heard from within the election timeout.
func (n *Node) hasQuorumContact() bool {
	recent := n.quorumValue(func(id MemberID) uint64 {
		p := n.leading.progress[id]
		if id == n.config.ID || n.now.Sub(p.contact) < n.config.ElectionTimeout {
			return 1
		}
		return 0
	})
	return recent == 1
}

// TransferLeadership hands the leadership to another voter. Proposals are refused until the target has taken over or
// the election timeout has passed.
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
	n.leading.transferee = to
	n.leading.transferDeadline = n.now.Add(n.config.ElectionTimeout)
	n.leading.replicate = true
	n.continueTransfer(to)
	return nil
}

// continueTransfer asks the target to take over once it holds the whole log.
func (n *Node) continueTransfer(id MemberID) {
	if id == n.leading.transferee && n.leading.progress[id].match == n.log.last() {
		n.send(Message{To: id, Type: MessageTimeoutNow})
	}
}

func (n *Node) handleTimeoutNow() {
	if n.isElectable() {
		n.startElection(true)
	}
}

// resign steps down after the removal of this member, and lets the member with the longest log take over at once.
func (n *Node) resign() {
	n.replicateAll()
	voters := n.membership().Voters()
	successor := slices.MaxFunc(voters, func(a, b MemberID) int {
		return int(n.leading.progress[a].match) - int(n.leading.progress[b].match)
	})
	n.send(Message{To: successor, Type: MessageTimeoutNow})
	n.becomeFollower(n.term, "")
}
