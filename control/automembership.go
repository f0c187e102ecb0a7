package control

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/membership"
	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/disk"
)

const (
	// joinInterval is the time between two rounds in which a process without a group asks to join. It is well below the
	// time for which a candidate counts as waiting.
	joinInterval = 300 * time.Millisecond
	// joinRequestTimeout bounds one question, so that an address that does not answer does not delay the others for long.
	joinRequestTimeout = 500 * time.Millisecond
	// maxLeaderConfirmationAge is how old the confirmation of a leader by a quorum may be when it says who belongs to the group.
	// A leader that was cut off or suspended must not tell a member that it was removed.
	maxLeaderConfirmationAge = time.Second
)

// ErrRemoved means that this process was replaced in the group and has discarded its state. It joins under a new
// identity when it is started again.
var ErrRemoved = errors.New("control: the group has replaced this member")

// proposeMembershipChange lets the leader propose the next membership change.
func (m *Member) proposeMembershipChange(now time.Time) {
	r := m.replicas[registryGroup]
	if m.options.Voters == 0 || !r.isLeader() {
		return
	}
	change, ok := membership.NextChange(now, r.raft.Status(), &m.candidates, m.options.Voters)
	if !ok {
		return
	}
	if _, _, err := r.raft.ProposeMembership(now, change); err != nil {
		if !errors.IsAny(err, raft.ErrMembershipPending, raft.ErrNotCaughtUp, raft.ErrTransferring) {
			m.logger.Warn().Err(err).Str("member", string(change.Member.ID)).Msg("membership change refused")
		}
		return
	}
	m.logger.Info().Str("change", change.Kind.String()).Str("member", string(change.Member.ID)).
		Str("address", change.Member.Address).Msg("membership change proposed")
}

// describeGroup tells a process that asks to join what this member knows of the group, and notes it as a candidate.
func (m *Member) describeGroup(ctx context.Context, request *protocol.IdentifyRequest, reply *protocol.IdentifyReply) {
	select {
	case <-m.ready:
	default:
		return
	}
	err := m.host.Query(ctx, func(now time.Time) {
		r := m.replicas[registryGroup]
		status := r.raft.Status()
		_, reply.Member = status.Membership.Find(raft.MemberID(request.ID))
		age, confirmed := r.raft.ConfirmedAge(now)
		reply.Leads = status.Role == raft.RoleLeader && !status.MembershipPending && confirmed && age < maxLeaderConfirmationAge
		reply.Members = memberAddresses(status)
		if !reply.Member {
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

// joinGroup asks to join while this process belongs to no group. A member without a leader asks too: the group may have
// replaced it while it was away.
func (m *Member) joinGroup() {
	var known []string
	for m.ctx.Err() == nil {
		var status raft.Status
		if m.host.Query(m.ctx, func(time.Time) { status = m.replicas[registryGroup].raft.Status() }) != nil {
			return
		}
		_, listed := status.Membership.Find(status.ID)
		if !listed || status.Leader == "" {
			known = m.requestJoin(listed, append(known, memberAddresses(status)...))
		}
		sleep(m.ctx, joinInterval)
	}
}

// requestJoin asks all known processes and returns the members that they name.
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
		reply, err := m.sendJoinRequest(address)
		if err != nil {
			continue
		}
		if reply.Leads && !reply.Member && listed {
			m.discardState()
			return nil
		}
		if reply.Leads {
			return reply.Members
		}
		members = append(members, reply.Members...)
		addresses = append(addresses, reply.Members...)
	}
	return members
}

func (m *Member) sendJoinRequest(address string) (*protocol.IdentifyReply, error) {
	ctx, cancel := context.WithTimeout(m.ctx, joinRequestTimeout)
	defer cancel()
	return m.pool.Identify(ctx, address, &protocol.IdentifyRequest{
		ID: m.ID(), Address: m.options.Advertise, Zone: m.options.Zone,
	})
}

// discardState gives up an identity that the group has removed. Its log must not be used again, so the folder is emptied and
// the member stops; a new start joins as a candidate with an empty folder.
func (m *Member) discardState() {
	m.logger.Warn().Str("member", m.ID()).Msg("the group has replaced this member; its state is discarded")
	if err := removeAll(m.options.RegistryFolder); err != nil {
		m.logger.Error().Err(err).Msg("cannot discard the state")
	}
	close(m.removed)
	go m.Kill()
}

func removeAll(folder disk.FS) error {
	names, err := folder.List()
	if err != nil {
		return errors.Wrapf(ErrStorage, "%v", err)
	}
	for _, name := range names {
		if err := folder.Remove(name); err != nil {
			return errors.Wrapf(ErrStorage, "%v", err)
		}
	}
	return errors.Wrap(folder.SyncFolder(), "control: sync after discarding")
}

// Removed is closed once the group has replaced this member.
func (m *Member) Removed() <-chan struct{} { return m.removed }
