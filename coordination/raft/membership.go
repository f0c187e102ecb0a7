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

var canonical = mustEncMode(cbor.CoreDetEncOptions())

func mustEncMode(options cbor.EncOptions) cbor.EncMode {
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeMembership cannot fail, since a Membership holds only strings and booleans.
func encodeMembership(m Membership) []byte {
	data, err := canonical.Marshal(m)
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

// membership returns the membership in effect: the last one in the log, committed or not.
func (n *Node) membership() Membership { return n.memberships[len(n.memberships)-1].membership }

// membershipPending reports whether the membership in effect is not committed.
func (n *Node) membershipPending() bool { return n.memberships[len(n.memberships)-1].index > n.commit }

// membershipAt returns the membership in effect at an index that is not compacted.
func (n *Node) membershipAt(index uint64) Membership {
	at := Membership{}
	for _, r := range n.memberships {
		if r.index <= index {
			at = r.membership
		}
	}
	return at
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

// addMembership puts the membership of an entry into effect. The entry was decoded before without an error.
func (n *Node) addMembership(entry Entry) {
	m, err := DecodeMembership(entry.Data)
	n.check(err == nil, "membership entry is unreadable", map[string]any{"index": entry.Index})
	n.memberships = append(n.memberships, membershipRecord{index: entry.Index, membership: m})
	if n.role == RoleLeader {
		n.updateProgress()
	}
}

// dropMemberships reverts the memberships of entries after an index.
func (n *Node) dropMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index > index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// compactMemberships drops the memberships that were replaced at an index.
func (n *Node) compactMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
}

// updateProgress starts to track added members and forgets removed ones. A leader that was removed keeps tracking
// itself until it steps down.
func (n *Node) updateProgress() {
	tracked := map[MemberID]*progress{}
	for _, member := range append(slices.Clone(n.membership().Members), Member{ID: n.config.ID}) {
		p := n.leading.progress[member.ID]
		if p == nil {
			p = &progress{next: n.log.last() + 1, contact: n.now}
		}
		tracked[member.ID] = p
	}
	tracked[n.config.ID].match = n.log.stable
	n.leading.progress = tracked
}

// ProposeMembership appends a single-step membership change on the leader. The change is in effect at once, and the
// next one is refused until this one is committed.
func (n *Node) ProposeMembership(now time.Time, change MembershipChange) (index, term uint64, err error) {
	n.setNow(now)
	if n.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if n.leading.transferee != "" {
		return 0, 0, ErrTransferring
	}
	if n.membershipPending() || n.commit < n.leading.termStart {
		return 0, 0, ErrMembershipPending
	}
	next, err := n.changed(change)
	if err != nil {
		return 0, 0, err
	}
	n.appendEntry(Entry{Kind: EntryMembership, Data: encodeMembership(next)})
	return n.log.last(), n.term, nil
}

// changed returns the membership after a change.
func (n *Node) changed(change MembershipChange) (Membership, error) {
	current := n.membership()
	id := change.Member.ID
	member, exists := current.Find(id)
	if change.Kind == ChangeAddLearner {
		if exists || id == "" {
			return Membership{}, errors.Wrapf(ErrInvalidChange, "cannot add %q", id)
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
			return Membership{}, errors.Wrapf(ErrInvalidChange, "%q is a voter", id)
		}
		if !n.isCaughtUp(id) {
			return Membership{}, errors.Wrapf(ErrNotCaughtUp, "%q", id)
		}
		member.Learner = false
		return current.with(member), nil
	case ChangeRemove:
		if voters := current.Voters(); len(voters) == 1 && voters[0] == id {
			return Membership{}, errors.Wrapf(ErrInvalidChange, "%q is the last voter", id)
		}
		return current.without(id), nil
	case ChangeUpdate:
		member.Address, member.Zone = change.Member.Address, change.Member.Zone
		return current.with(member), nil
	default:
		return Membership{}, errors.Wrapf(ErrInvalidChange, "kind %d", change.Kind)
	}
}

// isCaughtUp reports whether a learner has synced all committed entries and is in contact.
func (n *Node) isCaughtUp(id MemberID) bool {
	p := n.leading.progress[id]
	return p.heard && p.match >= n.commit && n.now.Sub(p.contact) < n.config.ElectionTimeout
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
