package admission

import (
	"math"
	"time"
)

const (
	// usualWindow is the time constant of the mean of what a team usually asks for: long against a peak that a team must pay
	// for itself, short against the hours in which its demand changes.
	usualWindow = time.Minute
	// excessRatio is the ratio of a team's admitted work to its usual one, against that of all teams, from which on it has
	// more than its share. A team with few calls varies by less than this from second to second.
	excessRatio = 2
	// learnRatio is the ratio up to which the calls of a team count as its usual demand.
	learnRatio = 1.5
	// usualFloor is added to the work of a team, in slots, before it is compared, so that a rare call of a small team does
	// not count as a peak.
	usualFloor = 0.25
	// excessHeadroomShare is the share of the slots that a team with more than its share leaves free: a bound on its
	// waiting calls alone would not keep slots for others.
	excessHeadroomShare = 0.1
	// maxTeams bounds the teams with accounts of their own.
	maxTeams = 1024
)

// teams keeps an account of the work of each team. It answers one team that sends many times its usual: beyond twice its
// usual work it is refused while few slots are free, so that the peak takes from itself. Teams whose demand grows together
// are treated alike, whatever their size.
type teams struct {
	accounts map[string]*teamAccount
	all      teamAccount
	since    time.Time // first arrival of a team's call
}

// teamAccount holds the work of a team, in slots.
type teamAccount struct {
	admitted decayingWork
	usual    decayingWork
}

// account returns the account of a team, and creates it if necessary. Beyond maxTeams, all further teams share that of
// the empty name.
func (t *teams) account(team string) *teamAccount {
	if known, ok := t.accounts[team]; ok {
		return known
	}
	if len(t.accounts) >= maxTeams && team != "" {
		return t.account("")
	}
	if t.accounts == nil {
		t.accounts = make(map[string]*teamAccount)
	}
	created := &teamAccount{}
	t.accounts[team] = created
	return created
}

// observeArrival adds a call to what its team usually asks for, and returns the team's ratio. A peak does not count as
// usual: it would soon be.
func (t *teams) observeArrival(c *call, now time.Time) float64 {
	if c.team == "" {
		return 0
	}
	if t.since.IsZero() {
		t.since = now
	}
	ratio := t.ratio(c.team, now)
	if ratio <= learnRatio {
		t.account(c.team).usual.add(now, c.service, usualWindow)
		t.all.usual.add(now, c.service, usualWindow)
	}
	return ratio
}

// observeStart adds a call to what its team is given.
func (t *teams) observeStart(c *call, now time.Time) {
	if c.team == "" {
		return
	}
	t.account(c.team).admitted.add(now, c.service, offeredWorkWindow)
	t.all.admitted.add(now, c.service, offeredWorkWindow)
}

// ratio returns what a team has been given against its usual, less what the other teams have grown by; 0 if there is
// nothing to compare with.
func (t *teams) ratio(team string, now time.Time) float64 {
	if len(t.accounts) < 2 {
		return 0
	}
	account := t.account(team)
	usual, admitted := t.usualSlots(account, now), account.admitted.slots(now, offeredWorkWindow)
	othersUsual := t.usualSlots(&t.all, now) - usual
	if othersUsual <= 0 {
		return 0
	}
	growth := max(1, (t.all.admitted.slots(now, offeredWorkWindow)-admitted)/othersUsual)
	return (admitted + usualFloor) / (growth * (usual + usualFloor))
}

// knownRatio returns the ratio of a team, and creates no account. A team without one has had nothing beyond its usual.
func (t *teams) knownRatio(team string, now time.Time) float64 {
	if _, ok := t.accounts[team]; team == "" || !ok && len(t.accounts) < maxTeams {
		return 0
	}
	return t.ratio(team, now)
}

// usualSlots returns the usual work of an account. The mean of a short time counts in full: it has begun at zero.
func (t *teams) usualSlots(account *teamAccount, now time.Time) float64 {
	age := max(now.Sub(t.since), offeredWorkWindow)
	return account.usual.slots(now, usualWindow) / (1 - math.Exp(-age.Seconds()/usualWindow.Seconds()))
}
