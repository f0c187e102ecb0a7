package raft

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Entries returns the entries that the log holds.
func (n *Node) Entries() []Entry { return n.log.entries }

// Clone returns an independent copy, which shares only the random source with n.
func (n *Node) Clone() *Node {
	c := *n
	c.log.entries = slices.Clone(n.log.entries)
	c.memberships = slices.Clone(n.memberships)
	c.votes = maps.Clone(n.votes)
	c.leaderState.rounds = slices.Clone(n.leaderState.rounds)
	c.leaderState.deferredPolls = maps.Clone(n.leaderState.deferredPolls)
	c.leaderState.progress = maps.Clone(n.leaderState.progress)
	for id, p := range c.leaderState.progress {
		copied := *p
		copied.inflight = slices.Clone(p.inflight)
		c.leaderState.progress[id] = &copied
	}
	c.freshness.pending = slices.Clone(n.freshness.pending)
	c.freshness.openPolls = slices.Clone(n.freshness.openPolls)
	c.earlyMessages, c.messages = slices.Clone(n.earlyMessages), slices.Clone(n.messages)
	return &c
}

// Fingerprint encodes all state on which the node's reactions depend.
func (n *Node) Fingerprint() string {
	var b strings.Builder
	fmt.Fprint(&b, n.role, n.term, n.vote, n.leader, n.hasLeaderContact(), n.commit, n.applied, n.log.stable, n.votes,
		n.leaderState.round, n.leaderState.nextHeartbeat, n.now, n.electionDeadline, n.freshness,
		n.leaderState.stateConfirmed)
	for _, entry := range n.log.entries {
		fmt.Fprint(&b, " ", entry.Term, entry.Kind, string(entry.Data))
	}
	for _, id := range slices.Sorted(maps.Keys(n.leaderState.deferredPolls)) {
		fmt.Fprint(&b, " ", id, n.leaderState.deferredPolls[id])
	}
	for _, id := range slices.Sorted(maps.Keys(n.leaderState.progress)) {
		p := n.leaderState.progress[id]
		fmt.Fprint(&b, " ", p.match, p.next, p.state, p.paused, p.inflight, p.sentCommit, p.repliedRound, p.appendRound, p.lastContact)
	}
	return b.String()
}
