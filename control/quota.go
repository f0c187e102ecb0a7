package control

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/internal/clock"
)

const (
	// confirmationRounds is the number of heartbeat intervals for which the owner goes on to lend after a quorum has
	// confirmed its leadership, and confirmationMargin the time for the replies and for the control goroutine.
	confirmationRounds = 2
	confirmationMargin = 150 * time.Millisecond
	// ownerDriftPercent is added to the wait of a new owner, because the clocks of two members may differ in rate.
	ownerDriftPercent = 2
	// maxOpeningDelay is the time after a new owner may lend in which it opens its accounts with credit, if it does.
	maxOpeningDelay = time.Second
	// defaultQuotaHeartbeat is the interval of heartbeats if the options set none.
	defaultQuotaHeartbeat = 150 * time.Millisecond
	// defaultQuotaElection is the election timeout if the options set none.
	defaultQuotaElection = time.Second
)

// quotaOwner holds the accounts of the teams' quotas. The leader of the registry's group is the owner while a quorum has
// confirmed its leadership recently. It is safe for concurrent use: nodes are answered without the control goroutine.
type quotaOwner struct {
	logger zerolog.Logger
	// confirmed is the time for which a confirmation by a quorum allows to lend.
	confirmed time.Duration
	// creditInterval is how long the term before that of an owner must have lasted if the owner opens its accounts with
	// credit: the owner of that term then opened its own more than a window ago.
	creditInterval time.Duration

	mu   sync.Mutex
	book *quota.Book
	// term is that in which the accounts were opened; 0 if this member is not the leader.
	term uint64
	// until is the time until which this member may lend, and at which all that it has lent has expired.
	until  time.Time
	leader string
	// outside is set while this process does not belong to the group.
	outside bool
	// seenTerm is the present term and seenTermAt when this process saw it first; formerTermAt is the same of the term
	// before it, or of this one if a term between them was missed.
	seenTerm                 uint64
	seenTermAt, formerTermAt time.Time
	// version is that of the limits.
	version uint64
	// requests counts those that were answered as the owner.
	requests int64
}

func newQuotaOwner(options *Options, logger zerolog.Logger) *quotaOwner {
	heartbeat := cmp.Or(options.HeartbeatInterval, defaultQuotaHeartbeat)
	election := cmp.Or(options.ElectionTimeout, defaultQuotaElection)
	confirmed := confirmationRounds*heartbeat + confirmationMargin
	return &quotaOwner{
		logger: logger, book: quota.NewBook(options.QuotaBounds), confirmed: confirmed,
		// A process may see a term from its first vote on, up to one and a half timeouts before the leader is elected.
		creditInterval: options.QuotaBounds.Window + election*3/2 + openingWait(confirmed) + maxOpeningDelay,
	}
}

// openingWait returns how long a new owner waits, counted from the last message of a former leader to which a quorum
// replied: the former owner lends, and its leases last, until the last confirmation of its leadership is too old.
func openingWait(confirmed time.Duration) time.Duration {
	return confirmed + confirmed*ownerDriftPercent/100
}

// observeTerm notes when terms began. The caller holds the lock.
func (o *quotaOwner) observeTerm(now time.Time, term uint64) {
	if term == o.seenTerm {
		return
	}
	o.formerTermAt = o.seenTermAt
	if term != o.seenTerm+1 || o.seenTermAt.IsZero() {
		o.formerTermAt = now
	}
	o.seenTerm, o.seenTermAt = term, now
}

// Lend answers a node that asks for tokens.
func (m *Member) Lend(_ context.Context, request *quota.Request) (*quota.Reply, error) {
	return m.quotas.lend(clock.Now(), request), nil
}

func (o *quotaOwner) lend(now time.Time, request *quota.Request) *quota.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == 0 || !now.Before(o.until) {
		return &quota.Reply{Owner: o.leader, Outside: o.outside && o.leader == ""}
	}
	o.requests++
	var begins []string
	for _, ask := range request.Asks {
		if !o.book.IsLimited(ask.Team) {
			begins = append(begins, ask.Team)
		}
	}
	reply := &quota.Reply{IsOwner: true, Grants: o.book.Lend(now, o.until, request)}
	for _, team := range begins {
		if o.book.IsLimited(team) {
			o.logger.Info().Str("team", team).Msg("team is over its quota")
		}
	}
	return reply
}

// updateQuotaOwner opens the accounts after this member has become the leader, and extends the time for which it may
// lend.
func (m *Member) updateQuotaOwner(now time.Time) {
	r := m.replicas[registryGroup]
	status := r.raft.Status()
	age, confirmed := r.raft.ConfirmedAge(now)
	o := m.quotas
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leader, o.outside = r.leaderAddress(), r.isOutside()
	o.observeTerm(now, status.Term)
	wait := openingWait(o.confirmed)
	if status.Role != raft.RoleLeader || status.LeaderFor+status.FormerSilence < wait || !confirmed {
		o.term = 0
		return
	}
	m.updateQuotaLimits(now)
	if o.term != status.Term {
		o.term = status.Term
		credit := status.LeaderFor < wait+maxOpeningDelay && now.Sub(o.formerTermAt) > o.creditInterval
		// The former owner has lent nothing since the wait was over, so the accounts refill from then on.
		o.book.Open(now.Add(wait-status.LeaderFor-status.FormerSilence), credit)
		o.logger.Info().Uint64("term", o.term).Int("teams", o.book.Teams()).Bool("credit", credit).
			Msg("lends the quotas of teams")
	}
	o.until = now.Add(o.confirmed - age)
	for _, ended := range o.book.EndedLimitations(now) {
		o.logger.Info().Str("team", ended.Team).Float64("rate", ended.Limit.Rate).Float64("burst", ended.Limit.Burst).
			Int64("lasted_ms", ended.Lasted.Milliseconds()).Int64("asked", ended.Counts.Asked).
			Int64("lent", ended.Counts.Lent).Int64("refused", ended.Counts.Refused).
			Int64("refused_below_limit", ended.Counts.RefusedBelow).Msg("team is within its quota again")
	}
}

// refreshQuotaLimits puts the limits of a version into force at the owner as soon as it is applied.
func (m *Member) refreshQuotaLimits(now time.Time) {
	m.quotas.mu.Lock()
	defer m.quotas.mu.Unlock()
	if m.quotas.term > 0 {
		m.updateQuotaLimits(now)
	}
}

// updateQuotaLimits takes the limits of the latest bundle. The caller holds the owner's lock.
func (m *Member) updateQuotaLimits(now time.Time) {
	latest := m.registryState.registry.State().Latest
	if latest == nil || latest.Version == m.quotas.version {
		return
	}
	current, err := m.registryState.registry.Store().Bundle(latest.Digest)
	if err != nil {
		m.logger.Error().Err(err).Uint64("version", latest.Version).Msg("cannot read the quotas of a bundle")
		return
	}
	m.quotas.version = latest.Version
	m.quotas.book.SetLimits(now, quota.LimitsOf(current.Teams))
}

func (o *quotaOwner) status(now time.Time) quota.OwnerStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	status := quota.OwnerStatus{IsOwner: o.term > 0 && now.Before(o.until), Owner: o.leader, Requests: o.requests}
	if status.IsOwner {
		status.Accounts = o.book.Status(now)
	}
	return status
}
