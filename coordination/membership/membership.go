// Package membership decides, on the leader of the control members, which control processes are voters of the Raft
// group. It replaces lost members without an operator: members that restart with an empty disk, members that never come
// back, and two such losses at once. It proposes one membership change at a time, and removes a member only after its
// replacement is a voter and holds every committed entry. A second loss right after a replacement therefore loses no
// committed entry.
//
// A voter that leaves as planned is replaced at once if a process asks to join, and ends only after that. If none does,
// it may be a restart: the voter keeps its place, and is released as soon as the group does without it (raft.Release).
package membership

import (
	"cmp"
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/coordination/raft"
)

// candidateLifetime is the time for which an announcement of a candidate is valid. It covers a few announcements, so
// that a lost one does not matter.
const candidateLifetime = 2 * time.Second

const (
	// maxReplaceAfter is longer than a restart (about 1 s) and an election together, so that a member that only restarts
	// stays a voter.
	maxReplaceAfter = 3 * time.Second
	// replaceShare is the share of the time for a repair that passes before a silent member is replaced. The rest is for
	// the change of the membership itself.
	replaceShare = 0.75
	// learnerShare is the ratio of Policy.LearnerTimeout to Policy.ReplaceAfter. A learner is one step from being a voter,
	// so that less is lost if it is given up.
	learnerShare = 2.0 / 3
)

// candidatesKnownAfter is the time after which a new leader knows all processes that ask to join: they do so several
// times a second, and one request to an address that does not respond may come between.
const candidatesKnownAfter = time.Second

// Policy holds the figures by which members are replaced.
type Policy struct {
	// Voters is the number of voters when nothing has failed.
	Voters int
	// ReplaceAfter is the time without contact after which a voter is replaced, if a candidate is available.
	ReplaceAfter time.Duration
	// LearnerTimeout is the time without contact after which a learner is removed in favour of another candidate.
	LearnerTimeout time.Duration
}

// NewPolicy returns the policy of a group in which a repair may take the given time.
func NewPolicy(voters int, repairWithin time.Duration) Policy {
	replaceAfter := min(maxReplaceAfter, time.Duration(replaceShare*float64(repairWithin)))
	return Policy{
		Voters: voters, ReplaceAfter: replaceAfter, LearnerTimeout: time.Duration(learnerShare * float64(replaceAfter)),
	}
}

// Candidate is a control process that belongs to no group and asks to join. LastSeen is the time of its last
// announcement.
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

// Announce records that a candidate asks to join. A new ID at the same address replaces the former one.
func (c *Candidates) Announce(candidate Candidate) {
	if c.byAddress == nil {
		c.byAddress = make(map[string]Candidate)
	}
	c.byAddress[candidate.Address] = candidate
}

// eligible lists the candidates that may be added: their last announcement is still valid, and they are neither members
// nor superseded by one. Candidates in the zones with the fewest members come first. Expired announcements are deleted.
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

// superseded reports whether a member was in contact at the candidate's address after the candidate's last
// announcement: the process at that address has joined under a newer ID.
func superseded(now time.Time, status raft.Status, candidate Candidate) bool {
	return slices.ContainsFunc(status.Membership.Members, func(member raft.Member) bool {
		return member.Address == candidate.Address && !candidate.LastSeen.After(now.Add(-status.Progress[member.ID].Silence))
	})
}

// IsForming reports whether the group has too few voters because its processes are still joining. An entry that is
// committed now would be on too few disks. Processes that do not become voters within ReplaceAfter count as lost, as
// silent voters do.
func (p Policy) IsForming(status raft.Status) bool {
	return len(status.Membership.Voters()) < p.Voters && status.LeaderFor < p.ReplaceAfter
}

// NextChange returns the membership change that the leader should propose now; false if there is none.
func (p Policy) NextChange(now time.Time, status raft.Status, candidates *Candidates) (raft.MembershipChange, bool) {
	if status.Role != raft.RoleLeader || status.MembershipPending {
		return raft.MembershipChange{}, false
	}
	joining := candidates.eligible(now, status)
	replaceable := p.replaceableVoters(status, joining)
	voters := len(status.Membership.Voters())
	if voters > p.Voters && len(replaceable) > 0 {
		return raft.MembershipChange{Kind: raft.ChangeRemove, Member: raft.Member{ID: replaceable[0]}}, true
	}
	for _, member := range status.Membership.Members {
		if !member.Learner {
			continue
		}
		progress := status.Progress[member.ID]
		switch {
		case addressTakenByCandidate(member, joining), progress.Silence > p.LearnerTimeout, progress.Leaving:
			return raft.MembershipChange{Kind: raft.ChangeRemove, Member: raft.Member{ID: member.ID}}, true
		case progress.Match >= status.Commit && progress.SinceContact >= 0:
			return raft.MembershipChange{Kind: raft.ChangePromote, Member: raft.Member{ID: member.ID}}, true
		}
		// Only one learner at a time: it is promoted or removed before another candidate is added.
		return raft.MembershipChange{}, false
	}
	if len(joining) == 0 || voters >= p.Voters && len(replaceable) == 0 {
		return raft.MembershipChange{}, false
	}
	chosen := joining[0]
	return raft.MembershipChange{Kind: raft.ChangeAddLearner, Member: raft.Member{
		ID: chosen.ID, Address: chosen.Address, Zone: chosen.Zone, Learner: true,
	}}, true
}

// NextRelease returns a voter that is leaving and may end if the group keeps a quorum without it; false if there is none.
// A voter for which a process asks to join is not released but replaced.
func (p Policy) NextRelease(now time.Time, status raft.Status, candidates *Candidates) (raft.MemberID, bool) {
	if status.Role != raft.RoleLeader || status.MembershipPending || status.LeaderFor < candidatesKnownAfter {
		return "", false
	}
	hasLearner := slices.ContainsFunc(status.Membership.Members, func(m raft.Member) bool { return m.Learner })
	if hasLearner || len(status.Membership.Voters()) > p.Voters || len(candidates.eligible(now, status)) > 0 {
		return "", false
	}
	var first raft.MemberID
	for _, id := range status.Membership.Voters() {
		progress := status.Progress[id]
		if !progress.Leaving || progress.Released || id == status.ID {
			continue
		}
		if first == "" || progress.LeavingFor > status.Progress[first].LeavingFor {
			first = id
		}
	}
	return first, first != ""
}

// TransferTarget returns the voter to which a leader that is leaving should transfer the leadership: of those that stay
// and are in contact, the one with the longest log. It returns false if there is none; the leader then leads until the
// others that are leaving are replaced.
func TransferTarget(status raft.Status) (raft.MemberID, bool) {
	var target raft.MemberID
	for _, id := range status.Membership.Voters() {
		progress := status.Progress[id]
		if id == status.ID || progress.Leaving || !progress.InContact {
			continue
		}
		if target == "" || progress.Match > status.Progress[target].Match {
			target = id
		}
	}
	return target, target != ""
}

// replaceableVoters lists the voters that should be replaced. First come those whose address is now used by another ID,
// which proves that their disk was lost, then those without contact for longer than ReplaceAfter, then those that are
// leaving: they vote until they are replaced. A voter that was released is expected back.
func (p Policy) replaceableVoters(status raft.Status, joining []Candidate) []raft.MemberID {
	var addressReused, unreachable, leaving []raft.MemberID
	for _, member := range status.Membership.Members {
		switch {
		case member.Learner || member.ID == status.ID:
		case addressTakenByCandidate(member, joining) || addressTakenByMember(member, status):
			addressReused = append(addressReused, member.ID)
		case status.Progress[member.ID].Silence > p.ReplaceAfter:
			unreachable = append(unreachable, member.ID)
		case status.Progress[member.ID].Leaving && !status.Progress[member.ID].Released:
			leaving = append(leaving, member.ID)
		}
	}
	return slices.Concat(addressReused, unreachable, leaving)
}

// addressTakenByCandidate reports whether a candidate with another ID announces the member's address as its own.
func addressTakenByCandidate(member raft.Member, joining []Candidate) bool {
	return slices.ContainsFunc(joining, func(c Candidate) bool { return c.Address == member.Address && c.ID != member.ID })
}

// addressTakenByMember reports whether another member was in contact at the same address more recently than this one.
func addressTakenByMember(member raft.Member, status raft.Status) bool {
	return slices.ContainsFunc(status.Membership.Members, func(other raft.Member) bool {
		return other.ID != member.ID && other.Address == member.Address &&
			status.Progress[other.ID].Silence < status.Progress[member.ID].Silence
	})
}
