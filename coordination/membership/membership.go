// Package membership decides, on the leader of the control members, which instances vote. It answers the loss of
// members without an operator: disks that come back empty, instances that are gone for good and return elsewhere, and
// two such losses at once. A change is proposed only one step at a time, and a member is removed only after its
// replacement holds everything that is committed and votes, so that a second loss right after a repair loses nothing.
package membership

import (
	"cmp"
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/coordination/raft"
)

const (
	// ReplaceAfter is the silence after which a voter is replaced by a waiting candidate. It is longer than a restart
	// (about 1 s) and an election, so that a member that is only restarted keeps its vote.
	ReplaceAfter = 3 * time.Second
	// candidateLifetime is the time for which a candidate counts as waiting after it was last heard of. It covers a few
	// of its announcements.
	candidateLifetime = 2 * time.Second
	// learnerTimeout is the silence after which a learner that does not catch up gives way to another candidate.
	learnerTimeout = 2 * time.Second
)

// Candidate is a control process that belongs to no group and asks to join.
type Candidate struct {
	ID       raft.MemberID
	Address  string
	Zone     string
	LastSeen time.Time
}

// Candidates holds the control processes that ask to join. It is not safe for concurrent use.
type Candidates struct {
	byAddress map[string]Candidate
}

// Announce notes that a candidate asks to join. A later identity at the same address replaces the earlier one.
func (c *Candidates) Announce(candidate Candidate) {
	if c.byAddress == nil {
		c.byAddress = make(map[string]Candidate)
	}
	c.byAddress[candidate.Address] = candidate
}

// eligible lists the candidates that were heard of lately and still hold their address, those of zones with the fewest
// members first.
func (c *Candidates) eligible(now time.Time, status raft.Status) []Candidate {
	members := make(map[string]int)
	for _, member := range status.Membership.Members {
		members[member.Zone]++
	}
	var list []Candidate
	for address, candidate := range c.byAddress {
		if now.Sub(candidate.LastSeen) > candidateLifetime {
			delete(c.byAddress, address)
			continue
		}
		if _, member := status.Membership.Find(candidate.ID); !member && !superseded(now, status, candidate) {
			list = append(list, candidate)
		}
	}
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(members[a.Zone], members[b.Zone]), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// superseded reports whether a member has been heard at a candidate's address since the candidate was: the process there
// has joined under a later identity.
func superseded(now time.Time, status raft.Status, candidate Candidate) bool {
	return slices.ContainsFunc(status.Membership.Members, func(member raft.Member) bool {
		return member.Address == candidate.Address && !candidate.LastSeen.After(now.Add(-status.Progress[member.ID].Silence))
	})
}

// NextChange returns the membership change that the leader proposes now, if any. voters is the number of members that vote
// when nothing has failed.
func NextChange(now time.Time, status raft.Status, candidates *Candidates, targetVoters int) (raft.MembershipChange, bool) {
	if status.Role != raft.RoleLeader || status.MembershipPending {
		return raft.MembershipChange{}, false
	}
	joining := candidates.eligible(now, status)
	replaceable := replaceableVoters(status, joining)
	voters := len(status.Membership.Voters())
	if voters > targetVoters && len(replaceable) > 0 {
		return raft.MembershipChange{Kind: raft.ChangeRemove, Member: raft.Member{ID: replaceable[0]}}, true
	}
	for _, member := range status.Membership.Members {
		if !member.Learner {
			continue
		}
		progress := status.Progress[member.ID]
		switch {
		case addressTakenByCandidate(member, joining), progress.Silence > learnerTimeout:
			return raft.MembershipChange{Kind: raft.ChangeRemove, Member: raft.Member{ID: member.ID}}, true
		case progress.Match >= status.Commit && progress.SinceContact >= 0:
			return raft.MembershipChange{Kind: raft.ChangePromote, Member: raft.Member{ID: member.ID}}, true
		}
		// One learner at a time: its promotion or removal comes first.
		return raft.MembershipChange{}, false
	}
	if len(joining) == 0 || voters >= targetVoters && len(replaceable) == 0 {
		return raft.MembershipChange{}, false
	}
	chosen := joining[0]
	return raft.MembershipChange{Kind: raft.ChangeAddLearner, Member: raft.Member{
		ID: chosen.ID, Address: chosen.Address, Zone: chosen.Zone, Learner: true,
	}}, true
}

// replaceableVoters lists the voters that should be replaced: first those whose address now belongs to a candidate, which
// proves that their disk is gone, then those that have been silent for long.
func replaceableVoters(status raft.Status, joining []Candidate) []raft.MemberID {
	var wiped, silent []raft.MemberID
	for _, member := range status.Membership.Members {
		switch {
		case member.Learner || member.ID == status.ID:
		case addressTakenByCandidate(member, joining) || addressTakenByMember(member, status):
			wiped = append(wiped, member.ID)
		case status.Progress[member.ID].Silence > ReplaceAfter:
			silent = append(silent, member.ID)
		}
	}
	return append(wiped, silent...)
}

// addressTakenByCandidate reports whether a candidate with another identity answers at a member's address.
func addressTakenByCandidate(member raft.Member, joining []Candidate) bool {
	return slices.ContainsFunc(joining, func(c Candidate) bool { return c.Address == member.Address && c.ID != member.ID })
}

// addressTakenByMember reports whether another member has been heard at the same address since this one was.
func addressTakenByMember(member raft.Member, status raft.Status) bool {
	return slices.ContainsFunc(status.Membership.Members, func(other raft.Member) bool {
		return other.ID != member.ID && other.Address == member.Address &&
			status.Progress[other.ID].Silence < status.Progress[member.ID].Silence
	})
}
