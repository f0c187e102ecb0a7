package control

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/wal"
)

// Founder is one of the first members of a new group.
type Founder struct {
	Address string
	// Zone is the founder's availability zone. If it is empty, the founder is asked for it.
	Zone string
	// Learner marks a member that replicates without a vote, such as the member in a zone that has no voter.
	Learner bool
}

const (
	identifyTimeout     = time.Second
	bootstrapRetryDelay = 200 * time.Millisecond
	// initialSnapshotIndex and initialSnapshotTerm are those of the first snapshot, which holds only the initial
	// membership and is the same on all founders.
	initialSnapshotIndex = 1
	initialSnapshotTerm  = 1
)

// hasGroupState reports whether a recovered folder holds state of a group, rather than only a new identity.
func hasGroupState(recovered wal.Recovered) bool {
	return recovered.Snapshot.Index > 0 || len(recovered.Entries) > 0
}

// isInitialSnapshot reports whether a snapshot holds only a group's initial membership.
func isInitialSnapshot(snapshot raft.Snapshot) bool {
	return snapshot.Index == initialSnapshotIndex && snapshot.Term == initialSnapshotTerm
}

// formGroup asks the other founders for their identities and saves the initial membership of the group as its first
// snapshot. It repeats this until all founders have answered or one says that the group exists.
//
// If the group exists and its initial membership lists this replica, the replica adopts that membership: its folder is
// empty, so nothing can be lost, and the founders that formed the group earlier may need its vote. If the membership
// does not list this replica, its old folder was wiped; it starts empty and must be added. A wiped member can therefore
// neither vote under its old identity nor form a second group.
func (m *Member) formGroup(r *replica, recovered *wal.Recovered) error {
	for {
		membership, complete, exists := m.identifyFounders(m.ctx, r)
		_, listed := membership.Find(r.id)
		switch {
		case exists && !listed:
			r.logger.Info().Str("member", string(r.id)).Msg("the group exists; waiting for its leader")
			return nil
		case exists, complete:
			recovered.Snapshot = raft.Snapshot{Index: initialSnapshotIndex, Term: initialSnapshotTerm, Membership: membership}
			if err := r.log.SaveSnapshot(recovered.Snapshot); err != nil {
				return errors.Wrapf(ErrStorage, "%v", err)
			}
			m.setInitialMembership(r.group, membership)
			return nil
		}
		sleep(m.ctx, bootstrapRetryDelay)
		if m.ctx.Err() != nil {
			return errors.Wrapf(ErrBootstrap, "%v", m.ctx.Err())
		}
	}
}

// identifyFounders asks all founders for their identities and returns the initial membership; complete reports whether
// all have answered. If a founder says that the group exists, it returns the initial membership that this founder
// reports, which is empty if the founder no longer has it.
func (m *Member) identifyFounders(
	ctx context.Context, r *replica,
) (membership raft.Membership, complete, exists bool) {
	complete = true
	for _, founder := range m.options.Founders {
		id := r.id
		if founder.Address != m.options.Advertise {
			reply, err := m.identify(ctx, founder.Address)
			if err != nil || int(r.group) >= len(reply.Groups) {
				complete = false
				continue
			}
			identity := reply.Groups[r.group]
			if identity.Formed && identity.InitialMembership != nil {
				return *identity.InitialMembership, false, true
			}
			exists = exists || identity.Formed
			id = raft.MemberID(identity.ID)
			founder.Zone = cmp.Or(founder.Zone, reply.Zone)
		}
		founder.Zone = cmp.Or(founder.Zone, m.options.Zone)
		membership.Members = append(membership.Members,
			raft.Member{ID: id, Address: founder.Address, Zone: founder.Zone, Learner: founder.Learner})
	}
	if exists {
		return raft.Membership{}, false, true
	}
	slices.SortFunc(membership.Members, func(a, b raft.Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return membership, complete, false
}

func (m *Member) identify(ctx context.Context, address string) (*protocol.IdentifyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	return m.pool.Identify(ctx, address, &protocol.IdentifyRequest{})
}

// Identify returns the identities of this member in its groups. If the request carries an identity, the sender asks to
// join: the reply then describes the registry's group as well.
func (m *Member) Identify(ctx context.Context, request *protocol.IdentifyRequest) (*protocol.IdentifyReply, error) {
	reply := &protocol.IdentifyReply{Admin: m.options.AdvertiseAdmin, Zone: m.options.Zone}
	if len(request.Members) > 0 {
		m.toldMembers.Store(&request.Members)
	}
	if request.ID != "" {
		m.describeGroup(ctx, request, reply)
	}
	m.formedMu.Lock()
	defer m.formedMu.Unlock()
	for _, r := range m.replicas {
		identity := protocol.GroupIdentity{ID: string(r.id), Formed: m.formedGroups[r.group]}
		if initial, ok := m.initialMemberships[r.group]; ok {
			identity.InitialMembership = &initial
		}
		reply.Groups = append(reply.Groups, identity)
	}
	return reply, nil
}

func (m *Member) markFormed(group uint32) {
	m.formedMu.Lock()
	defer m.formedMu.Unlock()
	m.formedGroups[group] = true
}

// setInitialMembership records that a group is formed, and its initial membership.
func (m *Member) setInitialMembership(group uint32, membership raft.Membership) {
	m.formedMu.Lock()
	defer m.formedMu.Unlock()
	m.formedGroups[group] = true
	m.initialMemberships[group] = membership
}

func (m *Member) isFormed(group uint32) bool {
	m.formedMu.Lock()
	defer m.formedMu.Unlock()
	return m.formedGroups[group]
}
