package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/mesh"
)

const (
	// transferTimeout bounds a planned stop of a member whose membership operators manage: it transfers the leadership,
	// without which the others would have no leader for an election timeout.
	transferTimeout = time.Second
	// maxLeaveTime bounds the time for which a member waits for its release if its caller sets no deadline.
	maxLeaveTime      = 4 * time.Second
	leavePollInterval = 20 * time.Millisecond
	// leaveDelayLogged is the time after which a member logs that it is still waiting for its release.
	leaveDelayLogged = time.Second
)

// Stop hands over the leadership and, if the leader replaces members, the vote of this member, and stops it. It waits for
// both until shortly before ctx ends: a member that ends earlier may take the quorum with it.
func (m *Member) Stop(ctx context.Context) error {
	leaveCtx, cancel := m.leaveContext(ctx)
	defer cancel()
	select {
	case <-m.ready:
		m.leave(leaveCtx)
	default:
		// This process has taken part in nothing yet.
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(ctx, adminShutdownTimeout)
	defer cancelShutdown()
	_ = m.adminServer.Shutdown(shutdownCtx)
	m.Kill()
	return nil
}

// leaveContext returns a context that leaves time for the rest of a stop that ends with ctx.
func (m *Member) leaveContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if m.options.Voters == 0 {
		return context.WithTimeout(ctx, transferTimeout)
	}
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-adminShutdownTimeout))
	}
	return context.WithTimeout(ctx, maxLeaveTime)
}

// leave waits until this member may end, or ctx ends.
func (m *Member) leave(ctx context.Context) {
	began, delayLogged := time.Now(), false
	for ctx.Err() == nil {
		var left bool
		var status raft.Status
		err := m.host.Query(ctx, func(now time.Time) { left, status = m.stepLeave(now) })
		if left || errors.Is(err, mesh.ErrStopped) {
			return
		}
		if time.Since(began) > leaveDelayLogged && !delayLogged {
			delayLogged = true
			m.logger.Warn().Str("leader", string(status.Leader)).Int("voters", len(status.Membership.Voters())).
				Msg("delays its end: the group may lack a quorum without this member")
		}
		sleep(ctx, leavePollInterval)
	}
	m.logger.Warn().Msg("ends without its release; the group may lack a quorum")
}

// stepLeave takes the next step towards the end of this member and reports whether it may end. It runs on the control
// goroutine.
func (m *Member) stepLeave(now time.Time) (left bool, status raft.Status) {
	transferring := false
	for _, r := range m.replicas {
		transferring = r.transferLeadership(now) || transferring
	}
	registry := m.replicas[registryGroup].raft
	if m.options.Voters == 0 {
		return !transferring, registry.Status()
	}
	registry.Leave(now)
	status = registry.Status()
	_, listed := status.Membership.Find(status.ID)
	switch {
	case status.Removed, !listed && !status.MembershipPending:
		if status.Commit > 0 {
			m.markRemoved()
		}
	case status.Released:
	case listed && len(status.Membership.Voters()) == 1:
		// There is no other voter to hand anything to.
	default:
		return false, status
	}
	if !transferring {
		m.logger.Info().Bool("released", status.Released).Bool("removed", status.Removed).Msg("the group does without this member")
	}
	return !transferring, status
}
