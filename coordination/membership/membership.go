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
	// learnerPatience is the silence after which a learner that does not catch up gives way to another candidate.
	learnerPatience = 2 * time.Second
)

// Candidate is a control process that belongs to no group and asks to join.
type Candidate struct {
	ID      raft.MemberID
	Address string
	Zone    string
	Seen    time.Time
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

// waiting lists the candidates that were heard of lately and still hold their address, those of zones with the fewest
// members first.
func (c *Candidates) waiting(now time.Time, status raft.Status) []Candidate {
	members := make(map[string]int)
	for _, member := range status.Membership.Members {
		members[member.Zone]++
	}
	var list []Candidate
	for address, candidate := range c.byAddress {
		if now.Sub(candidate.Seen) > candidateLifetime {
			delete(c.byAddress, address)
			continue
		}
		if _, member := status.Membership.Find(candidate.ID); !member && !outdated(now, status, candidate) {
			list = append(list, candidate)
		}
	}
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(members[a.Zone], members[b.Zone]), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// outdated reports whether a member has been heard at a candidate's address since the candidate was: the process there
// has joined under a later identity.
func outdated(now time.Time, status raft.Status, candidate Candidate) bool {
	return slices.ContainsFunc(status.Membership.Members, func(member raft.Member) bool {
		return member.Address == candidate.Address && !candidate.Seen.After(now.Add(-status.Progress[member.ID].Silence))
	})
}

// Next returns the membership change that the leader proposes now, if any. voters is the number of members that vote
// when nothing has failed.
func Next(now time.Time, status raft.Status, candidates *Candidates, voters int) (raft.MembershipChange, bool) {
	if status.Role != raft.RoleLeader || status.MembershipPending {
		return raft.MembershipChange{}, false
	}
	waiting := candidates.waiting(now, status)
	lost := lostVoters(status, waiting)
	count := len(status.Membership.Voters())
	if count > voters && len(lost) > 0 {
		return raft.MembershipChange{Kind: raft.ChangeRemove, Member: raft.Member{ID: lost[0]}}, true
	}
	for _, member := range status.Membership.Members {
		if !member.Learner {
			continue
		}
		progress := status.Progress[member.ID]
		switch {
		case reborn(member, waiting), progress.Silence > learnerPatience:
			return raft.MembershipChange{Kind: raft.ChangeRemove, Member: raft.Member{ID: member.ID}}, true
		case progress.Match >= status.Commit && progress.SinceContact >= 0:
			return raft.MembershipChange{Kind: raft.ChangePromote, Member: raft.Member{ID: member.ID}}, true
		}
		// One learner at a time: its promotion or removal comes first.
		return raft.MembershipChange{}, false
	}
	if len(waiting) == 0 || count >= voters && len(lost) == 0 {
		return raft.MembershipChange{}, false
	}
	chosen := waiting[0]
	return raft.MembershipChange{Kind: raft.ChangeAddLearner, Member: raft.Member{
		ID: chosen.ID, Address: chosen.Address, Zone: chosen.Zone, Learner: true,
	}}, true
}

// lostVoters lists the voters that should be replaced: first those whose address now belongs to a candidate, which
// proves that their disk is gone, then those that have been silent for long.
func lostVoters(status raft.Status, waiting []Candidate) []raft.MemberID {
	var wiped, silent []raft.MemberID
	for _, member := range status.Membership.Members {
		switch {
		case member.Learner || member.ID == status.ID:
		case reborn(member, waiting) || supplanted(member, status):
			wiped = append(wiped, member.ID)
		case status.Progress[member.ID].Silence > ReplaceAfter:
			silent = append(silent, member.ID)
		}
	}
	return append(wiped, silent...)
}

// reborn reports whether a candidate with another identity answers at a member's address.
func reborn(member raft.Member, waiting []Candidate) bool {
	return slices.ContainsFunc(waiting, func(c Candidate) bool { return c.Address == member.Address && c.ID != member.ID })
}

// supplanted reports whether another member has been heard at the same address since this one was.
func supplanted(member raft.Member, status raft.Status) bool {
	return slices.ContainsFunc(status.Membership.Members, func(other raft.Member) bool {
		return other.ID != member.ID && other.Address == member.Address &&
			status.Progress[other.ID].Silence < status.Progress[member.ID].Silence
	})
}
