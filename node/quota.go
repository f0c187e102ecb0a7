package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/internal/clock"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

const (
	// quotaMaxWait bounds for how long a request waits for a token. It exceeds several round trips between zones, and is
	// short beside the times in which callers expect a response.
	quotaMaxWait = 200 * time.Millisecond
	// quotaAskTimeout bounds one request to a control member. Tokens of a later reply would mostly have expired.
	quotaAskTimeout = 300 * time.Millisecond
	// quotaAskInterval is the least time between two requests to the owner, so that requests that arrive meanwhile share
	// the next one.
	quotaAskInterval = 20 * time.Millisecond
	// quotaShortInterval takes its place while an owner that has just begun is short of tokens.
	quotaShortInterval = 50 * time.Millisecond
	// quotaRetryDelay and quotaMaxRetryDelay bound the growing pause after a request that got no grants.
	quotaRetryDelay    = 25 * time.Millisecond
	quotaMaxRetryDelay = 200 * time.Millisecond
	// quotaLostAfter is the time without an owner after which requests no longer wait for one.
	quotaLostAfter = 500 * time.Millisecond
	// quotaAvoidTime is the time for which a member that did not reply is not asked again, unless no other is known: the
	// other members name it as the owner until they have elected another.
	quotaAvoidTime = time.Second
	// quotaLostRetryAfter is about the time in which the members elect another leader.
	quotaLostRetryAfter = time.Second
	// quotaRetrySpread is the largest random share by which callers that were refused return later.
	quotaRetrySpread = 0.25
)

// The values of the label "decision" of quota_requests_total.
const (
	quotaAllowed  = "allowed"
	quotaReserved = "reserve"
	quotaRefused  = "refused"
	quotaUnknown  = "unknown"
)

// quotaWaiter is a request that waits for a token.
type quotaWaiter struct {
	// decided receives the decision; it has room for one.
	decided chan quota.Decision
}

// quotas keeps the requests that this node lets in within the quotas of their teams. It asks the owner of the accounts,
// a control member, for tokens, with one request at a time. It is safe for concurrent use.
type quotas struct {
	node   *Node
	logger zerolog.Logger
	// tasks runs ask, so that a stop can wait for it.
	tasks taskGroup

	mu     sync.Mutex
	holder *quota.Holder
	// waiting holds the requests of each team that wait for a token, in the order of their arrival.
	waiting map[string][]*quotaWaiter
	// asking is set while the goroutine of ask runs.
	asking bool
	// owner is the address of the owner; empty if it is not known.
	owner string
	// nextMember is the index of the member that is asked if the owner is not known.
	nextMember int
	// lostSince is the time since which no request got grants; zero if the last one did. retryDelay is the pause before
	// the next one.
	// ownerlessAt is when a member last said that there is no owner; zero if an owner has replied since.
	ownerlessAt time.Time
	lostSince   time.Time
	retryDelay  time.Duration
	lastAsk     time.Time
	// short is set if requests still waited after the last reply.
	short bool
	// avoided did not reply and is not asked until avoidedUntil.
	avoided      string
	avoidedUntil time.Time
}

func newQuotas(n *Node) *quotas {
	return &quotas{
		node: n, logger: n.logger.With().Str("part", "quota").Logger(),
		holder:  quota.NewHolder(clock.Now(), n.options.QuotaBounds, n.id),
		waiting: make(map[string][]*quotaWaiter),
	}
}

func (q *quotas) setTeams(teams []bundle.Team) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.SetLimits(quota.LimitsOf(teams))
}

func (q *quotas) setNodes(count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.SetNodes(count)
}

func (q *quotas) status() []quota.HoldingStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.holder.Status(clock.Now())
}

// forwardWithinQuota forwards the call if its team's quota allows it. A call that was not run gives its token back.
func (c *ingressCall) forwardWithinQuota(ctx context.Context) *callReply {
	if c.team == nil || c.team.RequestsPerSecond == 0 {
		return c.forward(ctx)
	}
	token, reason := c.node.quotas.charge(ctx, c)
	if reason != protocol.ReasonNone {
		c.node.metrics.refusedRequests.WithLabelValues(string(reason)).Inc()
		return notRunReply(reason)
	}
	reply := c.forward(ctx)
	if reply.metadata.Outcome == protocol.OutcomeNotRun && c.runs.Load() == 0 {
		c.node.quotas.refund(token)
	}
	return reply
}

// chargeRepeatedRun charges an attempt that an upstream may have run, beyond the first one of its call.
func (c *ingressCall) chargeRepeatedRun(reply *callReply) {
	if reply.metadata.Outcome == protocol.OutcomeNotRun || c.runs.Add(1) == 1 || c.team == nil {
		return
	}
	q := c.node.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.Charge(clock.Now(), c.team.Name)
}

func (q *quotas) refund(token quota.Token) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	q.holder.Refund(now, token)
	q.settle(now)
}

// charge takes a token of the call's team. It waits for the owner if the node has none, for quotaMaxWait at most.
func (q *quotas) charge(ctx context.Context, c *ingressCall) (quota.Token, protocol.Reason) {
	team := c.team.Name
	q.mu.Lock()
	now := clock.Now()
	decision := q.holder.Take(now, team)
	if decision.Verdict != quota.NeedsLease {
		q.mu.Unlock()
		return q.conclude(c, decision)
	}
	lost := q.isLost(now)
	waiter := &quotaWaiter{decided: make(chan quota.Decision, 1)}
	if !lost {
		q.waiting[team] = append(q.waiting[team], waiter)
	}
	q.startAsking()
	q.mu.Unlock()
	if !lost {
		started := time.Now()
		decision, decided := q.await(ctx, team, waiter)
		q.node.metrics.quotaWaitTime.Observe(time.Since(started).Seconds())
		if decided {
			return q.conclude(c, decision)
		}
		if ctx.Err() != nil {
			return quota.Token{}, abandonReason(ctx)
		}
	}
	return q.withoutOwner(c)
}

// peek returns what charge would decide now, without a token being spent, and whether the owner is lost. Where the owner
// is asked, it decides.
func (q *quotas) peek(team string) (decision quota.Decision, lost bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	return q.holder.Peek(now, team), q.isLost(now)
}

// hasReserve reports whether a request may be let in without the owner.
func (q *quotas) hasReserve(team string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.holder.HasReserve(clock.Now(), team, q.isOwnerless(clock.Now()))
}

// isOwnerless reports whether a member has lately said that there is no owner. A node that is cut off hears of none. The
// caller holds the lock.
func (q *quotas) isOwnerless(now time.Time) bool {
	return !q.ownerlessAt.IsZero() && now.Sub(q.ownerlessAt) < quotaLostAfter
}

// isLost reports whether requests no longer wait for an owner. The caller holds the lock.
func (q *quotas) isLost(now time.Time) bool {
	return !q.lostSince.IsZero() && now.Sub(q.lostSince) > quotaLostAfter
}

// conclude turns a decision into the reason of a refusal, if it is one.
func (q *quotas) conclude(c *ingressCall, decision quota.Decision) (quota.Token, protocol.Reason) {
	if decision.Verdict == quota.OverQuota {
		c.quotaRetryAfter = spread(decision.RetryAfter)
		q.node.metrics.quotaRequests.WithLabelValues(quotaRefused).Inc()
		return quota.Token{}, protocol.ReasonQuota
	}
	q.node.metrics.quotaRequests.WithLabelValues(quotaAllowed).Inc()
	return decision.Token, protocol.ReasonNone
}

// await waits for the decision about a request. It returns false if there is none in time; the request then no longer
// waits.
func (q *quotas) await(ctx context.Context, team string, waiter *quotaWaiter) (quota.Decision, bool) {
	timer := time.NewTimer(quotaMaxWait)
	defer timer.Stop()
	select {
	case decision := <-waiter.decided:
		return decision, true
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case decision := <-waiter.decided:
		return decision, true
	default:
	}
	q.waiting[team] = slices.DeleteFunc(q.waiting[team], func(w *quotaWaiter) bool { return w == waiter })
	if len(q.waiting[team]) == 0 {
		delete(q.waiting, team)
	}
	return quota.Decision{}, false
}

// spread lengthens a time by a random share, so that callers that are refused together do not return together.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + quotaRetrySpread*rand.Float64()))
}

// withoutOwner decides about a request that got no answer from an owner.
func (q *quotas) withoutOwner(c *ingressCall) (quota.Token, protocol.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	if q.holder.TakeReserve(now, c.team.Name, q.isOwnerless(now)) {
		q.node.metrics.quotaRequests.WithLabelValues(quotaReserved).Inc()
		return quota.Token{}, protocol.ReasonNone
	}
	q.node.metrics.quotaRequests.WithLabelValues(quotaUnknown).Inc()
	c.quotaRetryAfter = spread(quotaLostRetryAfter)
	return quota.Token{}, protocol.ReasonQuotaUnknown
}

// settle decides about the requests that wait, as far as the node can. The caller holds the lock.
func (q *quotas) settle(now time.Time) {
	for team, waiters := range q.waiting {
		for len(waiters) > 0 {
			decision := q.holder.Retake(now, team)
			if decision.Verdict == quota.NeedsLease {
				break
			}
			waiters[0].decided <- decision
			waiters = waiters[1:]
		}
		if len(waiters) == 0 {
			delete(q.waiting, team)
			continue
		}
		q.waiting[team] = waiters
	}
}

// startAsking starts the goroutine that asks the owner unless it runs. The caller holds the lock.
func (q *quotas) startAsking() {
	if q.asking || q.node.ctx.Err() != nil {
		return
	}
	q.asking = q.tasks.start(q.ask)
}

// close waits for the end of ask. The node's context must have ended.
func (q *quotas) close() { q.tasks.close() }

// ask sends requests to the owner, at least one, until no request waits for a token.
func (q *quotas) ask() {
	for {
		sleep(q.node.ctx, q.untilNextAsk())
		request, address := q.nextRequest()
		if request == nil {
			return
		}
		sent := clock.Now()
		ctx, cancel := context.WithTimeout(q.node.ctx, quotaAskTimeout)
		reply, err := q.node.quotaPool.Lend(ctx, address, request)
		cancel()
		if errors.Is(err, rpc.ErrTimeout) {
			// The connection may have gone silent.
			q.node.quotaPool.Forget(address)
		}
		if !q.receive(sent, address, reply, err) {
			return
		}
	}
}

func (q *quotas) untilNextAsk() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	interval := quotaAskInterval
	if len(q.waiting) > 0 && q.short {
		interval = quotaShortInterval
	}
	return max(q.retryDelay, interval-clock.Now().Sub(q.lastAsk))
}

// nextRequest returns the next request and the member to which it is sent; nil if there is nothing to ask for.
func (q *quotas) nextRequest() (*quota.Request, string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	q.settle(now)
	needs := make(map[string]int, len(q.waiting))
	for team, waiters := range q.waiting {
		needs[team] = len(waiters)
	}
	request, ok := q.holder.Request(now, needs)
	address := q.chooseMember(now)
	// While there is no owner, an empty request finds out whether there is one again.
	if q.node.ctx.Err() != nil || address == "" || !ok && q.lostSince.IsZero() {
		q.asking = false
		return nil, ""
	}
	q.lastAsk = now
	return request, address
}

// chooseMember returns the owner or, if it is not known or does not reply, the members in turn. The caller holds the lock.
func (q *quotas) chooseMember(now time.Time) string {
	avoided := ""
	if now.Before(q.avoidedUntil) {
		avoided = q.avoided
	}
	if q.owner != "" && q.owner != avoided {
		return q.owner
	}
	members := q.node.members.addresses()
	for range members {
		address := members[q.nextMember%len(members)]
		q.nextMember++
		if address != avoided || len(members) == 1 {
			return address
		}
	}
	return ""
}

// receive takes the reply to a request. It reports whether there is more to ask for.
func (q *quotas) receive(sent time.Time, address string, reply *quota.Reply, err error) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	switch {
	case err != nil:
		q.node.metrics.quotaAsks.WithLabelValues("failed").Inc()
		if q.owner != "" {
			q.owner, q.nextMember = "", 0
		}
		q.avoided, q.avoidedUntil = address, now.Add(quotaAvoidTime)
	case !reply.IsOwner:
		q.node.metrics.quotaAsks.WithLabelValues("not-owner").Inc()
		q.owner = reply.Owner
		if !reply.Outside && (reply.Owner == "" || reply.Owner == address) {
			q.ownerlessAt = now
		}
	default:
		q.node.metrics.quotaAsks.WithLabelValues("granted").Inc()
		q.owner, q.ownerlessAt = address, time.Time{}
		q.holder.Receive(now, sent, reply.Grants)
	}
	redirected := err == nil && !reply.IsOwner && reply.Owner != "" && reply.Owner != address
	switch {
	case err == nil && reply.IsOwner:
		q.foundOwner(now, address)
	case redirected && q.lostSince.IsZero():
		// The member that was named is asked at once.
		q.lostSince = now
	default:
		q.retryDelay = min(max(quotaRetryDelay, 2*q.retryDelay), quotaMaxRetryDelay)
		if q.lostSince.IsZero() {
			q.lostSince = now
		}
	}
	q.settle(now)
	q.short = len(q.waiting) > 0
	q.asking = len(q.waiting) > 0 && q.node.ctx.Err() == nil
	return q.asking
}

func (q *quotas) foundOwner(now time.Time, address string) {
	if !q.lostSince.IsZero() && now.Sub(q.lostSince) > quotaLostAfter {
		q.logger.Info().Str("owner", address).Int64("without_ms", now.Sub(q.lostSince).Milliseconds()).
			Msg("reaches the owner of the quotas again")
	}
	q.lostSince, q.retryDelay = time.Time{}, 0
}
