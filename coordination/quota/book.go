package quota

import (
	"maps"
	"slices"
	"time"
)

// Book holds the accounts of all teams at the owner. It is not safe for concurrent use.
type Book struct {
	bounds   Bounds
	openedAt time.Time
	// hasCredit is set if the accounts were opened with their credit.
	hasCredit bool
	limits    map[string]Limit
	accounts  map[string]*account
}

// NewBook returns a book without teams.
func NewBook(bounds Bounds) *Book {
	return &Book{bounds: bounds, limits: make(map[string]Limit), accounts: make(map[string]*account)}
}

// Open opens all accounts anew, when this member has become the owner, as if they had been empty at emptyAt: a time since
// which no lease of a former owner can be spent any more. What all nodes spend then stays within the limits whatever the
// former owner lent. With credit, they begin with their opening credit; no other owner may have opened with credit within
// the last window.
func (b *Book) Open(emptyAt time.Time, credit bool) {
	b.openedAt, b.hasCredit = emptyAt, credit
	clear(b.accounts)
}

// SetLimits replaces the limits of the teams. Teams without a limit are left out.
func (b *Book) SetLimits(now time.Time, limits map[string]Limit) {
	b.limits = limits
	for team, a := range b.accounts {
		if limit, ok := limits[team]; ok {
			a.setLimit(now, limit)
			continue
		}
		// A full account can be opened again without a loss to the team or to the limit.
		if a.advance(now); a.isFull() {
			delete(b.accounts, team)
		}
	}
}

// Teams returns the number of teams with a limit.
func (b *Book) Teams() int { return len(b.limits) }

// Lend carries out a request of a node. No lease lasts beyond until.
func (b *Book) Lend(now, until time.Time, request *Request) []Grant {
	for _, r := range request.Returns {
		if a := b.accounts[r.Team]; a != nil {
			a.takeBack(now, request.Node, r)
		}
	}
	grants := make([]Grant, 0, len(request.Asks))
	for _, ask := range request.Asks {
		limit, ok := b.limits[ask.Team]
		if !ok {
			// The node has another version of the configuration, in which the team has a limit.
			grants = append(grants, Grant{Team: ask.Team, Tokens: max(0, ask.Need), Lifetime: minLifetime})
			continue
		}
		grants = append(grants, b.account(ask.Team, limit).lend(now, until, request.Node, ask))
	}
	return grants
}

func (b *Book) account(team string, limit Limit) *account {
	a := b.accounts[team]
	if a == nil {
		a = newAccount(b.bounds, limit, b.openedAt)
		if b.hasCredit {
			a.level = a.shares.opening
		}
		b.accounts[team] = a
	}
	return a
}

// Limitation is the beginning or the end of a time in which requests of a team are refused for its quota.
type Limitation struct {
	Team  string
	Limit Limit
	Ended bool
	// Counts are those of the limitation, and Lasted its length; they are set at its end.
	Counts Counts
	Lasted time.Duration
}

// EndedLimitations returns the limitations that have ended since the last call.
func (b *Book) EndedLimitations(now time.Time) []Limitation {
	var ended []Limitation
	for team, a := range b.accounts {
		if a.limitationEnded(now) {
			ended = append(ended, Limitation{
				Team: team, Limit: a.limit, Ended: true, Lasted: a.lastShort.Sub(a.shortSince),
				Counts: Counts{
					Lent: a.counts.Lent - a.before.Lent, Returned: a.counts.Returned - a.before.Returned,
					Asked: a.counts.Asked - a.before.Asked, Refused: a.counts.Refused - a.before.Refused,
					RefusedBelow: a.counts.RefusedBelow - a.before.RefusedBelow,
				},
			})
			a.shortSince = time.Time{}
		}
	}
	return ended
}

// IsLimited reports whether requests of a team were refused for its quota within the last window.
func (b *Book) IsLimited(team string) bool {
	a := b.accounts[team]
	return a != nil && !a.shortSince.IsZero()
}

// OwnerStatus describes a control member as the owner of the accounts. Accounts is empty unless it is the owner.
type OwnerStatus struct {
	IsOwner bool `json:"is_owner"`
	// Owner is the mesh address of the leader that the member knows.
	Owner string `json:"owner,omitempty"`
	// Requests counts the requests of nodes that were answered since the start.
	Requests int64           `json:"requests"`
	Accounts []AccountStatus `json:"accounts,omitempty"`
}

// AccountStatus describes the account of one team.
type AccountStatus struct {
	Team     string  `json:"team"`
	Limit    Limit   `json:"limit"`
	Level    float64 `json:"level"`
	Capacity float64 `json:"capacity"`
	// LentTo holds the tokens that each node has and that have not expired, spent or not.
	LentTo  map[string]int `json:"lent_to,omitempty"`
	Limited bool           `json:"limited,omitempty"`
	Counts  Counts         `json:"counts"`
}

// Status describes the accounts in the order of their teams' names.
func (b *Book) Status(now time.Time) []AccountStatus {
	var all []AccountStatus
	for _, team := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[team]
		a.advance(now)
		status := AccountStatus{
			Team: team, Limit: a.limit, Level: a.level, Capacity: a.shares.capacity, Limited: !a.shortSince.IsZero(),
			Counts: a.counts,
		}
		for _, l := range a.leases {
			if l.tokens == 0 {
				continue
			}
			if status.LentTo == nil {
				status.LentTo = make(map[string]int)
			}
			status.LentTo[l.node] += l.tokens
		}
		all = append(all, status)
	}
	return all
}
