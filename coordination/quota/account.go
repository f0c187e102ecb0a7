package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// clockDriftPercent is added to the lifetime of a lease at the owner, because the clocks of two instances may differ
	// in rate.
	clockDriftPercent = 1
	// spareShare is the part of the capacity that is kept for requests that wait: tokens that a node only expects to spend
	// are lent from what lies above it, and each node gets at most 1/spareDivisor of that.
	spareShare   = 0.5
	spareDivisor = 4
	// minPause and maxPause bound the time for which a node does not ask again for a team that has used up its quota.
	minPause = 20 * time.Millisecond
	maxPause = 250 * time.Millisecond
	// askerMemory is the time for which a node counts as one that asks for a team.
	askerMemory = time.Second
	// minWait is the shortest time after which callers are told to come back.
	minWait = 50 * time.Millisecond
	// openingTime is the time after which an account that was opened nearly empty shows whether its team exceeds its limit.
	// Before that, a shortage says nothing about the team.
	openingTime = 1500 * time.Millisecond
	// demandSlots is the number of parts of a window in which demand is counted.
	demandSlots = 10
)

// lease is a number of tokens that were lent to a node and are neither returned nor expired.
type lease struct {
	id      uint64
	node    string
	tokens  int
	expires time.Time
}

// Counts are the figures of an account since it was opened, in tokens or requests.
type Counts struct {
	Lent     int64 `json:"lent"`
	Returned int64 `json:"returned"`
	// Asked counts the requests of the team, Refused those that were refused for the quota, and RefusedBelow those of them
	// for which the team's requests in the last window were within its rate and burst.
	Asked        int64 `json:"asked"`
	Refused      int64 `json:"refused"`
	RefusedBelow int64 `json:"refused_below_limit"`
}

// account is a token bucket of one team. Its level and the tokens that are lent never exceed its capacity together.
type account struct {
	bounds   Bounds
	limit    Limit
	shares   shares
	level    float64
	openedAt time.Time
	// updated is the time up to which the level was refilled.
	updated time.Time
	// leases is in the order of expiry, which is also that of their IDs.
	leases []lease
	lent   int
	lastID uint64
	// backlog estimates the requests that were refused and will be sent again.
	backlog float64
	// askers holds the nodes that asked for the team, with the time of their last ask.
	askers      map[string]time.Time
	askersSwept time.Time
	demand      demand
	counts      Counts
	// shortSince and lastShort are the times of the first and the last shortage of a limitation; zero if there is none.
	shortSince, lastShort time.Time
	// before holds the counts at the start of the limitation.
	before Counts
}

// newAccount opens an account that is empty at a time.
func newAccount(bounds Bounds, limit Limit, openedAt time.Time) *account {
	return &account{
		bounds: bounds, limit: limit, shares: bounds.divide(limit), openedAt: openedAt, updated: openedAt,
		askers: make(map[string]time.Time),
		demand: demand{slot: bounds.Window / demandSlots},
	}
}

// advance refills the account and ends the leases that have expired. It does both in the order of time: tokens that are
// lent leave less room for the refill until they expire.
func (a *account) advance(now time.Time) {
	ended := 0
	for _, l := range a.leases {
		if l.expires.After(now) {
			break
		}
		a.refill(l.expires)
		a.lent -= l.tokens
		ended++
	}
	a.leases = slices.Delete(a.leases, 0, ended)
	a.refill(now)
}

func (a *account) refill(now time.Time) {
	elapsed := now.Sub(a.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	a.updated = now
	a.level = min(a.level+a.limit.Rate*elapsed, a.shares.capacity-float64(a.lent))
	a.backlog = max(0, a.backlog-a.limit.Rate*elapsed)
}

// setLimit changes the limit. If it falls, the account falls at once; tokens that are lent expire soon.
func (a *account) setLimit(now time.Time, limit Limit) {
	if limit == a.limit {
		return
	}
	a.advance(now)
	a.limit, a.shares = limit, a.bounds.divide(limit)
	a.level = max(0, min(a.level, a.shares.capacity-float64(a.lent)))
}

// lend answers the ask of a node. No lease lasts beyond until.
func (a *account) lend(now, until time.Time, node string, ask Ask) Grant {
	a.advance(now)
	a.observeAsker(now, node)
	a.counts.Asked += int64(ask.Asked)
	a.demand.add(now, ask.Asked)
	lifetime := min(a.shares.lifetime, until.Sub(now))
	grant := Grant{Team: ask.Team, Lifetime: lifetime}
	if lifetime > 0 {
		grant.Tokens = min(max(ask.Need, 0), wholeTokens(a.level))
		spare := a.level - float64(grant.Tokens) - spareShare*a.shares.capacity
		grant.Tokens += min(max(ask.Want, 0), max(0, wholeTokens(spare/spareDivisor)))
	}
	a.observeRefusals(now, ask.Refused)
	if short := ask.Need - grant.Tokens; short > 0 && now.Sub(a.openedAt) >= openingTime {
		// The node counts what it refuses now with its next ask.
		a.noteShortage(now)
		grant.RetryAfter, grant.Pause = a.retryAfter(short), a.pause()
	}
	if grant.Tokens == 0 {
		return grant
	}
	expires := now.Add(lifetime + lifetime*clockDriftPercent/100)
	if len(a.leases) > 0 {
		// After a change of the limit, a later lease could expire earlier. Keeping it for longer errs on the safe side.
		expires = later(expires, a.leases[len(a.leases)-1].expires)
	}
	a.lastID++
	grant.Lease = a.lastID
	a.leases = append(a.leases, lease{id: a.lastID, node: node, tokens: grant.Tokens, expires: expires})
	a.level -= float64(grant.Tokens)
	a.lent += grant.Tokens
	a.counts.Lent += int64(grant.Tokens)
	return grant
}

// takeBack credits returned tokens, unless their lease has expired.
func (a *account) takeBack(now time.Time, node string, r Return) {
	a.advance(now)
	i, found := slices.BinarySearchFunc(a.leases, r.Lease, func(l lease, id uint64) int {
		return cmp.Compare(l.id, id)
	})
	if !found || a.leases[i].node != node {
		return
	}
	tokens := min(max(r.Tokens, 0), a.leases[i].tokens)
	a.leases[i].tokens -= tokens
	a.lent -= tokens
	a.level += float64(tokens)
	a.counts.Returned += int64(tokens)
}

func (a *account) observeAsker(now time.Time, node string) {
	a.askers[node] = now
	if now.Sub(a.askersSwept) < askerMemory {
		return
	}
	a.askersSwept = now
	for other, last := range a.askers {
		if now.Sub(last) > askerMemory {
			delete(a.askers, other)
		}
	}
}

func (a *account) observeRefusals(now time.Time, refused int) {
	if refused <= 0 {
		return
	}
	a.noteShortage(now)
	a.counts.Refused += int64(refused)
	if float64(a.demand.total(now)) <= a.limit.Rate*a.bounds.Window.Seconds()+a.limit.Burst {
		a.counts.RefusedBelow += int64(refused)
	}
	a.backlog = min(a.backlog+float64(refused), a.limit.Rate*a.bounds.Window.Seconds())
}

// noteShortage begins or extends a limitation.
func (a *account) noteShortage(now time.Time) {
	if a.shortSince.IsZero() {
		a.shortSince, a.before = now, a.counts
	}
	a.lastShort = now
}

// retryAfter returns the time in which the refill covers the requests that were refused and those that are now.
func (a *account) retryAfter(short int) time.Duration {
	wait := time.Duration((a.backlog + float64(short)) / a.limit.Rate * float64(time.Second))
	return min(max(wait, minWait), a.bounds.Window)
}

// pause returns the time in which the refill yields one token for each second node that asks for the team.
func (a *account) pause() time.Duration {
	pause := time.Duration(float64(len(a.askers)) / (2 * a.limit.Rate) * float64(time.Second))
	return min(max(pause, minPause), maxPause)
}

// limitationEnded reports whether a limitation has ended: nothing was refused for a window.
func (a *account) limitationEnded(now time.Time) bool {
	return !a.shortSince.IsZero() && now.Sub(a.lastShort) > a.bounds.Window
}

// isFull reports whether the account is as if it had just been opened long ago.
func (a *account) isFull() bool { return a.lent == 0 && a.level >= a.shares.capacity }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// demand counts the requests of the last window in slots.
type demand struct {
	slot   time.Duration
	counts [demandSlots]int
	// current is the number of the latest slot.
	current int64
}

func (d *demand) moveTo(now time.Time) {
	current := now.UnixNano() / int64(max(d.slot, 1))
	if current-d.current >= demandSlots {
		clear(d.counts[:])
	} else {
		for s := d.current + 1; s <= current; s++ {
			d.counts[s%demandSlots] = 0
		}
	}
	d.current = max(d.current, current)
}

func (d *demand) add(now time.Time, count int) {
	d.moveTo(now)
	d.counts[d.current%demandSlots] += count
}

func (d *demand) total(now time.Time) int {
	d.moveTo(now)
	total := 0
	for _, count := range d.counts {
		total += count
	}
	return total
}
