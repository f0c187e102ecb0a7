package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// demandMemory is the time constant over which a node averages the demand of a team.
const demandMemory = time.Second

// Verdict is the decision about one request.
type Verdict uint8

const (
	// Allowed means that the request may be sent; it has spent a token if its team has a limit.
	Allowed Verdict = iota
	// OverQuota means that the team has used up its quota.
	OverQuota
	// NeedsLease means that the node has no token and must ask the owner.
	NeedsLease
)

// Token is what a request has spent. The zero value is that of a request which spent none.
type Token struct {
	team    string
	lease   uint64
	expires time.Time
}

// Decision is the answer to one request.
type Decision struct {
	Verdict Verdict
	Token   Token
	// RetryAfter is set with OverQuota.
	RetryAfter time.Duration
}

// HolderCounts are the figures of one team at a node since its start, in requests or tokens.
type HolderCounts struct {
	Allowed  int64 `json:"allowed"`
	Refused  int64 `json:"refused"`
	Lent     int64 `json:"lent"`
	Returned int64 `json:"returned"`
	Expired  int64 `json:"expired"`
	Refunded int64 `json:"refunded"`
	// Repeated counts runs of a request beyond its first.
	Repeated int64 `json:"repeated"`
	// FromReserve counts requests that were let in without the owner.
	FromReserve int64 `json:"from_reserve"`
}

// handful is what is left of a lease at a node.
type handful struct {
	lease   uint64
	tokens  int
	expires time.Time
}

// holding is what a node holds of one team.
type holding struct {
	limit  Limit
	shares shares
	// hand is in the order of expiry.
	hand []handful
	// debt counts tokens that were spent in advance, by repeated runs.
	debt int
	// demand is the decaying number of requests within demandMemory, as of demandAt.
	demand   float64
	demandAt time.Time
	// asked and refused count the requests since the last ask.
	asked, refused int
	// Until pausedUntil, the owner has no token; callers are told to come back at retryAt.
	pausedUntil, retryAt time.Time
	// reserveSpent holds the times at which tokens of the reserve were spent within the last window.
	reserveSpent []time.Time
	// admitted counts the requests that were let in with the owner's tokens. coastingSince is when this node last began to go
	// on without an owner, coastingTotal what it may let in by that, and coastingSpent what it has.
	admitted                     demand
	coastingSince                time.Time
	coastingTotal, coastingSpent int
	counts                       HolderCounts
}

// Holder holds the tokens of one node. It is not safe for concurrent use.
type Holder struct {
	bounds Bounds
	node   string
	// started is the time since which this process has spent no reserve.
	started time.Time
	// nodes is the greatest number of nodes that was known since the start.
	nodes int
	teams map[string]*holding
	// names lists the teams in order.
	names []string
}

// NewHolder returns a holder without tokens. A restarted node thereby has nothing of what its former process held.
func NewHolder(now time.Time, bounds Bounds, node string) *Holder {
	return &Holder{bounds: bounds, node: node, started: now, nodes: 1, teams: make(map[string]*holding)}
}

// SetLimits replaces the limits of the teams. Teams without a limit are left out.
func (h *Holder) SetLimits(limits map[string]Limit) {
	maps.DeleteFunc(h.teams, func(team string, _ *holding) bool { _, ok := limits[team]; return !ok })
	for team, limit := range limits {
		held := h.teams[team]
		if held == nil {
			held = &holding{admitted: demand{slot: h.bounds.Window / demandSlots}}
			h.teams[team] = held
		}
		held.limit, held.shares = limit, h.bounds.divide(limit)
	}
	h.names = slices.Sorted(maps.Keys(h.teams))
}

// SetNodes sets the number of nodes, including this one. The reserve is divided by the greatest number since the start,
// because nodes that are gone for this one may go on to spend their part.
func (h *Holder) SetNodes(count int) { h.nodes = max(h.nodes, count) }

// Take decides about a request that has just arrived.
func (h *Holder) Take(now time.Time, team string) Decision {
	if held := h.teams[team]; held != nil {
		held.observeDemand(now)
		held.asked++
	}
	return h.Retake(now, team)
}

// Retake decides about a request that has waited for a lease.
func (h *Holder) Retake(now time.Time, team string) Decision {
	held := h.teams[team]
	if held == nil {
		return Decision{}
	}
	decision := h.Peek(now, team)
	switch decision.Verdict {
	case Allowed:
		if held.hand[0].tokens--; held.hand[0].tokens == 0 {
			held.hand = held.hand[1:]
		}
		held.admitted.add(now, 1)
		held.counts.Allowed++
	case OverQuota:
		held.refused++
		held.counts.Refused++
	}
	return decision
}

// Peek returns what Take would decide. It spends no token and counts no request.
func (h *Holder) Peek(now time.Time, team string) Decision {
	held := h.teams[team]
	if held == nil {
		return Decision{}
	}
	held.dropExpired(now)
	switch {
	case len(held.hand) > 0:
		first := held.hand[0]
		return Decision{Token: Token{team: team, lease: first.lease, expires: first.expires}}
	case now.Before(held.pausedUntil):
		return Decision{Verdict: OverQuota, RetryAfter: max(minWait, held.retryAt.Sub(now))}
	default:
		return Decision{Verdict: NeedsLease}
	}
}

const (
	// coastingTime is for how long a node goes on at the pace at which it let requests in before, while there is no owner. It
	// covers an election.
	coastingTime = 2500 * time.Millisecond
	// coastingShare is the share of that pace: the window before may hold a burst. limitedCoastingShare takes its place for a
	// team that the owner limits.
	coastingShare        = 0.6
	limitedCoastingShare = 0.25
)

// mayBeginCoasting reports whether the node has not gone on without an owner lately.
func (h *Holder) mayBeginCoasting(now time.Time, held *holding) bool {
	return held.coastingSince.IsZero() || now.Sub(held.coastingSince) >= h.bounds.Window+coastingTime
}

// mayCoast reports whether the node may let in a request at the pace of the last window. All nodes together let in less than
// the refill that nobody lends meanwhile.
func (h *Holder) mayCoast(now time.Time, held *holding) bool {
	elapsed := now.Sub(held.coastingSince)
	if held.coastingSpent >= held.coastingTotal || elapsed >= coastingTime {
		return false
	}
	return float64(held.coastingSpent) <= float64(held.coastingTotal)*elapsed.Seconds()/coastingTime.Seconds()
}

// coastingTokens returns the requests of coastingTime at its share of the pace of the last window.
func (h *Holder) coastingTokens(now time.Time, held *holding) int {
	share := coastingShare
	if now.Sub(held.pausedUntil) < h.bounds.Window {
		share = limitedCoastingShare
	}
	windows := coastingTime.Seconds() / h.bounds.Window.Seconds()
	return int(math.Round(share * windows * float64(held.admitted.total(now))))
}

// TakeReserve decides about a request that cannot wait for the owner any longer. If a member says that there is no owner, it
// goes on at the former pace for a short time; otherwise, and then, it spends a token of the reserve. A process that has
// just started has no reserve for one window, in which its former process may have spent it.
func (h *Holder) TakeReserve(now time.Time, team string, ownerless bool) bool {
	if !h.HasReserve(now, team, ownerless) {
		return false
	}
	held := h.teams[team]
	if held == nil {
		return true
	}
	held.counts.Allowed++
	held.counts.FromReserve++
	if ownerless && h.mayBeginCoasting(now, held) {
		held.coastingSince, held.coastingTotal, held.coastingSpent = now, h.coastingTokens(now, held), 0
	}
	if ownerless && h.mayCoast(now, held) {
		held.coastingSpent++
		return true
	}
	held.reserveSpent = append(held.reserveSpent, now)
	return true
}

// HasReserve returns what TakeReserve would return. It spends no token.
func (h *Holder) HasReserve(now time.Time, team string, ownerless bool) bool {
	held := h.teams[team]
	if held == nil {
		return true
	}
	switch {
	case ownerless && h.mayBeginCoasting(now, held) && h.coastingTokens(now, held) > 0:
		return true
	case ownerless && !h.mayBeginCoasting(now, held) && h.mayCoast(now, held):
		return true
	}
	if now.Sub(h.started) < h.bounds.Window {
		return false
	}
	held.reserveSpent = slices.DeleteFunc(held.reserveSpent, func(at time.Time) bool { return now.Sub(at) > h.bounds.Window })
	return len(held.reserveSpent) < wholeTokens(held.shares.reserve/float64(h.nodes))
}

// Refund gives back the token of a request that was not run. A token whose lease has expired is lost: the owner has
// replaced it.
func (h *Holder) Refund(now time.Time, token Token) {
	held := h.teams[token.team]
	if held == nil || token.lease == 0 {
		return
	}
	held.counts.Refunded++
	if !token.expires.After(now) {
		held.counts.Expired++
		return
	}
	held.add(handful{lease: token.lease, tokens: 1, expires: token.expires})
}

// Charge charges a run of a request beyond its first one. If there is no token, the next one pays for it.
func (h *Holder) Charge(now time.Time, team string) {
	held := h.teams[team]
	if held == nil {
		return
	}
	held.counts.Repeated++
	held.debt++
	held.dropExpired(now)
	held.payDebt()
}

// Request returns the request to the owner: for the teams of which requests wait, by their numbers, and for those that
// will soon need tokens. It reports false if there is nothing to ask for or to return.
func (h *Holder) Request(now time.Time, waiting map[string]int) (*Request, bool) {
	request := &Request{Node: h.node}
	for _, team := range h.names {
		held := h.teams[team]
		held.dropExpired(now)
		target := held.target(now)
		inHand := held.tokens()
		ask := Ask{Team: team, Need: waiting[team] + held.debt, Refused: held.refused, Asked: held.asked}
		if 2*inHand <= target && now.After(held.pausedUntil) {
			ask.Want = target - inHand
		}
		if ask.Need > 0 || ask.Want > 0 || ask.Refused > 0 {
			request.Asks = append(request.Asks, ask)
			held.refused, held.asked = 0, 0
		}
		if surplus := inHand - 2*target - 1; surplus > 0 && ask.Need == 0 {
			request.Returns = append(request.Returns, held.giveBack(team, surplus)...)
		}
	}
	return request, len(request.Asks)+len(request.Returns) > 0
}

// Receive takes the grants of the reply to a request that was sent at a time.
func (h *Holder) Receive(now, sent time.Time, grants []Grant) {
	for _, grant := range grants {
		held := h.teams[grant.Team]
		if held == nil {
			continue
		}
		if grant.RetryAfter > 0 {
			held.pausedUntil, held.retryAt = now.Add(grant.Pause), now.Add(grant.RetryAfter)
		}
		held.counts.Lent += int64(grant.Tokens)
		if grant.Tokens > 0 {
			held.add(handful{lease: grant.Lease, tokens: grant.Tokens, expires: sent.Add(grant.Lifetime)})
		}
		held.dropExpired(now)
		held.payDebt()
	}
}

func (held *holding) observeDemand(now time.Time) {
	held.demand = held.demandNow(now) + 1
	held.demandAt = now
}

func (held *holding) demandNow(now time.Time) float64 {
	return held.demand * math.Exp(-now.Sub(held.demandAt).Seconds()/demandMemory.Seconds())
}

// target returns the tokens that the node expects to spend within the lifetime of a lease.
func (held *holding) target(now time.Time) int {
	return wholeTokens(held.demandNow(now) * held.shares.lifetime.Seconds() / demandMemory.Seconds())
}

func (held *holding) tokens() int {
	total := 0
	for _, h := range held.hand {
		total += h.tokens
	}
	return total
}

func (held *holding) add(added handful) {
	at := slices.IndexFunc(held.hand, func(h handful) bool { return h.lease == added.lease || h.expires.After(added.expires) })
	switch {
	case at < 0:
		held.hand = append(held.hand, added)
	case held.hand[at].lease == added.lease && added.lease != 0:
		held.hand[at].tokens += added.tokens
	default:
		held.hand = slices.Insert(held.hand, at, added)
	}
}

func (held *holding) dropExpired(now time.Time) {
	for len(held.hand) > 0 && !held.hand[0].expires.After(now) {
		held.counts.Expired += int64(held.hand[0].tokens)
		held.hand = held.hand[1:]
	}
}

// payDebt spends tokens in hand on the debt.
func (held *holding) payDebt() {
	for held.debt > 0 && len(held.hand) > 0 {
		paid := min(held.debt, held.hand[0].tokens)
		held.debt -= paid
		if held.hand[0].tokens -= paid; held.hand[0].tokens == 0 {
			held.hand = held.hand[1:]
		}
	}
}

// giveBack removes tokens from the hand, those that expire first.
func (held *holding) giveBack(team string, surplus int) []Return {
	var returns []Return
	for surplus > 0 && len(held.hand) > 0 {
		first := &held.hand[0]
		tokens := min(surplus, first.tokens)
		returns = append(returns, Return{Team: team, Lease: first.lease, Tokens: tokens})
		held.counts.Returned += int64(tokens)
		surplus -= tokens
		if first.tokens -= tokens; first.tokens == 0 {
			held.hand = held.hand[1:]
		}
	}
	return returns
}

// HoldingStatus describes what a node holds of one team.
type HoldingStatus struct {
	Team   string `json:"team"`
	Limit  Limit  `json:"limit"`
	InHand int    `json:"in_hand"`
	// Demand is the average number of requests per second at this node.
	Demand  float64      `json:"demand"`
	Reserve int          `json:"reserve"`
	Limited bool         `json:"limited,omitempty"`
	Counts  HolderCounts `json:"counts"`
}

// Status describes the holdings in the order of their teams' names.
func (h *Holder) Status(now time.Time) []HoldingStatus {
	var all []HoldingStatus
	for _, team := range h.names {
		held := h.teams[team]
		held.dropExpired(now)
		all = append(all, HoldingStatus{
			Team: team, Limit: held.limit, InHand: held.tokens(), Demand: held.demandNow(now) / demandMemory.Seconds(),
			Reserve: wholeTokens(held.shares.reserve / float64(h.nodes)), Limited: now.Before(held.pausedUntil),
			Counts: held.counts,
		})
	}
	return all
}
