package raft

// HasReady reports whether Ready would return work. It returns false while a Ready is outstanding.
func (n *Node) HasReady() bool {
	if n.readyPending {
		return false
	}
	return n.mustSync() || n.leaderState.replicationPending || len(n.earlyMessages)+len(n.messages) > 0 || n.applied < n.commit
}

// mustSync reports whether there is something to make durable. A commit index alone need not be: the member learns it
// again from the leader after a restart.
func (n *Node) mustSync() bool {
	return n.hardStateChanged() || n.pendingSnapshot != nil || n.log.stable < n.log.last()
}

func (n *Node) hardStateChanged() bool {
	return n.term != n.persistedTerm || n.vote != n.persistedVote
}

// Ready returns the next batch of work. Every batch is followed by Advance; Tick, Step and Propose may be called in
// between, so that a write does not delay them.
func (n *Node) Ready() Ready {
	if !n.check(!n.readyPending, "Ready called before Advance", map[string]any{}) {
		return Ready{}
	}
	n.replicatePending()
	r := Ready{
		HardState:     HardState{Term: n.term, Vote: n.vote, Commit: n.commit},
		MustSync:      n.mustSync(),
		Entries:       n.log.unstable(),
		Snapshot:      n.pendingSnapshot,
		EarlyMessages: n.earlyMessages,
		Messages:      n.messages,
	}
	if n.pendingSnapshot == nil && n.applied < n.commit {
		r.Committed = n.log.slice(n.applied+1, n.commit, n.config.MaxAppendBytes)
	}
	if n.hardStateChanged() {
		// If the member crashed before the write, it would forget the new term and could use the same term again with
		// other entries. So even early messages wait for the write.
		r.EarlyMessages, r.Messages = nil, append(r.EarlyMessages, r.Messages...)
	}
	n.earlyMessages, n.messages = nil, nil
	n.readyPending = true
	return r
}

func (n *Node) replicatePending() {
	if n.role == RoleLeader && n.leaderState.replicationPending {
		n.replicateAll()
	}
}

// TakeEarlyMessages returns messages that may be sent at once although a Ready is outstanding. A caller that writes in
// another goroutine uses it to send heartbeats and new entries during a slow write.
func (n *Node) TakeEarlyMessages() []Message {
	if n.hardStateChanged() {
		return nil
	}
	n.replicatePending()
	early := n.earlyMessages
	n.earlyMessages = nil
	return early
}

// Advance reports that a batch was persisted, sent and applied.
func (n *Node) Advance(r Ready) {
	if !n.check(n.readyPending, "Advance called without Ready", map[string]any{}) {
		return
	}
	n.readyPending = false
	n.persistedTerm, n.persistedVote = r.HardState.Term, r.HardState.Vote
	if r.Snapshot != nil {
		n.advanceApplied(r.Snapshot.Index)
		if n.pendingSnapshot == r.Snapshot {
			n.pendingSnapshot = nil
		}
	}
	if count := len(r.Entries); count > 0 {
		n.log.markStable(r.Entries[count-1].Index, r.Entries[count-1].Term)
	}
	if count := len(r.Committed); count > 0 {
		n.advanceApplied(r.Committed[count-1].Index)
	}
	n.freshness.applyConfirmations(n.applied)
	if n.role == RoleLeader {
		n.leaderState.progress[n.config.ID].match = n.log.stable
		n.advanceCommit()
	}
}

func (n *Node) advanceApplied(index uint64) {
	if n.check(index >= n.applied && index <= n.commit, "applied index decreased or is after the commit index", map[string]any{"index": index}) {
		n.applied = index
	}
}
