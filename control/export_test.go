package control

import (
	"context"
	"time"
)

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
