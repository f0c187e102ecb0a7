package raft

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Entries returns the entries that the log holds.
func (n *Node) Entries() []Entry { return n.log.entries }

// Clone returns an independent copy. It shares only the random source.
func (n *Node) Clone() *Node {
	c := *n
	c.log.entries = slices.Clone(n.log.entries)
	c.memberships = slices.Clone(n.memberships)
	c.votes = maps.Clone(n.votes)
	c.leading.rounds = slices.Clone(n.leading.rounds)
	c.leading.heldPolls = maps.Clone(n.leading.heldPolls)
	c.leading.progress = maps.Clone(n.leading.progress)
	for id, p := range c.leading.progress {
		copied := *p
		copied.inflight = slices.Clone(p.inflight)
		c.leading.progress[id] = &copied
	}
	c.freshness.waiting = slices.Clone(n.freshness.waiting)
	c.freshness.polls = slices.Clone(n.freshness.polls)
	c.early, c.after = slices.Clone(n.early), slices.Clone(n.after)
	return &c
}

// Fingerprint describes all state that decides how the node reacts.
func (n *Node) Fingerprint() string {
	var b strings.Builder
	fmt.Fprint(&b, n.role, n.term, n.vote, n.leader, n.hearsLeader(), n.commit, n.applied, n.log.stable, n.votes,
		n.leading.round, n.leading.nextHeartbeat, n.now, n.electionDeadline, n.freshness,
		n.leading.confirmed)
	for _, entry := range n.log.entries {
		fmt.Fprint(&b, " ", entry.Term, entry.Kind, string(entry.Data))
	}
	for _, id := range slices.Sorted(maps.Keys(n.leading.heldPolls)) {
		fmt.Fprint(&b, " ", id, n.leading.heldPolls[id])
	}
	for _, id := range slices.Sorted(maps.Keys(n.leading.progress)) {
		p := n.leading.progress[id]
		fmt.Fprint(&b, " ", p.match, p.next, p.state, p.paused, p.inflight, p.sentCommit, p.answered, p.sendRound, p.contact)
	}
	return b.String()
}
