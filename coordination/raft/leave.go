package raft

import (
	"time"

	"github.com/cockroachdb/errors"
)

// A member that is about to end its process, as planned, says so and waits until it may.
//
// Who may leave, and when: a member may end once the leader of its own term has released it, or has told it that the
// committed membership does not list it. A leader releases a voter only if a quorum of the voters stays without it and
// without those that it has released before. A voter counts as staying only if it has replied to a heartbeat round that
// began after the request to leave had arrived.
//
// The rule needs no clock, and no state that outlives the leader. A release counts only in the term in which it was
// given, and a member that has accepted one takes part in nothing more. A voter that replies to the leader of a later
// term has therefore accepted no release of an earlier one, and the later leader knows all that it has to count.

// departure is what a leader knows of a member that is leaving.
type departure struct {
	// announced is set from the first message in which the member says that it is leaving, which arrived at since.
	announced bool
	since     time.Time
	// confirmedFrom is the first heartbeat round that began after the first such message. heardRound is the last round
	// that began before the last one.
	confirmedFrom, heardRound uint64
	// request is the number of the member's request; each process that leaves draws one.
	request uint64
	// released is set once the leader has let the member end.
	released bool
}

// Leave says that this member is about to end. It asks the leader for its release from then on; Status tells when it may
// end. A leader must transfer the leadership first, since only another leader can release it.
func (n *Node) Leave(now time.Time) {
	n.setNow(now)
	if !n.leaving {
		n.leaving, n.leaveRequest = true, n.rng.Uint64()
	}
}

// mayEnd reports whether this member is leaving and has been released. It then takes part in nothing more.
func (n *Node) mayEnd() bool { return n.released || n.removed }

// tickLeave asks for the release of this member. It asks all members: one that was removed does not learn of new leaders.
func (n *Node) tickLeave() {
	if !n.leaving || n.now.Before(n.nextLeave) {
		return
	}
	n.nextLeave = n.now.Add(n.config.HeartbeatInterval)
	n.broadcast(func(Member) bool { return true }, Message{Type: MessageLeave, Poll: n.leaveRequest})
}

// recordDeparture updates what the leader knows of a member's departure. A message without the mark that replies to a
// later round than those with it shows that the member has started again.
func (n *Node) recordDeparture(m Message, p *progress) {
	d := &p.departure
	switch {
	case m.Leaving && !d.announced:
		*d = departure{announced: true, since: n.now, confirmedFrom: n.leaderState.round + 1, heardRound: n.leaderState.round}
		n.startRound()
	case m.Leaving:
		d.heardRound = n.leaderState.round
	case d.announced && m.Round > d.heardRound:
		*d = departure{}
	}
}

// handleLeave processes the request of a member that wants to end.
func (n *Node) handleLeave(m Message) {
	if n.role != RoleLeader {
		return
	}
	p := n.recordContact(m)
	if p != nil && p.departure.request != m.Poll {
		// The sender has started since it asked last, or asks for the first time.
		p.departure.request, p.departure.released = m.Poll, false
	}
	switch {
	case p != nil && p.departure.released:
		// The first reply was lost.
		n.send(Message{To: m.From, Type: MessageLeaveReply, Poll: m.Poll})
	case p == nil && !n.membershipPending() && n.commit >= n.leaderState.termStart:
		// The removal is committed, and an identity that was removed is never added again.
		n.send(Message{To: m.From, Type: MessageLeaveReply, Poll: m.Poll, Reject: true})
	}
}

func (n *Node) handleLeaveReply(m Message) {
	if !n.leaving || m.Poll != n.leaveRequest {
		// The reply is to a process that ran here before.
		return
	}
	n.released, n.removed = !m.Reject, m.Reject
	n.leader = ""
}

// Release lets a voter that is leaving end its process although it stays a voter. The error is ErrNotLeader,
// ErrMembershipPending, ErrUnknownMember if the member is no voter that is leaving, or ErrQuorumAtRisk if the group may
// need it or this is not known yet.
func (n *Node) Release(now time.Time, id MemberID) error {
	n.setNow(now)
	switch {
	case n.role != RoleLeader:
		return ErrNotLeader
	case n.membershipPending() || n.commit < n.leaderState.termStart:
		return ErrMembershipPending
	case !n.membership().IsVoter(id) || id == n.config.ID || !n.leaderState.progress[id].departure.announced:
		return errors.Wrapf(ErrUnknownMember, "%q is no voter that is leaving", id)
	}
	d := &n.leaderState.progress[id].departure
	if !n.isQuorum(n.membership(), func(other MemberID) bool {
		p := n.leaderState.progress[other]
		return other != id && !p.departure.released && p.repliedRound >= d.confirmedFrom
	}) {
		return errors.Wrapf(ErrQuorumAtRisk, "without %q", id)
	}
	d.released = true
	n.send(Message{To: id, Type: MessageLeaveReply, Poll: d.request})
	return nil
}

// isQuorum reports whether the voters that the filter selects are a quorum of a membership. The filter is called only
// with members that the leader tracks.
func (n *Node) isQuorum(membership Membership, selected func(MemberID) bool) bool {
	voters := membership.Voters()
	count := 0
	for _, id := range voters {
		if n.leaderState.progress[id] != nil && selected(id) {
			count++
		}
	}
	return count > len(voters)/2
}

// keepsQuorum reports whether a quorum of a membership has been in contact within the election timeout and was not
// released, so that the membership can be committed and replaced by a further one.
func (n *Node) keepsQuorum(membership Membership) bool {
	return n.isQuorum(membership, func(id MemberID) bool {
		p := n.leaderState.progress[id]
		return id == n.config.ID || p.inContact(n.now, n.config.ElectionTimeout) && !p.departure.released
	})
}
