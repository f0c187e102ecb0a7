package control

import (
	"context"
	"time"

	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/coordination/rollout"
	"sapphiregate.example/sapphiregate/state/release"
)

// OrderAge returns the age that a member takes an order for that it sees now, if the state without it was confirmed some time
// ago (never if that is 0) and the leader's clock says that the order was sent at a time.
func OrderAge(now time.Time, confirmedAgo time.Duration, sent time.Time) time.Duration {
	s := newRollouts(rollout.Config{})
	s.track(now, nil)
	if confirmedAgo > 0 {
		s.confirm(now.Add(-confirmedAgo))
	}
	s.track(now, []release.Rollout{{Service: "desk", State: release.Running, Started: 1, StartedUnixMs: sent.UnixMilli()}})
	return now.Sub(s.orderedAt[1])
}

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
	if m.waitRunning(context.Background()) != nil {
		return false
	}
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

// Suspend keeps the control goroutine from running for a duration, and returns once it does.
func (m *Member) Suspend(duration time.Duration) {
	suspended := make(chan struct{})
	m.host.Post(func(time.Time) {
		close(suspended)
		time.Sleep(duration)
	})
	<-suspended
}
