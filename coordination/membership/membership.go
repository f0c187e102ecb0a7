// Package membership decides, on the leader of the control members, which control processes are voters of the Raft
// group. It replaces lost members without an operator: members that restart with an empty disk, members that never come
// back, and two such losses at once. It proposes one membership change at a time, and removes a member only after its
// replacement is a voter and holds every committed entry. A second loss right after a replacement therefore loses no
// committed entry.
//
// The voters stand where the Placement wants them: a voter is replaced only by a process with which the placement is no
// worse, and moves, without having failed, if a process that asks to join improves the placement.
//
// A voter that leaves as planned is replaced at once if a process asks to join, and ends only after that. If none does,
// it may be a restart: the voter keeps its place, and is released as soon as the group does without it (raft.Release).
package membership

import (
	"cmp"
	"math"
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
	// Placement says where they stand. The zero value lets them stand anywhere.
	Placement Placement
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
	if surplus, ok := p.surplusVoter(status, joining); ok {
		return raft.MembershipChange{Kind: raft.ChangeRemove, Member: raft.Member{ID: surplus}}, true
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
	chosen, ok := p.nextVoter(status, joining)
	if !ok {
		return raft.MembershipChange{}, false
	}
	return raft.MembershipChange{Kind: raft.ChangeAddLearner, Member: raft.Member{
		ID: chosen.ID, Address: chosen.Address, Zone: chosen.Zone, Learner: true,
	}}, true
}

// Shortfall returns by how many voters the group fails the rule of its placement; 0 unless the status is the leader's.
func (p Policy) Shortfall(status raft.Status) int {
	if status.Role != raft.RoleLeader {
		return 0
	}
	return p.Placement.Shortfall(zonesWithout(votersOf(status), ""))
}

// surplusVoter returns the voter that is to be removed, now that there is one too many: one whose disk is lost, or of those
// that should be replaced or whose removal improves the placement, the one without which the placement is best.
func (p Policy) surplusVoter(status raft.Status, joining []Candidate) (raft.MemberID, bool) {
	voters := votersOf(status)
	if len(voters) <= p.Voters {
		return "", false
	}
	diskLost, absent := p.replaceableVoters(status, joining)
	if len(diskLost) > 0 {
		return diskLost[0], true
	}
	var chosen raft.MemberID
	least := math.MaxInt
	for _, id := range absent {
		if shortfall := p.Placement.Shortfall(zonesWithout(voters, id)); shortfall < least {
			chosen, least = id, shortfall
		}
	}
	least = min(least, p.Placement.Shortfall(zonesWithout(voters, "")))
	for _, voter := range voters {
		// A leader can't remove itself without an election, and another voter of its zone can go as well.
		if voter.ID == status.ID {
			continue
		}
		if shortfall := p.Placement.Shortfall(zonesWithout(voters, voter.ID)); shortfall < least {
			chosen, least = voter.ID, shortfall
		}
	}
	return chosen, chosen != ""
}

// nextVoter returns the candidate that is to become a voter: to complete the group, in the place of a voter that should be
// replaced, or to improve the placement. It returns false if none is needed, or none may take the place. While a zone is
// away its voter keeps its place: it has the entries on its disk, and a second voter in another zone could share the only
// copies of later ones with the first.
func (p Policy) nextVoter(status raft.Status, joining []Candidate) (Candidate, bool) {
	voters := votersOf(status)
	if len(voters) < p.Voters {
		chosen, _, ok := p.bestCandidate(zonesWithout(voters, ""), joining)
		return chosen, ok
	}
	diskLost, absent := p.replaceableVoters(status, joining)
	if len(diskLost) > 0 && len(joining) > 0 {
		chosen, _, ok := p.bestCandidate(zonesWithout(voters, diskLost[0]), joining)
		return chosen, ok
	}
	present := p.Placement.Shortfall(zonesWithout(voters, ""))
	for _, id := range absent {
		if chosen, shortfall, ok := p.bestCandidate(zonesWithout(voters, id), joining); ok && shortfall <= present {
			return chosen, true
		}
	}
	if present == 0 {
		return Candidate{}, false
	}
	for _, voter := range voters {
		if voter.ID == status.ID {
			continue
		}
		if chosen, shortfall, ok := p.bestCandidate(zonesWithout(voters, voter.ID), joining); ok && shortfall < present {
			return chosen, true
		}
	}
	return Candidate{}, false
}

// bestCandidate returns the candidate with which voters in the given zones have the best placement; the first one of
// several.
func (p Policy) bestCandidate(zones []string, joining []Candidate) (best Candidate, shortfall int, found bool) {
	for _, candidate := range joining {
		with := p.Placement.Shortfall(append(slices.Clone(zones), candidate.Zone))
		if !found || with < shortfall {
			best, shortfall, found = candidate, with, true
		}
	}
	return best, shortfall, found
}

func votersOf(status raft.Status) []raft.Member {
	return slices.DeleteFunc(slices.Clone(status.Membership.Members), func(m raft.Member) bool { return m.Learner })
}

// zonesWithout lists the zones of all voters but one.
func zonesWithout(voters []raft.Member, id raft.MemberID) []string {
	var zones []string
	for _, voter := range voters {
		if voter.ID != id {
			zones = append(zones, voter.Zone)
		}
	}
	return zones
}

// NextRelease returns a voter that is leaving and may end if the group keeps a quorum without it; false if there is none.
// A voter whose place a process may take is not released but replaced.
func (p Policy) NextRelease(now time.Time, status raft.Status, candidates *Candidates) (raft.MemberID, bool) {
	if status.Role != raft.RoleLeader || status.MembershipPending || status.LeaderFor < candidatesKnownAfter {
		return "", false
	}
	hasLearner := slices.ContainsFunc(status.Membership.Members, func(m raft.Member) bool { return m.Learner })
	if hasLearner || len(status.Membership.Voters()) > p.Voters {
		return "", false
	}
	if _, replaced := p.nextVoter(status, candidates.eligible(now, status)); replaced {
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

// replaceableVoters lists the voters that should be replaced: those whose address is now used by another ID, which proves
// that their disk was lost, and those that are absent. Of these, the ones without contact for longer than ReplaceAfter come
// first, then those that are leaving: they vote until they are replaced. A voter that was released is expected back.
func (p Policy) replaceableVoters(status raft.Status, joining []Candidate) (diskLost, absent []raft.MemberID) {
	var unreachable, leaving []raft.MemberID
	for _, member := range status.Membership.Members {
		switch {
		case member.Learner || member.ID == status.ID:
		case addressTakenByCandidate(member, joining) || addressTakenByMember(member, status):
			diskLost = append(diskLost, member.ID)
		case status.Progress[member.ID].Silence > p.ReplaceAfter:
			unreachable = append(unreachable, member.ID)
		case status.Progress[member.ID].Leaving && !status.Progress[member.ID].Released:
			leaving = append(leaving, member.ID)
		}
	}
	return diskLost, slices.Concat(unreachable, leaving)
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
