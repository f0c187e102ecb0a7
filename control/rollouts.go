package control

import (
	"context"
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/coordination/rollout"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/registry"
	"sapphiregate.example/sapphiregate/state/release"
)

// decisionTimeout is the time after which a decision about a rollout whose result is not known may be proposed again.
// It takes effect only once, as it names the revision that it changes.
const decisionTimeout = 500 * time.Millisecond

// judgeInterval is the time between two judgements; results arrive about twice a second.
const judgeInterval = 200 * time.Millisecond

// rollouts is the state of a member that judges the rollouts of releases. Only the control goroutine uses it.
type rollouts struct {
	judge *rollout.Judge
	// running lists the rollouts that are running, orderedAt the times of their orders by the log index of the order.
	running   []release.Rollout
	orderedAt map[uint64]time.Time
	// proposedAt holds the time of the last decision that was proposed for a revision.
	proposedAt map[uint64]time.Time
	judgedAt   time.Time
	// confirmedAt is a time at which the tracked rollouts were all that a quorum had stored; zero if none is known.
	confirmedAt time.Time
	// commits brackets the time at which each known order was committed, by the log index of the order.
	commits map[uint64]commitTime
}

// commitTime brackets the time of a commit on the local monotonic clock. earliest is zero if the entry was committed before
// this process knew the state of the group.
type commitTime struct{ earliest, latest time.Time }

func newRollouts(config rollout.Config) rollouts {
	return rollouts{
		judge: rollout.New(config), orderedAt: make(map[uint64]time.Time), proposedAt: make(map[uint64]time.Time),
	}
}

// confirm notes that the tracked rollouts were the latest ones at a time. It keeps the latest of these times.
func (s *rollouts) confirm(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// track takes the rollouts of the registry. The time of an order is taken from the leader's clock when a member sees the
// order first; from then on it depends on the local monotonic clock only. The clocks of two members may differ by seconds, but
// an order is no older than the last confirmation of a state without it.
func (s *rollouts) track(now time.Time, all []release.Rollout) {
	s.running = s.running[:0]
	orderedAt := make(map[uint64]time.Time)
	proposedAt := make(map[uint64]time.Time)
	commits := make(map[uint64]commitTime)
	for _, r := range all {
		commits[r.Started] = s.commitTime(now, r.Started)
		if r.Former.Started != 0 {
			commits[r.Former.Started] = s.commitTime(now, r.Former.Started)
		}
		if r.State != release.Running {
			continue
		}
		s.running = append(s.running, r)
		ordered, ok := s.orderedAt[r.Started]
		if !ok {
			ordered = now.Add(-max(0, now.Sub(time.UnixMilli(r.StartedUnixMs))))
			if ordered.Before(s.confirmedAt) {
				ordered = s.confirmedAt
			}
		}
		orderedAt[r.Started] = ordered
		if proposed, ok := s.proposedAt[r.Revision]; ok {
			proposedAt[r.Revision] = proposed
		}
	}
	s.orderedAt, s.proposedAt, s.commits = orderedAt, proposedAt, commits
	s.judge.Retain(now, s.running)
}

// commitTime brackets the time of an order's commit. A member that sees the order first knows only that it was not committed
// when the state without it was confirmed.
func (s *rollouts) commitTime(now time.Time, started uint64) commitTime {
	if known, ok := s.commits[started]; ok {
		return known
	}
	return commitTime{earliest: s.confirmedAt, latest: now}
}

// latestOrder describes the latest order of a service to the state machine, which decides by it whether the next one is a
// copy.
func (m *Member) latestOrder(now time.Time, service string) *registry.LatestOrder {
	known := &registry.LatestOrder{
		MaxAgeMs: registry.AgeUnknown, ResendMs: m.options.ResendWithin.Milliseconds(),
		Outdated: !m.replicas[registryGroup].raft.KnowsCommitted(),
	}
	latest, ok := m.registryState.registry.Rollout(service)
	if !ok {
		return known
	}
	known.Started = latest.Started
	committed := m.rollouts.commits[latest.Started]
	if since, ok := m.replicas[registryGroup].raft.ProposedSince(latest.Started); ok && since.After(committed.earliest) {
		committed.earliest = since
	}
	known.MinAgeMs = now.Sub(committed.latest).Milliseconds()
	if latest.Former.Started != 0 {
		known.FormerMinAgeMs = now.Sub(m.rollouts.commits[latest.Former.Started].latest).Milliseconds()
	}
	if !committed.earliest.IsZero() {
		known.MaxAgeMs = now.Sub(committed.earliest).Milliseconds() + 1
	}
	return known
}

// decideRollouts lets the leader change the rollouts whose results ask for it. The other members judge too, so that they
// can go on at once if they become the leader.
func (m *Member) decideRollouts(now time.Time) {
	s := &m.rollouts
	if age, ok := m.replicas[registryGroup].raft.ConfirmedAge(now); ok {
		s.confirm(now.Add(-age))
	}
	if len(s.running) == 0 || now.Sub(s.judgedAt) < judgeInterval {
		return
	}
	s.judgedAt = now
	leads := m.replicas[registryGroup].isLeader()
	for _, r := range s.running {
		decision, ok := s.judge.Decide(now, m.situationOf(now, r))
		if !ok || !leads || now.Sub(s.proposedAt[r.Revision]) < decisionTimeout {
			continue
		}
		s.proposedAt[r.Revision] = now
		m.proposeDecision(now, r, decision)
	}
}

// situationOf describes a rollout by the endpoint table.
func (m *Member) situationOf(now time.Time, r release.Rollout) rollout.Situation {
	s := rollout.Situation{Rollout: r, Elapsed: now.Sub(m.rollouts.orderedAt[r.Started])}
	for _, record := range m.peer.Table().OfService(r.Service) {
		switch {
		case record.State != endpoints.Serving:
		case record.Release == r.Release:
			s.Newer++
		default:
			s.Older++
		}
	}
	return s
}

func (m *Member) proposeDecision(now time.Time, r release.Rollout, d rollout.Decision) {
	m.logger.Info().Str("service", r.Service).Str("release", r.Release).Str("state", string(d.State)).
		Int("share_permille", d.Share).Int("focus", d.Focus).Str("reason", d.Reason).
		Str("evidence", m.rollouts.judge.Evidence(now, r.Service)).
		Int64("elapsed_ms", now.Sub(m.rollouts.orderedAt[r.Started]).Milliseconds()).Msg("decides about a rollout")
	data, err := registry.EncodeCommand(registry.Command{Rollout: &registry.RolloutChange{Advance: &registry.AdvanceRollout{
		Service: r.Service, Revision: r.Revision, State: d.State, Share: d.Share, Focus: d.Focus, Reason: d.Reason,
	}}})
	if err != nil {
		m.logger.Error().Err(err).Msg("cannot encode a decision about a rollout")
		return
	}
	m.metrics.rolloutDecisions.WithLabelValues(string(d.State)).Inc()
	// The result is not awaited: it arrives as a new revision, or the decision is made anew.
	m.replicas[registryGroup].propose(now, data, make(chan *protocol.ProposeReply, 1))
}

// StartRollout orders the rollout of a release. An order that is sent again gets the result of the first one.
func (m *Member) StartRollout(ctx context.Context, s registry.StartRollout) (operator.Decision, error) {
	return operatorBackend{member: m}.changeRollout(ctx, "", registry.RolloutChange{Start: &s})
}

// Rollout returns the latest rollout of a service; false if it had none. It fails with operator.ErrNoQuorum if the context
// ends before a quorum has confirmed this member's state.
func (m *Member) Rollout(ctx context.Context, service string) (release.Rollout, bool, error) {
	var found release.Rollout
	var ok bool
	err := m.readConfirmed(ctx, func(time.Time) { found, ok = m.registryState.registry.Rollout(service) })
	return found, ok, err
}

func (b operatorBackend) changeRollout(
	ctx context.Context, requestID string, change registry.RolloutChange,
) (operator.Decision, error) {
	return b.commitCommand(ctx, registry.Command{RequestID: requestID, Rollout: &change})
}

// StartRollout orders the rollout of a release.
func (b operatorBackend) StartRollout(ctx context.Context, r operator.StartRolloutRequest) (operator.Decision, error) {
	return b.changeRollout(ctx, r.RequestID, registry.RolloutChange{Start: &registry.StartRollout{
		Service: r.Service, Release: r.Release, DurationMs: r.DurationMs, Operator: r.Operator,
	}})
}

// CancelRollout rolls a running rollout back.
func (b operatorBackend) CancelRollout(ctx context.Context, r operator.CancelRolloutRequest) (operator.Decision, error) {
	return b.changeRollout(ctx, r.RequestID, registry.RolloutChange{Cancel: &registry.CancelRollout{
		Service: r.Service, Release: r.Release, Operator: r.Operator,
	}})
}

// Rollouts lists the latest rollout of each service.
func (b operatorBackend) Rollouts(ctx context.Context) (operator.RolloutsResponse, error) {
	response := operator.RolloutsResponse{Rollouts: []operator.ReleaseRollout{}}
	err := b.member.readConfirmed(ctx, func(now time.Time) {
		for _, r := range b.member.registryState.registry.Rollouts() {
			listed := operator.ReleaseRollout{Rollout: r}
			if r.State == release.Running {
				listed.Evidence = b.member.rollouts.judge.Evidence(now, r.Service)
			}
			response.Rollouts = append(response.Rollouts, listed)
		}
	})
	return response, err
}
