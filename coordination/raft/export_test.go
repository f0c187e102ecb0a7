package raft

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Entries returns the entries that the log holds.
func (n *Node) Entries() []Entry { return n.log.entries }

// Fingerprint describes all state that decides how the node reacts, except for time.
func (n *Node) Fingerprint() string {
	var b strings.Builder
	fmt.Fprint(&b, n.role, n.term, n.vote, n.leader, n.hearsLeader(), n.commit, n.applied, n.log.stable, n.log.offset, n.votes)
	for _, entry := range n.log.entries {
		fmt.Fprint(&b, " ", entry.Term, entry.Kind, string(entry.Data))
	}
	for _, id := range slices.Sorted(maps.Keys(n.leading.progress)) {
		p := n.leading.progress[id]
		fmt.Fprint(&b, " ", p.match, p.next, p.state, p.paused, p.inflight, p.sentCommit)
	}
	return b.String()
}
