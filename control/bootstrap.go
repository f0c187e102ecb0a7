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

// Founder is a member of a new group.
type Founder struct {
	Address string
	// Zone is asked of the founder if it is empty.
	Zone string
	// Learner marks a member that replicates without a vote, such as the source of a zone beyond the voters' zones.
	Learner bool
}

const (
	identifyTimeout     = time.Second
	bootstrapRetryDelay = 200 * time.Millisecond
	// foundingIndex and foundingTerm place the first snapshot, which holds only the membership and is the same on all
	// founders.
	foundingIndex = 1
	foundingTerm  = 1
)

// hasGroupState reports whether a folder belongs to a member of a group.
func hasGroupState(recovered wal.Recovered) bool {
	return recovered.Snapshot.Index > 0 || len(recovered.Entries) > 0
}

// isFoundingSnapshot reports whether a snapshot holds only a group's first membership.
func isFoundingSnapshot(snapshot raft.Snapshot) bool {
	return snapshot.Index == foundingIndex && snapshot.Term == foundingTerm
}

// formGroup makes the first membership of a group durable. If another founder formed the group already, this replica adopts
// the first membership if that lists its identity: it then holds nothing that could be lost, and the founders that were
// first may need its vote. Otherwise its folder is new, it starts empty and an operator must add it. A wiped member can
// therefore neither vote under its old identity nor formGroup a second group.
func (m *Member) formGroup(r *replica, recovered *wal.Recovered) error {
	for {
		membership, complete, exists := m.identifyFounders(m.ctx, r)
		_, listed := membership.Find(r.id)
		switch {
		case exists && !listed:
			r.logger.Info().Str("member", string(r.id)).Msg("the group exists; waiting for its leader")
			return nil
		case exists, complete:
			recovered.Snapshot = raft.Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: membership}
			if err := r.log.SaveSnapshot(recovered.Snapshot); err != nil {
				return errors.Wrapf(ErrStorage, "%v", err)
			}
			m.markFounded(r.group, membership)
			return nil
		}
		sleep(m.ctx, bootstrapRetryDelay)
		if m.ctx.Err() != nil {
			return errors.Wrapf(ErrBootstrap, "%v", m.ctx.Err())
		}
	}
}

// identifyFounders gathers the first membership. If the group exists, it returns the membership that a founder reports,
// which is empty if the founder no longer knows it.
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
			reported := reply.Groups[r.group]
			if reported.Formed && reported.Founding != nil {
				return *reported.Founding, false, true
			}
			exists = exists || reported.Formed
			id = raft.MemberID(reported.ID)
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

// Identify tells other members who this one is, and notes a process that asks to join the group.
func (m *Member) Identify(ctx context.Context, request *protocol.IdentifyRequest) (*protocol.IdentifyReply, error) {
	reply := &protocol.IdentifyReply{Admin: m.options.AdvertiseAdmin, Zone: m.options.Zone}
	if request.ID != "" {
		m.describeGroup(ctx, request, reply)
	}
	m.formedMu.Lock()
	defer m.formedMu.Unlock()
	for _, r := range m.replicas {
		identity := protocol.GroupIdentity{ID: string(r.id), Formed: m.formedGroups[r.group]}
		if founding, ok := m.founding[r.group]; ok {
			identity.Founding = &founding
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

// markFounded notes the first membership of a group that this replica belongs to.
func (m *Member) markFounded(group uint32, membership raft.Membership) {
	m.formedMu.Lock()
	defer m.formedMu.Unlock()
	m.formedGroups[group] = true
	m.founding[group] = membership
}

func (m *Member) isFormed(group uint32) bool {
	m.formedMu.Lock()
	defer m.formedMu.Unlock()
	return m.formedGroups[group]
}
