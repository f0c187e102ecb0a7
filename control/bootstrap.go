package control

import (
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
	Zone    string
	// Learner marks a member that replicates without a vote, such as the source of a zone beyond the voters' zones.
	Learner bool
}

const (
	identifyTimeout = time.Second
	bootstrapPause  = 200 * time.Millisecond
	// foundingIndex and foundingTerm place the first snapshot, which holds only the membership and is the same on all
	// founders.
	foundingIndex = 1
	foundingTerm  = 1
)

// formed reports whether a folder belongs to a member of a group.
func formed(recovered wal.Recovered) bool {
	return recovered.Snapshot.Index > 0 || len(recovered.Entries) > 0
}

// form makes the first membership of a group durable. If the group exists already, this replica starts empty: if it is
// one of the members, the leader brings it up to date; if not, its folder is new and an operator must add it. A wiped
// member can therefore neither vote under its old identity nor form a second group.
func (m *Member) form(r *replica, recovered *wal.Recovered) error {
	for {
		membership, complete, exists := m.identifyFounders(m.ctx, r)
		switch {
		case exists:
			r.logger.Info().Str("member", string(r.id)).Msg("the group exists; waiting for its leader")
			return nil
		case complete:
			recovered.Snapshot = raft.Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: membership}
			if err := r.log.SaveSnapshot(recovered.Snapshot); err != nil {
				return errors.Wrapf(ErrStorage, "%v", err)
			}
			m.setFormed(r.group)
			return nil
		}
		pause(m.ctx, bootstrapPause)
		if m.ctx.Err() != nil {
			return errors.Wrapf(ErrBootstrap, "%v", m.ctx.Err())
		}
	}
}

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
			described := reply.Groups[r.group]
			if described.Formed {
				return raft.Membership{}, false, true
			}
			id = raft.MemberID(described.ID)
		}
		membership.Members = append(membership.Members,
			raft.Member{ID: id, Address: founder.Address, Zone: founder.Zone, Learner: founder.Learner})
	}
	slices.SortFunc(membership.Members, func(a, b raft.Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return membership, complete, false
}

func (m *Member) identify(ctx context.Context, address string) (*protocol.IdentifyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	return m.pool.Identify(ctx, address)
}

// Identify tells other members who this one is.
func (m *Member) Identify(context.Context, *protocol.IdentifyRequest) (*protocol.IdentifyReply, error) {
	reply := &protocol.IdentifyReply{Admin: m.options.AdvertiseAdmin, Zone: m.options.Zone}
	m.formedMu.Lock()
	defer m.formedMu.Unlock()
	for _, r := range m.replicas {
		reply.Groups = append(reply.Groups, protocol.GroupIdentity{ID: string(r.id), Formed: m.formedGroups[r.group]})
	}
	return reply, nil
}

func (m *Member) setFormed(group uint32) {
	m.formedMu.Lock()
	defer m.formedMu.Unlock()
	m.formedGroups[group] = true
}

func (m *Member) isFormed(group uint32) bool {
	m.formedMu.Lock()
	defer m.formedMu.Unlock()
	return m.formedGroups[group]
}
