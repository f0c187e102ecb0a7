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

// formed reports whether the data folder belongs to a member of a group.
func formed(recovered wal.Recovered) bool {
	return recovered.Snapshot.Index > 0 || len(recovered.Entries) > 0
}

// found asks all founders for their identities and returns the first membership. It returns false if the group exists
// already. Then this member starts empty: if it is one of the members, the leader brings it up to date; if not, its data
// folder is new and an operator must add it. A wiped member can therefore neither vote under its old identity nor form
// a second group.
func (m *Member) found(ctx context.Context) (raft.Membership, bool, error) {
	for {
		membership, complete, exists := m.identifyFounders(ctx)
		switch {
		case exists:
			return raft.Membership{}, false, nil
		case complete:
			return membership, true, nil
		}
		select {
		case <-ctx.Done():
			return raft.Membership{}, false, errors.Wrapf(ErrBootstrap, "%v", ctx.Err())
		case <-time.After(bootstrapPause):
		}
	}
}

func (m *Member) identifyFounders(ctx context.Context) (membership raft.Membership, complete, exists bool) {
	complete = true
	for _, founder := range m.options.Founders {
		id := m.id
		if founder.Address != m.options.Advertise {
			reply, err := m.identify(ctx, founder.Address)
			if err != nil {
				complete = false
				continue
			}
			if reply.Formed {
				return raft.Membership{}, false, true
			}
			id = raft.MemberID(reply.ID)
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
	reply := &protocol.IdentifyReply{ID: string(m.id), Formed: m.isFormed.Load(), Admin: m.options.AdvertiseAdmin, Zone: m.options.Zone}
	return reply, nil
}
