package control

import (
	"context"
	"time"

	"sapphiregate.example/sapphiregate/coordination/raft"
)

// Snapshot returns the log index of the newest snapshot of the registry.
func (m *Member) Snapshot() (index uint64) {
	if m.waitRunning(context.Background()) != nil {
		return 0
	}
	_ = m.host.Query(context.Background(), func(time.Time) { index = m.replicas[registryGroup].raft.Status().SnapshotIndex })
	return index
}

// Lists reports whether the membership of the registry's group, as this member knows it, has a member.
func (m *Member) Lists(id string) (found bool) {
	_ = m.host.Query(context.Background(), func(time.Time) {
		_, found = m.replicas[registryGroup].raft.Status().Membership.Find(raft.MemberID(id))
	})
	return found
}

// Voters lists the identities of the voters of the registry's group as this member knows them.
func (m *Member) Voters() (ids []string) {
	if m.waitRunning(context.Background()) != nil {
		return nil
	}
	_ = m.host.Query(context.Background(), func(time.Time) {
		for _, member := range m.replicas[registryGroup].raft.Status().Membership.Members {
			if !member.Learner {
				ids = append(ids, string(member.ID))
			}
		}
	})
	return ids
}
