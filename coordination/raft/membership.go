package raft

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// membershipRecord is a membership and the index of the entry or snapshot that sets it.
type membershipRecord struct {
	index      uint64
	membership Membership
}

var membershipEncoding = mustEncMode(cbor.CoreDetEncOptions())

func mustEncMode(options cbor.EncOptions) cbor.EncMode {
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeMembership cannot fail, since a Membership holds only strings and booleans.
func encodeMembership(m Membership) []byte {
	data, err := membershipEncoding.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

// DecodeMembership decodes the data of an EntryMembership entry.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := cbor.Unmarshal(data, &m)
	return m, errors.Wrap(err, "raft: decode membership")
}

// Membership returns the membership in effect: the last one in the log, committed or not.
func (n *Node) Membership() Membership { return n.membership() }

func (n *Node) membership() Membership { return n.memberships[len(n.memberships)-1].membership }

// membershipPending reports whether the membership in effect is not committed.
func (n *Node) membershipPending() bool { return n.memberships[len(n.memberships)-1].index > n.commit }

// membershipAt returns the membership that is in effect at an index, which must not be older than the last snapshot.
func (n *Node) membershipAt(index uint64) Membership {
	result := Membership{}
	for _, r := range n.memberships {
		if r.index <= index {
			result = r.membership
		}
	}
	return result
}

func (n *Node) restoreMemberships(r Restored) error {
	first := membershipRecord{membership: r.Membership.sorted()}
	if r.Snapshot.Index > 0 {
		first = membershipRecord{index: r.Snapshot.Index, membership: r.Snapshot.Membership}
	}
	n.memberships = []membershipRecord{first}
	for _, entry := range r.Entries {
		if entry.Kind != EntryMembership {
			continue
		}
		if _, err := DecodeMembership(entry.Data); err != nil {
			return errors.Wrapf(ErrInvalidState, "entry %d: %v", entry.Index, err)
		}
		n.addMembership(entry)
	}
	return nil
}

// addMembership puts the membership of an entry into effect. The entry was validated when it was received or restored.
func (n *Node) addMembership(entry Entry) {
	m, err := DecodeMembership(entry.Data)
	n.check(err == nil, "membership entry cannot be decoded", map[string]any{"index": entry.Index})
	n.memberships = append(n.memberships, membershipRecord{index: entry.Index, membership: m})
	if n.role == RoleLeader {
		n.updateTrackedMembers()
	}
}

// dropMemberships reverts the memberships of entries after an index.
func (n *Node) dropMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index > index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// compactMemberships removes the memberships that are no longer in effect at an index.
func (n *Node) compactMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
}

// updateTrackedMembers creates the progress of added members and deletes that of removed ones. A leader that was
// removed keeps its own progress until it steps down.
func (n *Node) updateTrackedMembers() {
	tracked := map[MemberID]*progress{}
	for _, member := range append(slices.Clone(n.membership().Members), Member{ID: n.config.ID}) {
		p := n.leaderState.progress[member.ID]
		if p == nil {
			p = &progress{next: n.log.last() + 1, lastContact: n.now, silentSince: n.now}
		}
		tracked[member.ID] = p
	}
	tracked[n.config.ID].match = n.log.stable
	n.leaderState.progress = tracked
}

// ProposeMembership appends a single-step membership change on the leader. The change is in effect at once, and the
// next one is refused until this one is committed. The error is ErrNotLeader, ErrTransferring, ErrMembershipPending,
// ErrInvalidChange, ErrUnknownMember, ErrNotCaughtUp or ErrQuorumAtRisk.
func (n *Node) ProposeMembership(now time.Time, change MembershipChange) (index, term uint64, err error) {
	n.setNow(now)
	if n.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if n.leaderState.transferee != "" {
		return 0, 0, ErrTransferring
	}
	if n.membershipPending() || n.commit < n.leaderState.termStart {
		return 0, 0, ErrMembershipPending
	}
	next, err := n.membershipAfter(change)
	if err != nil {
		return 0, 0, err
	}
	if !n.keepsQuorum(next) {
		return 0, 0, errors.Wrapf(ErrQuorumAtRisk, "%s %q", change.Kind, change.Member.ID)
	}
	n.appendEntry(Entry{Kind: EntryMembership, Data: encodeMembership(next)})
	return n.log.last(), n.term, nil
}

// membershipAfter returns the membership that a change leads to, or why the change cannot be made.
func (n *Node) membershipAfter(change MembershipChange) (Membership, error) {
	current := n.membership()
	id := change.Member.ID
	member, exists := current.Find(id)
	if change.Kind == ChangeAddLearner {
		if exists || id == "" {
			return Membership{}, errors.Wrapf(ErrInvalidChange, "cannot add %q: the ID is empty or already a member", id)
		}
		added := change.Member
		added.Learner = true
		return current.with(added), nil
	}
	if !exists {
		return Membership{}, errors.Wrapf(ErrUnknownMember, "%q", id)
	}
	switch change.Kind {
	case ChangePromote:
		if !member.Learner {
			return Membership{}, errors.Wrapf(ErrInvalidChange, "cannot promote %q: it is already a voter", id)
		}
		if !n.isCaughtUp(id) {
			return Membership{}, errors.Wrapf(ErrNotCaughtUp, "%q", id)
		}
		member.Learner = false
		return current.with(member), nil
	case ChangeRemove:
		if voters := current.Voters(); len(voters) == 1 && voters[0] == id {
			return Membership{}, errors.Wrapf(ErrInvalidChange, "cannot remove %q: it is the last voter", id)
		}
		return current.without(id), nil
	case ChangeUpdate:
		member.Address, member.Zone = change.Member.Address, change.Member.Zone
		return current.with(member), nil
	default:
		return Membership{}, errors.Wrapf(ErrInvalidChange, "unknown kind of change %d", change.Kind)
	}
}

// isCaughtUp reports whether a learner has confirmed all committed entries as durable and sent a message within the
// election timeout.
func (n *Node) isCaughtUp(id MemberID) bool {
	p := n.leaderState.progress[id]
	return p.match >= n.commit && p.inContact(n.now, n.config.ElectionTimeout)
}

func (m Membership) sorted() Membership {
	members := slices.Clone(m.Members)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return Membership{Members: members}
}

func (m Membership) without(id MemberID) Membership {
	kept := slices.DeleteFunc(slices.Clone(m.Members), func(member Member) bool { return member.ID == id })
	return Membership{Members: kept}
}

func (m Membership) with(member Member) Membership {
	changed := m.without(member.ID)
	changed.Members = append(changed.Members, member)
	return changed.sorted()
}
