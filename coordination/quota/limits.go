// Package quota decides how many requests of a team each node may let in, so that all nodes together keep to the team's
// limit. One control member, the owner, holds an account for each team and lends tokens from it for a short time; a node
// spends one token for each request. The package has no I/O and no clock of its own: callers supply the time, which
// must include suspensions.
package quota

import (
	"math"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Limit is the quota of one team over all nodes together. A team whose Rate is 0 has no quota.
type Limit struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that the team may send at once after a pause.
	Burst float64 `json:"burst"`
}

// LimitsOf returns the limits of the teams that have one, by their names.
func LimitsOf(teams []bundle.Team) map[string]Limit {
	limits := make(map[string]Limit)
	for _, team := range teams {
		if team.RequestsPerSecond > 0 {
			limits[team.Name] = Limit{Rate: team.RequestsPerSecond, Burst: team.Burst}
		}
	}
	return limits
}

// Bounds says by how much a quota may be exceeded: in any Window, all nodes together may let in
// (Rate*Window + Burst) * (1 + Overshoot) + Allowance requests of a team.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Allowance float64
}

// Most returns the greatest number of requests that all nodes together may let in within any window.
func (b Bounds) Most(limit Limit) float64 {
	return (limit.Rate*b.Window.Seconds()+limit.Burst)*(1+b.Overshoot) + b.Allowance
}

const (
	// ownedShare, openingShare and reserveShare divide what may exceed the quota: among tokens that are lent but not spent,
	// the first tokens of a new owner, and what nodes may spend without an owner. The last of these is the least: a small
	// team's part of it is less than one token for each node.
	ownedShare   = 0.5
	openingShare = 0.375
	reserveShare = 0.125
	// minLifetime is the shortest lifetime of a lease. It exceeds the time of a reply between zones.
	minLifetime = 50 * time.Millisecond
	// maxLifetime bounds for how long tokens are lost that a node holds while it stops or is cut off.
	maxLifetime = time.Second
)

// shares divides what a team may spend. In any window, all nodes together spend at most
//
//	rate*window + capacity + opening + reserve <= (rate*window + burst)*(1 + overshoot) + allowance
//
// since the level of the account and all tokens that are lent never exceed the capacity together, accounts are opened
// with a credit at most once in a window, and each token of the reserve is spent at most once in it.
type shares struct {
	// capacity bounds the level of the account and the tokens that are lent, together.
	capacity float64
	// opening is the credit with which a new owner may open the account.
	opening float64
	// reserve is what all nodes together may spend in a window without the owner.
	reserve float64
	// lifetime is that of a lease. Tokens that are spent count as lent until it ends, which takes rate*lifetime of the
	// capacity: with this lifetime, burst tokens are left for a team that was within its rate.
	lifetime time.Duration
}

func (b Bounds) divide(limit Limit) shares {
	slack := b.Overshoot*(limit.Rate*b.Window.Seconds()+limit.Burst) + b.Allowance
	owned := ownedShare * slack
	lifetime := maxLifetime
	if limit.Rate > 0 {
		lifetime = time.Duration(min(maxLifetime.Seconds(), owned/limit.Rate) * float64(time.Second))
	}
	return shares{
		// An account of less than one token could lend nothing.
		capacity: max(1, limit.Burst+owned),
		opening:  openingShare * slack,
		reserve:  reserveShare * slack,
		lifetime: max(minLifetime, lifetime),
	}
}

// wholeTokens rounds down.
func wholeTokens(tokens float64) int { return int(math.Floor(tokens)) }
