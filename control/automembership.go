package control

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/membership"
	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/wal"
)

const (
	// joinInterval is the time between two rounds of join requests by a process without a group. It is well below the
	// time after which the leader forgets a candidate.
	joinInterval = 300 * time.Millisecond
	// joinRequestTimeout bounds one join request, so that an address that does not answer does not hold up the others.
	joinRequestTimeout = 500 * time.Millisecond
	// announceInterval is the time between two announcements of the leader to the seeds outside the group. Nodes that have
	// just started may know no others, and look for the members for some seconds.
	announceInterval = time.Second
)

// ErrRemoved means that the group has replaced this member, which has discarded its state. It joins under a new
// identity when it is started again.
var ErrRemoved = errors.New("control: the group has replaced this member")

func (m *Member) membershipPolicy() membership.Policy {
	policy := membership.NewPolicy(m.options.Voters, m.options.RepairWithin)
	policy.Placement = m.options.Placement
	return policy
}

// proposeMembershipChange proposes the next membership change that brings the group back to Options.Voters working
// members. It does nothing unless this member is the leader.
func (m *Member) proposeMembershipChange(now time.Time) {
	r := m.replicas[registryGroup]
	if m.options.Voters == 0 || !r.isLeader() {
		return
	}
	status := r.raft.Status()
	change, ok := m.membershipPolicy().NextChange(now, status, &m.candidates)
	if !ok {
		m.releaseMember(now, status)
		return
	}
	if _, _, err := r.raft.ProposeMembership(now, change); err != nil {
		if !errors.IsAny(err, raft.ErrMembershipPending, raft.ErrNotCaughtUp, raft.ErrTransferring, raft.ErrQuorumAtRisk) {
			m.logger.Warn().Err(err).Str("member", string(change.Member.ID)).Msg("membership change refused")
		}
		return
	}
	m.logger.Info().Str("change", change.Kind.String()).Str("member", string(change.Member.ID)).
		Str("address", change.Member.Address).Msg("membership change proposed")
}

// releaseMember lets a member that is leaving end if no process can take its place and the group does without it.
func (m *Member) releaseMember(now time.Time, status raft.Status) {
	id, ok := m.membershipPolicy().NextRelease(now, status, &m.candidates)
	if !ok {
		return
	}
	err := m.replicas[registryGroup].raft.Release(now, id)
	if err == nil {
		m.logger.Info().Str("member", string(id)).Msg("member released")
	} else if !errors.IsAny(err, raft.ErrMembershipPending, raft.ErrQuorumAtRisk) {
		m.logger.Warn().Err(err).Str("member", string(id)).Msg("member not released")
	}
}

// describeGroup fills in what this member knows of the group, for a process that asks to join, and registers the
// process as a candidate unless it is a member. A process that takes itself for a member is none: if it was replaced, it
// discards its state, and an identity without its state must not be added again.
func (m *Member) describeGroup(ctx context.Context, request *protocol.IdentifyRequest, reply *protocol.IdentifyReply) {
	select {
	case <-m.ready:
	default:
		return
	}
	err := m.host.Query(ctx, func(now time.Time) {
		r := m.replicas[registryGroup]
		status := r.raft.Status()
		_, reply.IsMember = status.Membership.Find(raft.MemberID(request.ID))
		age, confirmed := r.raft.ConfirmedAge(now)
		reply.IsLeader = status.Role == raft.RoleLeader && !status.MembershipPending && confirmed && age < m.maxConfirmationAge()
		reply.Members = memberAddresses(status)
		if reply.IsLeader {
			reply.Membership = &status.Membership
		}
		if !reply.IsMember && !request.IsMember {
			m.candidates.Announce(membership.Candidate{
				ID: raft.MemberID(request.ID), Address: request.Address, Zone: request.Zone, LastSeen: now,
			})
		}
	})
	if err != nil {
		m.logger.Debug().Err(err).Msg("cannot describe the group")
	}
}

// memberAddresses lists the mesh addresses of the members, the leader first.
func memberAddresses(status raft.Status) []string {
	var addresses []string
	for _, member := range status.Membership.Members {
		if member.ID == status.Leader {
			addresses = slices.Insert(addresses, 0, member.Address)
			continue
		}
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// joinGroup sends join requests while this process belongs to no group. A member that knows no leader sends them too:
// the group may have replaced it while it was stopped. The leader tells the seeds outside the group who its members are.
func (m *Member) joinGroup() {
	var known []string
	var announcedAt time.Time
	for m.ctx.Err() == nil {
		var status raft.Status
		if m.host.Query(m.ctx, func(time.Time) { status = m.replicas[registryGroup].raft.Status() }) != nil {
			return
		}
		_, listed := status.Membership.Find(status.ID)
		switch {
		case !listed || status.Leader == "":
			known = m.requestJoin(listed, slices.Concat(known, memberAddresses(status), m.membersTold()))
		case status.Role == raft.RoleLeader && time.Since(announcedAt) >= announceInterval:
			announcedAt = time.Now()
			m.announceMembers(memberAddresses(status))
		}
		sleep(m.ctx, joinInterval)
	}
}

// membersTold lists the addresses of members that a leader has sent to this process.
func (m *Member) membersTold() []string {
	if told := m.toldMembers.Load(); told != nil {
		return *told
	}
	return nil
}

// announceMembers tells the seeds outside the group the addresses of the members. After a restart, such a process knows
// only the seeds, and these may all be outside the group.
func (m *Member) announceMembers(members []string) {
	for _, seed := range m.options.Seeds() {
		if slices.Contains(members, seed) {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, joinRequestTimeout)
		_, err := m.pool.Identify(ctx, seed, &protocol.IdentifyRequest{Members: members})
		cancel()
		if err != nil {
			m.logger.Debug().Err(err).Str("seed", seed).Msg("cannot tell a seed the members")
		}
	}
}

// requestJoin sends a join request to all known addresses and seeds, and to the members that they name, until a leader
// answers. It returns the addresses of the members. If this process is listed in its own membership but a leader says
// that it is no member, it stops and discards its state.
func (m *Member) requestJoin(listed bool, known []string) []string {
	addresses := append(slices.Clone(known), m.options.Seeds()...)
	var members []string
	asked := map[string]bool{m.options.Advertise: true}
	for len(addresses) > 0 && m.ctx.Err() == nil {
		address := addresses[0]
		addresses = addresses[1:]
		if address == "" || asked[address] {
			continue
		}
		asked[address] = true
		reply, err := m.sendJoinRequest(address, listed)
		if err != nil {
			continue
		}
		if reply.IsLeader && !reply.IsMember && listed {
			m.stopRemoved()
			return nil
		}
		if reply.IsLeader {
			m.host.Post(func(now time.Time) { m.observeGroup(now, address, reply.Membership) })
			return reply.Members
		}
		members = append(members, reply.Members...)
		addresses = append(addresses, reply.Members...)
	}
	m.host.Post(func(now time.Time) { m.observeGroup(now, "", nil) })
	return members
}

// observeGroup takes what a process outside the group has learned of it: the address of its leader, empty if none has
// answered, and its membership, nil if that is not known. A member has both from its log.
func (m *Member) observeGroup(now time.Time, leader string, current *raft.Membership) {
	r := m.replicas[registryGroup]
	if !r.isOutside() {
		r.outsideLeader = ""
		return
	}
	r.outsideLeader = leader
	if current != nil {
		m.publishMembers(now, *current)
	}
}

func (m *Member) sendJoinRequest(address string, listed bool) (*protocol.IdentifyReply, error) {
	ctx, cancel := context.WithTimeout(m.ctx, joinRequestTimeout)
	defer cancel()
	return m.pool.Identify(ctx, address, &protocol.IdentifyRequest{
		ID: m.ID(), Address: m.options.Advertise, Zone: m.options.Zone, IsMember: listed,
	})
}

// stopRemoved stops the member after the group has removed it. Its state is discarded, because the log of a removed
// identity must not be used again. When the member is started again, it joins as a candidate.
func (m *Member) stopRemoved() {
	m.logger.Warn().Str("member", m.ID()).Msg("the group has replaced this member; its state is discarded")
	m.markRemoved()
	go m.Kill()
}

// markRemoved makes Kill discard the state of this member.
func (m *Member) markRemoved() { m.removeOnce.Do(func() { close(m.removed) }) }

// discardIfRemoved empties the folder of the registry if the group has removed this member. The member must have
// stopped: a replica that still runs would confirm entries, and write files, that the folder then lacks. The folders of
// the ledger stay, since their groups leave the membership to operators.
func (m *Member) discardIfRemoved() {
	select {
	case <-m.removed:
	default:
		return
	}
	if err := wal.Discard(m.options.RegistryFolder); err != nil {
		m.logger.Error().Err(err).Msg("cannot discard the state")
	}
}

// Removed is closed once the group has replaced this member.
func (m *Member) Removed() <-chan struct{} { return m.removed }
