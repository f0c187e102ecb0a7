package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/protocol/operator"
)

// changeRetryDelay is the delay before a membership change that is not committed yet is proposed again.
const changeRetryDelay = 50 * time.Millisecond

// proposeMembership appends a membership change to the log unless it is already in effect. The status ProposeUncertain
// means that the change is not committed yet or cannot be proposed yet; the caller repeats the request.
func (r *replica) proposeMembership(now time.Time, command []byte) *protocol.ProposeReply {
	var change raft.MembershipChange
	if err := protocol.Unmarshal(command, &change); err != nil {
		return &protocol.ProposeReply{Status: protocol.ProposeRefused, Detail: err.Error()}
	}
	status := r.raft.Status()
	switch {
	case status.Role != raft.RoleLeader:
		return r.notLeaderReply()
	case !status.MembershipPending && inEffect(status.Membership, change):
		return &protocol.ProposeReply{Status: protocol.ProposeApplied}
	}
	_, _, err := r.raft.ProposeMembership(now, change)
	if errors.IsAny(err, raft.ErrUnknownMember, raft.ErrInvalidChange) {
		return &protocol.ProposeReply{Status: protocol.ProposeRefused, Detail: err.Error()}
	}
	return r.uncertainReply()
}

// inEffect reports whether a membership already contains a change.
func inEffect(membership raft.Membership, change raft.MembershipChange) bool {
	member, ok := membership.Find(change.Member.ID)
	switch change.Kind {
	case raft.ChangeAddLearner:
		return ok
	case raft.ChangePromote:
		return ok && !member.Learner
	case raft.ChangeRemove:
		return !ok
	case raft.ChangeUpdate:
		return ok && member.Address == change.Member.Address && member.Zone == change.Member.Zone
	default:
		return false
	}
}

// AddMember adds a learner to all groups and promotes it once it has caught up.
func (b operatorBackend) AddMember(ctx context.Context, r operator.AddMemberRequest) (operator.MembersResponse, error) {
	if err := b.addMember(ctx, r.ID, r.Address, r.Zone, r.Learner); err != nil {
		return operator.MembersResponse{}, err
	}
	return b.Members(ctx)
}

// RemoveMember removes a member from all groups.
func (b operatorBackend) RemoveMember(ctx context.Context, r operator.RemoveMemberRequest) (operator.MembersResponse, error) {
	members, err := b.Members(ctx)
	if err != nil {
		return members, err
	}
	address := ""
	for _, member := range members.Members {
		if member.ID == r.ID {
			address = member.Address
		}
	}
	if address == "" {
		// The member was removed already, by an earlier copy of this request.
		return members, nil
	}
	// The registry comes last: until then the list of members shows the member, so that a request that was interrupted
	// can be sent again.
	for group := len(b.member.replicas) - 1; group >= 0; group-- {
		if err := b.removeFromGroup(ctx, uint32(group), address); err != nil {
			return operator.MembersResponse{}, err
		}
	}
	return b.Members(ctx)
}

// ReplaceMember adds a member and removes the old one only once the new one has durably stored everything that is
// committed. A second failure right after the repair therefore loses nothing.
func (b operatorBackend) ReplaceMember(ctx context.Context, r operator.ReplaceMemberRequest) (operator.MembersResponse, error) {
	if err := b.addMember(ctx, r.New, r.Address, r.Zone, false); err != nil {
		return operator.MembersResponse{}, err
	}
	return b.RemoveMember(ctx, operator.RemoveMemberRequest{RequestID: r.RequestID, ID: r.Old})
}

// addMember adds the member at an address as a learner to all groups, and then promotes it in all of them unless it is
// to stay a learner.
func (b operatorBackend) addMember(ctx context.Context, id, address, zone string, learner bool) error {
	reply, err := b.member.identify(ctx, address)
	if err != nil {
		return &operator.Error{Kind: operator.ErrBadRequest, Message: "the new member does not respond: " + err.Error()}
	}
	if len(reply.Groups) != len(b.member.replicas) || reply.Groups[registryGroup].ID != id {
		return &operator.Error{Kind: operator.ErrBadRequest, Message: "the process at " + address + " is not member " + id}
	}
	for group, identity := range reply.Groups {
		member := raft.Member{ID: raft.MemberID(identity.ID), Address: address, Zone: zone, Learner: true}
		change := raft.MembershipChange{Kind: raft.ChangeAddLearner, Member: member}
		if err := b.commitChange(ctx, uint32(group), change); err != nil {
			return err
		}
	}
	if learner {
		return nil
	}
	for group, identity := range reply.Groups {
		change := raft.MembershipChange{
			Kind: raft.ChangePromote, Member: raft.Member{ID: raft.MemberID(identity.ID)},
		}
		if err := b.commitChange(ctx, uint32(group), change); err != nil {
			return err
		}
	}
	return nil
}

// removeFromGroup removes the member at an address from one group. A member has another identity in each group.
func (b operatorBackend) removeFromGroup(ctx context.Context, group uint32, address string) error {
	var id raft.MemberID
	err := b.query(ctx, func(time.Time) {
		for _, member := range b.member.replicas[group].raft.Status().Membership.Members {
			if member.Address == address {
				id = member.ID
			}
		}
	})
	if err != nil || id == "" {
		return err
	}
	return b.commitChange(ctx, group, raft.MembershipChange{Kind: raft.ChangeRemove, Member: raft.Member{ID: id}})
}

// commitChange commits one membership change through the leader of the group. A change that is already in effect
// succeeds, so that requests can be sent again.
func (b operatorBackend) commitChange(ctx context.Context, group uint32, change raft.MembershipChange) error {
	data, err := protocol.Marshal(change)
	if err != nil {
		return err
	}
	request := &protocol.ProposeRequest{Target: protocol.TargetMembership, Group: group, Command: data}
	for ctx.Err() == nil {
		reply, err := b.member.Propose(ctx, request)
		if err == nil && reply.Status == protocol.ProposeNotLeader && reply.Leader != "" {
			reply, err = b.proposeTo(ctx, reply.Leader, request)
		}
		switch {
		case err != nil:
		case reply.Status == protocol.ProposeApplied:
			return nil
		case reply.Status == protocol.ProposeRefused:
			return &operator.Error{Kind: operator.ErrBadRequest, Message: reply.Detail}
		}
		sleep(ctx, changeRetryDelay)
	}
	return &operator.Error{Kind: operator.ErrMembershipBusy, Message: "the change was not committed in time"}
}

// proposeTo sends a proposal to the leader at a mesh address.
func (b operatorBackend) proposeTo(
	ctx context.Context, leader string, request *protocol.ProposeRequest,
) (*protocol.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	return b.member.pool.Propose(ctx, leader, request)
}
