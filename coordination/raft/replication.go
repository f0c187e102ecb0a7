package raft

import (
	"time"

	"github.com/cockroachdb/errors"
)

// maxSnapshotWait bounds the time after which a snapshot that seems lost is sent again. The wait starts at the election
// timeout and doubles, so that a slow transfer is not repeated forever.
const maxSnapshotWait = time.Minute

// Propose appends commands on the leader and returns the index of the first one and their term. The data must not be
// modified afterwards. A command is accepted once an entry with this index and term is committed.
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
	if n.leading.transferee != "" {
		return ErrTransferring
	}
	size := 0
	for _, command := range data {
		if len(command) > MaxEntryBytes {
			return errors.Wrapf(ErrTooLarge, "%d bytes", len(command))
		}
		size += Entry{Data: command}.size()
	}
	// The first proposal passes in any case, so that no accepted size can block for good.
	if n.leading.uncommittedBytes > 0 && n.leading.uncommittedBytes+size > n.config.MaxUncommittedBytes {
		return ErrOverloaded
	}
	return nil
}

// appendEntry adds an entry of the leader's term.
func (n *Node) appendEntry(entry Entry) {
	entry.Index, entry.Term = n.log.last()+1, n.term
	n.leading.uncommittedBytes += entry.size()
	n.leading.replicate = true
	n.appendToLog(entry)
}

// appendToLog adds entries. A membership is in effect as soon as it is in the log.
func (n *Node) appendToLog(entries ...Entry) {
	n.log.append(entries...)
	for _, entry := range entries {
		if entry.Kind == EntryMembership {
			n.addMembership(entry)
		}
	}
}

// replicateAll queues appends for all members.
func (n *Node) replicateAll() {
	n.leading.replicate = false
	for _, member := range n.membership().Members {
		if member.ID == n.config.ID {
			continue
		}
		p := n.leading.progress[member.ID]
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
		Entries: entries, Commit: n.commit, Round: n.leading.round,
	})
	p.sent(previous+uint64(len(entries)), n.commit, n.leading.round)
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
	if n.now.Sub(p.contact) >= n.config.ElectionTimeout {
		// The member is probably unreachable. Its next heartbeat reply continues the probe.
		p.probe(p.match + 1)
		return
	}
	s := n.snapshot
	p.state = ProgressSnapshot
	p.snapshotIndex, p.snapshotSent, p.sendRound = s.Index, n.now, n.leading.round
	p.snapshotWait = min(max(2*p.snapshotWait, n.config.ElectionTimeout), maxSnapshotWait)
	n.send(Message{To: id, Type: MessageSnapshot, Snapshot: &s, Round: n.leading.round})
}

func (n *Node) handleAppend(m Message) {
	last := m.Index + uint64(len(m.Entries))
	if last < n.commit {
		n.replyAppend(m, n.commit)
		return
	}
	if m.Index < n.commit {
		// The committed prefix is known to match.
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
	if !n.check(first > n.commit, "replaces a committed entry", map[string]any{"index": first}) {
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

// commitTo raises the commit index.
func (n *Node) commitTo(index uint64) {
	if index <= n.commit {
		return
	}
	if n.check(index <= n.log.last(), "commit index after the last entry", map[string]any{"index": index}) {
		n.commit = index
	}
}

func (n *Node) handleAppendReply(m Message) {
	p := n.noteContact(m)
	if p == nil {
		return
	}
	n.noteRound()
	if m.Reject {
		n.handleAppendReject(m, p)
		return
	}
	if !n.check(m.Index <= n.log.last(), "confirmed entry does not exist", map[string]any{"index": m.Index}) {
		return
	}
	p.confirm(m.Index)
	n.leading.replicate = true
	n.advanceCommit()
	if n.role == RoleLeader {
		n.continueTransfer(m.From)
	}
}

// handleAppendReject moves back to the last index that can match, given the follower's hint.
func (n *Node) handleAppendReject(m Message, p *progress) {
	outdated := m.Index <= p.match || p.state == ProgressProbe && m.Index != p.next-1
	if outdated || p.state == ProgressSnapshot {
		return
	}
	hint, _ := n.log.conflictHint(m.Hint, m.LogTerm)
	p.probe(min(m.Index, hint+1))
	n.leading.replicate = true
}

// noteContact returns the progress of the sender, or nil if this member does not lead it.
func (n *Node) noteContact(m Message) *progress {
	p := n.leading.progress[m.From]
	if p == nil {
		return nil
	}
	p.contact, p.heard = n.now, true
	p.answered = max(p.answered, m.Round)
	return p
}

// advanceCommit commits what a quorum has synced. Entries of earlier terms are committed only together with one of the
// leader's own term.
func (n *Node) advanceCommit() {
	index := n.quorumValue(func(id MemberID) uint64 { return n.leading.progress[id].match })
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	for _, entry := range n.log.entries[n.commit-n.log.offset : index-n.log.offset] {
		n.leading.uncommittedBytes -= entry.size()
	}
	first := n.commit < n.leading.termStart
	n.commitTo(index)
	n.leading.replicate = true
	if _, ok := n.membership().Find(n.config.ID); !ok && !n.membershipPending() {
		n.resign()
		return
	}
	if first {
		// Rounds from here on confirm the state as current.
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
	p := n.noteContact(m)
	if p == nil {
		return
	}
	n.noteRound()
	if m.Poll != 0 {
		n.answerPoll(m)
	}
	n.checkLost(m, p)
	n.continueTransfer(m.From)
}

// checkLost handles appends that were sent before a round which the member has answered, but that are unanswered
// themselves: the append or its reply may be lost.
func (n *Node) checkLost(m Message, p *progress) {
	if m.Round <= p.sendRound {
		return
	}
	switch {
	case p.state == ProgressProbe:
		p.paused = false
		n.leading.replicate = true
	case p.state == ProgressReplicate && p.match < p.next-1:
		// An empty append finds out without sending the entries again: the member may only be slow to sync them.
		term, _ := n.log.term(p.next - 1)
		p.sendRound = n.leading.round
		n.send(Message{
			To: m.From, Type: MessageAppend, Index: p.next - 1, LogTerm: term, Commit: n.commit, Round: n.leading.round,
		})
	case p.state == ProgressSnapshot && n.now.Sub(p.snapshotSent) >= p.snapshotWait:
		// The snapshot is sent again only if the member does not have it: its reply may be the message that was lost.
		p.probe(min(m.Index, p.snapshotIndex) + 1)
		n.leading.replicate = true
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

// NewSnapshot completes an application snapshot at an applied index with its term and membership. The caller makes it
// durable, then calls Compact.
func (n *Node) NewSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index == 0 || index < n.snapshot.Index || index > n.applied {
		return Snapshot{}, errors.Wrapf(ErrInvalidSnapshot, "index %d, applied %d", index, n.applied)
	}
	return Snapshot{Index: index, Term: term, Membership: n.membershipAt(index), Data: data}, nil
}

// Compact drops log entries that a durable snapshot covers, except for the trailing ones.
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

// startRound sends a heartbeat round. Its answers keep the leadership and confirm the state as current.
func (n *Node) startRound() {
	n.leading.round++
	n.leading.rounds = append(n.leading.rounds, round{number: n.leading.round, start: n.now, commit: n.commit})
	n.leading.nextHeartbeat = n.now.Add(n.config.HeartbeatInterval)
	for _, member := range n.membership().Members {
		if member.ID == n.config.ID {
			continue
		}
		n.send(Message{
			To: member.ID, Type: MessageHeartbeat, Round: n.leading.round,
			Commit: min(n.commit, n.leading.progress[member.ID].match),
		})
	}
	n.leading.progress[n.config.ID].answered = n.leading.round
	n.noteRound()
}

// round is one heartbeat round of a leader.
type round struct {
	number uint64
	start  time.Time
	commit uint64
}
