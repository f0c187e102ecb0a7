package raft

import (
	"time"

	"github.com/cockroachdb/errors"
)

// maxSnapshotTimeout is the longest time after which a snapshot without a reply is sent again. The time is the election
// timeout at first and doubles with each attempt, so that a slow transfer is not restarted forever.
const maxSnapshotTimeout = time.Minute

// Propose appends commands on the leader and returns the index of the first one and their term. The data must not be
// modified afterwards. A command is accepted once the entry with its index and this term is committed. The error is
// ErrNotLeader, ErrTransferring, ErrTooLarge or ErrOverloaded.
func (n *Node) Propose(now time.Time, data ...[]byte) (first uint64, term uint64, err error) {
	n.setNow(now)
	if err := n.checkProposal(data); err != nil {
		return 0, 0, err
	}
	first = n.log.last() + 1
	for _, command := range data {
		n.appendEntry(Entry{Kind: EntryCommand, Data: command})
	}
	return first, n.term, nil
}

func (n *Node) checkProposal(data [][]byte) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.leaderState.transferee != "" {
		return ErrTransferring
	}
	size := 0
	for _, command := range data {
		if len(command) > MaxEntryBytes {
			return errors.Wrapf(ErrTooLarge, "%d bytes", len(command))
		}
		size += Entry{Data: command}.size()
	}
	// If nothing is uncommitted, a proposal of any size is accepted. Otherwise one above the limit could never succeed.
	if n.leaderState.uncommittedBytes > 0 && n.leaderState.uncommittedBytes+size > n.config.MaxUncommittedBytes {
		return ErrOverloaded
	}
	return nil
}

// appendEntry appends an entry with the next index and the leader's term.
func (n *Node) appendEntry(entry Entry) {
	entry.Index, entry.Term = n.log.last()+1, n.term
	n.leaderState.uncommittedBytes += entry.size()
	n.leaderState.replicationPending = true
	n.appendToLog(entry)
}

// appendToLog appends entries. A membership is in effect as soon as it is in the log.
func (n *Node) appendToLog(entries ...Entry) {
	n.log.append(entries...)
	for _, entry := range entries {
		if entry.Kind == EntryMembership {
			n.addMembership(entry)
		}
	}
}

// replicateAll queues the messages that bring all members up to date.
func (n *Node) replicateAll() {
	n.leaderState.replicationPending = false
	for _, member := range n.membership().Members {
		if member.ID == n.config.ID {
			continue
		}
		p := n.leaderState.progress[member.ID]
		for n.sendAppend(member.ID, p) {
		}
	}
}

// sendAppend queues the next message for a member. It returns whether there may be more to send.
func (n *Node) sendAppend(id MemberID, p *progress) bool {
	if p.state == ProgressSnapshot || p.paused && p.state == ProgressProbe {
		return false
	}
	previous := p.next - 1
	term, ok := n.log.term(previous)
	if !ok {
		n.sendSnapshot(id, p)
		return false
	}
	if p.state == ProgressReplicate && p.next > n.log.last() {
		n.sendCommit(id, p, previous, term)
		return false
	}
	if p.state == ProgressReplicate && len(p.inflight) >= n.config.MaxInflightAppends {
		return false
	}
	entries := n.log.slice(p.next, n.log.last(), n.config.MaxAppendBytes)
	n.send(Message{
		To: id, Type: MessageAppend, Index: previous, LogTerm: term,
		Entries: entries, Commit: n.commit, Round: n.leaderState.round,
	})
	p.recordAppend(previous+uint64(len(entries)), n.commit, n.leaderState.round)
	return p.state == ProgressReplicate
}

// sendCommit announces the commit index at once, so that followers apply without waiting for the next heartbeat.
func (n *Node) sendCommit(id MemberID, p *progress, index, term uint64) {
	if p.sentCommit >= min(n.commit, index) {
		return
	}
	p.sentCommit = n.commit
	n.send(Message{To: id, Type: MessageCommit, Index: index, LogTerm: term, Commit: n.commit})
}

func (n *Node) sendSnapshot(id MemberID, p *progress) {
	if n.now.Sub(p.lastContact) >= n.config.ElectionTimeout {
		// The member is probably unreachable. Its next heartbeat reply makes the leader try again.
		p.startProbe(p.match + 1)
		return
	}
	s := n.snapshot
	p.state = ProgressSnapshot
	p.snapshotIndex, p.snapshotSent, p.appendRound = s.Index, n.now, n.leaderState.round
	p.snapshotTimeout = min(max(2*p.snapshotTimeout, n.config.ElectionTimeout), maxSnapshotTimeout)
	n.send(Message{To: id, Type: MessageSnapshot, Snapshot: &s, Round: n.leaderState.round})
}

func (n *Node) handleAppend(m Message) {
	last := m.Index + uint64(len(m.Entries))
	if last < n.commit {
		n.replyAppend(m, n.commit)
		return
	}
	if m.Index < n.commit {
		// The committed entries are known to match, so only the entries after them are merged.
		m.Entries = m.Entries[n.commit-m.Index:]
		m.Index = n.commit
		m.LogTerm, _ = n.log.term(n.commit)
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hint, term := n.log.conflictHint(m.Index, m.LogTerm)
		n.send(Message{
			To: m.From, Type: MessageAppendReply, Reject: true,
			Index: m.Index, Hint: hint, LogTerm: term, Round: m.Round,
		})
		return
	}
	if !n.mergeEntries(m.Entries) {
		return
	}
	n.commitTo(min(m.Commit, last))
	n.replyAppend(m, last)
}

func (n *Node) replyAppend(m Message, index uint64) {
	n.send(Message{To: m.From, Type: MessageAppendReply, Index: index, Round: m.Round})
}

// mergeEntries appends the entries that the log lacks, after dropping those that they replace.
func (n *Node) mergeEntries(entries []Entry) bool {
	for len(entries) > 0 && n.log.matches(entries[0].Index, entries[0].Term) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return true
	}
	first := entries[0].Index
	if !n.check(first > n.commit, "append would replace a committed entry", map[string]any{"index": first}) {
		return false
	}
	if first <= n.log.last() {
		n.log.truncate(first - 1)
		n.dropMemberships(first - 1)
	}
	n.appendToLog(entries...)
	return true
}

func (n *Node) handleCommit(m Message) {
	if n.log.matches(m.Index, m.LogTerm) {
		n.commitTo(min(m.Commit, m.Index))
	}
}

// commitTo raises the commit index. A lower index has no effect.
func (n *Node) commitTo(index uint64) {
	if index <= n.commit {
		return
	}
	if n.check(index <= n.log.last(), "commit index after the last entry", map[string]any{"index": index}) {
		n.commit = index
	}
}

func (n *Node) handleAppendReply(m Message) {
	p := n.recordContact(m)
	if p == nil {
		return
	}
	n.confirmRounds()
	if m.Reject {
		n.handleAppendReject(m, p)
		return
	}
	if !n.check(m.Index <= n.log.last(), "a member confirmed an entry that the leader's log lacks", map[string]any{"index": m.Index}) {
		return
	}
	p.confirm(m.Index)
	n.leaderState.replicationPending = true
	n.advanceCommit()
	if n.role == RoleLeader {
		n.continueTransfer(m.From)
	}
}

// handleAppendReject moves the next index back to the last one that can match, given the follower's hint.
func (n *Node) handleAppendReject(m Message, p *progress) {
	outdated := m.Index <= p.match || p.state == ProgressProbe && m.Index != p.next-1
	if outdated || p.state == ProgressSnapshot {
		return
	}
	hint, _ := n.log.conflictHint(m.Hint, m.LogTerm)
	p.startProbe(min(m.Index, hint+1))
	n.leaderState.replicationPending = true
}

// recordContact records that the sender is reachable and which heartbeat round it replied to. It returns the progress
// of the sender, or nil if this member is not its leader.
func (n *Node) recordContact(m Message) *progress {
	p := n.leaderState.progress[m.From]
	if p == nil {
		return nil
	}
	p.lastContact, p.silentSince, p.contacted = n.now, n.now, true
	p.repliedRound = max(p.repliedRound, m.Round)
	n.recordDeparture(m, p)
	return p
}

// advanceCommit commits the entries that a quorum has made durable. Entries of earlier terms are committed only
// together with one of the leader's own term, because a later leader could still replace them.
func (n *Node) advanceCommit() {
	index := n.quorumValue(func(id MemberID) uint64 { return n.leaderState.progress[id].match })
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	for _, entry := range n.log.entries[n.commit-n.log.offset : index-n.log.offset] {
		n.leaderState.uncommittedBytes -= entry.size()
	}
	firstCommitOfTerm := n.commit < n.leaderState.termStart
	n.commitTo(index)
	n.leaderState.replicationPending = true
	if _, ok := n.membership().Find(n.config.ID); !ok && !n.membershipPending() {
		n.stepDownAfterRemoval()
		return
	}
	if firstCommitOfTerm {
		// Heartbeat rounds that start from now on confirm the state as current.
		n.startRound()
	}
}

func (n *Node) handleHeartbeat(m Message) {
	n.commitTo(min(m.Commit, n.log.last()))
	reply := Message{To: m.From, Type: MessageHeartbeatReply, Round: m.Round, Index: n.log.last()}
	if !n.now.Before(n.freshness.nextPoll) {
		reply.Poll = n.startPoll()
	}
	n.send(reply)
}

func (n *Node) handleHeartbeatReply(m Message) {
	p := n.recordContact(m)
	if p == nil {
		return
	}
	n.confirmRounds()
	if m.Poll != 0 {
		n.replyToPoll(m)
	}
	n.resendLost(m, p)
	n.continueTransfer(m.From)
}

// resendLost handles appends and snapshots without a reply from a member that has replied to a later heartbeat round:
// the message or its reply may be lost.
func (n *Node) resendLost(m Message, p *progress) {
	if m.Round <= p.appendRound {
		return
	}
	switch {
	case p.state == ProgressProbe:
		p.paused = false
		n.leaderState.replicationPending = true
	case p.state == ProgressReplicate && p.match < p.next-1:
		// The member may only be slow to write the entries. Its reply to an empty append shows whether they are missing.
		term, _ := n.log.term(p.next - 1)
		p.appendRound = n.leaderState.round
		n.send(Message{
			To: m.From, Type: MessageAppend, Index: p.next - 1, LogTerm: term, Commit: n.commit, Round: n.leaderState.round,
		})
	case p.state == ProgressSnapshot && n.now.Sub(p.snapshotSent) >= p.snapshotTimeout:
		// The probe sends the snapshot again only if the member lacks it: the lost message may have been the reply.
		p.startProbe(min(m.Index, p.snapshotIndex) + 1)
		n.leaderState.replicationPending = true
	}
}

func (n *Node) handleSnapshot(m Message) {
	s := *m.Snapshot
	if s.Index <= n.commit {
		n.replyAppend(m, n.commit)
		return
	}
	if n.log.matches(s.Index, s.Term) {
		n.commitTo(s.Index)
		n.replyAppend(m, s.Index)
		return
	}
	n.log.reset(s)
	n.commit = s.Index
	n.snapshot = s
	n.pendingSnapshot = &s
	n.memberships = []membershipRecord{{index: s.Index, membership: s.Membership}}
	n.replyAppend(m, s.Index)
}

// NewSnapshot returns a snapshot of the application's state at an applied index, with the term and membership at that
// index. The caller makes it durable, then calls Compact. The error is ErrInvalidSnapshot.
func (n *Node) NewSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index == 0 || index < n.snapshot.Index || index > n.applied {
		return Snapshot{}, errors.Wrapf(ErrInvalidSnapshot, "index %d, applied %d", index, n.applied)
	}
	return Snapshot{Index: index, Term: term, Membership: n.membershipAt(index), Data: data}, nil
}

// Compact removes the log entries that a durable snapshot covers, except for the last Config.TrailingEntries of them.
// The error is ErrInvalidSnapshot.
func (n *Node) Compact(snapshot Snapshot) error {
	if snapshot.Index <= n.snapshot.Index {
		return nil
	}
	if snapshot.Index > n.applied || !n.log.matches(snapshot.Index, snapshot.Term) {
		return errors.Wrapf(ErrInvalidSnapshot, "index %d of term %d, applied %d", snapshot.Index, snapshot.Term, n.applied)
	}
	n.snapshot = snapshot
	trailing := uint64(n.config.TrailingEntries)
	if snapshot.Index > trailing {
		n.log.compact(min(snapshot.Index-trailing, n.log.stable))
	}
	n.compactMemberships(snapshot.Index)
	return nil
}

// startRound sends a heartbeat to each member. The replies of a quorum keep the leadership and confirm the leader's
// state as current.
func (n *Node) startRound() {
	n.leaderState.round++
	n.leaderState.rounds = append(n.leaderState.rounds, round{number: n.leaderState.round, start: n.now, commit: n.commit})
	n.leaderState.nextHeartbeat = n.now.Add(n.config.HeartbeatInterval)
	for _, member := range n.membership().Members {
		if member.ID == n.config.ID {
			continue
		}
		n.send(Message{
			To: member.ID, Type: MessageHeartbeat, Round: n.leaderState.round,
			Commit: min(n.commit, n.leaderState.progress[member.ID].match),
		})
	}
	n.leaderState.progress[n.config.ID].repliedRound = n.leaderState.round
	n.confirmRounds()
}

// round is one heartbeat round of a leader, with its start time and the commit index at that time.
type round struct {
	number uint64
	start  time.Time
	commit uint64
}
